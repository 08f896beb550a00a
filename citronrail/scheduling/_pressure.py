"""Mitigation of interference with services by batch tasks on their host.

The first stage throttles batch tasks on the host, the second stage checkpoints
and evicts them one at a time. Each stage has its own threshold and the time
for which it must be exceeded. Mitigation ends after a time below a lower
threshold (hysteresis). The rate of evictions is limited for the whole fleet.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from citronrail.model import identifiers
from citronrail.model import specs

EVICTION_WINDOW_S = 60.0


class PressureLevel(enum.Enum):
    """Mitigation stage of a host."""

    CALM = 'calm'
    THROTTLED = 'throttled'
    EVICTING = 'evicting'


@dataclasses.dataclass(frozen=True)
class PressureSettings:
    """Thresholds and durations in seconds.

    Thresholds apply to the largest slowdown of a service on the host: its
    measured time divided by its time without interference. Tasks are
    throttled after ``hold_s`` above ``throttle_above`` and evicted after
    another ``evict_hold_s`` above ``evict_above``. Mitigation ends after
    ``calm_s`` below ``calm_below``. A share of memory in use beyond
    ``memory_above`` evicts a task without a hold time. ``step_s`` is the
    minimum time from an action on a host until the next eviction or lifted
    limit there, and must exceed the delay of measurements.
    ``max_evictions_a_minute`` applies to the whole fleet.
    """

    throttle_above: float = 2.0
    evict_above: float = 3.0
    calm_below: float = 1.5
    hold_s: float = 4.0
    evict_hold_s: float = 10.0
    calm_s: float = 15.0
    step_s: float = 8.0
    throttle_share: float = 0.4
    memory_above: float = 0.97
    max_evictions_a_minute: int = 10


@dataclasses.dataclass(frozen=True)
class PressureTask:
    """A task on the host.

    ``lost_s`` is the work in seconds that an eviction without a checkpoint
    would lose. ``blame`` is the relative increase in run time that the task is
    expected to cause for the services. ``stopping`` is True if the task is
    already being stopped.
    """

    task: specs.TaskId
    service: identifiers.ServiceName | None = None
    priority: specs.Priority = specs.Priority.NORMAL
    lost_s: float = 0.0
    checkpointable: bool = True
    throttled: bool = False
    stopping: bool = False
    blame: float = 0.0


@dataclasses.dataclass(frozen=True)
class HostPressure:
    """Measurements of a host, with its tasks.

    ``service_slowdown`` is the largest one of a service, ``memory_share`` the
    share of memory in use.
    """

    node_id: identifiers.NodeId
    service_slowdown: float
    memory_share: float
    tasks: tuple[PressureTask, ...]


@dataclasses.dataclass(frozen=True)
class HostState:
    """Mitigation state of a host; times are local, in seconds.

    ``above_since`` and ``below_since`` tell since when the slowdown has been
    above the threshold of the next stage or below ``calm_below``, None if it
    is not. ``acted_at`` is the time of the latest action.
    """

    level: PressureLevel = PressureLevel.CALM
    above_since: float | None = None
    below_since: float | None = None
    acted_at: float | None = None


@dataclasses.dataclass(frozen=True)
class PressureState:
    """Mitigation state of all hosts, and the times of recent evictions."""

    hosts: Mapping[identifiers.NodeId, HostState] = dataclasses.field(
        default_factory=dict
    )
    evicted_at: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class Throttle:
    """Limit a task to a share of its processors; 1.0 lifts the limit."""

    node_id: identifiers.NodeId
    task: specs.TaskId
    share: float


@dataclasses.dataclass(frozen=True)
class Evict:
    """Stop a task, after a checkpoint if it is checkpointable."""

    node_id: identifiers.NodeId
    task: specs.TaskId
    checkpoint: bool


Action = Throttle | Evict


def relieve(
    state: PressureState,
    hosts: Sequence[HostPressure],
    now: float,
    cfg: PressureSettings,
) -> tuple[PressureState, tuple[Action, ...]]:
    """Decide on actions for all hosts.

    :param state: the state that the previous call returned.
    :param hosts: the latest measurements; the state of missing hosts is
        dropped.
    :param now: local time in seconds.
    :param cfg: thresholds and durations.
    :returns: the new state and the actions, which never concern tasks of
        services.
    """
    recent_evictions = tuple(
        at for at in state.evicted_at if at > now - EVICTION_WINDOW_S
    )
    host_states = {}
    actions: list[Action] = []
    for host in sorted(hosts, key=_severity_order):
        host_state = state.hosts.get(host.node_id, HostState())
        host_state = _with_threshold_times(host_state, host, now, cfg)
        may_evict = len(recent_evictions) < cfg.max_evictions_a_minute
        host_state, host_actions = _host_actions(
            host_state, host, now, cfg, may_evict
        )
        recent_evictions += (now,) * sum(
            isinstance(item, Evict) for item in host_actions
        )
        actions += host_actions
        host_states[host.node_id] = host_state
    return PressureState(host_states, recent_evictions), tuple(actions)


def evictions_left(
    state: PressureState, now: float, cfg: PressureSettings
) -> int:
    """Return how many evictions the rate limit allows now.

    :param state: the state.
    :param now: local time in seconds.
    :param cfg: thresholds and durations.
    :returns: number of evictions, at least 0.
    """
    recent = sum(at > now - EVICTION_WINDOW_S for at in state.evicted_at)
    return max(0, cfg.max_evictions_a_minute - recent)


def count_evictions(
    state: PressureState, count: int, now: float
) -> PressureState:
    """Count evictions by other components, such as quotas, in the rate limit.

    :param state: the state.
    :param count: number of evictions.
    :param now: local time in seconds.
    :returns: the new state.
    """
    return dataclasses.replace(
        state, evicted_at=state.evicted_at + (now,) * count
    )


def _severity_order(host: HostPressure) -> tuple[float, float, str]:
    return (-host.memory_share, -host.service_slowdown, host.node_id)


def _with_threshold_times(
    host_state: HostState,
    host: HostPressure,
    now: float,
    cfg: PressureSettings,
) -> HostState:
    """Update the times since when the slowdown is beyond a threshold."""
    limit = cfg.throttle_above
    if host_state.level is not PressureLevel.CALM:
        limit = cfg.evict_above
    above = host.service_slowdown > limit
    below = host.service_slowdown < cfg.calm_below
    above_since = (
        host_state.above_since if host_state.above_since is not None else now
    )
    below_since = (
        host_state.below_since if host_state.below_since is not None else now
    )
    return dataclasses.replace(
        host_state,
        above_since=above_since if above else None,
        below_since=below_since if below else None,
    )


def _host_actions(
    host_state: HostState,
    host: HostPressure,
    now: float,
    cfg: PressureSettings,
    may_evict: bool,
) -> tuple[HostState, list[Action]]:
    if host.memory_share > cfg.memory_above:
        return _evict(
            host_state,
            host,
            now,
            may_evict,
            _is_action_due(host_state, now, cfg),
        )
    if _has_lasted(host_state.below_since, now, cfg.calm_s):
        return _lift_limit(host_state, host, now, cfg)
    match host_state.level:
        case PressureLevel.CALM:
            if _has_lasted(host_state.above_since, now, cfg.hold_s):
                return _throttle(host_state, host, now, cfg)
        case PressureLevel.THROTTLED | PressureLevel.EVICTING:
            if _has_lasted(host_state.above_since, now, cfg.evict_hold_s):
                due = _is_action_due(host_state, now, cfg)
                return _evict(host_state, host, now, may_evict, due)
    return host_state, []


def _has_lasted(since: float | None, now: float, duration_s: float) -> bool:
    return since is not None and now - since >= duration_s


def _is_action_due(
    host_state: HostState, now: float, cfg: PressureSettings
) -> bool:
    return (
        host_state.acted_at is None or now - host_state.acted_at >= cfg.step_s
    )


def _throttle(
    host_state: HostState,
    host: HostPressure,
    now: float,
    cfg: PressureSettings,
) -> tuple[HostState, list[Action]]:
    """Throttle the batch tasks that cause most of the interference.

    These are the tasks with at least half of the largest expected slowdown,
    which are all tasks if their expected slowdowns are similar.
    """
    throttleable = [item for item in _batch_tasks(host) if not item.throttled]
    largest = max((item.blame for item in throttleable), default=0.0)
    chosen = [item for item in throttleable if item.blame >= 0.5 * largest]
    host_state = HostState(PressureLevel.THROTTLED, acted_at=now)
    return host_state, [
        Throttle(host.node_id, item.task, cfg.throttle_share)
        for item in chosen
    ]


def _evict(
    host_state: HostState,
    host: HostPressure,
    now: float,
    may_evict: bool,
    due: bool,
) -> tuple[HostState, list[Action]]:
    victims = _batch_tasks(host)
    if not (may_evict and due and victims):
        return host_state, []
    victim = min(victims, key=_eviction_order)
    host_state = dataclasses.replace(
        host_state, level=PressureLevel.EVICTING, acted_at=now
    )
    return host_state, [
        Evict(host.node_id, victim.task, victim.checkpointable)
    ]


def _lift_limit(
    host_state: HostState,
    host: HostPressure,
    now: float,
    cfg: PressureSettings,
) -> tuple[HostState, list[Action]]:
    """Lift one limit per step, so that the load increases gradually."""
    throttled = [item for item in _batch_tasks(host) if item.throttled]
    if not throttled:
        return HostState(below_since=host_state.below_since), []
    if not _is_action_due(host_state, now, cfg):
        return host_state, []
    selected = min(throttled, key=lambda item: (item.blame, item.task))
    host_state = dataclasses.replace(host_state, acted_at=now)
    return host_state, [Throttle(host.node_id, selected.task, 1.0)]


def _batch_tasks(host: HostPressure) -> list[PressureTask]:
    return [
        item
        for item in host.tasks
        if item.service is None and not item.stopping
    ]


_EVICTION_RANK = {
    specs.Priority.LOW: 0,
    specs.Priority.NORMAL: 1,
    specs.Priority.URGENT: 2,
}


def _eviction_order(
    item: PressureTask,
) -> tuple[int, float, float, specs.TaskId]:
    """Order by priority, then least lost work, then most interference.

    Checkpointable tasks lose no work.
    """
    lost_s = 0.0 if item.checkpointable else item.lost_s
    return (
        _EVICTION_RANK[item.priority],
        lost_s,
        -item.blame,
        item.task,
    )
