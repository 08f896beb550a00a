"""Commands on the configuration as functions from settings to settings."""

import dataclasses
import typing

from citronrail.language import _checks
from citronrail.language import _conflicts
from citronrail.language import _facts
from citronrail.language import _format
from citronrail.language import _nodes
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail.model import specs

T = typing.TypeVar('T')
# The settings are one value of at most 1 MB in the store.
MAX_DOCUMENT_BYTES = 900_000
# Texts of applied commands are kept in the settings to name winners.
MAX_COMMAND_TEXT = 1000


def changed(
    settings: settings_model.Settings,
    command: _nodes.SettingsCommand,
    facts: _facts.Facts,
    seen_version: int | None = None,
) -> settings_model.Settings:
    """Carry out a command on the settings.

    :param settings: the latest settings in the store.
    :param command: a command on the configuration.
    :param facts: what is known of the fleet.
    :param seen_version: settings version when the command was received; a
        conflicting command applied after it wins. None skips that check.
    :returns: the new settings; ``version`` and ``recent_commands`` are left
        to the writer.
    :raises citronrail.errors.CommandRefused: if the command can't be carried
        out; the message says why and, for a conflict, which command won.
    """
    if len(_format.without_version(command)) > MAX_COMMAND_TEXT:
        raise _facts.refuse(
            f'a change has at most {MAX_COMMAND_TEXT} characters'
        )
    _conflicts.check(settings, command, seen_version)
    result = _apply(settings, command, facts)
    if len(codec.encode(result)) > MAX_DOCUMENT_BYTES:
        raise _facts.refuse(
            f'the settings would have more than {MAX_DOCUMENT_BYTES} bytes'
        )
    return result


def _apply(
    settings: settings_model.Settings,
    command: _nodes.SettingsCommand,
    facts: _facts.Facts,
) -> settings_model.Settings:
    match command:
        case _nodes.StartService(spec):
            return _start_service(settings, spec, facts)
        case _nodes.StopService(name):
            return _stop_service(settings, name)
        case _nodes.ChangeService():
            return _change_service(settings, command, facts)
        case _nodes.Drain():
            return _drain(settings, command, facts)
        case _nodes.Return():
            return _return(settings, command, facts)
        case _nodes.ChangeTeam():
            return _change_team(settings, command)
        case _nodes.ChangePolicy():
            return _change_policy(settings, command, facts)


def _service(
    settings: settings_model.Settings, name: str
) -> specs.ServiceSpec:
    spec = settings.services.get(name)
    if spec is None:
        raise _facts.refuse(
            f'there is no service "{name}"'
            f'{_facts.near_miss(name, settings.services)}'
            f'{_conflicts.last_word(settings, _conflicts.service(name))}'
        )
    return spec


def _put_service(
    settings: settings_model.Settings, spec: specs.ServiceSpec
) -> settings_model.Settings:
    services = {**settings.services, spec.name: spec}
    return dataclasses.replace(settings, services=services)


def _start_service(
    settings: settings_model.Settings,
    spec: specs.ServiceSpec,
    facts: _facts.Facts,
) -> settings_model.Settings:
    if spec.name in settings.services:
        raise _facts.refuse(
            f'service "{spec.name}" exists already'
            f'{_conflicts.last_word(settings, _conflicts.service(spec.name))}'
        )
    if len(settings.services) >= _checks.MAX_SERVICES:
        raise _facts.refuse(
            f'there are {_checks.MAX_SERVICES} services already'
        )
    _checks.check_service(settings, facts, spec)
    return _put_service(settings, spec)


def _stop_service(
    settings: settings_model.Settings, name: str
) -> settings_model.Settings:
    _service(settings, name)
    services = dict(settings.services)
    del services[name]
    return dataclasses.replace(settings, services=services)


def _change_service(
    settings: settings_model.Settings,
    change: _nodes.ChangeService,
    facts: _facts.Facts,
) -> settings_model.Settings:
    old = _service(settings, change.name)
    size = old.resources
    new = dataclasses.replace(
        old,
        team=identifiers.TeamName(_given(change.team, old.team)),
        work_class=identifiers.WorkClass(
            _given(change.work_class, old.work_class)
        ),
        replicas=_given(change.replicas, old.replicas),
        resources=resources.Resources(
            _given(change.millicores, size.millicores),
            _given(change.memory_mb, size.memory_mb),
            _given(change.accelerators, size.accelerators),
        ),
        max_run_s=_given(change.max_run_s, old.max_run_s),
        latency_target_ms=_given(
            change.latency_target_ms, old.latency_target_ms
        ),
    )
    # Data centres are checked only when they are given, so that a service
    # can still be changed while one of its data centres is out of service.
    allowed = new.data_centres
    if change.data_centres is not None:
        allowed = tuple(
            identifiers.DataCentreName(name) for name in change.data_centres
        )
        _checks.check_data_centres(settings, facts, allowed)
    _checks.check_service(
        settings, facts, dataclasses.replace(new, data_centres=())
    )
    _checks.check_size(facts, new.resources, allowed)
    return _put_service(
        settings, dataclasses.replace(new, data_centres=allowed)
    )


def _given(value: T | None, old: T) -> T:
    return old if value is None else value


def _drain(
    settings: settings_model.Settings,
    command: _nodes.Drain,
    facts: _facts.Facts,
) -> settings_model.Settings:
    name = command.name
    match command.place:
        case _nodes.Place.SERVICE:
            spec = _service(settings, name)
            return _put_service(
                settings, dataclasses.replace(spec, draining=True)
            )
        case _nodes.Place.WORKER:
            known = {worker.name for worker in facts.workers}
            known |= set(settings.drained_workers)
            _check_seen(command, known)
            return _drain_worker(settings, name)
        case _nodes.Place.DATA_CENTRE:
            _check_seen(command, facts.known_data_centres(settings))
            return _set_in_service(
                settings, name, facts.now_unix_s, in_service=False
            )


def _check_seen(
    command: _nodes.Drain, known: set[str] | frozenset[str]
) -> None:
    if command.name in known:
        return
    place = command.place.value
    if not command.unseen:
        raise _facts.refuse(
            f'no {place} "{command.name}" was seen'
            f'{_facts.near_miss(command.name, known)} '
            f'To drain it all the same, add: unseen'
        )
    _checks.check_name(command.name, place)


def _drain_worker(
    settings: settings_model.Settings, name: str
) -> settings_model.Settings:
    drained = set(settings.drained_workers) | {identifiers.NodeId(name)}
    if len(drained) > _checks.MAX_DRAINED_WORKERS:
        raise _facts.refuse('too many workers are drained already')
    return dataclasses.replace(
        settings, drained_workers=tuple(sorted(drained))
    )


def _set_in_service(
    settings: settings_model.Settings,
    name: str,
    now_unix_s: float,
    *,
    in_service: bool,
) -> settings_model.Settings:
    if settings.data_centre_in_service(name) == in_service:
        return settings
    state = settings_model.DataCentreSettings(
        in_service, settings.version + 1, now_unix_s
    )
    data_centres = {**settings.data_centres, name: state}
    if len(data_centres) > _checks.MAX_DATA_CENTRES:
        raise _facts.refuse('too many data centres are named already')
    return dataclasses.replace(settings, data_centres=data_centres)


def _return(
    settings: settings_model.Settings,
    command: _nodes.Return,
    facts: _facts.Facts,
) -> settings_model.Settings:
    name = command.name
    match command.place:
        case _nodes.Place.SERVICE:
            spec = _service(settings, name)
            return _put_service(
                settings, dataclasses.replace(spec, draining=False)
            )
        case _nodes.Place.WORKER:
            _check_drained(command, set(settings.drained_workers), settings)
            drained = tuple(
                worker for worker in settings.drained_workers if worker != name
            )
            return dataclasses.replace(settings, drained_workers=drained)
        case _nodes.Place.DATA_CENTRE:
            _check_drained(command, set(settings.data_centres), settings)
            return _set_in_service(
                settings, name, facts.now_unix_s, in_service=True
            )


def _check_drained(
    command: _nodes.Return,
    known: set[str] | set[identifiers.NodeId],
    settings: settings_model.Settings,
) -> None:
    if command.name in known:
        return
    place = command.place.value
    target = _conflicts.Target(place, command.name)
    raise _facts.refuse(
        f'{place} "{command.name}" is not drained'
        f'{_facts.near_miss(command.name, known)}'
        f'{_conflicts.last_word(settings, target)}'
    )


def _change_team(
    settings: settings_model.Settings, command: _nodes.ChangeTeam
) -> settings_model.Settings:
    _checks.check_name(command.name, 'team')
    old = settings.teams.get(command.name)
    if old is None:
        if command.quota is None:
            raise _facts.refuse(
                f'there is no team "{command.name}"'
                f'{_facts.near_miss(command.name, settings.teams)} '
                f'A new team needs a quota'
            )
        if len(settings.teams) >= _checks.MAX_TEAMS:
            raise _facts.refuse(f'there are {_checks.MAX_TEAMS} teams already')
        old = settings_model.TeamSettings(command.quota)
    new = settings_model.TeamSettings(
        _given(command.quota, old.quota),
        _given(command.may_borrow, old.may_borrow),
    )
    teams = {**settings.teams, command.name: new}
    result = dataclasses.replace(settings, teams=teams)
    _check_services_fit(settings, result)
    return result


def _check_services_fit(
    before: settings_model.Settings, after: settings_model.Settings
) -> None:
    """Refuse quotas under which services that fitted no longer fit."""
    for team in before.teams:
        usage = _checks.team_usage(after, team)
        if usage.fits_in(_checks.loan_limit(before, team)):
            _checks.check_loan(
                after, team, usage, f'the services of team "{team}"'
            )


def _change_policy(
    settings: settings_model.Settings,
    command: _nodes.ChangePolicy,
    facts: _facts.Facts,
) -> settings_model.Settings:
    if len(command.parameters) > _checks.MAX_PARAMETERS:
        raise _facts.refuse(
            f'a policy has at most {_checks.MAX_PARAMETERS} parameters'
        )
    policy = settings_model.PolicySettings(
        command.name, dict(command.parameters)
    )
    facts.check_policy(command.kind, policy)
    match command.kind:
        case _nodes.PolicyKind.PLACEMENT:
            return dataclasses.replace(settings, placement=policy)
        case _nodes.PolicyKind.BALANCING:
            return dataclasses.replace(settings, balancing=policy)
