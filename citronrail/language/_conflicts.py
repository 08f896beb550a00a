"""Tells which of several commands on the same object won."""

import dataclasses

from citronrail import errors
from citronrail.language import _facts
from citronrail.language import _format
from citronrail.language import _nodes
from citronrail.language import _parser
from citronrail.model import settings as settings_model


@dataclasses.dataclass(frozen=True)
class Target:
    """The object that a command changes."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind} "{self.name}"'


def service(name: str) -> Target:
    """Return a service as the target of a command.

    :param name: name of the service.
    :returns: the target.
    """
    return Target(_nodes.Place.SERVICE.value, name)


def target_of(command: _nodes.SettingsCommand) -> Target:
    """Return the object that a command changes.

    :param command: a command on the configuration.
    :returns: commands with equal targets can conflict.
    """
    match command:
        case _nodes.StartService(spec):
            return service(spec.name)
        case _nodes.StopService(name) | _nodes.ChangeService(name):
            return service(name)
        case _nodes.Drain(place, name) | _nodes.Return(place, name):
            return Target(place.value, name)
        case _nodes.ChangeTeam(name):
            return Target('team', name)
        case _nodes.ChangePolicy(kind):
            return Target('policy', kind.value)


def check(
    settings: settings_model.Settings,
    command: _nodes.SettingsCommand,
    seen_version: int | None,
) -> None:
    """Refuse a command that lost against one applied before it.

    :param settings: the latest settings in the store.
    :param command: the command about to be applied.
    :param seen_version: settings version when it was received, or None.
    :raises citronrail.errors.CommandRefused: if ``if version`` doesn't hold,
        or another command changed the same object since ``seen_version``.
    """
    expected = command.expected_version
    if expected is not None and expected != settings.version:
        raise _facts.refuse(
            f'the settings have version {settings.version}, not {expected}'
            f'{_changes_since(settings, expected)}'
        )
    if seen_version is None:
        return
    target = target_of(command)
    text = _format.without_version(command)
    for applied in reversed(settings.recent_commands):
        if applied.version <= seen_version:
            return
        if applied.message != text and _target_of(applied) == target:
            raise _facts.refuse(
                f'another command on {target} won: {_quote(applied)} was '
                f'applied after this one was received at settings version '
                f'{seen_version}; look at the result and repeat the command '
                f'if it is still wanted'
            )


def last_word(settings: settings_model.Settings, target: Target) -> str:
    """Name the latest command on an object, for the loser of a race.

    :param settings: the latest settings in the store.
    :param target: the object.
    :returns: such as ``; the last command on it was ...``, or ''.
    """
    for applied in reversed(settings.recent_commands):
        if _target_of(applied) == target:
            return f'; the last command on it was {_quote(applied)}'
    return ''


def _changes_since(settings: settings_model.Settings, version: int) -> str:
    later = [
        _quote(applied)
        for applied in settings.recent_commands
        if applied.version > version
    ]
    if not later:
        return ''
    shown = ', '.join(later[-3:])
    return f'; applied since: {"..., " if len(later) > 3 else ""}{shown}'


def _quote(applied: settings_model.AppliedCommand) -> str:
    return (
        f'`{applied.message}` (command {applied.command_id}, settings '
        f'version {applied.version})'
    )


def _target_of(applied: settings_model.AppliedCommand) -> Target | None:
    try:
        command = _parser.parse(applied.message)
    except errors.CommandSyntaxError:
        return None
    match command:
        case (
            _nodes.StartService()
            | _nodes.StopService()
            | _nodes.ChangeService()
            | _nodes.Drain()
            | _nodes.Return()
            | _nodes.ChangeTeam()
            | _nodes.ChangePolicy()
        ):
            return target_of(command)
    return None
