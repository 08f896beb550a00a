"""Care for what runs: health of workers, pace of filling tasks, drains."""

import dataclasses

from citronrail.workflow import _book
from citronrail.workflow import _fleet
from citronrail.workflow import _health
from citronrail.workflow import _interference
from citronrail.workflow import _job

HEALTH_INTERVAL_S = 0.5
PACE_INTERVAL_S = 0.2
STARVED_PACE = 30  # percent; below it a run hardly advances
STARVED_S = 2.0
# A target that is missed for this long shows that what was learned is wrong.
OVER_S = 0.7
STOP_ALL_S = 1.5  # then nothing may fill beside the task
MOVE_PACE = 80  # percent that another worker must allow


class Upkeep:
    """Looks at all workers from time to time.

    :param book: jobs and workers.
    :param factors: learned interference of pairs of images.
    """

    def __init__(
        self, book: _book.Book, factors: _interference.PairFactors
    ) -> None:
        self._book = book
        self._factors = factors
        self._health_at = 0.0
        self._paced_list: dict[str, float] = {}

    def run(self, now: float) -> None:
        """Take the decisions that are due.

        :param now: local time in seconds.
        """
        for view in self._book.workers.values():
            self._pace(view, now)
            if view.draining:
                self._leave(view, now)
        if now >= self._health_at:
            self._health_at = now + HEALTH_INTERVAL_S
            self._check_speeds(now)
            for view in self._book.workers.values():
                if view.usable(now):
                    self._check_progress(view, now)

    def _pace(self, view: _fleet.WorkerView, now: float) -> None:
        """Set the pace of filling tasks once for each new list."""
        last = self._paced_list.get(view.node, 0.0)
        if view.listed_at <= last or now - last < PACE_INTERVAL_S:
            return
        self._paced_list[view.node] = now
        filling = _filling(view, now)
        tasks = tuple(item for item, _ in filling)
        view.serving = self._measure(view, tasks, now)
        if not filling:
            view.over_since = 0.0
            view.in_emergency = False
            return
        new = _interference.paces(view.serving, tasks, self._factors)
        over_s = self._over_for(view, now)
        view.in_emergency = over_s > OVER_S
        if view.in_emergency:
            new = _interference.emergency_paces(
                view.serving,
                tasks,
                self._factors,
                everything=over_s > STOP_ALL_S,
            )
        for (_, attempt), pace in zip(filling, new):
            if view.in_emergency:
                attempt.pace_due = True  # an earlier order may be lost
            if pace != attempt.pace:
                attempt.set_pace(pace, now)
                attempt.pace_due = True
                attempt.moved_at = now  # what follows is another speed
                attempt.steady_since = now
                attempt.steady_percent = attempt.percent
            self._move_if_starved(attempt, now)

    def _over_for(self, view: _fleet.WorkerView, now: float) -> float:
        """Return for how long a target of the worker has been missed."""
        if not any(task.at_target for task in view.serving):
            view.over_since = 0.0
            return 0.0
        view.over_since = view.over_since or now
        return now - view.over_since

    def _measure(
        self,
        view: _fleet.WorkerView,
        filling: tuple[_interference.Filling, ...],
        now: float,
    ) -> tuple[_interference.Serving, ...]:
        """Learn from a worker's list, and return its serving tasks."""
        found = []
        for attempt in view.attempts.values():
            stage = attempt.task.stage
            spec = stage.spec
            if not spec.latency_target_ms or attempt.percent < 100:
                continue
            ratio = attempt.load / spec.latency_target_ms
            task = self._factors.observe(spec.image, ratio)
            self._factors.learn(stage.name, task, filling, now)
            found.append((task, stage.name))
        return tuple(
            dataclasses.replace(task, own_load=self._factors.own_load(group))
            for task, group in found
        )

    def _move_if_starved(self, attempt: _job.Attempt, now: float) -> None:
        """Stop a run that is paced down for long; its progress is saved."""
        if attempt.pace >= STARVED_PACE:
            attempt.starved_since = 0.0
        elif not attempt.starved_since:
            attempt.starved_since = now
        elif now - attempt.starved_since > STARVED_S and self._finds_place(
            attempt, now
        ):
            self._book.stop(attempt, 'paced down for too long')

    def _finds_place(self, attempt: _job.Attempt, now: float) -> bool:
        """Whether another worker would let a run work at once."""
        spec = attempt.task.stage.spec
        if not spec.saves_progress or attempt.stop_reason:
            return False
        for view in self._book.workers.values():
            if view.node == attempt.node or not view.usable(now):
                continue
            pace = _interference.affordable_pace(
                view.serving,
                tuple(item for item, _ in _filling(view, now)),
                _interference.filling_task(spec, view.life.cpu_millis),
                self._factors,
            )
            if pace >= MOVE_PACE:
                return True
        return False

    def _leave(self, view: _fleet.WorkerView, now: float) -> None:
        """Stop what won't end before the worker does, to save progress."""
        left_s = max(0.0, view.drain_ends_at - now)
        for attempt in list(view.attempts.values()):
            if attempt.stop_reason or not attempt.listed_at:
                continue
            spec = attempt.task.stage.spec
            share_left = 1.0 - max(0, attempt.percent) / 100
            ends_in_time = (
                not spec.long_running
                and spec.estimate_s * share_left < left_s * 0.8
            )
            if not ends_in_time:
                self._book.stop(attempt, 'the worker is leaving')

    def _check_speeds(self, now: float) -> None:
        """Measure workers, and move runs away from the slow ones."""
        views = [v for v in self._book.workers.values() if v.usable(now)]
        for view in views:
            for attempt in view.attempts.values():
                speed = _health.speed_of(_progress_of(attempt), view.listed_at)
                if speed is not None:
                    view.speed = _health.smoothed(view.speed, speed)
                    view.speed_at = now
            if now - view.speed_at > _health.SPEED_VALID_S:
                view.speed = 1.0
        speeds = _health.relative_speeds(
            {view.node: view.speed for view in views}
        )
        for view in views:
            if speeds[view.node] < _health.SLOW_SHARE:
                self._move_slow(view)

    def _move_slow(self, view: _fleet.WorkerView) -> None:
        for attempt in list(view.attempts.values()):
            spec = attempt.task.stage.spec
            if attempt.stop_reason or spec.gang or spec.fills:
                continue
            progress = _progress_of(attempt)
            speed = _health.speed_of(progress, view.listed_at)
            if speed is None or speed > _health.SLOW_SHARE:
                continue
            if _health.better_moved(progress, speed, spec.saves_progress):
                self._book.stop(attempt, 'the worker is slow')

    def _check_progress(self, view: _fleet.WorkerView, now: float) -> None:
        stuck = [
            attempt
            for attempt in view.attempts.values()
            if _health.stuck(_progress_of(attempt), view.listed_at)
        ]
        for attempt in stuck:
            if not attempt.stop_reason:
                self._book.stop(attempt, 'it makes no progress')
        if len(stuck) >= 2 and now >= view.avoid_until:
            self._book.avoid(view, 'its runs make no progress', now)


def _filling(
    view: _fleet.WorkerView, now: float
) -> list[tuple[_interference.Filling, _job.Attempt]]:
    """Return the filling tasks that work on a worker."""
    found = []
    for attempt in view.attempts.values():
        spec = attempt.task.stage.spec
        if spec.fills and attempt.listed_at:
            item = _interference.filling_task(
                spec,
                view.life.cpu_millis,
                attempt.pace,
                attempt.seen_pace(now),
            )
            found.append((item, attempt))
    return found


def _progress_of(attempt: _job.Attempt) -> _health.Progress:
    spec = attempt.task.stage.spec
    return _health.Progress(
        percent=attempt.percent,
        moved_at=attempt.moved_at,
        listed_at=attempt.listed_at,
        steady_since=attempt.steady_since,
        steady_percent=attempt.steady_percent,
        estimate_s=spec.estimate_s,
        pace=attempt.pace,
        fills=spec.fills,
        long_running=spec.long_running,
    )
