"""Scheduling round: assigns waiting tasks to workers."""

import collections.abc
import dataclasses

from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _health
from citronrail.workflow import _idle_jobs
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _overdue
from citronrail.workflow import _placement
from citronrail.workflow import _probation
from citronrail.workflow import _queue_order
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _service_room
from citronrail.workflow import _step_ranking
from citronrail.workflow import _wait_reason
from citronrail.workflow import _worker_view
from citronrail.workflow.overload import _best_effort_limit
from citronrail.workflow.overload import _job_order

MAX_STARTS_PER_ROUND = 120  # the next round follows at once
# Of a step. A round that started thousands of tasks took so long that the
# leadership ended.
MAX_STARTS_PER_STAGE = 240
# Overdue tasks that are started at a time, and those that find no worker; the
# second visit all workers, the third do so without scores.
MAX_OVERDUE_STARTS = 40
MAX_OVERDUE_SEARCHES = 4
MAX_OVERDUE_MISSES = 40
# Runs with an admissible pace of at least this start at full pace.
THROTTLED_START_BELOW_PERCENT = 90
# A speculative run starts if the worker has sent no list for
# SPECULATE_SILENT_S, or if the run has exceeded its estimate by the ratio
# plus a constant for short tasks and is below SPECULATE_BELOW_PERCENT. Lists
# of an agent that waits for a late confirmation are 1.5 s apart; with that
# limit each task of a busy scheduler was started twice.
SPECULATE_SILENT_S = 2.0
SPECULATE_AFTER_RATIO = 1.6
SPECULATE_EXTRA_S = 0.5
SPECULATE_BELOW_PERCENT = 60


@dataclasses.dataclass(frozen=True)
class Policy:
    """Configuration and learned data that a round uses.

    :param queue_named: looks up a queue in the current configuration.
    :param evacuated: data centres in which nothing may start.
    :param factors: learned interference factors.
    :param fit_best_effort: serving tasks and the best-effort tasks that harm
        them are kept on different workers as far as there is room.
    :param job_order: order by cost of delay and backlog; None for the order
        by slack alone.
    :param idle_jobs: since when jobs have had nothing running; None if that
        is not tracked.
    """

    queue_named: _scheduler_state.QueueLookup
    evacuated: frozenset[str]
    factors: _interference.PairFactors
    fit_best_effort: bool = False
    job_order: _job_order.JobOrder | None = None
    idle_jobs: _idle_jobs.IdleJobs | None = None

    def service_of(self, job: _job.Job) -> str:
        """Return the service whose workers run a job."""
        queue = self.queue_named(job.record.queue)
        return queue.service if queue else job.record.service


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
        placed += _place_overdue(scheduler_state, policy, by_service, now)
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
                placed += _place_speculative_runs(
                    scheduler_state, stage, candidates, policy.factors, now
                )
        if len(placed) >= MAX_STARTS_PER_ROUND:
            break
    for attempt in placed:
        attempt.assigned_at = unix_now
    if checks_idle:
        _log_idle_jobs(scheduler_state, policy, by_service, now)
    return placed


def _place_overdue(
    scheduler_state: _scheduler_state.SchedulerState,
    policy: Policy,
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
            _align_gang(task.stage)
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
    policy: Policy,
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
        members = _gang_choices(stage, candidates, factors)
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
            for member, choice in _gang_choices(stage, opened, factors)
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


def _gang_choices(
    stage: _job.Stage,
    candidates: list[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
) -> list[tuple[_job.Task, _step_ranking.Choice]]:
    chosen = _step_ranking.choose_workers_for_gang(
        stage.spec, stage.name, candidates, len(stage.tasks), factors
    )
    full_pace = _interference.FULL_PACE_PERCENT
    return [
        (task, _step_ranking.Choice(candidate, full_pace))
        for task, candidate in zip(stage.tasks, chosen)
    ]


def _align_gang(stage: _job.Stage) -> None:
    """Give all members the same last run and checkpoint."""
    last_run = max(task.last_run for task in stage.tasks)
    checkpoint = max(task.checkpoint for task in stage.tasks)
    for task in stage.tasks:
        task.last_run = last_run
        task.checkpoint = checkpoint


def _is_last_attempt(task: _job.Task, policy: Policy) -> bool:
    """Whether one more failed run would end the task's job."""
    stage = task.stage
    record = stage.job.record
    limit = _queue_order.max_attempts(policy.queue_named(record.queue), record)
    members = stage.tasks if stage.spec.gang else (task,)
    failures = max(member.failures for member in members)
    return bool(limit) and failures + 1 >= limit


def _startable(wait: _idle_jobs.Wait, now: float) -> _job.Task | None:
    """Return the task to start for a wait, None if none may start now."""
    stage = wait.task.stage
    if not stage.job.open:
        return None
    if stage.spec.gang:
        left = any(task.attempts for task in stage.tasks)
        return None if left or stage.done else wait.task
    for task in (wait.task,) if wait.lasts else stage.tasks:
        if (
            task.waiting
            and task.retry_at <= now
            and not _probation.must_start_alone(task, now)
        ):
            return task
    return None


def _start_overdue(
    scheduler_state: _scheduler_state.SchedulerState,
    policy: Policy,
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
    attempt = _assign_choice(scheduler_state, task, choice)
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
            placed.append(_assign_choice(scheduler_state, task, choice))
    for service, tasks in waiting.items():
        probations[service].hold(tasks)
    return placed


def _suspected_tasks(
    stages: list[_job.Stage], now: float
) -> collections.abc.Iterator[_job.Task]:
    for stage in stages:
        if stage.spec.gang:
            continue
        for task in stage.tasks:
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
            if any(
                (task.waiting and task.retry_at <= now)
                or _needs_speculative_run(scheduler_state, task, now)
                for task in stage.tasks
            )
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
    waiting = [
        task
        for task in stage.tasks
        if task.waiting
        and task.retry_at <= now
        and not _probation.must_start_alone(task, now)
    ]
    if not waiting or fleet.failures.cover(
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
    for task in waiting[:MAX_STARTS_PER_STAGE]:
        choice = ranking.take(task.failed_on)
        if choice is None:
            fleet.failures.add(fleet.service, spec, wait_for_low_impact)
            break
        placed.append(_assign_choice(scheduler_state, task, choice))
    return placed


def _needs_speculative_run(
    scheduler_state: _scheduler_state.SchedulerState,
    task: _job.Task,
    now: float,
) -> bool:
    """Whether a second run of a task may end before the present one."""
    if not task.stage.spec.speculative or task.done or task.crashes:
        return False
    if len(task.attempts) != 1 or task.retry_at > now:
        return False
    attempt = task.attempts[0]
    view = scheduler_state.workers.get(attempt.node)
    if view is None or not attempt.order_sent_at:
        return False
    if not attempt.listed_at:
        return False  # its worker may be silent because of this very task
    estimate_s = task.stage.spec.estimate_s
    elapsed_s = now - attempt.order_sent_at
    silent = now - view.listed_at > SPECULATE_SILENT_S
    late = elapsed_s > SPECULATE_AFTER_RATIO * estimate_s + SPECULATE_EXTRA_S
    return silent or (late and attempt.percent < SPECULATE_BELOW_PERCENT)


def _place_speculative_runs(
    scheduler_state: _scheduler_state.SchedulerState,
    stage: _job.Stage,
    candidates: list[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
    now: float,
) -> list[_job.Attempt]:
    """Assign speculative runs for late tasks, if the step allows them."""
    placed: list[_job.Attempt] = []
    if not stage.spec.speculative:
        return placed
    name = stage.name
    for task in stage.tasks:
        if not _needs_speculative_run(scheduler_state, task, now):
            continue
        others = [r for r in candidates if r.node != task.attempts[0].node]
        candidate = _placement.choose_worker(stage.spec, name, others, factors)
        if candidate is None:
            break
        candidate.reserve(stage.spec, name)
        placed.append(
            _assign(scheduler_state, task, candidate, task.last_run + 1)
        )
    return placed


def _place_gang(
    scheduler_state: _scheduler_state.SchedulerState,
    stage: _job.Stage,
    candidates: list[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
) -> list[_job.Attempt]:
    if any(task.attempts for task in stage.tasks):
        return []  # some members of the previous run have not ended
    choices = _gang_choices(stage, candidates, factors)
    if choices:
        _align_gang(stage)
    placed = []
    for task, choice in choices:
        choice.candidate.reserve(stage.spec, stage.name)
        placed.append(_assign_choice(scheduler_state, task, choice))
    return placed


def _assign_choice(
    scheduler_state: _scheduler_state.SchedulerState,
    task: _job.Task,
    choice: _step_ranking.Choice,
) -> _job.Attempt:
    attempt = _assign(
        scheduler_state, task, choice.candidate, task.last_run + 1
    )
    if task.stage.spec.fills and choice.pace < THROTTLED_START_BELOW_PERCENT:
        attempt.pace = choice.pace
        attempt.pace_due = True
    return attempt


def _assign(
    scheduler_state: _scheduler_state.SchedulerState,
    task: _job.Task,
    candidate: _placement.WorkerCapacity,
    run: int,
) -> _job.Attempt:
    view = scheduler_state.workers[candidate.node]
    attempt = _job.Attempt(
        task, run, view.node, view.worker_id, view.life.born_ms
    )
    attempt.from_start = not task.checkpoint
    task.last_run = run
    task.attempts.append(attempt)
    view.attempts[attempt.key] = attempt
    job = task.stage.job
    job.started = True
    scheduler_state.mark_changed(task)
    return attempt


def requirements(step: workflows.StepSpec) -> str:
    """Format the resources of a step for log lines."""
    return (
        f'cpu {step.cpu_millis} memory {step.memory_mb}'
        f'{" fills" if step.fills else ""}'
    )
