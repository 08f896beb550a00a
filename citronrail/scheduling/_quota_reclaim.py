"""Which borrowed work leaves so that an owner of quota or urgent work starts.

Only work beyond its team's quota leaves, or work of the urgent task's own
team, never a service or urgent work, the lowest priority and the cheapest lost
work first. The freed room is held for
the task it was freed for.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _quotas as quotas


@dataclasses.dataclass(frozen=True)
class RunningTask:
    """A task on a host; ``lost_s`` is the work since its last checkpoint.

    ``ends_in_s`` is the estimated rest of its run.
    """

    task: specs.TaskId
    team: identifiers.TeamName
    node_id: identifiers.NodeId
    reservation: resources.Resources
    priority: specs.Priority = specs.Priority.NORMAL
    service: identifiers.ServiceName | None = None
    lost_s: float = 0.0
    checkpointable: bool = True
    stopping: bool = False
    ends_in_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Reclaim:
    """Tasks that leave a host so that another one starts there."""

    node_id: identifiers.NodeId
    claimant: specs.TaskId
    victims: tuple[RunningTask, ...]


def may_reclaim(
    entry: quotas.QueueEntry, now: float, cfg: quotas.QuotaSettings
) -> bool:
    """Tell whether a task that found no room may make others leave.

    :param entry: the task at its place in the queue.
    :param now: local time in seconds.
    :param cfg: settings.
    :returns: True for work within quota that is urgent or waited long enough.
    """
    if entry.borrowed:
        return False
    urgent = entry.task.priority is specs.Priority.URGENT
    return urgent or now - entry.task.ready_at >= cfg.give_back_s


def reclaim(
    claims: Sequence[types.PlacementRequest],
    candidates: Sequence[types.Candidate],
    running: Sequence[RunningTask],
    use: quotas.Use,
    teams: quotas.Teams,
    max_victims: int,
) -> tuple[Reclaim, ...]:
    """Choose the borrowed work that leaves.

    :param claims: requests that passed :func:`may_reclaim`, in queue order,
        whose ``declared`` is the reservation to make room for.
    :param candidates: all hosts, with holds applied.
    :param running: all running tasks.
    :param use: reservations by team, of all in ``running`` at least.
    :param teams: settings by team name.
    :param max_victims: evictions that the cap still allows.
    :returns: at most one entry for each claim; a claim that can't be met
        with the remaining evictions is left out.
    """
    by_host = _evictable_by_host(running)
    use = dict(use)
    gone: set[specs.TaskId] = set()
    result: list[Reclaim] = []
    claimed: set[identifiers.NodeId] = set()
    for request in claims:
        options = [
            _option(
                request, host, by_host.get(host.node_id, ()), gone, use, teams
            )
            for host in candidates
            if host.node_id not in claimed
        ]
        fitting = [
            item
            for item in options
            if item is not None and len(item.victims) <= max_victims
        ]
        if not fitting:
            continue
        best = min(fitting, key=_cost)
        result.append(best)
        claimed.add(best.node_id)
        max_victims -= len(best.victims)
        for victim in best.victims:
            gone.add(victim.task)
            use[victim.team] = use[victim.team] - victim.reservation
    return tuple(result)


def hold_for_starved(
    request: types.PlacementRequest,
    reservation: resources.Resources,
    candidates: Sequence[types.Candidate],
    running: Sequence[RunningTask],
    until: float,
) -> admission.Hold | None:
    """Choose the host where room for a large waiting task comes first.

    Without a hold, small tasks would refill each gap and the large one would
    never start.

    :param request: the task.
    :param reservation: what it will reserve.
    :param candidates: all hosts, with holds applied.
    :param running: all running tasks.
    :param until: local time at which the hold ends.
    :returns: the hold, or None if no host can ever hold the task now.
    """
    by_host: dict[identifiers.NodeId, list[RunningTask]] = {}
    for item in running:
        if item.service is None:
            by_host.setdefault(item.node_id, []).append(item)
    best: tuple[float, identifiers.NodeId] | None = None
    for host in candidates:
        empty = dataclasses.replace(host, reserved=resources.Resources())
        if not admission.is_feasible(request, empty, reservation):
            continue
        wait_s = _time_until_free(
            reservation, host.free, by_host.get(host.node_id, [])
        )
        if wait_s is None:
            continue
        if best is None or (wait_s, host.node_id) < best:
            best = (wait_s, host.node_id)
    if best is None:
        return None
    return admission.Hold(best[1], request.task, reservation, until)


def _time_until_free(
    reservation: resources.Resources,
    free: resources.Resources,
    running: Sequence[RunningTask],
) -> float | None:
    if reservation.fits_in(free):
        return 0.0
    for item in sorted(running, key=lambda entry: entry.ends_in_s):
        free = free + item.reservation
        if reservation.fits_in(free):
            return item.ends_in_s
    return None


def _evictable_by_host(
    running: Sequence[RunningTask],
) -> Mapping[identifiers.NodeId, Sequence[RunningTask]]:
    by_host: dict[identifiers.NodeId, list[RunningTask]] = {}
    for item in running:
        leaves = (
            item.service is None
            and item.priority is not specs.Priority.URGENT
            and not item.stopping
        )
        if leaves:
            by_host.setdefault(item.node_id, []).append(item)
    for items in by_host.values():
        items.sort(key=_eviction_order)
    return by_host


_EVICTION_RANK = {
    specs.Priority.LOW: 0,
    specs.Priority.NORMAL: 1,
    specs.Priority.URGENT: 2,
}


def _eviction_order(item: RunningTask) -> tuple[int, float, specs.TaskId]:
    lost_s = 0.0 if item.checkpointable else item.lost_s
    return (_EVICTION_RANK[item.priority], lost_s, item.task)


def _option(
    request: types.PlacementRequest,
    host: types.Candidate,
    evictable: Sequence[RunningTask],
    gone: set[specs.TaskId],
    use: quotas.Use,
    teams: quotas.Teams,
) -> Reclaim | None:
    """Find the victims on one host, or None if they don't suffice."""
    need = request.declared
    empty = dataclasses.replace(host, reserved=resources.Resources())
    if not admission.is_feasible(request, empty, need):
        return None
    left = dict(use)
    free = host.free
    victims: list[RunningTask] = []
    for item in evictable:
        if need.fits_in(free):
            break
        if item.task in gone or not _may_leave(item, request, left, teams):
            continue
        left[item.team] = left[item.team] - item.reservation
        free = free + item.reservation
        victims.append(item)
    if not need.fits_in(free):
        return None
    return Reclaim(host.node_id, request.task, _needed(victims, need, free))


def _may_leave(
    item: RunningTask,
    request: types.PlacementRequest,
    use: quotas.Use,
    teams: quotas.Teams,
) -> bool:
    """Only borrowed work leaves, or the team's own for its urgent work."""
    if item.team == request.team:
        return request.urgent
    quota = teams.get(item.team, quotas.NO_QUOTA).quota
    return not use[item.team].fits_in(quota)


def _needed(
    victims: Sequence[RunningTask],
    need: resources.Resources,
    free: resources.Resources,
) -> tuple[RunningTask, ...]:
    """Spare victims that turned out not to be needed, the dearest first."""
    kept = list(victims)
    for item in reversed(victims):
        without = free - item.reservation
        if need.fits_in(without):
            free = without
            kept.remove(item)
    return tuple(kept)


def _cost(
    option: Reclaim,
) -> tuple[int, float, int, identifiers.NodeId]:
    worst = max(
        (_EVICTION_RANK[item.priority] for item in option.victims), default=0
    )
    lost_s = sum(
        0.0 if item.checkpointable else item.lost_s for item in option.victims
    )
    return (worst, lost_s, len(option.victims), option.node_id)
