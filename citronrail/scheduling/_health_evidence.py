"""Records of failed tasks, as evidence against workers and jobs.

With respect to a worker, a job is proved if one of its tasks succeeded on
another worker; a failure of such a job is evidence against the worker. A
failure of an unproved job may be caused by the worker or by the job, so only a
few of them count against one worker. A job is at fault if its tasks failed on
several distinct healthy workers and never succeeded on any worker.
"""

from collections.abc import Mapping
import dataclasses
import enum

from citronrail.model import identifiers
from citronrail.model import specs


class WorkerState(enum.Enum):
    """Health state of a worker."""

    HEALTHY = 'healthy'
    PROBATION = 'probation'
    TRIAL = 'trial'


@dataclasses.dataclass(frozen=True)
class HealthSettings:
    """Limits; counts refer to distinct tasks, times are in seconds.

    ``proved_failures``: failures of proved jobs that suspend a worker.
    ``mixed_failures``: failures of proved and unproved jobs that suspend it,
    unless one of the unproved jobs fails on other workers as well.
    ``unproved_cap``: largest number of failures of one unproved job that
    count towards ``mixed_failures``; after as many, a job without any
    successful task avoids the worker.
    ``distinct_failures``: consecutive failed tasks that suspend it in any
    case, except those of unproved jobs that fail on other workers as well.
    ``job_workers``: number of distinct workers on which a job without any
    successful task must fail to be parked.
    ``trial_after_s``: delay of the first trial task; doubles with each failed
    trial up to ``trial_after_max_s``.
    ``trial_timeout_s``: time after which a trial without a result is replaced
    by another one.
    ``trial_successes``: consecutive successful trials that end probation.
    ``start_gap_s``: minimum interval between starts on a worker after one
    failure; doubles with each further failure up to ``start_gap_max_s``.
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
    """Failures of a worker since its last success, and its trials."""

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
    """Workers on which tasks of a job succeeded and failed."""

    succeeded_on: frozenset[identifiers.NodeId] = frozenset()
    failed_on: frozenset[identifiers.NodeId] = frozenset()
    parked: bool = False


@dataclasses.dataclass(frozen=True)
class HealthRecord:
    """Records of all workers and jobs."""

    settings: HealthSettings = HealthSettings()
    workers: Mapping[identifiers.NodeId, WorkerRecord] = dataclasses.field(
        default_factory=dict
    )
    jobs: Mapping[str, JobRecord] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class TaskEnd:
    """Outcome of a task on a worker; ``at`` is local time in seconds.

    Tasks that were stopped, checkpointed or lost with their host are no
    evidence for or against the worker and are not recorded.
    """

    node_id: identifiers.NodeId
    task: specs.TaskId
    succeeded: bool
    at: float


def worker_at_fault(
    health: HealthRecord, node_id: identifiers.NodeId, worker: WorkerRecord
) -> bool:
    """Tell whether the failures of a worker are enough to suspend it.

    :param health: the record.
    :param node_id: the worker.
    :param worker: its record.
    :returns: True if the worker has to be suspended.
    """
    cfg = health.settings
    proved = 0
    unproved: dict[str, int] = {}
    failing_elsewhere: set[str] = set()
    for task in worker.failures:
        job = health.jobs.get(task.owner, JobRecord())
        if job.parked:
            continue
        if job.succeeded_on - {node_id}:
            proved += 1
        else:
            unproved[task.owner] = unproved.get(task.owner, 0) + 1
            if job.failed_on - {node_id}:
                failing_elsewhere.add(task.owner)
    if proved >= cfg.proved_failures:
        return True
    capped = sum(min(count, cfg.unproved_cap) for count in unproved.values())
    if proved + capped >= cfg.mixed_failures and not failing_elsewhere:
        return True
    # Failures of a job that also fails on other workers are evidence against
    # the job and are not counted.
    failing_only_here = sum(
        count
        for owner, count in unproved.items()
        if owner not in failing_elsewhere
    )
    return proved + failing_only_here >= cfg.distinct_failures


def fails_proved_jobs(
    health: HealthRecord, node_id: identifiers.NodeId
) -> bool:
    """Tell whether a worker fails jobs that succeed on other workers.

    :param health: the record.
    :param node_id: the worker.
    :returns: True after one such failure since its last success.
    """
    worker = health.workers.get(node_id, WorkerRecord())
    return any(
        bool(health.jobs.get(task.owner, JobRecord()).succeeded_on - {node_id})
        for task in worker.failures
    )


def count_job_failures(
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
