"""Reclaims borrowed capacity for tasks within quota and for urgent tasks.

Victims are batch tasks of teams beyond their quota, and tasks of the same team
if the claimant is urgent. Services and urgent tasks are never evicted. Victims
with the lowest priority are evicted first, then those that lose the least
work. The freed capacity is held for the claimant.
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
    """A task on a host.

    ``lost_s`` is the work in seconds that an eviction without a checkpoint
    would lose, ``ends_in_s`` the estimated remaining run time. ``stopping`` is
    True if the task is already being stopped.
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
    """Victims to evict from a host so that the claimant can start there."""

    node_id: identifiers.NodeId
    claimant: specs.TaskId
    victims: tuple[RunningTask, ...]


def may_reclaim(
    entry: quotas.QueueEntry, now: float, cfg: quotas.QuotaSettings
) -> bool:
    """Tell whether a task that can't be placed may reclaim capacity.

    :param entry: the task in the starting order.
    :param now: local time in seconds.
    :param cfg: parameters of the quotas.
    :returns: True for a task within quota that is urgent or has waited long
        enough.
    """
    if entry.borrowed:
        return False
    urgent = entry.task.priority is specs.Priority.URGENT
    return urgent or now - entry.task.ready_at >= cfg.give_back_s


def reclaim(
    claims: Sequence[types.PlacementRequest],
    candidates: Sequence[types.Candidate],
    running: Sequence[RunningTask],
    usage: quotas.Usage,
    teams: quotas.Teams,
    max_victims: int,
) -> tuple[Reclaim, ...]:
    """Choose the victims whose capacity is reclaimed.

    :param claims: requests that passed :func:`may_reclaim`, in starting
        order; ``declared`` is the capacity to free.
    :param candidates: all hosts, with holds applied.
    :param running: all running tasks.
    :param usage: reservations by team, including those of ``running``.
    :param teams: settings by team name.
    :param max_victims: number of evictions that the rate limit allows.
    :returns: at most one entry for each claim; claims that can't be met
        within the limit are omitted.
    """
    tasks_by_host = _evictable_by_host(running)
    usage = dict(usage)
    evicted: set[specs.TaskId] = set()
    reclaims: list[Reclaim] = []
    claimed_hosts: set[identifiers.NodeId] = set()
    for request in claims:
        options = [
            _reclaim_on_host(
                request,
                host,
                tasks_by_host.get(host.node_id, ()),
                evicted,
                usage,
                teams,
            )
            for host in candidates
            if host.node_id not in claimed_hosts
        ]
        affordable = [
            item
            for item in options
            if item is not None and len(item.victims) <= max_victims
        ]
        if not affordable:
            continue
        best = min(affordable, key=_reclaim_cost)
        reclaims.append(best)
        claimed_hosts.add(best.node_id)
        max_victims -= len(best.victims)
        for victim in best.victims:
            evicted.add(victim.task)
            usage[victim.team] = usage[victim.team] - victim.reservation
    return tuple(reclaims)


def hold_for_starved(
    request: types.PlacementRequest,
    reservation: resources.Resources,
    candidates: Sequence[types.Candidate],
    running: Sequence[RunningTask],
    until: float,
) -> admission.Hold | None:
    """Hold the host on which a large pending task can start first.

    Without a hold, small tasks would take the capacity that becomes free, and
    the large task would starve.

    :param request: the task.
    :param reservation: amounts that the task will reserve.
    :param candidates: all hosts, with holds applied.
    :param running: all running tasks.
    :param until: local time at which the hold expires.
    :returns: the hold, or None if no host would be feasible even after its
        batch tasks have ended.
    """
    tasks_by_host: dict[identifiers.NodeId, list[RunningTask]] = {}
    for item in running:
        if item.service is None:
            tasks_by_host.setdefault(item.node_id, []).append(item)
    best: tuple[float, identifiers.NodeId] | None = None
    for host in candidates:
        empty = dataclasses.replace(host, reserved=resources.Resources())
        if not admission.is_feasible(request, empty, reservation):
            continue
        wait_s = _time_until_free(
            reservation, host.free, tasks_by_host.get(host.node_id, [])
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
    tasks_by_host: dict[identifiers.NodeId, list[RunningTask]] = {}
    for item in running:
        evictable = (
            item.service is None
            and item.priority is not specs.Priority.URGENT
            and not item.stopping
        )
        if evictable:
            tasks_by_host.setdefault(item.node_id, []).append(item)
    for items in tasks_by_host.values():
        items.sort(key=_eviction_order)
    return tasks_by_host


_EVICTION_RANK = {
    specs.Priority.LOW: 0,
    specs.Priority.NORMAL: 1,
    specs.Priority.URGENT: 2,
}


def _eviction_order(item: RunningTask) -> tuple[int, float, specs.TaskId]:
    lost_s = 0.0 if item.checkpointable else item.lost_s
    return (_EVICTION_RANK[item.priority], lost_s, item.task)


def _reclaim_on_host(
    request: types.PlacementRequest,
    host: types.Candidate,
    evictable: Sequence[RunningTask],
    evicted: set[specs.TaskId],
    usage: quotas.Usage,
    teams: quotas.Teams,
) -> Reclaim | None:
    """Return the victims on a host, or None if they free too little."""
    need = request.declared
    empty = dataclasses.replace(host, reserved=resources.Resources())
    if not admission.is_feasible(request, empty, need):
        return None
    remaining_usage = dict(usage)
    free = host.free
    victims: list[RunningTask] = []
    for item in evictable:
        if need.fits_in(free):
            break
        if item.task in evicted or not _is_preemptible(
            item, request, remaining_usage, teams
        ):
            continue
        remaining_usage[item.team] = (
            remaining_usage[item.team] - item.reservation
        )
        free = free + item.reservation
        victims.append(item)
    if not need.fits_in(free):
        return None
    return Reclaim(
        host.node_id, request.task, _without_superfluous(victims, need, free)
    )


def _is_preemptible(
    item: RunningTask,
    request: types.PlacementRequest,
    usage: quotas.Usage,
    teams: quotas.Teams,
) -> bool:
    """Tell whether a running task may be evicted for a request.

    Only tasks of teams beyond their quota are preemptible, and tasks of the
    request's own team if it is urgent.
    """
    if item.team == request.team:
        return request.urgent
    quota = teams.get(item.team, quotas.NO_QUOTA).quota
    return not usage[item.team].fits_in(quota)


def _without_superfluous(
    victims: Sequence[RunningTask],
    need: resources.Resources,
    free: resources.Resources,
) -> tuple[RunningTask, ...]:
    """Remove superfluous victims, starting with the most costly ones."""
    needed = list(victims)
    for item in reversed(victims):
        free_without = free - item.reservation
        if need.fits_in(free_without):
            free = free_without
            needed.remove(item)
    return tuple(needed)


def _reclaim_cost(
    option: Reclaim,
) -> tuple[int, float, int, identifiers.NodeId]:
    highest_priority = max(
        (_EVICTION_RANK[item.priority] for item in option.victims), default=0
    )
    lost_s = sum(
        0.0 if item.checkpointable else item.lost_s for item in option.victims
    )
    return (highest_priority, lost_s, len(option.victims), option.node_id)
