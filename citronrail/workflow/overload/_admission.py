"""Rejects jobs that could only end when their result is worthless.

Answers callers that keep submitting to a queue whose backlog can't be
completed while its results have value, and callers that return together. A
job that is accepted and ends without value delays others; one that is
rejected at once can be submitted again when there is room.
"""

import dataclasses
import math
import zlib

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _queue_order

# Four summaries in a row were lost or delayed; more is admitted then.
MAX_SUMMARY_AGE_S = 2.0
MIN_RETRY_S = 1
MAX_RETRY_S = 30
MB_PER_GB = 1024


@dataclasses.dataclass(frozen=True)
class Job:
    """A submitted job; its work is from declared estimates."""

    job_id: str
    service: str
    priority: int
    objective_s: float
    path_s: float
    core_s: float
    gb_s: float
    widest_cpu_millis: int  # of the step that needs most, all tasks at once
    widest_memory_mb: int
    exempt: bool = False  # long-running or recurring


@dataclasses.dataclass(frozen=True)
class Rejection:
    """A rejected job.

    ``work_s`` is the time for which it would take the whole service,
    ``ahead_core_s`` the backlog ahead of it, and ``cores`` the rate at which
    that is worked off.
    """

    retry_in_s: float
    work_s: float
    ahead_core_s: float
    cores: float


def job_of(
    queue: workflows.Queue, job_id: str, spec: workflows.WorkflowSpec
) -> Job:
    """Return what admission considers of a job.

    :param queue: the queue that it was submitted to.
    :param job_id: ID of the job.
    :param spec: the job.
    """
    path_s = _queue_order.critical_path_s(spec)
    steps = spec.steps
    return Job(
        job_id=job_id,
        service=queue.service,
        priority=queue.priority,
        objective_s=_queue_order.objective_s(queue, path_s),
        path_s=path_s,
        core_s=sum(
            step.task_count * step.cpu_millis * step.estimate_s / 1000
            for step in steps
        ),
        gb_s=sum(
            step.task_count * step.memory_mb * step.estimate_s / MB_PER_GB
            for step in steps
        ),
        widest_cpu_millis=max(
            (step.task_count * step.cpu_millis for step in steps), default=0
        ),
        widest_memory_mb=max(
            (step.task_count * step.memory_mb for step in steps), default=0
        ),
        exempt=bool(spec.occurrences)
        or any(step.long_running for step in steps),
    )


def decide(
    summary: messages.BacklogSummary | None,
    age_s: float,
    job: Job,
    returning_s: float,
) -> Rejection | None:
    """Decide whether to admit a job.

    :param summary: the latest backlog summary, None for none.
    :param age_s: its age in seconds.
    :param job: the job.
    :param returning_s: time for which the jobs that this entry has told to
        return later take the whole service.
    :returns: None to admit it.
    """
    if summary is None or age_s > MAX_SUMMARY_AGE_S:
        return None
    if job.exempt or job.priority == 0 or job.objective_s <= 0.0:
        return None
    backlog = next(
        (item for item in summary.services if item.service == job.service),
        None,
    )
    if backlog is None or backlog.cores <= 0.0:
        return None
    if (
        job.widest_cpu_millis <= backlog.free_cpu_millis
        and job.widest_memory_mb <= backlog.free_memory_mb
    ):
        return None
    core_s, gb_s = _ahead(backlog, job.priority)
    # By the time the summary is read, some of the backlog is worked off.
    ahead_s = _work_s(backlog, core_s, gb_s) - age_s
    work_s = _work_s(backlog, job.core_s, job.gb_s)
    ends_in_s = max(0.0, ahead_s) + max(work_s, job.path_s)
    if ends_in_s <= _queue_order.USEFUL_TIME_RATIO * job.objective_s:
        return None
    # Other entries reject at about the same rate, so that the jobs of this
    # entry return at its part of the rate at which they can be served.
    entries = max(1, summary.entries)
    part = zlib.crc32(job.job_id.encode()) / 2**32
    retry_in_s = (
        max(0.0, ends_in_s - job.objective_s)
        + (returning_s + part * work_s) * entries
    )
    if retry_in_s > MAX_RETRY_S:
        retry_in_s = MAX_RETRY_S * (1.0 - part / 2)
    return Rejection(
        max(float(MIN_RETRY_S), retry_in_s), work_s, core_s, backlog.cores
    )


def retry_after_s(retry_in_s: float) -> int:
    """Return a retry time in whole seconds, within its limits."""
    return min(MAX_RETRY_S, max(MIN_RETRY_S, math.ceil(retry_in_s)))


def _ahead(
    backlog: messages.ServiceBacklog, priority: int
) -> tuple[float, float]:
    """Return the core- and GB-seconds ahead of a new job of a priority."""
    rows = [row for row in backlog.ahead if row.priority <= priority]
    if not rows:
        return (0.0, 0.0)
    last = max(rows, key=lambda row: row.priority)
    return (last.core_s, last.gb_s)


def _work_s(
    backlog: messages.ServiceBacklog, core_s: float, gb_s: float
) -> float:
    memory_s = gb_s / backlog.memory_gb if backlog.memory_gb > 0 else 0.0
    return max(core_s / backlog.cores, memory_s)
