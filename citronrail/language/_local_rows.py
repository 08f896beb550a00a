"""Builds table rows from the in-memory state of an entry."""

import collections
import collections.abc
import typing

from citronrail.language import _checks
from citronrail.language import _nodes
from citronrail.language import _tables
from citronrail.language import _validation
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail.model import specs
from citronrail.model import views as view_model

# Agents send a heartbeat every second; three missed ones rule out jitter.
SILENT_AFTER_S = 3.0
MAX_SETTING_CHARACTERS = 500


class Views(typing.Protocol):
    """Read access to the state that an entry knows."""

    @property
    def settings(self) -> settings_model.Settings:
        """Latest known settings."""
        ...

    def agents(self) -> tuple[view_model.AgentView, ...]:
        """Return the last known state of each agent."""
        ...

    def entries(self) -> tuple[_tables.EntryRow, ...]:
        """Return this entry and the other known entries."""
        ...

    def requests(self) -> tuple[_tables.RequestRow, ...]:
        """Return the requests in progress at this entry."""
        ...


def local_rows(
    table: _nodes.TableName,
    views: Views,
    context: _validation.ValidationContext,
    now: float,
) -> tuple[object, ...]:
    """Return the rows of a table that is held in memory by every entry.

    :param table: any table except tasks and jobs.
    :param views: state known to the entry.
    :param context: names known to the entry.
    :param now: local time in seconds.
    :returns: rows of the table's row class.
    """
    settings = views.settings
    agents = views.agents()
    match table:
        case _nodes.TableName.SERVICES:
            return service_rows(settings, agents)
        case _nodes.TableName.WORKERS:
            return worker_rows(settings, agents, now)
        case _nodes.TableName.BACKEND_SERVERS:
            return backend_server_rows(agents)
        case _nodes.TableName.DATA_CENTRES:
            return data_centre_rows(settings, agents, context, now)
        case _nodes.TableName.TEAMS:
            return team_rows(settings)
        case _nodes.TableName.REQUESTS:
            return views.requests()
        case _nodes.TableName.ENTRIES:
            return views.entries()
        case _nodes.TableName.SETTINGS:
            return setting_rows(settings)
    return ()


def worker_state(
    settings: settings_model.Settings, view: view_model.AgentView, now: float
) -> str:
    """Return the availability of a worker.

    :param settings: the latest settings.
    :param view: last known state of the worker's agent.
    :param now: local time in seconds.
    :returns: the first that applies of ``silent``, ``out of service``,
        ``drained``, ``leaving``, ``starting``; else ``ready``.
    """
    if now - view.heard_at > SILENT_AFTER_S:
        return 'silent'
    if not settings.data_centre_in_service(view.data_centre):
        return 'out of service'
    if view.node_id in settings.drained_workers:
        return 'drained'
    if view.leaving:
        return 'leaving'
    return 'ready' if view.ready else 'starting'


def worker_rows(
    settings: settings_model.Settings,
    agents: collections.abc.Iterable[view_model.AgentView],
    now: float,
) -> tuple[_tables.WorkerRow, ...]:
    """Return a row for each worker.

    :param settings: the latest settings.
    :param agents: last known state of the workers' agents.
    :param now: local time in seconds.
    :returns: the rows in any order.
    """
    return tuple(
        _tables.WorkerRow(
            worker=view.node_id,
            data_centre=view.data_centre,
            rack=view.rack,
            state=worker_state(settings, view, now),
            cores=_to_cores(view.capacity),
            free_cores=_to_cores(view.free),
            memory_mb=view.capacity.memory_mb,
            free_memory_mb=view.free.memory_mb,
            accelerators=view.capacity.accelerators,
            free_accelerators=view.free.accelerators,
            slots_used=view.load.slots_used,
            connections_used=view.load.connections_used,
            queued=view.load.queued,
            latency_ms=round(view.load.latency_ms, 3),
            heard_s=round(max(0.0, now - view.heard_at), 3),
        )
        for view in agents
    )


def backend_server_rows(
    agents: collections.abc.Iterable[view_model.AgentView],
) -> tuple[_tables.BackendServerRow, ...]:
    """Return a row for each announced backend server.

    :param agents: last known state of the agents.
    :returns: the rows in any order.
    """
    return tuple(
        _tables.BackendServerRow(
            worker=view.node_id,
            service=backend.service,
            data_centre=view.data_centre,
            incarnation=backend.incarnation,
            leaving=backend.leaving or view.leaving,
        )
        for view in agents
        for backend in view.backends
    )


def service_rows(
    settings: settings_model.Settings,
    agents: collections.abc.Iterable[view_model.AgentView],
) -> tuple[_tables.ServiceRow, ...]:
    """Return a row for each configured service.

    :param settings: the latest settings.
    :param agents: agents whose announced backend servers are counted.
    :returns: the rows in any order.
    """
    announced = collections.Counter(
        row.service for row in backend_server_rows(agents) if not row.leaving
    )
    return tuple(
        _service_row(spec, announced[spec.name])
        for spec in settings.services.values()
    )


def _service_row(
    spec: specs.ServiceSpec, backend_servers: int
) -> _tables.ServiceRow:
    return _tables.ServiceRow(
        service=spec.name,
        team=spec.team,
        work_class=spec.work_class,
        replicas=spec.replicas,
        backend_servers=backend_servers,
        cores=_to_cores(spec.resources),
        memory_mb=spec.resources.memory_mb,
        accelerators=spec.resources.accelerators,
        max_run_s=spec.max_run_s,
        latency_target_ms=spec.latency_target_ms,
        data_centres=', '.join(spec.data_centres),
        draining=spec.draining,
    )


def data_centre_rows(
    settings: settings_model.Settings,
    agents: collections.abc.Collection[view_model.AgentView],
    context: _validation.ValidationContext,
    now: float,
) -> tuple[_tables.DataCentreRow, ...]:
    """Return a row for each known data centre.

    :param settings: the latest settings.
    :param agents: the agents in the data centres.
    :param context: names known to the entry.
    :param now: local time in seconds.
    :returns: the rows in any order.
    """
    names = context.known_data_centres(settings)
    names |= {view.data_centre for view in agents}
    rows = []
    for name in names:
        members = [view for view in agents if view.data_centre == name]
        capacity = sum(
            (view.capacity for view in members), resources.Resources()
        )
        free = sum((view.free for view in members), resources.Resources())
        state = settings.data_centres.get(name)
        ready = [
            view
            for view in members
            if worker_state(settings, view, now) == 'ready'
        ]
        rows.append(
            _tables.DataCentreRow(
                data_centre=name,
                in_service=settings.data_centre_in_service(name),
                changed_in=state.changed_in if state else 0,
                workers=len(members),
                ready_workers=len(ready),
                cores=_to_cores(capacity),
                free_cores=_to_cores(free),
                memory_mb=capacity.memory_mb,
                free_memory_mb=free.memory_mb,
                accelerators=capacity.accelerators,
                free_accelerators=free.accelerators,
            )
        )
    return tuple(rows)


def team_rows(
    settings: settings_model.Settings,
) -> tuple[_tables.TeamRow, ...]:
    """Return a row for each team.

    :param settings: the latest settings.
    :returns: the rows in any order.
    """
    return tuple(
        _team_row(settings, name, team)
        for name, team in settings.teams.items()
    )


def _team_row(
    settings: settings_model.Settings,
    name: str,
    team: settings_model.TeamSettings,
) -> _tables.TeamRow:
    used = _checks.team_usage(settings, name)
    services = [s for s in settings.services.values() if s.team == name]
    return _tables.TeamRow(
        team=name,
        quota_cores=_to_cores(team.quota),
        quota_memory_mb=team.quota.memory_mb,
        quota_accelerators=team.quota.accelerators,
        may_borrow=team.may_borrow,
        services=len(services),
        service_cores=_to_cores(used),
        service_memory_mb=used.memory_mb,
        service_accelerators=used.accelerators,
    )


def setting_rows(
    settings: settings_model.Settings,
) -> tuple[_tables.SettingRow, ...]:
    """Return the version, the policies and the recent commands.

    :param settings: the latest settings.
    :returns: a row for each; a command's name contains its version.
    """
    pairs = [('version', str(settings.version))]
    for kind in _nodes.PolicyKind:
        policy: settings_model.PolicySettings = getattr(settings, kind.value)
        pairs.append((f'{kind.value}.policy', policy.name))
        pairs += [
            (f'{kind.value}.{name}', str(value))
            for name, value in sorted(policy.parameters.items())
        ]
    pairs += [('drained_workers', ', '.join(settings.drained_workers))]
    pairs += [
        (
            f'command.{applied.version:010}',
            f'{applied.message} ({applied.command_id})',
        )
        for applied in settings.recent_commands
    ]
    return tuple(
        _tables.SettingRow(name, value[:MAX_SETTING_CHARACTERS])
        for name, value in pairs
    )


def _to_cores(amount: resources.Resources) -> float:
    return amount.millicores / 1000
