"""Supervises running tasks: worker health, best-effort paces and drains."""

import collections.abc
import dataclasses

from citronrail.model import load_settings
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _health
from citronrail.workflow import _idle_jobs
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _placement
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _service_room
from citronrail.workflow import _worker_view
from citronrail.workflow.overload import _best_effort_limit

HEALTH_INTERVAL_S = 0.5
PACE_INTERVAL_S = 0.2
# Below this pace a run hardly progresses. After STARVED_S it is moved if
# another worker allows at least MOVE_MIN_PACE_PERCENT.
STARVED_PACE_PERCENT = 30
STARVED_S = 2.0
# A target that is missed for longer shows that the learned factors are wrong.
VIOLATION_GRACE_S = 0.7
STOP_ALL_AFTER_S = 1.5  # then all best-effort tasks on the worker are stopped
MOVE_MIN_PACE_PERCENT = 80
# A run that stays as the only one of its job is examined again after this
# time, as the examination visits all workers.
STAY_CHECK_INTERVAL_S = 1.0
# From the decision to move a run to its start on another worker: its stop, two
# lists and a commit.
MOVE_EXPECTED_S = 2.0
DEFAULT_BOUNDS = workflows.Bounds()

Evacuated = collections.abc.Callable[[], frozenset[str]]


class RunSupervisor:
    """Periodically checks all workers and adjusts what they run.

    :param scheduler_state: jobs and workers.
    :param factors: learned interference factors.
    :param load: parts for hard load that are on.
    :param bounds: limits of the deployment.
    :param evacuated: returns the data centres in which nothing may start.
    """

    def __init__(
        self,
        scheduler_state: _scheduler_state.SchedulerState,
        factors: _interference.PairFactors,
        *,
        load: load_settings.LoadSettings = load_settings.OFF,
        bounds: workflows.Bounds = DEFAULT_BOUNDS,
        evacuated: Evacuated = frozenset,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._factors = factors
        self._evacuated = evacuated
        self._fit_best_effort = load.fit_best_effort
        self._detect_long_tasks = load.detect_long_tasks
        self._restart_s = bounds.stop_s + bounds.restore_s
        # By agent: whether its worker has more best-effort runs than it bears.
        self._limits: dict[str, _best_effort_limit.LimitState] = {}
        # By run: until when it stays as the only run of its job.
        self._stay_until: dict[tuple[str, int], float] = {}
        # By agent: steps of the runs that move to its worker, each with the
        # local time until which it is expected.
        self._promised: dict[str, list[tuple[float, _job.Stage]]] = {}
        # Remaining capacity of the usable workers, at this local time.
        self._candidates_at = 0.0
        self._by_service: dict[str, list[_placement.WorkerCapacity]] = {}
        self._split_gangs: set[_job.Stage] = set()  # in the last check
        self._next_health_check_at = 0.0
        self._paced_at: dict[str, float] = {}

    def run(self, now: float) -> None:
        """Run the checks that are due.

        :param now: local time in seconds.
        """
        for view in self._scheduler_state.workers.values():
            self._adjust_paces(view, now)
            if view.draining:
                self._stop_before_drain_end(view, now)
        if now >= self._next_health_check_at:
            self._next_health_check_at = now + HEALTH_INTERVAL_S
            self._stay_until = {
                key: until
                for key, until in self._stay_until.items()
                if until > now
            }
            self._check_speeds(now)
            for view in self._scheduler_state.workers.values():
                if view.usable(now):
                    self._check_progress(view, now)
            self._stop_split_gangs()

    def _adjust_paces(self, view: _worker_view.WorkerView, now: float) -> None:
        """Set the pace of best-effort tasks, once for each new list."""
        last_paced_at = self._paced_at.get(view.node, 0.0)
        if (
            view.listed_at <= last_paced_at
            or now - last_paced_at < PACE_INTERVAL_S
        ):
            return
        self._paced_at[view.node] = now
        best_effort = _best_effort_tasks(view, now)
        tasks = tuple(item for item, _ in best_effort)
        are_certain = all(
            attempt.pace_certain_at <= now for _, attempt in best_effort
        )
        view.serving = self._measure(view, tasks, now, learns=are_certain)
        view.capacity = None
        if not best_effort:
            view.target_missed_since = 0.0
            view.target_violated = False
            return
        missed_s = self._target_missed_s(view, now)
        new_paces = _interference.paces(
            view.serving + self._starting(view),
            tasks,
            self._factors,
            self._max_pace_increase(view, now),
        )
        view.target_violated = missed_s > VIOLATION_GRACE_S
        if self._fit_best_effort:
            # The next list would show the effect of milder paces too late.
            view.target_violated = view.target_missed_since > 0
        if view.target_violated:
            new_paces = _interference.paces_after_violation(
                view.serving,
                tasks,
                self._factors,
                stop_all=missed_s > STOP_ALL_AFTER_S,
            )
        for (_, attempt), pace in zip(best_effort, new_paces):
            if view.target_violated:
                attempt.pace_due = True  # earlier orders may have been lost
            is_unknown = attempt.pace_certain_at == float('inf')
            if is_unknown or self._worth_sending(attempt.pace, pace):
                attempt.set_pace(pace, now)
                attempt.pace_due = True
                attempt.moved_at = now  # progress restarts at another speed
                attempt.steady_since = now
                attempt.steady_percent = attempt.percent
            if not self._fit_best_effort:
                self._move_if_starved(attempt, now)
        if self._fit_best_effort:
            self._limit_best_effort(view, best_effort, now)

    def _max_pace_increase(
        self, view: _worker_view.WorkerView, now: float
    ) -> int:
        missed_at = view.target_missed_at
        careful = self._fit_best_effort and missed_at
        if careful and now - missed_at < _best_effort_limit.CAREFUL_S:
            return _best_effort_limit.CAREFUL_INCREASE_PERCENT
        return _interference.MAX_PACE_INCREASE_PERCENT

    def _worth_sending(self, old_pace: int, new_pace: int) -> bool:
        if self._fit_best_effort:
            return _best_effort_limit.worth_sending(old_pace, new_pace)
        return new_pace != old_pace

    def _limit_best_effort(
        self,
        view: _worker_view.WorkerView,
        best_effort: list[tuple[_interference.BestEffortTask, _job.Attempt]],
        now: float,
    ) -> None:
        """Stop a run that the worker can't run beside its serving tasks."""
        runs = tuple(
            _best_effort_limit.Run(
                attempt.key,
                item,
                attempt.stop_loss_s(now) + self._restart_s,
                self._may_stop(attempt, now),
            )
            for item, attempt in best_effort
            if not attempt.stop_reason
        )
        held_at_zero: collections.abc.Collection[tuple[str, int]] = ()
        if view.target_violated:
            held_at_zero = {a.key for _, a in best_effort if a.pace == 0}
        state = self._limits.get(view.node, _best_effort_limit.LimitState())
        while True:
            decision = _best_effort_limit.decide(
                state,
                view.serving,
                runs,
                self._factors,
                now,
                held_at_zero=held_at_zero,
            )
            chosen = decision.stop
            if chosen is None or not self._must_stay(
                view.attempts[chosen], now
            ):
                break
            runs = tuple(
                dataclasses.replace(run, stoppable=False)
                if run.key == chosen
                else run
                for run in runs
            )
        self._limits[view.node] = decision.state
        if decision.stop is None:
            self._move_slowest(view, best_effort, now)
            return
        attempt = view.attempts[decision.stop]
        metrics.BEST_EFFORT_STOPS.inc()
        observability.emit(
            events.BEST_EFFORT_LIMITED,
            task=attempt.task.name,
            run=attempt.number,
            worker=view.worker_id,
            pace=attempt.pace,
            runs=len(runs),
            loss=round(attempt.stop_loss_s(now) + self._restart_s, 2),
        )
        self._scheduler_state.stop_run(
            attempt, 'the worker has too many best-effort runs'
        )

    def _move_slowest(
        self,
        view: _worker_view.WorkerView,
        best_effort: list[tuple[_interference.BestEffortTask, _job.Attempt]],
        now: float,
    ) -> None:
        """Stop the slowest run, if another worker has room for it now."""
        slow = []
        for _, attempt in best_effort:
            if attempt.pace >= _best_effort_limit.MOVE_BELOW_PERCENT:
                attempt.starved_since = 0.0
                continue
            attempt.starved_since = attempt.starved_since or now
            slow_s = now - attempt.starved_since
            if slow_s >= _best_effort_limit.MOVE_AFTER_S:
                slow.append(attempt)
        state = self._limits[view.node]
        if now - state.stopped_at < _best_effort_limit.STOP_INTERVAL_S:
            return
        slow = [
            attempt
            for attempt in slow
            if not attempt.stop_reason and self._may_stop(attempt, now)
        ]
        if not slow:
            return
        attempt = min(slow, key=lambda item: (item.pace, item.key))
        node = self._node_for_move(attempt, now)
        if node:
            self._promise(node, attempt, now)
            self._limits[view.node] = dataclasses.replace(
                state, stopped_at=now
            )
            self._scheduler_state.stop_run(attempt, 'throttled for too long')

    def _node_for_move(self, attempt: _job.Attempt, now: float) -> str:
        """Return the agent of a worker for a run, '' if there is none.

        The room for one move serves no other until its run has come.
        """
        stage = attempt.task.stage
        service = self._scheduler_state.workers[attempt.node].life.service
        for candidate in self._candidates(service, now):
            if (
                candidate.node == attempt.node
                or candidate.speed < _placement.SLOW_SPEED_RATIO
            ):
                continue
            left = self._without_promised(candidate, now)
            if (
                _placement.evaluate(
                    stage.spec,
                    stage.name,
                    left,
                    self._factors,
                    MOVE_MIN_PACE_PERCENT,
                )
                is not None
            ):
                return candidate.node
        return ''

    def _promise(self, node: str, attempt: _job.Attempt, now: float) -> None:
        """Keep room for a run that moves when further moves are decided."""
        promised = self._promised.setdefault(node, [])
        promised.append((now + MOVE_EXPECTED_S, attempt.task.stage))

    def _without_promised(
        self, candidate: _placement.WorkerCapacity, now: float
    ) -> _placement.WorkerCapacity:
        """Return what runs that move to a worker leave of its capacity."""
        promised = [
            item
            for item in self._promised.pop(candidate.node, ())
            if item[0] > now
        ]
        if not promised:
            return candidate
        self._promised[candidate.node] = promised
        left = dataclasses.replace(
            candidate,
            tasks_per_step=dict(candidate.tasks_per_step),
            best_effort=list(candidate.best_effort),
        )
        for _, stage in promised:
            left.reserve(stage.spec, stage.name)
        return left

    def _must_stay(self, attempt: _job.Attempt, now: float) -> bool:
        """Whether a stop would leave a job with nothing running for long.

        That is so if no other worker would start the task at once, although
        the service has room, so that its memory serves nobody else.
        """
        if self._stay_until.get(attempt.key, 0.0) > now:
            return True
        stage = attempt.task.stage
        if any(
            other.listed_at and not other.stop_reason
            for other in stage.job.attempts()
            if other is not attempt
        ):
            return False
        service = self._scheduler_state.workers[attempt.node].life.service
        candidates = self._candidates(service, now)
        if _service_room.used_ratio(candidates) >= _idle_jobs.MAX_USED_RATIO:
            return False
        if any(
            _placement.evaluate(
                stage.spec,
                stage.name,
                candidate,
                self._factors,
                _placement.MIN_PACE_BESIDE_SERVING_PERCENT,
            )
            is not None
            for candidate in candidates
            if candidate.node != attempt.node
        ):
            return False
        self._stay_until[attempt.key] = now + STAY_CHECK_INTERVAL_S
        metrics.LAST_RUNS_KEPT.inc()
        return True

    def _candidates(
        self, service: str, now: float
    ) -> list[_placement.WorkerCapacity]:
        """Return the remaining capacity of a service's usable workers."""
        if self._candidates_at != now:
            self._candidates_at = now
            self._by_service = _round.candidates_by_service(
                self._scheduler_state.workers.values(),
                self._evacuated(),
                now,
                fit_best_effort=self._fit_best_effort,
            )
        return self._by_service.get(service, [])

    def _may_stop(self, attempt: _job.Attempt, now: float) -> bool:
        """Whether a run may be stopped for the sake of serving tasks."""
        stage = attempt.task.stage
        spec = stage.spec
        if spec.gang or not spec.saves_progress:
            return False
        if now - attempt.listed_at < _best_effort_limit.MIN_RUN_S:
            return False
        remaining_s = spec.estimate_s * (1.0 - max(0, attempt.percent) / 100)
        if remaining_s <= self._restart_s * attempt.pace / 100:
            return False  # it would end before its stop
        return stage.stop_allowance != 0

    def _starting(
        self, view: _worker_view.WorkerView
    ) -> tuple[_interference.ServingTask, ...]:
        """Return the serving tasks that have no measured tail yet.

        Paces allow for them before their users' load arrives.
        """
        if not self._fit_best_effort:
            return ()
        tasks = []
        for attempt in view.attempts.values():
            stage = attempt.task.stage
            if not stage.spec.latency_target_ms or attempt.percent >= 100:
                continue
            image = stage.spec.image
            own_load = self._factors.own_load(stage.name)
            baseline = self._factors.baseline_ratio(image)
            tasks.append(
                _interference.ServingTask(image, own_load, baseline, own_load)
            )
        return tuple(tasks)

    def _target_missed_s(
        self, view: _worker_view.WorkerView, now: float
    ) -> float:
        """Return for how long any latency target has been missed."""
        if not any(task.misses_target for task in view.serving):
            view.target_missed_since = 0.0
            return 0.0
        view.target_missed_since = view.target_missed_since or now
        view.target_missed_at = now
        return now - view.target_missed_since

    def _measure(
        self,
        view: _worker_view.WorkerView,
        best_effort: tuple[_interference.BestEffortTask, ...],
        now: float,
        *,
        learns: bool,
    ) -> tuple[_interference.ServingTask, ...]:
        """Return the serving tasks of a list.

        :param view: the worker.
        :param best_effort: its best-effort tasks.
        :param now: local time in seconds.
        :param learns: whether the factors are updated; not while the pace of
            a task is a guess.
        """
        tasks = []
        for attempt in view.attempts.values():
            stage = attempt.task.stage
            spec = stage.spec
            if not spec.latency_target_ms or attempt.percent < 100:
                continue
            ratio = attempt.load / spec.latency_target_ms
            task = self._factors.observe_tail(spec.image, ratio)
            if learns:
                self._factors.learn(stage.name, task, best_effort, now)
            tasks.append((task, stage.name))
        return tuple(
            dataclasses.replace(task, own_load=self._factors.own_load(group))
            for task, group in tasks
        )

    def _move_if_starved(self, attempt: _job.Attempt, now: float) -> None:
        """Stop a run that is throttled for long, if it can run elsewhere."""
        if attempt.pace >= STARVED_PACE_PERCENT:
            attempt.starved_since = 0.0
        elif not attempt.starved_since:
            attempt.starved_since = now
        elif (
            now - attempt.starved_since > STARVED_S
            and attempt.task.stage.spec.saves_progress
            and not attempt.stop_reason
        ):
            node = self._node_for_move(attempt, now)
            if node:
                self._promise(node, attempt, now)
                self._scheduler_state.stop_run(
                    attempt, 'throttled for too long'
                )

    def _stop_before_drain_end(
        self, view: _worker_view.WorkerView, now: float
    ) -> None:
        """Stop runs that won't end before the drain does.

        Stopping them in time saves their progress.
        """
        remaining_s = max(0.0, view.drain_ends_at - now)
        for attempt in list(view.attempts.values()):
            if attempt.stop_reason or not attempt.listed_at:
                continue
            spec = attempt.task.stage.spec
            remaining_ratio = 1.0 - max(0, attempt.percent) / 100
            ends_in_time = (
                not spec.long_running
                and spec.estimate_s * remaining_ratio < remaining_s * 0.8
            )
            if not ends_in_time:
                self._scheduler_state.stop_run(
                    attempt, 'the worker is draining'
                )

    def _check_speeds(self, now: float) -> None:
        """Measure the workers' speeds, and move runs off slow workers."""
        views = [
            v for v in self._scheduler_state.workers.values() if v.usable(now)
        ]
        for view in views:
            for attempt in view.attempts.values():
                speed = _health.measured_speed(
                    _progress_of(attempt), view.list_made_at
                )
                if speed is not None:
                    view.speed = _health.smooth_speed(view.speed, speed)
                    view.speed_measured_at = now
            if now - view.speed_measured_at > _health.SPEED_VALID_S:
                view.speed = 1.0
        speeds = _health.relative_speeds(
            {view.node: view.speed for view in views}
        )
        for view in views:
            if speeds[view.node] < _health.MOVE_SPEED_RATIO:
                self._move_slow_runs(view, now)

    def _move_slow_runs(
        self, view: _worker_view.WorkerView, now: float
    ) -> None:
        for attempt in list(view.attempts.values()):
            spec = attempt.task.stage.spec
            if attempt.stop_reason or spec.gang or spec.fills:
                continue
            progress = _progress_of(attempt)
            speed = _health.measured_speed(progress, view.list_made_at)
            if speed is None or speed > _health.MOVE_SPEED_RATIO:
                continue
            if self._detect_long_tasks and _health.is_long_task(
                _other_speeds(view, attempt), attempt.task.moved_as_slow
            ):
                continue
            if not _health.faster_elsewhere(
                progress, speed, spec.saves_progress
            ):
                continue
            node = self._node_for_move(attempt, now)
            if node:
                self._promise(node, attempt, now)
                attempt.task.moved_as_slow = True
                self._scheduler_state.stop_run(attempt, 'the worker is slow')

    def _stop_split_gangs(self) -> None:
        """Stop members of gangs that others of the same run have left.

        A member whose start was refused doesn't come any more; the others
        would wait for it, and the gang for them. Ends of a gang are listed
        one after the other, so a gang must be split in two checks.
        """
        split = {
            stage
            for job in self._scheduler_state.jobs.values()
            if job.started and not job.ended_at
            for stage in job.known_stages()
            if stage.spec.gang
            and stage.has_waiting
            and any(task.attempts for task in stage.known_tasks())
        }
        for stage in split & self._split_gangs:
            for task in stage.known_tasks():
                for attempt in task.attempts:
                    self._scheduler_state.stop_run(
                        attempt, 'other members of its gang have no run'
                    )
        self._split_gangs = split

    def _check_progress(
        self, view: _worker_view.WorkerView, now: float
    ) -> None:
        stuck = [
            attempt
            for attempt in view.attempts.values()
            if _health.is_stuck(_progress_of(attempt), view.list_made_at)
        ]
        for attempt in stuck:
            if not attempt.stop_reason:
                attempt.task.stuck_runs += 1
                self._scheduler_state.stop_run(attempt, 'it makes no progress')
        if len(stuck) < 2 or now < view.avoid_until:
            return
        # Best-effort runs get only what other tasks leave.
        free_cpu = _round.remaining_capacity(view).free_cpu
        evidence = [
            attempt
            for attempt in stuck
            if not attempt.task.stage.spec.fills
            or free_cpu
            >= attempt.task.stage.spec.cpu_millis
            * _placement.MIN_IDLE_CPU_RATIO
        ]
        if len(evidence) >= 2:
            self._scheduler_state.avoid_worker(
                view, 'its runs make no progress', now
            )


def _best_effort_tasks(
    view: _worker_view.WorkerView, now: float
) -> list[tuple[_interference.BestEffortTask, _job.Attempt]]:
    """Return the best-effort tasks that run on a worker."""
    tasks = []
    for attempt in view.attempts.values():
        spec = attempt.task.stage.spec
        if spec.fills and attempt.listed_at:
            item = _interference.best_effort_task(
                spec,
                view.life.cpu_millis,
                attempt.pace,
                attempt.measured_pace(now),
            )
            tasks.append((item, attempt))
    return tasks


def _other_speeds(
    view: _worker_view.WorkerView, attempt: _job.Attempt
) -> list[float]:
    """Return the measured speeds of a worker's runs of other steps."""
    speeds = [
        _health.measured_speed(_progress_of(other), view.list_made_at)
        for other in view.attempts.values()
        if other.task.stage is not attempt.task.stage
    ]
    return [speed for speed in speeds if speed is not None]


def _progress_of(attempt: _job.Attempt) -> _health.RunProgress:
    spec = attempt.task.stage.spec
    return _health.RunProgress(
        percent=attempt.percent,
        moved_at=attempt.moved_at,
        listed_at=attempt.listed_at,
        steady_since=attempt.steady_since,
        steady_percent=attempt.steady_percent,
        estimate_s=spec.estimate_s,
        pace=attempt.pace,
        fills=spec.fills,
        long_running=spec.long_running,
        stuck_before=attempt.task.stuck_runs,
    )
