"""In which order jobs get free workers.

Answers the load of more work than the fleet can do in time: urgent queues go
first, then jobs that can still meet their objective, the closest first, then
those that are late, and last those that earn nothing any more.
"""

import dataclasses

from citronrail.model import workflows

# A job that takes this many times its objective is of no use to its caller.
USEFUL_TIME_RATIO = 3.0


@dataclasses.dataclass(frozen=True)
class WaitingJob:
    """A job with tasks to place; times are local and in seconds."""

    priority: int
    arrived_at: float
    objective_s: float
    remaining_s: float  # estimated critical path that is left
    long_running: bool = False


def critical_path_s(spec: workflows.WorkflowSpec) -> float:
    """Return the estimated time of the longest chain of steps.

    :param spec: the job.
    :returns: seconds, by the declared estimates.
    """
    ends: list[float] = []
    for step in spec.steps:
        before = [ends[n] for n in step.after if n < len(ends)]
        ends.append(max(before, default=0.0) + step.estimate_s)
    return max(ends, default=0.0)


def sort_key(job: WaitingJob, now: float) -> tuple[int, int, float]:
    """Return the sort key of a job; the lowest goes first.

    :param job: the job.
    :param now: local time.
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
