"""Order in which waiting jobs get free capacity.

Under overload, queues of higher priority go first. Within a priority, jobs
that can still meet their objective go first, the least slack first, then jobs
that are late but still useful, and last jobs whose result is worthless.
"""

import collections.abc
import dataclasses

from citronrail.model import workflows
from citronrail.workflow import _documents as documents

# A result that takes longer than this many objectives is of no use to the
# caller.
USEFUL_TIME_RATIO = 3.0
# Priority of a job whose queue has been removed.
NO_QUEUE_PRIORITY = 9


@dataclasses.dataclass(frozen=True)
class WaitingJob:
    """A job with tasks to place; times are local, in seconds."""

    priority: int
    arrived_at: float
    objective_s: float
    remaining_s: float  # estimated remaining critical path
    long_running: bool = False


def critical_path_s(
    spec: workflows.WorkflowSpec,
    run_times_s: collections.abc.Iterable[float] = (),
) -> float:
    """Return the length of a job's critical path.

    :param spec: the job.
    :param run_times_s: run time of a task of each step in seconds; the
        declared estimates by default.
    :returns: seconds.
    """
    times_s = tuple(run_times_s) or tuple(s.estimate_s for s in spec.steps)
    finish_times: list[float] = []
    for step, run_s in zip(spec.steps, times_s):
        predecessor_times = [
            finish_times[n] for n in step.after if n < len(finish_times)
        ]
        finish_times.append(max(predecessor_times, default=0.0) + run_s)
    return max(finish_times, default=0.0)


def objective_s(queue: workflows.Queue | None, path_s: float) -> float:
    """Return the time within which a job should end, in seconds.

    :param queue: its queue, None if that has been removed.
    :param path_s: length of its critical path in seconds.
    """
    if queue is None:
        return 0.0
    return queue.stretch * path_s + queue.objective_s


def priority(queue: workflows.Queue | None) -> int:
    """Return the priority of a job.

    :param queue: its queue, None if that has been removed.
    """
    return NO_QUEUE_PRIORITY if queue is None else queue.priority


def max_attempts(
    queue: workflows.Queue | None, record: documents.JobRecord
) -> int:
    """Return after how many failed runs of a task its job has failed.

    :param queue: its queue, None if that has been removed.
    :param record: the job as it was accepted.
    :returns: 0 if there is no limit.
    """
    return record.max_attempts if queue is None else queue.max_attempts


def sort_key(job: WaitingJob, now: float) -> tuple[int, int, float]:
    """Return the sort key of a job; the lowest key is scheduled first.

    :param job: the job.
    :param now: local time in seconds.
    """
    if job.long_running:
        return (job.priority, 0, job.arrived_at)
    due_at = job.arrived_at + job.objective_s
    late_at = job.arrived_at + USEFUL_TIME_RATIO * job.objective_s
    ends_at = now + job.remaining_s
    if ends_at <= due_at:
        return (job.priority, 0, due_at - job.remaining_s)
    if ends_at <= late_at:
        return (job.priority, 1, late_at - job.remaining_s)
    return (job.priority, 2, job.arrived_at)
