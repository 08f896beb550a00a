"""Detects conflicting commands on the same object."""

import dataclasses

from citronrail import errors
from citronrail.language import _format
from citronrail.language import _nodes
from citronrail.language import _parser
from citronrail.language import _validation
from citronrail.model import settings as settings_model


@dataclasses.dataclass(frozen=True)
class Target:
    """The object that a command modifies."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind} "{self.name}"'


def service(name: str) -> Target:
    """Return the target for a service.

    :param name: name of the service.
    :returns: the target.
    """
    return Target(_nodes.Place.SERVICE.value, name)


def target_of(command: _nodes.SettingsCommand) -> Target:
    """Return the object that a command modifies.

    :param command: a configuration command.
    :returns: the target; commands with equal targets can conflict.
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
    base_version: int | None,
) -> None:
    """Reject a command that conflicts with one applied before it.

    :param settings: the latest settings in the store.
    :param command: the command about to be applied.
    :param base_version: settings version when it was received, or None.
    :raises citronrail.errors.CommandRefused: if ``if version`` doesn't match,
        or another command modified the same object after ``base_version``.
    """
    expected = command.expected_version
    if expected is not None and expected != settings.version:
        raise _validation.refusal(
            f'the settings have version {settings.version}, not {expected}'
            f'{_changes_since(settings, expected)}'
        )
    if base_version is None:
        return
    target = target_of(command)
    text = _format.without_version(command)
    for applied in reversed(settings.recent_commands):
        if applied.version <= base_version:
            return
        if applied.message != text and _target_of(applied) == target:
            raise _validation.refusal(
                f'another command on {target} won: '
                f'{_describe_applied(applied)} was applied after this one '
                f'was received at settings version {base_version}; look at '
                f'the result and repeat the command if it is still wanted'
            )


def last_edit(settings: settings_model.Settings, target: Target) -> str:
    """Describe the latest command on an object, for an error message.

    :param settings: the latest settings in the store.
    :param target: the object.
    :returns: text such as ``; the last command on it was ...``, or ''.
    """
    for applied in reversed(settings.recent_commands):
        if _target_of(applied) == target:
            return f'; the last command on it was {_describe_applied(applied)}'
    return ''


def _changes_since(settings: settings_model.Settings, version: int) -> str:
    descriptions = [
        _describe_applied(applied)
        for applied in settings.recent_commands
        if applied.version > version
    ]
    if not descriptions:
        return ''
    shown = ', '.join(descriptions[-3:])
    return (
        f'; applied since: {"..., " if len(descriptions) > 3 else ""}{shown}'
    )


def _describe_applied(applied: settings_model.AppliedCommand) -> str:
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
