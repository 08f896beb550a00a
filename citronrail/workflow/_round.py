"""Scheduling round: assigns waiting tasks to workers."""

import collections.abc
import dataclasses
import itertools

from citronrail.model import workflows
from citronrail.workflow import _assignment
from citronrail.workflow import _health
from citronrail.workflow import _idle_jobs
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _overdue_starts
from citronrail.workflow import _placement
from citronrail.workflow import _policy
from citronrail.workflow import _probation
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _speculation
from citronrail.workflow import _step_ranking
from citronrail.workflow import _worker_view
from citronrail.workflow.overload import _best_effort_limit
from citronrail.workflow.overload import _job_order

MAX_STARTS_PER_ROUND = 120  # the next round follows at once
# Of a step. A round that started thousands of tasks took so long that the
# leadership ended.
MAX_STARTS_PER_STAGE = 240

Policy = _policy.Policy


@dataclasses.dataclass(frozen=True)
class _Fleet:
    """Remaining capacity of a service's workers during a round."""

    service: str
    candidates: list[_placement.WorkerCapacity]
    failures: _step_ranking.PlacementFailures


def candidates_by_service(
    workers: collections.abc.Iterable[_worker_view.WorkerView],
    evacuated: frozenset[str],
    now: float,
    *,
    fit_best_effort: bool = False,
) -> dict[str, list[_placement.WorkerCapacity]]:
    """Return the remaining capacity of the usable workers, by service.

    :param workers: all workers.
    :param evacuated: data centres in which nothing may start.
    :param now: local time in seconds.
    :param fit_best_effort: keep harmful best-effort tasks from serving tasks.
    """
    usable = [
        view
        for view in workers
        if view.usable(now) and view.life.data_centre not in evacuated
    ]
    speeds = _health.relative_speeds(
        {view.node: view.speed for view in usable}
    )
    by_service: dict[str, list[_placement.WorkerCapacity]] = {}
    for view in usable:
        if view.capacity is None:
            view.capacity = remaining_capacity(view)
        candidate = view.capacity
        candidate.speed = speeds.get(view.node, 1.0)
        candidate.has_unknown_runs = bool(view.unknown_run_stops)
        candidate.avoided = (
            candidate.has_unknown_runs or view.avoid_until > now
        )
        candidate.reserved = _probation.is_reserved(view, now)
        candidate.held = candidate.reserved and view.probation_job is None
        candidate.target_violated = view.target_violated
        candidate.keeps_apart = fit_best_effort
        candidate.best_effort_barred = fit_best_effort and not (
            _best_effort_limit.may_join(
                view.serving,
                (
                    attempt.listed_at
                    for attempt in view.attempts.values()
                    if attempt.task.stage.spec.latency_target_ms
                ),
                now,
            )
        )
        by_service.setdefault(view.life.service, []).append(candidate)
    return by_service


def remaining_capacity(
    view: _worker_view.WorkerView,
) -> _placement.WorkerCapacity:
    """Return what the runs of a worker leave of its capacity.

    :param view: the worker.
    """
    life = view.life
    candidate = _placement.WorkerCapacity(
        node=view.node,
        worker_id=life.worker_id,
        data_centre=life.data_centre,
        labels=frozenset(life.labels),
        rack=next((x for x in life.labels if x.startswith('r')), ''),
        total_cpu=life.cpu_millis,
        free_cpu=life.cpu_millis,
        free_memory=life.memory_mb,
        free_accelerators=life.accelerators,
        idle_cpu=life.cpu_millis,
        serving=view.serving,
        total_memory=life.memory_mb,
        total_accelerators=life.accelerators,
    )
    for attempt in view.attempts.values():
        stage = attempt.task.stage
        unmeasured = not attempt.listed_at or (
            bool(stage.spec.latency_target_ms) and attempt.percent < 100
        )
        candidate.reserve(stage.spec, stage.name, unmeasured)
    candidate.new_runs = view.new_run_count
    return candidate


def place(
    scheduler_state: _scheduler_state.SchedulerState,
    policy: Policy,
    now: float,
    unix_now: float,
) -> list[_job.Attempt]:
    """Assign waiting tasks to workers.

    :param scheduler_state: jobs and workers; the new runs are added to it.
    :param policy: configuration and learned data.
    :param now: local time in seconds.
    :param unix_now: Unix time in seconds.
    :returns: the new runs; they must be committed before they are ordered.
    """
    _probation.end_listed(scheduler_state.workers)
    ready = _ready_stages(scheduler_state, now, unix_now)
    checks_idle = policy.idle_jobs is not None and policy.idle_jobs.update(
        ready, scheduler_state.workers, now, unix_now
    )
    if not ready:
        if policy.job_order is not None:
            policy.job_order.clear(now)
        if not checks_idle:
            return []
    by_service = candidates_by_service(
        scheduler_state.workers.values(),
        policy.evacuated,
        now,
        fit_best_effort=policy.fit_best_effort,
    )
    fleet = _job_order.Fleet(
        policy.queue_named, scheduler_state.workers, by_service
    )
    ordered = _ordered_stages(ready, policy, fleet, now)
    failures = _step_ranking.PlacementFailures()
    placed = _place_suspected(
        scheduler_state, policy, ordered, by_service, now
    )
    if checks_idle:
        placed += _overdue_starts.place(
            scheduler_state, policy, by_service, now
        )
    for job, stages in ordered:
        service = policy.service_of(job)
        candidates = by_service.get(service, [])
        for stage in stages:
            if candidates:
                placed += _place_stage(
                    scheduler_state,
                    stage,
                    _Fleet(service, candidates, failures),
                    policy.factors,
                    now,
                )
                placed += _speculation.place(
                    scheduler_state, stage, candidates, policy.factors, now
                )
        if len(placed) >= MAX_STARTS_PER_ROUND:
            break
    for attempt in placed:
        attempt.assigned_at = unix_now
    if checks_idle:
        _log_idle_jobs(scheduler_state, policy, by_service, now)
    return placed


def _log_idle_jobs(
    scheduler_state: _scheduler_state.SchedulerState,
    policy: Policy,
    by_service: dict[str, list[_placement.WorkerCapacity]],
    now: float,
) -> None:
    """Log jobs that have nothing running although there is room."""

    def state_of(service: str) -> _idle_jobs.ServiceState:
        others = [
            remaining_capacity(view)
            for view in scheduler_state.workers.values()
            if view.life.service == service
            and not view.leaving
            and not view.usable(now)
            and view.life.data_centre not in policy.evacuated
        ]
        return _idle_jobs.ServiceState(by_service.get(service, []), others)

    if policy.idle_jobs is not None:
        policy.idle_jobs.log(policy.service_of, state_of, policy.factors, now)


def waiting_stages(
    scheduler_state: _scheduler_state.SchedulerState,
    policy: Policy,
    by_service: dict[str, list[_placement.WorkerCapacity]],
    now: float,
    unix_now: float,
) -> list[tuple[_job.Job, list[_job.Stage]]]:
    """Return the jobs with tasks to place and their stages, in order.

    :param scheduler_state: jobs and workers.
    :param policy: configuration and learned data.
    :param by_service: remaining capacity of the usable workers, by service.
    :param now: local time in seconds.
    :param unix_now: Unix time in seconds.
    """
    fleet = _job_order.Fleet(
        policy.queue_named, scheduler_state.workers, by_service
    )
    ready = _ready_stages(scheduler_state, now, unix_now)
    return _ordered_stages(ready, policy, fleet, now)


def _place_suspected(
    scheduler_state: _scheduler_state.SchedulerState,
    policy: Policy,
    ordered: list[tuple[_job.Job, list[_job.Stage]]],
    by_service: dict[str, list[_placement.WorkerCapacity]],
    now: float,
) -> list[_job.Attempt]:
    """Assign waiting tasks that may crash the workers that start them."""
    probations = {
        service: _probation.Probation(
            scheduler_state.workers, candidates, policy.factors, now
        )
        for service, candidates in by_service.items()
    }
    placed: list[_job.Attempt] = []
    waiting: dict[str, list[_job.Task]] = {}  # one task of each job
    for job, stages in ordered:
        service = policy.service_of(job)
        probation = probations.get(service)
        if probation is None:
            continue
        for task in _suspected_tasks(stages, now):
            choice = probation.take(task)
            if choice is None:
                waiting.setdefault(service, []).append(task)
                break
            choice.candidate.held = False
            placed.append(
                _assignment.assign_choice(scheduler_state, task, choice)
            )
    for service, tasks in waiting.items():
        probations[service].hold(tasks)
    return placed


def _suspected_tasks(
    stages: list[_job.Stage], now: float
) -> collections.abc.Iterator[_job.Task]:
    for stage in stages:
        if stage.spec.gang:
            continue
        for task in stage.known_tasks():
            if (
                task.crashes
                and task.waiting
                and task.retry_at <= now
                and _probation.must_start_alone(task, now)
            ):
                yield task


def _ready_stages(
    scheduler_state: _scheduler_state.SchedulerState,
    now: float,
    unix_now: float,
) -> list[tuple[_job.Job, list[_job.Stage]]]:
    ready = []
    for job in scheduler_state.jobs.values():
        if not job.open:
            continue
        stages = [
            stage
            for stage in job.ready_stages(unix_now)
            if stage.has_startable(now)
            or _speculation.has_late_task(scheduler_state, stage, now)
        ]
        if stages:
            ready.append((job, stages))
    return ready


def _ordered_stages(
    ready: list[tuple[_job.Job, list[_job.Stage]]],
    policy: Policy,
    fleet: _job_order.Fleet,
    now: float,
) -> list[tuple[_job.Job, list[_job.Stage]]]:
    if policy.job_order is None:
        keys = [
            _job_order.present_key(
                job, stages, policy.queue_named(job.record.queue), now
            )
            for job, stages in ready
        ]
    else:
        keys = policy.job_order.sort_keys(ready, fleet, now)
    keyed_jobs = [(key, *item) for key, item in zip(keys, ready)]
    keyed_jobs.sort(key=lambda item: (item[0], item[1].job_id))
    return [(job, stages) for _, job, stages in keyed_jobs]


def _place_stage(
    scheduler_state: _scheduler_state.SchedulerState,
    stage: _job.Stage,
    fleet: _Fleet,
    factors: _interference.PairFactors,
    now: float,
) -> list[_job.Attempt]:
    spec = stage.spec
    if spec.gang:
        return _place_gang(scheduler_state, stage, fleet.candidates, factors)
    if not stage.ready_since:
        stage.ready_since = now
    wait_for_low_impact = (
        now - stage.ready_since < _placement.LOW_IMPACT_WAIT_S
    )
    if not stage.has_startable(now) or fleet.failures.cover(
        fleet.service, spec, wait_for_low_impact
    ):
        return []
    ranking = _step_ranking.StepRanking(
        spec,
        stage.name,
        fleet.candidates,
        factors,
        wait_for_low_impact=wait_for_low_impact,
    )
    placed = []
    waiting = _probation.startable_tasks(stage, now)
    for task in itertools.islice(waiting, MAX_STARTS_PER_STAGE):
        choice = ranking.take(task.failed_on)
        if choice is None:
            fleet.failures.add(fleet.service, spec, wait_for_low_impact)
            break
        placed.append(_assignment.assign_choice(scheduler_state, task, choice))
    return placed


def _place_gang(
    scheduler_state: _scheduler_state.SchedulerState,
    stage: _job.Stage,
    candidates: list[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
) -> list[_job.Attempt]:
    if any(task.attempts for task in stage.known_tasks()):
        return []  # some members of the previous run have not ended
    choices = _assignment.gang_choices(stage, candidates, factors)
    if choices:
        _assignment.align_gang(stage)
    placed = []
    for task, choice in choices:
        choice.candidate.reserve(stage.spec, stage.name)
        placed.append(_assignment.assign_choice(scheduler_state, task, choice))
    return placed


def requirements(step: workflows.StepSpec) -> str:
    """Format the resources of a step for log lines."""
    return (
        f'cpu {step.cpu_millis} memory {step.memory_mb}'
        f'{" fills" if step.fills else ""}'
    )
