"""Records of failed tasks, and what they say of workers and jobs.

A failure speaks against the worker if tasks of the same job succeeded on
another worker, and against the job if its tasks failed on several distinct
workers and never succeeded. A failure of a job that has proved nothing yet
speaks for either, so only a few of them count against one worker.
"""

from collections.abc import Mapping
import dataclasses
import enum

from citronrail.model import identifiers
from citronrail.model import specs


class WorkerState(enum.Enum):
    """Whether a worker may be given tasks."""

    HEALTHY = 'healthy'
    PROBATION = 'probation'
    TRIAL = 'trial'


@dataclasses.dataclass(frozen=True)
class HealthSettings:
    """Limits; counts are of distinct tasks, times in seconds.

    ``proved_failures``: failures of proved jobs that suspend a worker.
    ``mixed_failures``: failures of any jobs that suspend it.
    ``unproved_cap``: failures of one unproved job that count against one
    worker until ``distinct_failures`` is reached.
    ``distinct_failures``: failed tasks in a row that suspend it in any case,
    unless they are all of a job that fails elsewhere as well.
    ``job_workers``: distinct workers on which an unproved job must fail to
    be parked.
    ``trial_after_s``: time until the first trial task; doubles with each
    failed trial up to ``trial_after_max_s``.
    ``trial_timeout_s``: time after which a trial that did not end is given up.
    ``trial_successes``: successful trial tasks in a row that end probation.
    ``start_gap_s``: least time between starts on a worker after one failure;
    doubles with each further one up to ``start_gap_max_s``.
    """

    proved_failures: int = 3
    mixed_failures: int = 4
    unproved_cap: int = 2
    distinct_failures: int = 5
    job_workers: int = 3
    trial_after_s: float = 30.0
    trial_after_max_s: float = 900.0
    trial_timeout_s: float = 900.0
    trial_successes: int = 2
    start_gap_s: float = 1.0
    start_gap_max_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class WorkerRecord:
    """Failures of a worker since its last success."""

    state: WorkerState = WorkerState.HEALTHY
    failures: tuple[specs.TaskId, ...] = ()
    last_failure_at: float = 0.0
    last_start_at: float = 0.0
    trial_at: float = 0.0
    failed_trials: int = 0
    passed_trials: int = 0
    trial_task: specs.TaskId | None = None


@dataclasses.dataclass(frozen=True)
class JobRecord:
    """Where tasks of a job succeeded and failed."""

    succeeded_on: frozenset[identifiers.NodeId] = frozenset()
    failed_on: frozenset[identifiers.NodeId] = frozenset()
    parked: bool = False


@dataclasses.dataclass(frozen=True)
class HealthRecord:
    """What is known of workers and jobs."""

    settings: HealthSettings = HealthSettings()
    workers: Mapping[identifiers.NodeId, WorkerRecord] = dataclasses.field(
        default_factory=dict
    )
    jobs: Mapping[str, JobRecord] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class TaskEnd:
    """How a task ended on a worker; ``at`` is local time in seconds.

    Tasks that were stopped, checkpointed or lost with their host say nothing
    of the worker and are not reported here.
    """

    node_id: identifiers.NodeId
    task: specs.TaskId
    succeeded: bool
    at: float


def worker_at_fault(
    health: HealthRecord, node_id: identifiers.NodeId, worker: WorkerRecord
) -> bool:
    """Tell whether the failures of a worker suffice to suspend it.

    :param health: the record.
    :param node_id: the worker.
    :param worker: its record.
    :returns: True if they speak against the worker.
    """
    cfg = health.settings
    proved = 0
    unproved: dict[str, int] = {}
    elsewhere: set[str] = set()
    for task in worker.failures:
        job = health.jobs.get(task.owner, JobRecord())
        if job.parked:
            continue
        if job.succeeded_on - {node_id}:
            proved += 1
        else:
            unproved[task.owner] = unproved.get(task.owner, 0) + 1
            if job.failed_on - {node_id}:
                elsewhere.add(task.owner)
    if proved >= cfg.proved_failures:
        return True
    capped = sum(min(count, cfg.unproved_cap) for count in unproved.values())
    if proved + capped >= cfg.mixed_failures and not elsewhere:
        return True
    # Failures of a job that also fails elsewhere are evidence against the
    # job, so they are left out here.
    alone = sum(
        count for owner, count in unproved.items() if owner not in elsewhere
    )
    return proved + alone >= cfg.distinct_failures


def fails_proved_jobs(
    health: HealthRecord, node_id: identifiers.NodeId
) -> bool:
    """Tell whether tasks failed on a worker whose jobs succeed elsewhere.

    :param health: the record.
    :param node_id: the worker.
    :returns: True after one such failure since its last success.
    """
    worker = health.workers.get(node_id, WorkerRecord())
    return any(
        bool(health.jobs.get(task.owner, JobRecord()).succeeded_on - {node_id})
        for task in worker.failures
    )


def failures_of(
    health: HealthRecord, node_id: identifiers.NodeId, owner: str
) -> int:
    """Count the distinct failed tasks of a job on a worker.

    :param health: the record.
    :param node_id: the worker.
    :param owner: job id.
    :returns: failures since the worker's last success.
    """
    worker = health.workers.get(node_id, WorkerRecord())
    return sum(1 for task in worker.failures if task.owner == owner)
