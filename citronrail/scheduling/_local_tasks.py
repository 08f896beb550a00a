"""Attempts on a host and their comparison with the worker's list."""

import dataclasses
import enum

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import specs
from citronrail.ports import worker as workers


class LocalState(enum.Enum):
    """State of an attempt on this host.

    ``UNKNOWN`` is the state of an attempt whose start call was not answered;
    it keeps its reservation until the worker's list shows the outcome.
    """

    STARTING = 'starting'
    UNKNOWN = 'unknown'
    RUNNING = 'running'


@dataclasses.dataclass(frozen=True)
class LocalTask:
    """An attempt that holds a reservation on this host.

    ``start_before`` is a time on the worker's clock; other times are local.
    ``owner`` is the entry that gets the reply to the start, or ''.
    """

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    spec: specs.TaskSpec
    state: LocalState
    since: float
    start_before: float = 0.0
    owner: identifiers.NodeId = identifiers.NodeId('')
    worker_state: str = ''

    def to_running_task(self) -> messages.RunningTask:
        """Return the form in which the attempt is reported to entries."""
        state = self.worker_state or 'running'
        if self.state is not LocalState.RUNNING:
            state = 'starting'
        return messages.RunningTask(
            self.attempt, self.range_id, self.spec, state, self.since
        )


@dataclasses.dataclass(frozen=True)
class ListedRunning:
    """The worker lists an attempt as running that wasn't known to run."""

    task: messages.RunningTask


@dataclasses.dataclass(frozen=True)
class ListedEnded:
    """The worker lists an attempt as ended."""

    task: workers.EndedTask


@dataclasses.dataclass(frozen=True)
class NotStarted:
    """An attempt whose start call was not answered will never start."""

    task: LocalTask


@dataclasses.dataclass(frozen=True)
class NotListed:
    """The worker no longer lists an attempt that was running."""

    task: LocalTask


Finding = ListedRunning | ListedEnded | NotStarted | NotListed


def compare_with_listing(
    known: dict[specs.AttemptId, LocalTask],
    listing: workers.WorkerTasks,
    requested_at: float,
) -> tuple[Finding, ...]:
    """Compare the known attempts with the worker's list.

    :param known: attempts that hold a reservation.
    :param listing: the worker's list.
    :param requested_at: local time at which the list was requested.
    :returns: the differences, and all ended attempts until the worker has
        been told to forget them.
    """
    findings: list[Finding] = []
    listed = set()
    for running in listing.running:
        listed.add(running.attempt)
        task = known.get(running.attempt)
        if task is None or task.state is not LocalState.RUNNING:
            findings.append(ListedRunning(running))
    for ended in listing.ended:
        listed.add(ended.attempt)
        findings.append(ListedEnded(ended))
    for task in known.values():
        if task.attempt not in listed:
            findings.extend(
                _compare_unlisted(task, listing.clock, requested_at)
            )
    return tuple(findings)


def _compare_unlisted(
    task: LocalTask, worker_clock: float, requested_at: float
) -> tuple[Finding, ...]:
    match task.state:
        case LocalState.RUNNING if task.since < requested_at:
            return (NotListed(task),)
        case LocalState.UNKNOWN if (
            worker_clock > task.start_before and task.since < requested_at
        ):
            return (NotStarted(task),)
        case _:
            return ()


def ended_report(task: workers.EndedTask) -> messages.TaskReport:
    """Return the report of an attempt that ended on the worker."""
    return messages.TaskReport(
        attempt=task.attempt,
        range_id=task.range_id,
        state=task.state,
        result=task.result,
        checkpoint=task.checkpoint,
        run_s=task.run_s,
        usage=task.usage,
        reason=task.reason,
    )


def lost_report(
    attempt: specs.AttemptId, range_id: identifiers.RangeId, reason: str
) -> messages.TaskReport:
    """Return the report of an attempt that the worker doesn't list."""
    return messages.TaskReport(attempt, range_id, 'lost', reason=reason)
