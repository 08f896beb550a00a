"""Order of pending tasks by team quotas, and the return of lent capacity.

A team may use its quota at any time. What it leaves idle is lent to teams
that may borrow; when the owner needs it again, borrowed work makes room
within a bounded time.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import heapq
import math

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs

Teams = Mapping[str, settings.TeamSettings]
Use = Mapping[identifiers.TeamName, resources.Resources]

NO_QUOTA = settings.TeamSettings(resources.Resources())


@dataclasses.dataclass(frozen=True)
class QuotaSettings:
    """Times in seconds.

    ``starve_s``: waiting time after which a task goes before work within
    quota; of the tasks of a round at most ``starved_share`` do so.
    ``give_back_s``: waiting time after which a task within its team's quota
    makes borrowed work leave. Urgent tasks do so at once.
    ``risk_factor``: a deadline is at risk when the slack is less than this
    many expected run times.
    """

    starve_s: float = 120.0
    starved_share: float = 0.25
    give_back_s: float = 10.0
    risk_factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class PendingTask:
    """A task that is ready to start.

    ``ready_at`` and ``finish_before`` are local times in seconds;
    ``expected_run_s`` is the estimated rest of its run.
    """

    task: specs.TaskId
    team: identifiers.TeamName
    reservation: resources.Resources
    priority: specs.Priority = specs.Priority.NORMAL
    ready_at: float = 0.0
    finish_before: float | None = None
    expected_run_s: float = 60.0

    def slack_s(self, now: float) -> float:
        """Return the time until the task must start to meet its deadline.

        :param now: local time in seconds.
        :returns: seconds, negative if too late, infinite without a deadline.
        """
        if self.finish_before is None:
            return math.inf
        return self.finish_before - now - self.expected_run_s


@dataclasses.dataclass(frozen=True)
class QueueEntry:
    """A task at its place in the order; ``borrowed`` exceeds the quota."""

    task: PendingTask
    borrowed: bool


def within_quota(
    use: resources.Resources,
    need: resources.Resources,
    team: settings.TeamSettings,
) -> bool:
    """Tell whether a team's quota covers one more task.

    :param use: what the team reserves now.
    :param need: reservation of the task.
    :param team: the team's settings.
    :returns: True if no amount exceeds the quota.
    """
    return (use + need).fits_in(team.quota)


def quota_share(
    use: resources.Resources, team: settings.TeamSettings
) -> float:
    """Return the largest part of its quota that a team uses.

    :param use: what the team reserves now.
    :param team: the team's settings.
    :returns: 1.0 when the quota is just used up; amounts without a quota
        count as if the quota were one unit.
    """
    quota = team.quota
    return max(
        use.millicores / max(1, quota.millicores),
        use.memory_mb / max(1, quota.memory_mb),
        use.accelerators / max(1, quota.accelerators),
    )


def team_use(
    shares: Iterable[tuple[identifiers.TeamName, resources.Resources]],
) -> dict[identifiers.TeamName, resources.Resources]:
    """Add up reservations by team.

    :param shares: team and reservation of each running task.
    :returns: the sum for each team.
    """
    use: dict[identifiers.TeamName, resources.Resources] = {}
    for team, amount in shares:
        use[team] = use.get(team, resources.Resources()) + amount
    return use


def queue_order(
    pending: Sequence[PendingTask],
    use: Use,
    teams: Teams,
    now: float,
    cfg: QuotaSettings,
    limit: int = 1_000,
) -> tuple[QueueEntry, ...]:
    """Order the tasks of one round.

    Urgent work within quota comes first, then a bounded number that waited
    too long, then work within quota (a deadline at risk before others), then
    borrowers. Among teams the one that uses the least of its quota is next;
    within a team priority, then least slack, then waiting time decide.

    :param pending: tasks that are ready.
    :param use: reservations by team, of running tasks.
    :param teams: settings by team name; a team without settings has no quota
        and may borrow.
    :param now: local time in seconds.
    :param cfg: settings.
    :param limit: length of the result.
    :returns: at most ``limit`` tasks. Work of teams that may not borrow is
        left out beyond their quota.
    """
    round_use = dict(use)
    urgent = [p for p in pending if p.priority is specs.Priority.URGENT]
    urgent.sort(key=lambda item: (item.slack_s(now), item.ready_at, item.task))
    entries = _take_within_quota(urgent, round_use, teams)
    taken = {entry.task.task for entry in entries}
    starved = _starved(pending, taken, now, cfg, limit)
    for task in starved:
        entries += _take(task, round_use, teams)
    taken.update(entry.task.task for entry in entries)
    rest = [item for item in pending if item.task not in taken]
    room = max(0, limit - len(entries))
    entries += _fair_merge(rest, round_use, teams, now, cfg, room)
    return tuple(entries[:limit])


def _take(
    task: PendingTask,
    use: dict[identifiers.TeamName, resources.Resources],
    teams: Teams,
) -> list[QueueEntry]:
    """Count a task for its team; empty if it would have to borrow in vain."""
    team = teams.get(task.team, NO_QUOTA)
    used = use.get(task.team, resources.Resources())
    borrowed = not within_quota(used, task.reservation, team)
    if borrowed and not team.may_borrow:
        return []
    use[task.team] = used + task.reservation
    return [QueueEntry(task, borrowed)]


def _take_within_quota(
    tasks: Sequence[PendingTask],
    use: dict[identifiers.TeamName, resources.Resources],
    teams: Teams,
) -> list[QueueEntry]:
    entries = []
    for task in tasks:
        team = teams.get(task.team, NO_QUOTA)
        used = use.get(task.team, resources.Resources())
        if within_quota(used, task.reservation, team):
            use[task.team] = used + task.reservation
            entries.append(QueueEntry(task, borrowed=False))
    return entries


def _starved(
    pending: Sequence[PendingTask],
    taken: set[specs.TaskId],
    now: float,
    cfg: QuotaSettings,
    limit: int,
) -> list[PendingTask]:
    waiting = [
        item
        for item in pending
        if now - item.ready_at >= cfg.starve_s and item.task not in taken
    ]
    most = max(1, int(cfg.starved_share * min(limit, len(pending))))
    return heapq.nsmallest(
        most, waiting, key=lambda item: (item.ready_at, item.task)
    )


_PRIORITY_ORDER = {
    specs.Priority.URGENT: 0,
    specs.Priority.NORMAL: 1,
    specs.Priority.LOW: 2,
}


def _team_order(
    item: PendingTask, now: float, cfg: QuotaSettings
) -> tuple[bool, int, float, float, specs.TaskId]:
    slack_s = item.slack_s(now)
    at_risk = slack_s < cfg.risk_factor * item.expected_run_s
    return (
        not at_risk,
        _PRIORITY_ORDER[item.priority],
        slack_s,
        item.ready_at,
        item.task,
    )


def _fair_merge(
    pending: Sequence[PendingTask],
    use: dict[identifiers.TeamName, resources.Resources],
    teams: Teams,
    now: float,
    cfg: QuotaSettings,
    room: int,
) -> list[QueueEntry]:
    """Interleave the teams; those within quota first, by used share."""
    queues: dict[identifiers.TeamName, list[PendingTask]] = {}
    for item in pending:
        queues.setdefault(item.team, []).append(item)
    for queue in queues.values():
        queue.sort(key=lambda item: _team_order(item, now, cfg), reverse=True)
    heap = [_standing(name, queues, use, teams, now, cfg) for name in queues]
    heapq.heapify(heap)
    entries: list[QueueEntry] = []
    while heap and len(entries) < room:
        _, _, _, name = heapq.heappop(heap)
        entries += _take(queues[name].pop(), use, teams)
        if queues[name]:
            heapq.heappush(heap, _standing(name, queues, use, teams, now, cfg))
    return entries


def _standing(
    name: identifiers.TeamName,
    queues: Mapping[identifiers.TeamName, Sequence[PendingTask]],
    use: Use,
    teams: Teams,
    now: float,
    cfg: QuotaSettings,
) -> tuple[bool, bool, float, identifiers.TeamName]:
    team = teams.get(name, NO_QUOTA)
    used = use.get(name, resources.Resources())
    first = queues[name][-1]
    borrows = not within_quota(used, first.reservation, team)
    slack_s = first.slack_s(now)
    relaxed = slack_s >= cfg.risk_factor * first.expected_run_s
    return (borrows, relaxed, quota_share(used, team), name)
