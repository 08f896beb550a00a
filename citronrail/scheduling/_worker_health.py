"""Workers that fail everything, told apart from jobs that always fail.

A failure speaks against the worker if tasks of the same job succeeded on
another worker, and against the job if its tasks failed on several distinct
workers and never succeeded. A failure of a job that has proved nothing yet
speaks for either, so only a few of them count against one worker, and the
job's next tasks are sent elsewhere, which settles the question.

The record is a frozen value; each function returns a new one.
"""

from collections.abc import Mapping
import dataclasses
import enum

from citronrail.model import identifiers
from citronrail.model import specs

MAX_TRACKED_JOBS = 20_000


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


def task_started(
    health: HealthRecord,
    node_id: identifiers.NodeId,
    task: specs.TaskId,
    at: float,
) -> HealthRecord:
    """Record a start; on a worker on probation it is the trial.

    :param health: the record.
    :param node_id: the worker.
    :param task: the task.
    :param at: local time in seconds.
    :returns: the new record.
    """
    worker = health.workers.get(node_id, WorkerRecord())
    worker = dataclasses.replace(worker, last_start_at=at)
    if worker.state is WorkerState.PROBATION:
        worker = dataclasses.replace(
            worker, state=WorkerState.TRIAL, trial_task=task
        )
    return _with_worker(health, node_id, worker)


def trial_abandoned(
    health: HealthRecord,
    node_id: identifiers.NodeId,
    task: specs.TaskId,
    at: float,
) -> HealthRecord:
    """Record that a trial task was stopped or lost and so proved nothing.

    :param health: the record.
    :param node_id: the worker.
    :param task: the task that did not end on its own.
    :param at: local time in seconds.
    :returns: the record with the worker waiting for its next trial.
    """
    worker = health.workers.get(node_id)
    if worker is None or worker.trial_task != task:
        return health
    worker = dataclasses.replace(
        worker, state=WorkerState.PROBATION, trial_task=None, trial_at=at
    )
    return _with_worker(health, node_id, worker)


def task_ended(health: HealthRecord, end: TaskEnd) -> HealthRecord:
    """Take the end of a task into account.

    :param health: the record.
    :param end: how the task ended.
    :returns: the new record; compare :func:`states` and :func:`parked` of
        both to see what changed.
    """
    health = _with_job(health, end)
    worker = health.workers.get(end.node_id, WorkerRecord())
    if end.succeeded:
        worker = _after_success(health.settings, worker, end)
    else:
        worker = _after_failure(health.settings, worker, end)
    return _judged(_with_worker(health, end.node_id, worker), end)


def may_start(
    health: HealthRecord,
    node_id: identifiers.NodeId,
    now: float,
) -> bool:
    """Tell whether a worker may be given a task now.

    :param health: the record.
    :param node_id: the worker.
    :param now: local time in seconds.
    :returns: False on probation until the next trial is due, while a trial
        runs, and for a growing time after a start on a worker whose latest
        tasks failed, so that fast failures attract no work.
    """
    worker = health.workers.get(node_id)
    if worker is None:
        return True
    match worker.state:
        case WorkerState.TRIAL:
            return False
        case WorkerState.PROBATION:
            return now >= worker.trial_at
        case WorkerState.HEALTHY:
            return now >= worker.last_start_at + _start_gap_s(
                health.settings, worker
            )


def one_at_a_time(health: HealthRecord, node_id: identifiers.NodeId) -> bool:
    """Tell whether a round may place at most one task on a worker.

    :param health: the record.
    :param node_id: the worker.
    :returns: True on probation and after a failure without a success since.
    """
    worker = health.workers.get(node_id)
    return worker is not None and (
        worker.state is not WorkerState.HEALTHY or bool(worker.failures)
    )


def suits_trial(
    health: HealthRecord, task: specs.TaskId, exclusive: bool, urgent: bool
) -> bool:
    """Tell whether a task may serve as the trial of a worker.

    :param health: the record.
    :param task: the task.
    :param exclusive: whether it must never run twice at once.
    :param urgent: whether it is urgent.
    :returns: True for ordinary tasks of jobs that succeeded somewhere.
    """
    job = health.jobs.get(task.owner)
    proved = job is not None and bool(job.succeeded_on)
    return proved and not exclusive and not urgent


def avoided_workers(
    health: HealthRecord, task: specs.TaskId
) -> frozenset[identifiers.NodeId]:
    """Return the workers that the next tasks of a job should avoid.

    :param health: the record.
    :param task: a task of the job.
    :returns: workers on which an unproved job has failed as often as counts;
        its tasks go elsewhere to show whether worker or job is at fault.
    """
    job = health.jobs.get(task.owner)
    if job is None or job.succeeded_on:
        return frozenset()
    cap = health.settings.unproved_cap
    return frozenset(
        node_id
        for node_id in job.failed_on
        if _failures_of(health, node_id, task.owner) >= cap
    )


def parked(health: HealthRecord, owner: str) -> bool:
    """Tell whether a job is parked since it fails on healthy workers.

    :param health: the record.
    :param owner: job id.
    :returns: True until :func:`release_job`.
    """
    job = health.jobs.get(owner)
    return job is not None and job.parked


def release_job(health: HealthRecord, owner: str) -> HealthRecord:
    """Forget what is known of a job, when operators retry or remove it.

    :param health: the record.
    :param owner: job id.
    :returns: the new record.
    """
    jobs = {key: value for key, value in health.jobs.items() if key != owner}
    return dataclasses.replace(health, jobs=jobs)


def forget_worker(
    health: HealthRecord, node_id: identifiers.NodeId
) -> HealthRecord:
    """Forget a worker that was replaced or restarted with a new boot id.

    :param health: the record.
    :param node_id: the worker.
    :returns: the new record.
    """
    workers = {k: v for k, v in health.workers.items() if k != node_id}
    return dataclasses.replace(health, workers=workers)


def states(
    health: HealthRecord,
) -> Mapping[identifiers.NodeId, WorkerState]:
    """Return the state of each worker that isn't simply healthy.

    :param health: the record.
    :returns: map from worker to state.
    """
    return {
        node_id: worker.state
        for node_id, worker in health.workers.items()
        if worker.state is not WorkerState.HEALTHY
    }


def _with_worker(
    health: HealthRecord, node_id: identifiers.NodeId, worker: WorkerRecord
) -> HealthRecord:
    return dataclasses.replace(
        health, workers={**health.workers, node_id: worker}
    )


def _with_job(health: HealthRecord, end: TaskEnd) -> HealthRecord:
    jobs = dict(health.jobs)
    job = jobs.pop(end.task.owner, JobRecord())
    if end.succeeded:
        job = JobRecord(job.succeeded_on | {end.node_id}, job.failed_on)
    else:
        # A worker already on probation or in a trial is no witness against
        # the job.
        worker = health.workers.get(end.node_id, WorkerRecord())
        if worker.state is WorkerState.HEALTHY:
            job = dataclasses.replace(
                job, failed_on=job.failed_on | {end.node_id}
            )
    jobs[end.task.owner] = job
    while len(jobs) > MAX_TRACKED_JOBS:
        del jobs[next(iter(jobs))]
    return dataclasses.replace(health, jobs=jobs)


def _after_success(
    cfg: HealthSettings, worker: WorkerRecord, end: TaskEnd
) -> WorkerRecord:
    if worker.state is WorkerState.HEALTHY:
        return WorkerRecord(last_start_at=worker.last_start_at)
    if worker.trial_task != end.task:
        return worker
    passed = worker.passed_trials + 1
    if passed >= cfg.trial_successes:
        return WorkerRecord(last_start_at=worker.last_start_at)
    return dataclasses.replace(
        worker,
        state=WorkerState.PROBATION,
        trial_task=None,
        trial_at=end.at,
        passed_trials=passed,
    )


def _after_failure(
    cfg: HealthSettings, worker: WorkerRecord, end: TaskEnd
) -> WorkerRecord:
    failures = worker.failures
    if end.task not in failures:
        failures = (*failures, end.task)[-cfg.distinct_failures :]
    worker = dataclasses.replace(
        worker, failures=failures, last_failure_at=end.at
    )
    if worker.trial_task != end.task:
        return worker
    failed = worker.failed_trials + 1
    return dataclasses.replace(
        worker,
        state=WorkerState.PROBATION,
        trial_task=None,
        failed_trials=failed,
        passed_trials=0,
        trial_at=end.at + _trial_delay_s(cfg, failed),
    )


def _judged(health: HealthRecord, end: TaskEnd) -> HealthRecord:
    """Suspend the worker or park the job if the evidence suffices."""
    health = _judge_job(health, end.task.owner)
    worker = health.workers[end.node_id]
    if worker.state is not WorkerState.HEALTHY or end.succeeded:
        return health
    if not _worker_at_fault(health, end.node_id, worker):
        return health
    cfg = health.settings
    worker = dataclasses.replace(
        worker,
        state=WorkerState.PROBATION,
        trial_at=end.at + _trial_delay_s(cfg, worker.failed_trials),
    )
    return _with_worker(health, end.node_id, worker)


def _judge_job(health: HealthRecord, owner: str) -> HealthRecord:
    job = health.jobs[owner]
    needed = health.settings.job_workers
    if job.parked or job.succeeded_on or len(job.failed_on) < needed:
        return health
    healthy = [
        node_id
        for node_id in job.failed_on
        if not _fails_proved_jobs(health, node_id)
    ]
    if len(healthy) < needed:
        return health
    jobs = {**health.jobs, owner: dataclasses.replace(job, parked=True)}
    health = dataclasses.replace(health, jobs=jobs)
    return _cleared(health, owner)


def _cleared(health: HealthRecord, owner: str) -> HealthRecord:
    """Take a parked job's failures back from the workers they burdened."""
    workers = {}
    for node_id, worker in health.workers.items():
        left = tuple(item for item in worker.failures if item.owner != owner)
        if left == worker.failures:
            workers[node_id] = worker
            continue
        worker = dataclasses.replace(worker, failures=left)
        if not _worker_at_fault(health, node_id, worker):
            worker = WorkerRecord(
                failures=left,
                last_failure_at=worker.last_failure_at,
                last_start_at=worker.last_start_at,
            )
        workers[node_id] = worker
    return dataclasses.replace(health, workers=workers)


def _worker_at_fault(
    health: HealthRecord, node_id: identifiers.NodeId, worker: WorkerRecord
) -> bool:
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


def _fails_proved_jobs(
    health: HealthRecord, node_id: identifiers.NodeId
) -> bool:
    worker = health.workers.get(node_id, WorkerRecord())
    return any(
        bool(health.jobs.get(task.owner, JobRecord()).succeeded_on - {node_id})
        for task in worker.failures
    )


def _failures_of(
    health: HealthRecord, node_id: identifiers.NodeId, owner: str
) -> int:
    worker = health.workers.get(node_id, WorkerRecord())
    return sum(1 for task in worker.failures if task.owner == owner)


def _trial_delay_s(cfg: HealthSettings, failed_trials: int) -> float:
    return min(
        cfg.trial_after_max_s,
        cfg.trial_after_s * 2.0 ** min(failed_trials, 20),
    )


def _start_gap_s(cfg: HealthSettings, worker: WorkerRecord) -> float:
    if not worker.failures:
        return 0.0
    doubled = 2.0 ** (len(worker.failures) - 1)
    return min(cfg.start_gap_max_s, cfg.start_gap_s * doubled)
