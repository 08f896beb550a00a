"""Care for what runs: health of workers, pace of filling tasks, drains."""

from citronrail.workflow import _book
from citronrail.workflow import _fleet
from citronrail.workflow import _health
from citronrail.workflow import _job
from citronrail.workflow import _pacing

HEALTH_INTERVAL_S = 0.5
PACE_INTERVAL_S = 0.45


class Upkeep:
    """Looks at all workers from time to time.

    :param book: jobs and workers.
    """

    def __init__(self, book: _book.Book) -> None:
        self._book = book
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
            for view in self._book.workers.values():
                if view.usable(now):
                    self._check_progress(view, now)

    def copies(self, now: float) -> list[_job.Attempt]:
        """Return speculative copies to start; none yet."""
        del now
        return []

    def _pace(self, view: _fleet.WorkerView, now: float) -> None:
        """Set the pace of filling tasks once for each new list."""
        last = self._paced_list.get(view.node, 0.0)
        if view.listed_at <= last or now - last < PACE_INTERVAL_S:
            return
        self._paced_list[view.node] = now
        serving = []
        filling = []
        for attempt in view.attempts.values():
            spec = attempt.task.stage.spec
            if spec.latency_target_ms and attempt.listed_at:
                serving.append(
                    _pacing.Serving(spec.latency_target_ms, attempt.load)
                )
            elif spec.fills and attempt.listed_at:
                filling.append(attempt)
        if not filling:
            return
        ratio = _pacing.worst_ratio(tuple(serving))
        for attempt in filling:
            pace = _pacing.next_pace(ratio, attempt.pace)
            if pace != attempt.pace:
                attempt.pace = pace
                attempt.pace_due = True

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

    def _check_progress(self, view: _fleet.WorkerView, now: float) -> None:
        stuck = []
        for attempt in view.attempts.values():
            progress = _progress_of(attempt)
            speed = _health.speed_of(progress, view.listed_at)
            if speed is not None:
                view.speed = _health.smoothed(view.speed, speed)
            if _health.stuck(progress, view.listed_at):
                stuck.append(attempt)
        for attempt in stuck:
            if not attempt.stop_reason:
                self._book.stop(attempt, 'it makes no progress')
        if len(stuck) >= 2 and now >= view.avoid_until:
            self._book.avoid(view, 'its runs make no progress', now)


def _progress_of(attempt: _job.Attempt) -> _health.Progress:
    spec = attempt.task.stage.spec
    return _health.Progress(
        percent=attempt.percent,
        moved_at=attempt.moved_at,
        listed_at=attempt.listed_at,
        started_percent=attempt.started_percent,
        estimate_s=spec.estimate_s,
        pace=attempt.pace,
        fills=spec.fills,
        long_running=spec.long_running,
    )
