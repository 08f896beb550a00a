"""What the scheduling entry knows: jobs, workers and runs."""

import collections.abc

import msgspec

from citronrail.model import messages
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _documents as documents
from citronrail.workflow import _fleet
from citronrail.workflow import _health
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics

RETRY_PAUSE_S = 0.3  # after a refused or failed run of a task
MISSING_S = 1.2  # an ordered run that no list shows is then stopped
STOP_AGAIN_S = 0.6

QueueLookup = collections.abc.Callable[[str], workflows.Queue | None]


class Book:
    """Jobs and workers, changed by reports and by the scheduler's rounds.

    Nothing here waits; what has to be stored is collected in :attr:`dirty`.

    :param queue_named: finds a queue of the configuration in force.
    :param bounds: limits of the deployment.
    """

    def __init__(
        self, queue_named: QueueLookup, bounds: workflows.Bounds
    ) -> None:
        self._queue_named = queue_named
        self._bounds = bounds
        self.jobs: dict[str, _job.Job] = {}
        self.workers: dict[str, _fleet.WorkerView] = {}
        self.dirty: set[_job.Job] = set()
        self.early_cancels: set[str] = set()
        # Runs of an earlier scheduler whose worker has not reported yet.
        self.unseen: dict[str, list[_job.Attempt]] = {}
        self.unseen_end_at = 0.0  # when these have surely ended
        self.progress: dict[str, documents.ProgressRecord] = {}

    # Jobs

    def add_job(
        self, record: documents.JobRecord, now: float, unix_now: float
    ) -> None:
        """Take up an accepted job; one that is known is left as it is."""
        if record.job_id in self.jobs:
            return
        age_s = min(600.0, max(0.0, unix_now - record.accepted_at))
        job = _job.Job(record, now - age_s)
        self.jobs[record.job_id] = job
        progress = self.progress.pop(record.job_id, None)
        if progress is not None:
            job.restore(progress)
            for attempt in job.attempts():
                self.unseen.setdefault(attempt.node, []).append(attempt)
                if not job.open:
                    self.stop(attempt, 'the job has ended')
        if record.job_id in self.early_cancels:
            self.early_cancels.discard(record.job_id)
            self.cancel_job(record.job_id, unix_now)

    def cancel_job(self, job_id: str, unix_now: float) -> None:
        """End a job that its caller has cancelled."""
        job = self.jobs.get(job_id)
        if job is None:
            self.early_cancels.add(job_id)
            return
        if job.open:
            job.cancelled = True
            self._end_job(job, unix_now, 'the job was cancelled')

    def _end_job(self, job: _job.Job, unix_now: float, reason: str) -> None:
        job.ended_at = unix_now
        self.dirty.add(job)
        for attempt in job.attempts():
            self.stop(attempt, reason)
        metrics.JOBS_ENDED.labels(job.status.value).inc()
        metrics.JOB_SECONDS.labels(job.status.value).observe(
            max(0.0, unix_now - job.record.accepted_at)
        )
        observability.emit(
            events.JOB_ENDED,
            job=job.job_id,
            status=job.status.value,
            seconds=round(unix_now - job.record.accepted_at, 2),
        )

    def stop(self, attempt: _job.Attempt, reason: str) -> None:
        """Have a run stopped as soon as its worker is reached."""
        if not attempt.stop_reason:
            attempt.stop_reason = reason
            observability.emit(
                events.RUN_STOPPED,
                task=attempt.task.name,
                run=attempt.number,
                worker=attempt.worker_id,
                reason=reason,
            )

    def find_task(self, name: str) -> _job.Task | None:
        """Return a task by its name, None if it isn't known."""
        job_id, _, rest = name.partition('.')
        job = self.jobs.get(job_id)
        if job is None:
            return None
        try:
            occurrence, step, index = (int(part) for part in rest.split('.'))
            width = len(job.record.spec.steps)
            stage = job.stages[occurrence * width + step]
            return stage.tasks[index]
        except (ValueError, IndexError):
            return None

    # Workers

    def take_report(
        self,
        node: str,
        report: messages.WorkerReport,
        fencing: int,
        now: float,
        unix_now: float,
    ) -> None:
        """Take note of what an agent says of its worker.

        :param node: the agent.
        :param report: the report.
        :param fencing: token of this scheduler.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        if report.life is None:
            return
        view = self._view_of(node, report.life, now)
        if view is None:
            return
        view.connected = True
        for refused in report.refused:
            self._refused(view, refused, now)
        if report.fencing != fencing or not report.clock_ms:
            return
        if not view.fenced:
            view.fenced = True
            self._attach_unseen(view, now)
        view.note_list(report.clock_ms, now)
        for end in report.ended:
            if end.number > view.applied:
                view.applied = end.number
                self._ended(view, end, now, unix_now)
        self._note_running(view, report, now)

    def _view_of(
        self, node: str, life: messages.WorkerLife, now: float
    ) -> _fleet.WorkerView | None:
        """Return the view of the life that an agent reports.

        :returns: None if the report is of an earlier life.
        """
        view = self.workers.get(node)
        if view is not None and view.is_life(life.worker_id, life.born_ms):
            if life.state != view.life.state:
                self._log_life(node, life)
            if life.state != 'ready' and not view.draining_since:
                view.draining_since = now
            view.drain_ends_at = now + life.drain_left_s
            view.life = life
            return view
        if view is not None and life.born_ms < view.life.born_ms:
            return None
        self._log_life(node, life)
        new = _fleet.WorkerView(node, life, now)
        new.lease_ends_at = now + self._bounds.max_lease_s * 1.05
        if life.state != 'ready':
            new.draining_since = now
        self.workers[node] = new
        if view is not None:
            for attempt in list(view.attempts.values()):
                self._move_to_life(attempt, new, now)
        return new

    def _log_life(self, node: str, life: messages.WorkerLife) -> None:
        observability.emit(
            events.WORKER_LIFE,
            worker=life.worker_id,
            born=life.born_ms,
            node=node,
            state=life.state,
        )

    def _attach_unseen(self, view: _fleet.WorkerView, now: float) -> None:
        view.lease_ends_at = max(view.lease_ends_at, self.unseen_end_at)
        for attempt in self.unseen.pop(view.node, ()):
            if attempt not in attempt.task.attempts:
                continue
            if view.is_life(attempt.worker_id, attempt.born_ms):
                view.attempts[attempt.key] = attempt
                attempt.order_sent_at = now
            else:
                self._move_to_life(attempt, view, now)

    def _move_to_life(
        self, attempt: _job.Attempt, view: _fleet.WorkerView, now: float
    ) -> None:
        """Decide what a new life of the worker means for an old run.

        The run itself ended with the old life. Only a start that was never
        seen carried out could still reach a new life with the same id.
        """
        if attempt.worker_id != view.worker_id or attempt.listed_at:
            self.void(attempt, 'the worker began a new life', now)
            return
        attempt.born_ms = view.life.born_ms
        attempt.missing_since = now
        view.attempts[attempt.key] = attempt
        self.stop(attempt, 'ordered from an earlier life')

    def _note_running(
        self,
        view: _fleet.WorkerView,
        report: messages.WorkerReport,
        now: float,
    ) -> None:
        listed = set()
        for row in report.running:
            key = (row.task, row.run)
            listed.add(key)
            attempt = view.attempts.get(key)
            if attempt is None:
                view.stray_stops.setdefault(key, 0.0)
                continue
            _note_row(attempt, row, now)
        for key in [key for key in view.stray_stops if key not in listed]:
            del view.stray_stops[key]
        stopped = {(item.task, item.run) for item in report.stopped}
        for key, attempt in list(view.attempts.items()):
            if key in listed or not attempt.ordered:
                continue
            if key in stopped:
                self.void(attempt, 'stopped before it began', now)
            elif not attempt.missing_since:
                attempt.missing_since = now

    def _refused(
        self,
        view: _fleet.WorkerView,
        refused: messages.RefusedStart,
        now: float,
    ) -> None:
        attempt = view.attempts.get((refused.task, refused.run))
        if attempt is None or attempt.listed_at:
            return
        observability.emit(
            events.RUN_REFUSED,
            task=refused.task,
            run=refused.run,
            worker=view.worker_id,
            reason=refused.reason,
        )
        self._remove(attempt)
        attempt.task.retry_at = now + RETRY_PAUSE_S

    def _ended(
        self,
        view: _fleet.WorkerView,
        end: messages.EndRow,
        now: float,
        unix_now: float,
    ) -> None:
        task = self.find_task(end.task)
        if task is None:
            return
        attempt = view.attempts.get((end.task, end.run))
        known = attempt is not None
        if attempt is not None:
            self._remove(attempt)
        metrics.RUNS_ENDED.labels(end.how).inc()
        observability.emit(
            events.RUN_ENDED,
            task=end.task,
            run=end.run,
            worker=view.worker_id,
            how=end.how,
        )
        job = task.stage.job
        self.dirty.add(job)
        if end.checkpoint and end.run >= task.last_run:
            task.checkpoint = end.checkpoint
        if end.how == 'done':
            view.failed_jobs.clear()
            self._task_done(task, unix_now)
        elif end.how == 'failed' and known:
            self._task_failed(view, task, now, unix_now)
        elif known and end.how != 'stopped':
            task.retry_at = now + RETRY_PAUSE_S

    def _task_done(self, task: _job.Task, unix_now: float) -> None:
        stage = task.stage
        if stage.spec.long_running:
            return
        stage.mark_done(task)
        if stage.spec.gang:
            for member in stage.tasks:
                stage.mark_done(member)
        for member in stage.tasks if stage.spec.gang else (task,):
            for other in member.attempts:
                if not stage.spec.gang:
                    self.stop(other, 'another copy is done')
        job = stage.job
        if job.status is documents.JobStatus.COMPLETED and not job.ended_at:
            self._end_job(job, unix_now, 'the job is complete')

    def _task_failed(
        self,
        view: _fleet.WorkerView,
        task: _job.Task,
        now: float,
        unix_now: float,
    ) -> None:
        stage = task.stage
        job = stage.job
        task.failures += 1
        task.retry_at = now + RETRY_PAUSE_S
        task.failed_on = view.node
        job.failed_on.add(view.node)
        if job.failed_on == {view.node}:
            # A job that fails elsewhere too speaks against itself.
            view.failed_jobs = [*view.failed_jobs[-8:], job.job_id]
        if _health.should_avoid(view.failed_jobs):
            self.avoid(view, 'it fails what it starts', now)
            view.failed_jobs.clear()
        if stage.spec.long_running or task.done:
            return
        queue = self._queue_named(job.record.queue)
        if queue is None:
            return  # the configuration no longer says how often to try
        failures = task.failures
        if stage.spec.gang:
            failures = max(member.failures for member in stage.tasks)
        if failures >= queue.max_attempts and job.open:
            job.failed = True
            self._end_job(job, unix_now, 'the job has failed')

    def avoid(self, view: _fleet.WorkerView, reason: str, now: float) -> None:
        """Place nothing on a worker for a while."""
        view.avoid_until = now + _health.AVOID_S
        observability.emit(
            events.WORKER_SUSPECT,
            worker=view.worker_id,
            seconds=_health.AVOID_S,
            reason=reason,
        )

    def void(self, attempt: _job.Attempt, reason: str, now: float) -> None:
        """Note that a run doesn't exist and never will."""
        observability.emit(
            events.RUN_VOID,
            task=attempt.task.name,
            run=attempt.number,
            worker=attempt.worker_id,
            reason=reason,
        )
        self._remove(attempt)
        attempt.task.retry_at = now

    def _remove(self, attempt: _job.Attempt) -> None:
        task = attempt.task
        if attempt in task.attempts:
            task.attempts.remove(attempt)
        view = self.workers.get(attempt.node)
        if view is not None and view.attempts.get(attempt.key) is attempt:
            del view.attempts[attempt.key]
        self.dirty.add(task.stage.job)

    def disconnected(self, node: str) -> None:
        """Note that an agent is no longer reached."""
        view = self.workers.get(node)
        if view is not None:
            view.connected = False

    def expire(self, now: float) -> None:
        """Void runs whose leases have certainly lapsed.

        :param now: local time in seconds.
        """
        for view in self.workers.values():
            if not view.attempts or now <= view.lease_ends_at:
                continue
            observability.emit(events.WORKER_LAPSED, worker=view.worker_id)
            for attempt in list(view.attempts.values()):
                if attempt.ordered:
                    self.void(attempt, 'its lease has lapsed', now)
        if self.unseen and now > self.unseen_end_at:
            unseen, self.unseen = self.unseen, {}
            for attempts in unseen.values():
                for attempt in attempts:
                    if attempt in attempt.task.attempts:
                        self.void(attempt, 'its lease has lapsed', now)


def _note_row(attempt: _job.Attempt, row: messages.RunRow, now: float) -> None:
    attempt.missing_since = 0.0
    if not attempt.listed_at:
        attempt.listed_at = now
        attempt.steady_since = now
        attempt.steady_percent = row.percent
    if row.percent != attempt.percent:
        attempt.percent = row.percent
        attempt.moved_at = now
    attempt.load = row.load
    if row.checkpoint:
        attempt.task.checkpoint = row.checkpoint


def decode_item(
    key: str, data: bytes, kind: type[documents.T]
) -> documents.T | None:
    """Decode an item of the store; one of another writer is passed over."""
    try:
        return documents.decode(data, kind)
    except msgspec.DecodeError as exc:
        observability.emit(events.DOCUMENT_UNREADABLE, key=key, reason=exc)
        return None
