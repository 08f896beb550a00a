"""In-memory state of the scheduler: jobs, workers and runs."""

import collections
import collections.abc
import dataclasses
import heapq
import math

from citronrail import errors
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _health
from citronrail.workflow import _host_losses
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _worker_view

# A run that an earlier scheduler ordered is stopped if the lists of so long a
# time, on the worker's clock, don't show it. Its start may be under way.
INHERITED_GRACE_MS = 1200
MAX_LEASES_LEFT_SEGMENTS = 28  # as many as one transaction of a commit holds
MIN_LEASE_LEFT_S = 0.001  # in a record; 0 has another meaning
# For longer than a write that got no answer may take to take effect.
PENDING_CANCEL_S = 30.0
STOP_RETRY_S = 0.6  # interval at which a stop order is repeated


@dataclasses.dataclass(frozen=True)
class PendingCancel:
    """Cancellation of an unknown job.

    :param ends_at: local time until which it is kept, in seconds.
    :param revision: revision of the store at which it was stored.
    """

    ends_at: float
    revision: int


QueueLookup = collections.abc.Callable[[str], workflows.Queue | None]


class SchedulerState:
    """Jobs and workers, updated by reports and scheduling rounds.

    All methods are synchronous. Jobs that have to be stored are collected in
    :attr:`dirty`.

    :param queue_named: looks up a queue in the current configuration.
    """

    def __init__(self, queue_named: QueueLookup) -> None:
        self.queue_named = queue_named
        self.jobs: dict[str, _job.Job] = {}
        self.workers: dict[str, _worker_view.WorkerView] = {}
        self.host_losses = _host_losses.HostLosses()
        self.dirty: set[_job.Job] = set()
        # Jobs that have begun since their progress was stored.
        self.newly_begun: set[_job.Job] = set()
        # Cancellations of unknown jobs, by their IDs.
        self.pending_cancels: dict[str, PendingCancel] = {}
        # By agent: runs of an earlier scheduler whose worker has not reported
        # to this one.
        self.inherited_runs: dict[str, list[_job.Attempt]] = {}
        self.inherited_end_at = 0.0  # by then these have certainly ended
        self.progress: dict[str, documents.ProgressRecord] = {}
        # By job ID and number.
        self.segments: dict[str, dict[int, bytes]] = {}
        # Runs that were stopped or discarded since the last summary, by queue
        # and reason.
        self.stopped_runs: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    # Jobs

    def restore_progress(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Decode the stored progress of jobs that are added later.

        :param items: all items under the prefix of the progress.
        """
        for item in items:
            job_id, number = documents.parse_progress_key(item.key)
            if number is None:
                progress = decode_item(
                    item.key, item.value, documents.ProgressRecord
                )
                if progress is not None:
                    self.progress[job_id] = progress
                continue
            segment = decode_item(
                item.key, item.value, documents.SegmentRecord
            )
            if segment is not None:
                self.segments.setdefault(job_id, {})[number] = item.value

    def has_stored_progress(self, job_id: str) -> bool:
        """Whether progress of a job that is not added yet was restored."""
        return job_id in self.progress or job_id in self.segments

    def mark_changed(self, task: _job.Task) -> None:
        """Let the next commit store the progress of a task."""
        job = task.stage.job
        job.changed_segments.add(task.segment)
        self.dirty.add(job)

    def mark_begun(self, job: _job.Job) -> None:
        """Record that a worker has listed a run of a job, or its end."""
        if not job.begun:
            job.begun = True
            self.newly_begun.add(job)

    def add_job(
        self,
        record: documents.JobRecord,
        now: float,
        unix_now: float,
        size_bytes: int = 0,
    ) -> None:
        """Add an accepted job, unless it is known already.

        :param record: the stored job.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        :param size_bytes: memory that it takes, see :mod:`_state_size`.
        """
        if record.job_id in self.jobs:
            return
        age_s = min(600.0, max(0.0, unix_now - record.accepted_at))
        job = _job.Job(record, now - age_s)
        job.size_bytes = size_bytes
        job.host_losses = self.host_losses
        self.jobs[record.job_id] = job
        progress = self.progress.pop(record.job_id, None)
        segments = self.segments.pop(record.job_id, {})
        if progress is None and segments:
            # The first commit of its progress has been stored in part.
            progress = documents.ProgressRecord(documents.JobStatus.QUEUED)
        if progress is not None:
            job.restore(progress, _StoredSegments(segments))
            for attempt in job.attempts():
                if attempt.lease_left_s:
                    attempt.leases_end_at = now + attempt.lease_left_s
                self.inherited_runs.setdefault(attempt.node, []).append(
                    attempt
                )
                if not job.open:
                    self.stop_run(attempt, 'the job has ended')
        pending = self.pending_cancels.pop(record.job_id, None)
        if pending is not None:
            self.cancel_job(record.job_id, now, unix_now, pending.revision)

    def cancel_job(
        self, job_id: str, now: float, unix_now: float, revision: int = 0
    ) -> None:
        """Cancel a job, or remember the cancellation until it is added.

        :param job_id: ID of the job.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        :param revision: revision of the store at which the cancellation was
            stored; 0 if it is known to be later than the job. One that was
            stored before the job was submitted doesn't hold.
        """
        job = self.jobs.get(job_id)
        if job is None:
            known = self.pending_cancels.get(job_id)
            if known is None or revision > known.revision:
                self.pending_cancels[job_id] = PendingCancel(
                    now + PENDING_CANCEL_S, revision
                )
            return
        if 0 < revision <= job.record.submitted_after:
            return
        if job.open:
            job.cancelled = True
            self.end_job(job, unix_now, 'the job was cancelled')

    def fail_job(
        self, job: _job.Job, cause: str, detail: str, unix_now: float
    ) -> None:
        """End a job as failed.

        :param job: an open job.
        :param cause: kind of evidence, for metrics.
        :param detail: the evidence, for the log.
        :param unix_now: Unix time in seconds.
        """
        job.failed = True
        metrics.JOBS_FAILED.labels(cause).inc()
        observability.emit(
            events.JOB_FAILED, job=job.job_id, evidence=cause, detail=detail
        )
        self.end_job(job, unix_now, f'the job has failed for its {cause}')

    def end_job(self, job: _job.Job, unix_now: float, reason: str) -> None:
        """Mark a job as ended and stop its remaining runs."""
        job.ended_at = unix_now
        self.dirty.add(job)
        for attempt in job.attempts():
            self.stop_run(attempt, reason)
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

    def stop_run(self, attempt: _job.Attempt, reason: str) -> None:
        """Request that a run be stopped."""
        if not attempt.stop_reason:
            attempt.stop_reason = reason
            metrics.RUNS_STOPPED.labels(reason).inc()
            self._count_stopped(attempt, reason)
            observability.emit(
                events.RUN_STOPPED,
                task=attempt.task.name,
                run=attempt.number,
                worker=attempt.worker_id,
                reason=reason,
            )

    def find_task(self, name: str) -> _job.Task | None:
        """Return a task by name, or None if it is unknown."""
        job_id, _, rest = name.partition('.')
        job = self.jobs.get(job_id)
        if job is None:
            return None
        try:
            occurrence, step, index = (int(part) for part in rest.split('.'))
        except ValueError:
            return None
        return job.find_task(occurrence, step, index)

    # Workers

    def avoid_worker(
        self, view: _worker_view.WorkerView, reason: str, now: float
    ) -> None:
        """Exclude a worker from placement for a while."""
        view.avoid_until = now + _health.AVOID_S
        observability.emit(
            events.WORKER_AVOIDED,
            worker=view.worker_id,
            seconds=_health.AVOID_S,
            reason=reason,
        )

    def discard_run(
        self, attempt: _job.Attempt, reason: str, now: float
    ) -> None:
        """Remove a run that certainly doesn't run and never will.

        Its task may be placed again at once.
        """
        observability.emit(
            events.RUN_DISCARDED,
            task=attempt.task.name,
            run=attempt.number,
            worker=attempt.worker_id,
            reason=reason,
        )
        self._count_stopped(attempt, reason)
        self.remove_run(attempt)
        attempt.task.retry_at = now

    def _count_stopped(self, attempt: _job.Attempt, reason: str) -> None:
        queue = attempt.task.stage.job.record.queue
        self.stopped_runs[queue, reason] += 1

    def remove_run(self, attempt: _job.Attempt) -> None:
        """Remove a run that has ended or never started."""
        task = attempt.task
        if attempt in task.attempts:
            task.attempts.remove(attempt)
            task.stage.settle(task)
        view = self.workers.get(attempt.node)
        if view is not None and view.attempts.get(attempt.key) is attempt:
            del view.attempts[attempt.key]
            view.capacity = None
        self.mark_changed(task)

    def mark_disconnected(self, node: str) -> None:
        """Mark the worker of an unreachable agent as disconnected."""
        view = self.workers.get(node)
        if view is not None:
            view.connected = False
            # If the agent was restarted, its reports are counted anew.
            view.reports_applied = view.reports_confirmed = 0

    def inherited_leases_end_at(self, attempt: _job.Attempt) -> float:
        """Return when all leases of an inherited run's worker have ended."""
        return min(self.inherited_end_at, attempt.leases_end_at)

    def take_expired_inherited_runs(self, now: float) -> list[_job.Attempt]:
        """Remove inherited runs that need not be waited for any more.

        :param now: local time in seconds.
        :returns: those whose leases have certainly ended. Others were removed
            before, such as those of a deleted job.
        """
        expired = []
        for node, attempts in list(self.inherited_runs.items()):
            kept = []
            for attempt in attempts:
                if attempt not in attempt.task.attempts:
                    continue
                if now > self.inherited_leases_end_at(attempt):
                    expired.append(attempt)
                else:
                    kept.append(attempt)
            self.inherited_runs[node] = kept
            if not kept:
                del self.inherited_runs[node]
        return expired

    def update_leases_left(self, now: float) -> None:
        """Let the next commit store when leases of silent workers end.

        Otherwise each new scheduler would wait for them from its start. An
        outdated time is safe, only longer. Segments of jobs whose time is
        missing or the oldest go first, since a data centre has runs of most
        jobs.

        :param now: local time in seconds.
        """
        silent: dict[tuple[_job.Job, int], list[_job.Attempt]] = {}
        ends_at: dict[_job.Attempt, float] = {}
        for attempt, end in self._silent_runs(now):
            task = attempt.task
            key = (task.stage.job, task.segment)
            silent.setdefault(key, []).append(attempt)
            ends_at[attempt] = end
        oldest = heapq.nlargest(
            MAX_LEASES_LEFT_SEGMENTS,
            silent.values(),
            key=lambda runs: max(
                item.lease_left_s or math.inf for item in runs
            ),
        )
        for runs in oldest:
            for attempt in runs:
                left_s = ends_at[attempt] - now
                attempt.lease_left_s = max(MIN_LEASE_LEFT_S, left_s)
            self.mark_changed(runs[0].task)

    def _silent_runs(
        self, now: float
    ) -> collections.abc.Iterator[tuple[_job.Attempt, float]]:
        """Iterate over runs of silent workers and when their leases end.

        No lease of a silent worker is extended before it is heard of again.
        """
        for attempts in self.inherited_runs.values():
            for attempt in attempts:
                if attempt in attempt.task.attempts:
                    yield attempt, self.inherited_leases_end_at(attempt)
        for view in self.workers.values():
            if view.token_confirmed and view.is_silent(now):
                for attempt in view.attempts.values():
                    if attempt.ordered:
                        yield attempt, view.lease_ends_at

    def withdraw_leases_left(self, view: _worker_view.WorkerView) -> None:
        """Withdraw the stored bounds on the leases of a worker's runs.

        A successor must not rely on them once leases are extended, which the
        next commit permits.

        :param view: a worker that has been heard of.
        """
        for attempt in view.attempts.values():
            if attempt.lease_left_s:
                attempt.lease_left_s = 0.0
                view.may_extend_leases = False
                self.mark_changed(attempt.task)

    def expire_leases(self, now: float) -> None:
        """Discard runs whose leases have certainly expired.

        :param now: local time in seconds.
        """
        for view in self.workers.values():
            if not view.leases_expired(now):
                continue
            observability.emit(
                events.WORKER_LEASES_EXPIRED, worker=view.worker_id
            )
            for attempt in list(view.attempts.values()):
                if attempt.ordered:
                    self.discard_run(attempt, 'its lease has expired', now)


class _StoredSegments(collections.abc.Mapping[int, documents.SegmentRecord]):
    """Stored segments of a job that are decoded on access.

    Decoded, they take ten times as much memory.

    :param values: valid encoded segments, by number.
    """

    def __init__(self, values: dict[int, bytes]) -> None:
        self._values = values

    def __getitem__(self, number: int) -> documents.SegmentRecord:
        return documents.decode(self._values[number], documents.SegmentRecord)

    def __iter__(self) -> collections.abc.Iterator[int]:
        return iter(self._values)

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, number: object) -> bool:
        return number in self._values


def decode_item(
    key: str, data: bytes, kind: type[documents.T]
) -> documents.T | None:
    """Decode a stored item; count, log and skip it if it is invalid."""
    try:
        record = documents.decode(data, kind)
        documents.check(key, record)
        return record
    except errors.Undecodable as exc:
        metrics.RECORDS_REFUSED.labels(kind.__name__).inc()
        observability.emit(events.DOCUMENT_UNREADABLE, key=key, reason=exc)
        return None
