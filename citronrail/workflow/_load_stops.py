"""Stops runs on shrunk workers, and runs that urgent tasks preempt."""

import collections
import itertools

from citronrail.model import load_settings
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _placement
from citronrail.workflow import _probation
from citronrail.workflow import _queue_order
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _worker_view
from citronrail.workflow.overload import _preemption
from citronrail.workflow.overload import _stop_choice

# The state of all workers is examined, which takes milliseconds.
PREEMPT_INTERVAL_S = 0.2
# Waiting tasks considered at once for each service; a few stops free room for
# many small tasks.
MAX_WAITING = 40
# The capacity of a run whose stop was ordered is expected for the stop time
# and this long, for the orders and lists on their way; then it counts as held.
STOP_OVERDUE_S = 1.5


class LoadStops:
    """Selects runs to stop by pure functions, and requests their stop.

    :param scheduler_state: jobs and workers.
    :param load: parts for hard load that are on.
    :param bounds: limits of the deployment.
    """

    def __init__(
        self,
        scheduler_state: _scheduler_state.SchedulerState,
        load: load_settings.LoadSettings,
        bounds: workflows.Bounds,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._fits_shrunk = load.fit_best_effort
        self._preempts = load.preemption and _preemption.is_affordable(bounds)
        self._stop_s = bounds.stop_s
        self._restart_s = bounds.stop_s + bounds.restore_s
        self._next_preemption_at = 0.0
        # By service: local times of the preemptions in the last window.
        self._preempted_at: dict[str, collections.deque[float]] = {}

    def fit_shrunk_workers(self, now: float) -> None:
        """Stop runs of workers that were over capacity in an earlier list.

        :param now: local time in seconds.
        """
        if not self._fits_shrunk:
            return
        for view in self._scheduler_state.workers.values():
            if view.listed_at > view.capacity_checked_at:
                view.capacity_checked_at = view.listed_at
                self._fit_shrunk(view, now)

    def _fit_shrunk(self, view: _worker_view.WorkerView, now: float) -> None:
        capacity = _round.remaining_capacity(view)
        missing = _stop_choice.Demand().plus(_free(capacity), -1)
        if not missing.positive:
            view.over_capacity_at = 0.0
            return
        if not view.over_capacity_at:
            view.over_capacity_at = view.listed_at
            return
        excess_cpu = -capacity.idle_cpu
        for attempt in view.attempts.values():
            if attempt.stop_reason:
                missing = missing.plus(_demand_of(attempt), -1)
                excess_cpu -= attempt.task.stage.spec.cpu_millis
        candidates = [
            self._candidate(attempt, now)
            for attempt in view.attempts.values()
            if self._may_stop(attempt)
        ]
        for item in _stop_choice.choose_for_shrunk(
            missing, excess_cpu, candidates
        ):
            attempt = view.attempts[item.key]
            metrics.SHRUNK_STOPS.inc()
            observability.emit(
                events.SHRUNK_WORKER_STOP,
                task=attempt.task.name,
                run=attempt.number,
                worker=view.worker_id,
                cpu=max(0, missing.cpu_millis),
                memory=max(0, missing.memory_mb),
                loss=round(item.loss_s, 2),
            )
            self._scheduler_state.stop_run(
                attempt, 'the worker is over its capacity'
            )

    def preempt(
        self, policy: _round.Policy, now: float, unix_now: float
    ) -> None:
        """Stop runs for tasks of priority 0 that found no room.

        :param policy: configuration, of the round that has just ended.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        if not self._preempts or now < self._next_preemption_at:
            return
        self._next_preemption_at = now + PREEMPT_INTERVAL_S
        by_service = _round.candidates_by_service(
            self._scheduler_state.workers.values(),
            policy.evacuated,
            now,
            fit_best_effort=policy.fit_best_effort,
        )
        waiting = self._waiting(policy, by_service, now, unix_now)
        for service, tasks in waiting.items():
            times = self._preempted_at.setdefault(service, collections.deque())
            while times and now - times[0] >= _preemption.STOPS_WINDOW_S:
                times.popleft()
            if len(times) >= _preemption.MAX_STOPS:
                continue
            workers = [
                self._worker(
                    self._scheduler_state.workers[item.node], item, now
                )
                for item in by_service.get(service, ())
                if not item.avoided and not item.reserved
            ]
            for found in _preemption.choose(tasks, workers, len(times)):
                times.append(now)
                self._stop_preempted(found)

    def _stop_preempted(self, found: _preemption.Preemption) -> None:
        view = self._scheduler_state.workers[found.node]
        attempt = view.attempts[found.run.key]
        metrics.PREEMPTIONS.inc()
        observability.emit(
            events.RUN_PREEMPTED,
            task=attempt.task.name,
            run=attempt.number,
            worker=view.worker_id,
            waiting=found.waiting.task,
            loss=round(found.run.loss_s, 2),
        )
        self._scheduler_state.stop_run(
            attempt, 'a task of higher priority waits'
        )

    def _waiting(
        self,
        policy: _round.Policy,
        by_service: dict[str, list[_placement.WorkerCapacity]],
        now: float,
        unix_now: float,
    ) -> dict[str, list[_preemption.Waiting]]:
        """Return the tasks of priority 0 without a run, by service."""
        found: dict[str, list[_preemption.Waiting]] = {}
        for job, stages in _round.waiting_stages(
            self._scheduler_state, policy, by_service, now, unix_now
        ):
            priority = self._priority(job)
            if priority > 0:
                break  # jobs are ordered by priority
            tasks = found.setdefault(policy.service_of(job), [])
            tasks += [
                _preemption.Waiting(
                    task.name, stage.name, stage.spec, priority
                )
                for stage in stages
                if not stage.spec.gang
                for task in itertools.islice(
                    _probation.startable_tasks(stage, now), MAX_WAITING
                )
            ]
            del tasks[MAX_WAITING:]
        return {service: tasks for service, tasks in found.items() if tasks}

    def _worker(
        self,
        view: _worker_view.WorkerView,
        capacity: _placement.WorkerCapacity,
        now: float,
    ) -> _preemption.Worker:
        freeing = _stop_choice.Demand()
        per_step: dict[str, int] = {}
        candidates = []
        for attempt in view.attempts.values():
            stage = attempt.task.stage
            per_step[stage.name] = per_step.get(stage.name, 0) + 1
            if self._frees_soon(attempt, now):
                freeing = freeing.plus(_demand_of(attempt))
            elif (
                stage.spec.saves_progress
                and self._priority(stage.job) > 0
                and now - attempt.listed_at >= _preemption.MIN_RUN_S
                and self._may_stop(attempt)
            ):
                candidates.append(self._candidate(attempt, now))
        return _preemption.Worker(
            view.node,
            _free(capacity),
            freeing,
            frozenset(view.life.labels),
            per_step,
            tuple(candidates),
        )

    def _frees_soon(self, attempt: _job.Attempt, now: float) -> bool:
        """Whether the capacity of a run is expected without a preemption."""
        if not attempt.stop_reason:
            return _left_s(attempt) <= _preemption.FREE_SOON_S
        ordered_at = attempt.stop_requested_at or now
        return now - ordered_at <= self._stop_s + STOP_OVERDUE_S

    def _may_stop(self, attempt: _job.Attempt) -> bool:
        """Whether a run may be stopped and its stop frees capacity."""
        spec = attempt.task.stage.spec
        return (
            not attempt.stop_reason
            and bool(attempt.listed_at)
            and not spec.gang
            and not spec.long_running
            and _left_s(attempt) > self._stop_s
        )

    def _candidate(
        self, attempt: _job.Attempt, now: float
    ) -> _stop_choice.Candidate:
        stage = attempt.task.stage
        loss_s = attempt.stop_loss_s(now) + self._restart_s
        if 0 <= self._slack_s(stage.job, now) < loss_s:
            loss_s += _preemption.MISSED_OBJECTIVE_LOSS_S
        return _stop_choice.Candidate(
            attempt.key,
            stage.name,
            stage.stop_allowance,
            self._priority(stage.job),
            stage.spec.fills,
            loss_s,
            _demand_of(attempt),
            stage.spec.cpu_millis,
        )

    def _priority(self, job: _job.Job) -> int:
        queue = self._scheduler_state.queue_named(job.record.queue)
        return _queue_order.priority(queue)

    def _slack_s(self, job: _job.Job, now: float) -> float:
        """Return how much later a job may end and meet its objective."""
        queue = self._scheduler_state.queue_named(job.record.queue)
        if queue is None:
            return -1.0
        objective_s = _queue_order.objective_s(queue, job.path_s())
        return job.arrived_at + objective_s - now - job.left_s()


def _demand_of(attempt: _job.Attempt) -> _stop_choice.Demand:
    spec = attempt.task.stage.spec
    return _stop_choice.Demand(
        0 if spec.fills else spec.cpu_millis, spec.memory_mb, spec.accelerators
    )


def _free(capacity: _placement.WorkerCapacity) -> _stop_choice.Demand:
    """Return what no run holds; negative where the worker is over capacity."""
    return _stop_choice.Demand(
        capacity.free_cpu, capacity.free_memory, capacity.free_accelerators
    )


def _left_s(attempt: _job.Attempt) -> float:
    """Return in how many seconds a run is expected to end."""
    spec = attempt.task.stage.spec
    if spec.long_running or not attempt.listed_at or not attempt.pace:
        return float('inf')
    left_ratio = 1.0 - max(0, attempt.percent) / 100
    return spec.estimate_s * left_ratio * 100 / attempt.pace
