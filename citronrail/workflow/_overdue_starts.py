"""Starts tasks whose job has had nothing running for too long.

:mod:`citronrail.workflow._overdue` chooses the workers.
"""

import collections.abc
import dataclasses

from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _assignment
from citronrail.workflow import _idle_jobs
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _overdue
from citronrail.workflow import _placement
from citronrail.workflow import _policy
from citronrail.workflow import _probation
from citronrail.workflow import _queue_order
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _service_room
from citronrail.workflow import _step_ranking
from citronrail.workflow import _wait_reason

# Overdue tasks that are started at a time, and those that find no worker; the
# second visit all workers, the third do so without scores.
MAX_OVERDUE_STARTS = 40
MAX_OVERDUE_SEARCHES = 4
MAX_OVERDUE_MISSES = 40


def place(
    scheduler_state: _scheduler_state.SchedulerState,
    policy: _policy.Policy,
    by_service: dict[str, list[_placement.WorkerCapacity]],
    now: float,
) -> list[_job.Attempt]:
    """Assign one task of each job that has had nothing running for too long.

    Tasks that last are assigned each, and however full their service is.
    """
    hopeless: set[tuple[object, ...]] = set()  # kinds of tasks
    placed: list[_job.Attempt] = []
    searches = misses = 0  # in vain
    for wait, task in _overdue_tasks(policy, by_service, now):
        step = task.stage.spec
        service = policy.service_of(task.stage.job)
        candidates = by_service.get(service, [])
        may_use_avoided = wait.lasts or not _is_last_attempt(task, policy)
        kind = (service, may_use_avoided, *_kind(step))
        wait.tried_at = now
        if kind in hopeless:
            continue
        choices = []
        if not _idle_jobs.has_room(task, candidates):
            misses += 1
        else:
            choices = _overdue_choices(
                task,
                candidates,
                policy.factors,
                may_use_avoided=may_use_avoided,
                first=len(placed) * _overdue.MAX_COMPARED,
            )
            searches += not choices
        if not choices and not step.max_per_worker:
            hopeless.add(kind)
        if choices and step.gang:
            _assignment.align_gang(task.stage)
        placed += [
            _start_overdue(scheduler_state, policy, wait, item, choice, now)
            for item, choice in choices
        ]
        if (
            searches >= MAX_OVERDUE_SEARCHES
            or misses >= MAX_OVERDUE_MISSES
            or len(placed) >= MAX_OVERDUE_STARTS
        ):
            break
    return placed


def _overdue_tasks(
    policy: _policy.Policy,
    by_service: dict[str, list[_placement.WorkerCapacity]],
    now: float,
) -> collections.abc.Iterator[tuple[_idle_jobs.Wait, _job.Task]]:
    """Iterate over waits that have been too long, and the task to start.

    The use of a service is determined again after each start.
    """
    idle_jobs = policy.idle_jobs
    if idle_jobs is None:
        return
    used = {
        service: _service_room.used_ratio(by_service.get(service, []))
        for service in {
            policy.service_of(wait.task.stage.job)
            for wait in idle_jobs.waiting_for(0.0, now)
        }
    }
    idle_jobs.record_use(used, now)
    waits = idle_jobs.waiting_for(_overdue.START_AFTER_S, now)
    waits.sort(key=lambda wait: wait.tried_at)
    for wait in waits:
        task = _startable(wait, now)
        if task is None:
            continue
        service = policy.service_of(task.stage.job)
        if not wait.lasts and (
            used[service] >= _idle_jobs.MAX_USED_RATIO
            or idle_jobs.free_s(service, now) < _overdue.START_AFTER_S
        ):
            continue
        yield wait, task
        if task.attempts:
            used[service] = _service_room.used_ratio(
                by_service.get(service, [])
            )


def _kind(step: workflows.StepSpec) -> tuple[object, ...]:
    """Return what decides which workers may take a task of a step."""
    return (
        step.required_label,
        step.image,
        step.latency_target_ms,
        step.fills,
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        step.gang and step.task_count,
    )


def _overdue_choices(
    task: _job.Task,
    candidates: list[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
    *,
    may_use_avoided: bool,
    first: int,
) -> list[tuple[_job.Task, _step_ranking.Choice]]:
    """Choose workers for an overdue task, or for all members of its gang."""
    stage = task.stage
    if stage.spec.gang:
        members = _assignment.gang_choices(stage, candidates, factors)
        if members:
            return members
        opened = _overdue.open_to_gang(
            candidates, may_use_avoided=may_use_avoided
        )
        by_node = {item.node: item for item in candidates}
        return [
            (
                member,
                dataclasses.replace(
                    choice, candidate=by_node[choice.candidate.node]
                ),
            )
            for member, choice in _assignment.gang_choices(
                stage, opened, factors
            )
        ]
    choice = _overdue.choose(
        stage.spec,
        stage.name,
        candidates,
        factors,
        task.failed_on,
        may_use_avoided=may_use_avoided,
        first=first,
    )
    return [] if choice is None else [(task, choice)]


def _is_last_attempt(task: _job.Task, policy: _policy.Policy) -> bool:
    """Whether one more failed run would end the task's job."""
    stage = task.stage
    record = stage.job.record
    limit = _queue_order.max_attempts(policy.queue_named(record.queue), record)
    members = stage.known_tasks() if stage.spec.gang else (task,)
    failures = max((member.failures for member in members), default=0)
    return bool(limit) and failures + 1 >= limit


def _startable(wait: _idle_jobs.Wait, now: float) -> _job.Task | None:
    """Return the task to start for a wait, None if none may start now."""
    stage = wait.task.stage
    if not stage.job.open:
        return None
    if stage.spec.gang:
        left = any(task.attempts for task in stage.known_tasks())
        return None if left or stage.done else wait.task
    for task in (wait.task,) if wait.lasts else stage.waiting_tasks():
        if (
            task.waiting
            and task.retry_at <= now
            and not _probation.must_start_alone(task, now)
        ):
            return task
    return None


def _start_overdue(
    scheduler_state: _scheduler_state.SchedulerState,
    policy: _policy.Policy,
    wait: _idle_jobs.Wait,
    task: _job.Task,
    choice: _step_ranking.Choice,
    now: float,
) -> _job.Attempt:
    stage = task.stage
    reason = (
        _wait_reason.obstacle(
            stage.spec,
            stage.name,
            choice.candidate,
            policy.factors,
            wait_for_low_impact=(
                now - stage.ready_since < _placement.LOW_IMPACT_WAIT_S
            ),
        )
        or _wait_reason.Reason.ROUND_LIMIT
    )
    choice.candidate.reserve(stage.spec, stage.name)
    attempt = _assignment.assign_choice(scheduler_state, task, choice)
    metrics.OVERDUE_STARTS.labels(reason.value).inc()
    observability.emit(
        events.OVERDUE_START,
        task=task.name,
        run=attempt.number,
        worker=attempt.worker_id,
        pace=attempt.pace,
        seconds=round(now - wait.since, 2),
        reason=reason.value,
    )
    return attempt
