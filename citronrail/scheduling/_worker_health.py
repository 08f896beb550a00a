"""Worker health: distinguishes faulty workers from faulty jobs.

A failure is evidence against the worker if tasks of the same job succeeded on
another worker, and against the job if its tasks failed on several distinct
workers and never succeeded. A failure of a job without a success on another
worker is ambiguous, and only a few such failures count against a worker. After
that many, the next tasks of a job without any successful task are placed on
other workers to resolve the ambiguity.

The record is immutable; each function returns a new one.
"""

from collections.abc import Mapping
import dataclasses

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _health_evidence as evidence

MAX_TRACKED_JOBS = 20_000


def task_started(
    health: evidence.HealthRecord,
    node_id: identifiers.NodeId,
    task: specs.TaskId,
    at: float,
) -> evidence.HealthRecord:
    """Record the start of a task; on probation, the task is a trial.

    :param health: the record.
    :param node_id: the worker.
    :param task: the task.
    :param at: local time in seconds.
    :returns: the new record.
    """
    worker = health.workers.get(node_id, evidence.WorkerRecord())
    worker = dataclasses.replace(worker, last_start_at=at)
    if worker.state is not evidence.WorkerState.HEALTHY:
        worker = dataclasses.replace(
            worker, state=evidence.WorkerState.TRIAL, trial_task=task
        )
    return _with_worker(health, node_id, worker)


def trial_abandoned(
    health: evidence.HealthRecord,
    node_id: identifiers.NodeId,
    task: specs.TaskId,
    at: float,
) -> evidence.HealthRecord:
    """Record that a trial task was stopped or lost before it had a result.

    :param health: the record.
    :param node_id: the worker.
    :param task: the trial task.
    :param at: local time in seconds.
    :returns: the record with the worker due for its next trial.
    """
    worker = health.workers.get(node_id)
    if worker is None or worker.trial_task != task:
        return health
    worker = dataclasses.replace(
        worker,
        state=evidence.WorkerState.PROBATION,
        trial_task=None,
        trial_at=at,
    )
    return _with_worker(health, node_id, worker)


def task_ended(
    health: evidence.HealthRecord, end: evidence.TaskEnd
) -> evidence.HealthRecord:
    """Take the end of a task into account.

    :param health: the record.
    :param end: how the task ended.
    :returns: the new record; compare :func:`unhealthy_states` and
        :func:`parked` of both to see what changed.
    """
    health = _with_job(health, end)
    worker = health.workers.get(end.node_id, evidence.WorkerRecord())
    if end.succeeded:
        worker = _after_success(health.settings, worker, end)
    else:
        worker = _after_failure(health.settings, worker, end)
    return _with_verdicts(_with_worker(health, end.node_id, worker), end)


def may_start(
    health: evidence.HealthRecord,
    node_id: identifiers.NodeId,
    now: float,
) -> bool:
    """Tell whether a task may be started on a worker now.

    :param health: the record.
    :param node_id: the worker.
    :param now: local time in seconds.
    :returns: False on probation until the next trial is due, while a trial
        runs (up to its timeout), and for an increasing time after each start
        on a worker with failures since its last success. Otherwise a worker
        that fails its tasks fast would have free capacity and attract more of
        them.
    """
    worker = health.workers.get(node_id)
    if worker is None:
        return True
    match worker.state:
        case evidence.WorkerState.TRIAL:
            return (
                now >= worker.last_start_at + health.settings.trial_timeout_s
            )
        case evidence.WorkerState.PROBATION:
            return now >= worker.trial_at
        case evidence.WorkerState.HEALTHY:
            return now >= worker.last_start_at + _start_gap_s(
                health.settings, worker
            )


def is_evidence_against_job(
    health: evidence.HealthRecord, node_id: identifiers.NodeId
) -> bool:
    """Tell whether a failure on a worker is evidence against the job.

    :param health: the record.
    :param node_id: the worker.
    :returns: False on probation, and if tasks failed on the worker since its
        last success whose jobs succeeded on other workers.
    """
    worker = health.workers.get(node_id, evidence.WorkerRecord())
    is_healthy = worker.state is evidence.WorkerState.HEALTHY
    return is_healthy and not evidence.fails_proved_jobs(health, node_id)


def one_at_a_time(
    health: evidence.HealthRecord, node_id: identifiers.NodeId
) -> bool:
    """Tell whether a round may place at most one task on a worker.

    :param health: the record.
    :param node_id: the worker.
    :returns: True on probation, and after a failure without a success since.
    """
    worker = health.workers.get(node_id)
    return worker is not None and (
        worker.state is not evidence.WorkerState.HEALTHY
        or bool(worker.failures)
    )


def avoided_workers(
    health: evidence.HealthRecord, task: specs.TaskId
) -> frozenset[identifiers.NodeId]:
    """Return the workers that tasks of a job should avoid.

    :param health: the record.
    :param task: a task of the job.
    :returns: workers on which a job without any successful task has reached
        the limit of failures that count. Its result on other workers shows
        whether the worker or the job is at fault.
    """
    job = health.jobs.get(task.owner)
    if job is None or job.succeeded_on:
        return frozenset()
    limit = health.settings.unproved_cap
    return frozenset(
        node_id
        for node_id in job.failed_on
        if evidence.count_job_failures(health, node_id, task.owner) >= limit
    )


def parked(health: evidence.HealthRecord, owner: str) -> bool:
    """Tell whether a job is parked because it fails on healthy workers.

    :param health: the record.
    :param owner: job id.
    :returns: True until :func:`release_job`.
    """
    job = health.jobs.get(owner)
    return job is not None and job.parked


def release_job(
    health: evidence.HealthRecord, owner: str
) -> evidence.HealthRecord:
    """Drop the record of a job that operators retry or remove.

    :param health: the record.
    :param owner: job id.
    :returns: the new record.
    """
    jobs = {key: value for key, value in health.jobs.items() if key != owner}
    return dataclasses.replace(health, jobs=jobs)


def forget_worker(
    health: evidence.HealthRecord, node_id: identifiers.NodeId
) -> evidence.HealthRecord:
    """Drop the record of a worker that was replaced or has a new boot id.

    :param health: the record.
    :param node_id: the worker.
    :returns: the new record.
    """
    workers = {k: v for k, v in health.workers.items() if k != node_id}
    return dataclasses.replace(health, workers=workers)


def unhealthy_states(
    health: evidence.HealthRecord,
) -> Mapping[identifiers.NodeId, evidence.WorkerState]:
    """Return the states of the workers that aren't healthy.

    :param health: the record.
    :returns: map from worker to state.
    """
    return {
        node_id: worker.state
        for node_id, worker in health.workers.items()
        if worker.state is not evidence.WorkerState.HEALTHY
    }


def _with_worker(
    health: evidence.HealthRecord,
    node_id: identifiers.NodeId,
    worker: evidence.WorkerRecord,
) -> evidence.HealthRecord:
    return dataclasses.replace(
        health, workers={**health.workers, node_id: worker}
    )


def _with_job(
    health: evidence.HealthRecord, end: evidence.TaskEnd
) -> evidence.HealthRecord:
    jobs = dict(health.jobs)
    job = jobs.pop(end.task.owner, evidence.JobRecord())
    if end.succeeded:
        job = evidence.JobRecord(
            job.succeeded_on | {end.node_id}, job.failed_on
        )
    else:
        # A failure on a worker that is not healthy is no evidence against the
        # job.
        worker = health.workers.get(end.node_id, evidence.WorkerRecord())
        if worker.state is evidence.WorkerState.HEALTHY:
            job = dataclasses.replace(
                job, failed_on=job.failed_on | {end.node_id}
            )
    jobs[end.task.owner] = job
    while len(jobs) > MAX_TRACKED_JOBS:
        del jobs[next(iter(jobs))]
    return dataclasses.replace(health, jobs=jobs)


def _after_success(
    cfg: evidence.HealthSettings,
    worker: evidence.WorkerRecord,
    end: evidence.TaskEnd,
) -> evidence.WorkerRecord:
    if worker.state is evidence.WorkerState.HEALTHY:
        return evidence.WorkerRecord(last_start_at=worker.last_start_at)
    if worker.trial_task != end.task:
        return worker
    passed = worker.passed_trials + 1
    if passed >= cfg.trial_successes:
        return evidence.WorkerRecord(last_start_at=worker.last_start_at)
    return dataclasses.replace(
        worker,
        state=evidence.WorkerState.PROBATION,
        trial_task=None,
        trial_at=end.at,
        passed_trials=passed,
    )


def _after_failure(
    cfg: evidence.HealthSettings,
    worker: evidence.WorkerRecord,
    end: evidence.TaskEnd,
) -> evidence.WorkerRecord:
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
        state=evidence.WorkerState.PROBATION,
        trial_task=None,
        failed_trials=failed,
        passed_trials=0,
        trial_at=end.at + _trial_delay_s(cfg, failed),
    )


def _with_verdicts(
    health: evidence.HealthRecord, end: evidence.TaskEnd
) -> evidence.HealthRecord:
    """Suspend the worker or park the job if there is enough evidence."""
    health = _park_if_faulty(health, end.task.owner)
    worker = health.workers[end.node_id]
    if worker.state is not evidence.WorkerState.HEALTHY or end.succeeded:
        return health
    if not evidence.worker_at_fault(health, end.node_id, worker):
        return health
    cfg = health.settings
    worker = dataclasses.replace(
        worker,
        state=evidence.WorkerState.PROBATION,
        trial_at=end.at + _trial_delay_s(cfg, worker.failed_trials),
    )
    return _with_worker(health, end.node_id, worker)


def _park_if_faulty(
    health: evidence.HealthRecord, owner: str
) -> evidence.HealthRecord:
    job = health.jobs[owner]
    needed = health.settings.job_workers
    if job.parked or job.succeeded_on or len(job.failed_on) < needed:
        return health
    healthy_workers = [
        node_id
        for node_id in job.failed_on
        if not evidence.fails_proved_jobs(health, node_id)
    ]
    if len(healthy_workers) < needed:
        return health
    jobs = {**health.jobs, owner: dataclasses.replace(job, parked=True)}
    health = dataclasses.replace(health, jobs=jobs)
    return _without_failures_of(health, owner)


def _without_failures_of(
    health: evidence.HealthRecord, owner: str
) -> evidence.HealthRecord:
    """Remove the failures of a parked job from the records of workers.

    Workers that were suspended because of them become healthy again.
    """
    workers = {}
    for node_id, worker in health.workers.items():
        remaining = tuple(
            item for item in worker.failures if item.owner != owner
        )
        if remaining == worker.failures:
            workers[node_id] = worker
            continue
        worker = dataclasses.replace(worker, failures=remaining)
        if not evidence.worker_at_fault(health, node_id, worker):
            worker = evidence.WorkerRecord(
                failures=remaining,
                last_failure_at=worker.last_failure_at,
                last_start_at=worker.last_start_at,
            )
        workers[node_id] = worker
    return dataclasses.replace(health, workers=workers)


def _trial_delay_s(cfg: evidence.HealthSettings, failed_trials: int) -> float:
    return min(
        cfg.trial_after_max_s,
        cfg.trial_after_s * 2.0 ** min(failed_trials, 20),
    )


def _start_gap_s(
    cfg: evidence.HealthSettings, worker: evidence.WorkerRecord
) -> float:
    if not worker.failures:
        return 0.0
    factor = 2.0 ** (len(worker.failures) - 1)
    return min(cfg.start_gap_max_s, cfg.start_gap_s * factor)
