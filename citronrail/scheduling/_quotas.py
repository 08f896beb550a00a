"""Order of pending tasks by team quotas, with borrowing of idle quota.

A team may use its quota at any time. Teams that may borrow can use the idle
quota of others. When the owner of the quota needs it again, borrowed capacity
is reclaimed within a bounded time.
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
Usage = Mapping[identifiers.TeamName, resources.Resources]

NO_QUOTA = settings.TeamSettings(resources.Resources())


@dataclasses.dataclass(frozen=True)
class QuotaSettings:
    """Parameters of the order; times are in seconds.

    ``starve_s``: waiting time after which a task precedes tasks within quota.
    ``starved_share``: largest share of such tasks in a round.
    ``give_back_s``: waiting time after which a task within its team's quota
    may reclaim borrowed capacity. Urgent tasks may do so without waiting.
    ``risk_factor``: a deadline is at risk if the slack is less than this
    multiple of the expected run time.
    """

    starve_s: float = 120.0
    starved_share: float = 0.25
    give_back_s: float = 10.0
    risk_factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class PendingTask:
    """A task that is ready to start.

    ``ready_at`` and ``finish_before`` are local times in seconds,
    ``expected_run_s`` is the estimated remaining run time.
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
        :returns: slack in seconds, infinite without a deadline.
        """
        if self.finish_before is None:
            return math.inf
        return self.finish_before - now - self.expected_run_s


@dataclasses.dataclass(frozen=True)
class QueueEntry:
    """A task in the starting order.

    ``borrowed`` is True if the task exceeds the quota of its team.
    """

    task: PendingTask
    borrowed: bool


def within_quota(
    usage: resources.Resources,
    need: resources.Resources,
    team: settings.TeamSettings,
) -> bool:
    """Tell whether a team's quota covers one more task.

    :param usage: current reservations of the team.
    :param need: reservation of the task.
    :param team: the team's settings.
    :returns: True if no amount exceeds the quota.
    """
    return (usage + need).fits_in(team.quota)


def dominant_quota_share(
    usage: resources.Resources, team: settings.TeamSettings
) -> float:
    """Return the dominant share of its quota that a team uses.

    :param usage: current reservations of the team.
    :param team: the team's settings.
    :returns: largest ratio of usage to quota of any resource; a quota of zero
        counts as one unit.
    """
    quota = team.quota
    return max(
        usage.millicores / max(1, quota.millicores),
        usage.memory_mb / max(1, quota.memory_mb),
        usage.accelerators / max(1, quota.accelerators),
    )


def team_use(
    reservations: Iterable[tuple[identifiers.TeamName, resources.Resources]],
) -> dict[identifiers.TeamName, resources.Resources]:
    """Add up reservations by team.

    :param reservations: team and reservation of each running task.
    :returns: the sum for each team.
    """
    usage: dict[identifiers.TeamName, resources.Resources] = {}
    for team, amount in reservations:
        usage[team] = usage.get(team, resources.Resources()) + amount
    return usage


def queue_order(
    pending: Sequence[PendingTask],
    usage: Usage,
    teams: Teams,
    now: float,
    cfg: QuotaSettings,
    limit: int = 1_000,
) -> tuple[QueueEntry, ...]:
    """Order the tasks of one round.

    Urgent tasks within quota come first, then a limited number of starved
    tasks, then tasks within quota (those with a deadline at risk first), then
    borrowers. Teams take turns, the one with the smallest dominant share of
    its quota first. The tasks of a team are ordered by whether their deadline
    is at risk, then by priority, slack and waiting time.

    :param pending: tasks that are ready to start.
    :param usage: reservations of running tasks by team.
    :param teams: settings by team name; a team without settings has no quota
        and may borrow.
    :param now: local time in seconds.
    :param cfg: parameters of the order.
    :param limit: maximum length of the result.
    :returns: at most ``limit`` tasks, without those beyond the quota of a team
        that may not borrow.
    """
    round_usage = dict(usage)
    urgent = [p for p in pending if p.priority is specs.Priority.URGENT]
    urgent.sort(key=lambda item: (item.slack_s(now), item.ready_at, item.task))
    entries = _admit_within_quota(urgent, round_usage, teams)
    admitted = {entry.task.task for entry in entries}
    starved = _starved_tasks(pending, admitted, now, cfg, limit)
    for task in starved:
        entries += _admit(task, round_usage, teams)
    admitted.update(entry.task.task for entry in entries)
    unordered = [item for item in pending if item.task not in admitted]
    remaining = max(0, limit - len(entries))
    entries += _fair_share_order(
        unordered, round_usage, teams, now, cfg, remaining
    )
    return tuple(entries[:limit])


def _admit(
    task: PendingTask,
    usage: dict[identifiers.TeamName, resources.Resources],
    teams: Teams,
) -> list[QueueEntry]:
    """Add a task to the usage of its team.

    Returns an empty list if the task exceeds the quota of a team that may not
    borrow.
    """
    team = teams.get(task.team, NO_QUOTA)
    team_usage = usage.get(task.team, resources.Resources())
    borrowed = not within_quota(team_usage, task.reservation, team)
    if borrowed and not team.may_borrow:
        return []
    usage[task.team] = team_usage + task.reservation
    return [QueueEntry(task, borrowed)]


def _admit_within_quota(
    tasks: Sequence[PendingTask],
    usage: dict[identifiers.TeamName, resources.Resources],
    teams: Teams,
) -> list[QueueEntry]:
    entries = []
    for task in tasks:
        team = teams.get(task.team, NO_QUOTA)
        team_usage = usage.get(task.team, resources.Resources())
        if within_quota(team_usage, task.reservation, team):
            usage[task.team] = team_usage + task.reservation
            entries.append(QueueEntry(task, borrowed=False))
    return entries


def _starved_tasks(
    pending: Sequence[PendingTask],
    admitted: set[specs.TaskId],
    now: float,
    cfg: QuotaSettings,
    limit: int,
) -> list[PendingTask]:
    waiting = [
        item
        for item in pending
        if now - item.ready_at >= cfg.starve_s and item.task not in admitted
    ]
    max_count = max(1, int(cfg.starved_share * min(limit, len(pending))))
    return heapq.nsmallest(
        max_count, waiting, key=lambda item: (item.ready_at, item.task)
    )


_PRIORITY_RANK = {
    specs.Priority.URGENT: 0,
    specs.Priority.NORMAL: 1,
    specs.Priority.LOW: 2,
}


def _order_within_team(
    item: PendingTask, now: float, cfg: QuotaSettings
) -> tuple[bool, int, float, float, specs.TaskId]:
    slack_s = item.slack_s(now)
    at_risk = slack_s < cfg.risk_factor * item.expected_run_s
    return (
        not at_risk,
        _PRIORITY_RANK[item.priority],
        slack_s,
        item.ready_at,
        item.task,
    )


def _fair_share_order(
    pending: Sequence[PendingTask],
    usage: dict[identifiers.TeamName, resources.Resources],
    teams: Teams,
    now: float,
    cfg: QuotaSettings,
    remaining: int,
) -> list[QueueEntry]:
    """Interleave the teams; those within quota first, by dominant share."""
    queues: dict[identifiers.TeamName, list[PendingTask]] = {}
    for item in pending:
        queues.setdefault(item.team, []).append(item)
    for queue in queues.values():
        queue.sort(
            key=lambda item: _order_within_team(item, now, cfg), reverse=True
        )
    heap = [
        _team_rank(name, queues, usage, teams, now, cfg) for name in queues
    ]
    heapq.heapify(heap)
    entries: list[QueueEntry] = []
    while heap and len(entries) < remaining:
        _, _, _, name = heapq.heappop(heap)
        entries += _admit(queues[name].pop(), usage, teams)
        if queues[name]:
            heapq.heappush(
                heap, _team_rank(name, queues, usage, teams, now, cfg)
            )
    return entries


def _team_rank(
    name: identifiers.TeamName,
    queues: Mapping[identifiers.TeamName, Sequence[PendingTask]],
    usage: Usage,
    teams: Teams,
    now: float,
    cfg: QuotaSettings,
) -> tuple[bool, bool, float, identifiers.TeamName]:
    team = teams.get(name, NO_QUOTA)
    team_usage = usage.get(name, resources.Resources())
    first = queues[name][-1]
    borrows = not within_quota(team_usage, first.reservation, team)
    slack_s = first.slack_s(now)
    not_at_risk = slack_s >= cfg.risk_factor * first.expected_run_s
    return (borrows, not_at_risk, dominant_quota_share(team_usage, team), name)
