"""Relief for services that are slowed by batch work on their host.

The first step throttles batch tasks of the host, the second checkpoints and
evicts one at a time. Entering and leaving each step takes a time above or
below its own threshold, and evictions of the whole fleet are limited.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from citronrail.model import identifiers
from citronrail.model import specs

EVICTION_WINDOW_S = 60.0


class PressureLevel(enum.Enum):
    """Step of the relief on a host."""

    CALM = 'calm'
    THROTTLED = 'throttled'
    EVICTING = 'evicting'


@dataclasses.dataclass(frozen=True)
class PressureSettings:
    """Thresholds and times.

    Slowdowns are the worst measured time over undisturbed time of a service
    on the host. Relief starts after ``hold_s`` seconds above
    ``throttle_above``, evicts after ``evict_hold_s`` more above
    ``evict_above``, and ends after ``calm_s`` below ``calm_below``.
    ``memory_above`` is the share of memory in use that evicts at once.
    A step may be repeated on a host each ``step_s`` seconds, which must
    exceed the lag of measurements. ``max_evictions_a_minute`` is for the
    whole fleet.
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

    ``lost_s`` is the work since the last checkpoint in seconds;
    ``blame`` the share of time it is expected to add to the services.
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
    """What was measured on a host, with its tasks."""

    node_id: identifiers.NodeId
    service_slowdown: float
    memory_share: float
    tasks: tuple[PressureTask, ...]


@dataclasses.dataclass(frozen=True)
class HostRelief:
    """Step of a host; times are local, in seconds, or None."""

    level: PressureLevel = PressureLevel.CALM
    above_since: float | None = None
    below_since: float | None = None
    acted_at: float | None = None


@dataclasses.dataclass(frozen=True)
class PressureState:
    """Steps of all hosts and the times of the latest evictions."""

    hosts: Mapping[identifiers.NodeId, HostRelief] = dataclasses.field(
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
    """Stop a task, after a checkpoint if it can write one."""

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
    """Decide what to do on all hosts.

    :param state: result of the previous call.
    :param hosts: the latest measurements; hosts that are missing keep no
        state.
    :param now: local time in seconds.
    :param cfg: thresholds.
    :returns: the new state and the actions. Tasks of services are never
        among them.
    """
    evicted = tuple(
        at for at in state.evicted_at if at > now - EVICTION_WINDOW_S
    )
    reliefs = {}
    actions: list[Action] = []
    for host in sorted(hosts, key=_worst_first):
        relief = state.hosts.get(host.node_id, HostRelief())
        relief = _timed(relief, host, now, cfg)
        room = len(evicted) < cfg.max_evictions_a_minute
        relief, taken = _host_actions(relief, host, now, cfg, room)
        evicted += (now,) * sum(isinstance(item, Evict) for item in taken)
        actions += taken
        reliefs[host.node_id] = relief
    return PressureState(reliefs, evicted), tuple(actions)


def evictions_left(
    state: PressureState, now: float, cfg: PressureSettings
) -> int:
    """Return how many evictions the cap still allows now.

    :param state: the state.
    :param now: local time in seconds.
    :param cfg: thresholds.
    :returns: at least 0.
    """
    recent = sum(at > now - EVICTION_WINDOW_S for at in state.evicted_at)
    return max(0, cfg.max_evictions_a_minute - recent)


def count_evictions(
    state: PressureState, count: int, now: float
) -> PressureState:
    """Count evictions that were decided elsewhere, such as by quotas.

    :param state: the state.
    :param count: number of evictions.
    :param now: local time in seconds.
    :returns: the new state.
    """
    return dataclasses.replace(
        state, evicted_at=state.evicted_at + (now,) * count
    )


def _worst_first(host: HostPressure) -> tuple[float, float, str]:
    return (-host.memory_share, -host.service_slowdown, host.node_id)


def _timed(
    relief: HostRelief, host: HostPressure, now: float, cfg: PressureSettings
) -> HostRelief:
    """Update since when the slowdown is above or below its threshold."""
    limit = cfg.throttle_above
    if relief.level is not PressureLevel.CALM:
        limit = cfg.evict_above
    above = host.service_slowdown > limit
    below = host.service_slowdown < cfg.calm_below
    since = relief.above_since if relief.above_since is not None else now
    calm = relief.below_since if relief.below_since is not None else now
    return dataclasses.replace(
        relief,
        above_since=since if above else None,
        below_since=calm if below else None,
    )


def _host_actions(
    relief: HostRelief,
    host: HostPressure,
    now: float,
    cfg: PressureSettings,
    may_evict: bool,
) -> tuple[HostRelief, list[Action]]:
    if host.memory_share > cfg.memory_above:
        return _evict(relief, host, now, may_evict, _is_due(relief, now, cfg))
    if _lasted(relief.below_since, now, cfg.calm_s):
        return _calm(relief, host, now, cfg)
    match relief.level:
        case PressureLevel.CALM:
            if _lasted(relief.above_since, now, cfg.hold_s):
                return _throttle(relief, host, now, cfg)
        case PressureLevel.THROTTLED | PressureLevel.EVICTING:
            if _lasted(relief.above_since, now, cfg.evict_hold_s):
                due = _is_due(relief, now, cfg)
                return _evict(relief, host, now, may_evict, due)
    return relief, []


def _lasted(since: float | None, now: float, needed_s: float) -> bool:
    return since is not None and now - since >= needed_s


def _is_due(relief: HostRelief, now: float, cfg: PressureSettings) -> bool:
    return relief.acted_at is None or now - relief.acted_at >= cfg.step_s


def _throttle(
    relief: HostRelief, host: HostPressure, now: float, cfg: PressureSettings
) -> tuple[HostRelief, list[Action]]:
    """Throttle the batch tasks to blame; all if none stands out."""
    victims = [item for item in _batch(host) if not item.throttled]
    most = max((item.blame for item in victims), default=0.0)
    chosen = [item for item in victims if item.blame >= 0.5 * most]
    relief = HostRelief(PressureLevel.THROTTLED, acted_at=now)
    return relief, [
        Throttle(host.node_id, item.task, cfg.throttle_share)
        for item in chosen
    ]


def _evict(
    relief: HostRelief,
    host: HostPressure,
    now: float,
    may_evict: bool,
    due: bool,
) -> tuple[HostRelief, list[Action]]:
    victims = _batch(host)
    if not (may_evict and due and victims):
        return relief, []
    victim = min(victims, key=_eviction_order)
    relief = dataclasses.replace(
        relief, level=PressureLevel.EVICTING, acted_at=now
    )
    return relief, [Evict(host.node_id, victim.task, victim.checkpointable)]


def _calm(
    relief: HostRelief, host: HostPressure, now: float, cfg: PressureSettings
) -> tuple[HostRelief, list[Action]]:
    """Lift one limit a step, so that the load does not come back at once."""
    limited = [item for item in _batch(host) if item.throttled]
    if not limited:
        return HostRelief(below_since=relief.below_since), []
    if not _is_due(relief, now, cfg):
        return relief, []
    freed = min(limited, key=lambda item: (item.blame, item.task))
    relief = dataclasses.replace(relief, acted_at=now)
    return relief, [Throttle(host.node_id, freed.task, 1.0)]


def _batch(host: HostPressure) -> list[PressureTask]:
    return [
        item
        for item in host.tasks
        if item.service is None and not item.stopping
    ]


_PRIORITY_ORDER = {
    specs.Priority.LOW: 0,
    specs.Priority.NORMAL: 1,
    specs.Priority.URGENT: 2,
}


def _eviction_order(
    item: PressureTask,
) -> tuple[int, float, float, specs.TaskId]:
    """Lowest priority, then the least lost work, then the most blame.

    A checkpoint saves the work, so a task that writes one loses nothing.
    """
    lost_s = 0.0 if item.checkpointable else item.lost_s
    return (
        _PRIORITY_ORDER[item.priority],
        lost_s,
        -item.blame,
        item.task,
    )
