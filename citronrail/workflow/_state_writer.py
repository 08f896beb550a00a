"""Collects the writes that are due after a scheduling round."""

import collections.abc

import msgspec
import trio

from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _admission
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _progress_size
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_size
from citronrail.workflow.overload import _run_times

FACTORS_INTERVAL_S = 2.0  # between writes of the learned factors
# The learned factors accompany commits of jobs, which the store refuses as a
# whole if one value is too large.
MAX_LEARNED_BYTES = 262_144
LEARNED_VALUE_SHARE = 0.5  # of the longest value, the rest is for run times
MAX_BEGUN_DELAY_S = 1.0  # until it is stored that a job has begun
CLEANUP_INTERVAL_S = 5.0
FIRST_SHAPES_DELAY_S = 6.0
SHAPES_INTERVAL_S = 1.0
RETENTION_RATIO = 1.5  # of the time for which ended jobs have to be kept
# A job has three keys. All of them are deleted by the first transaction of a
# commit, which holds 28 documents.
MAX_JOBS_DELETED = 9
MAX_CANCELS_DELETED = 28  # at a time
# Steps of ended jobs that are forgotten at a time, in 3 ms.
MAX_STEPS_RELEASED = 5000
# For longer than a listing that shows a deleted job can be under way.
DELETION_REMEMBERED_S = 60.0
_JOB_KEY_PREFIXES = (
    documents.PROGRESS_PREFIX,
    documents.JOB_PREFIX,
    documents.CANCEL_PREFIX,
)
UnixClock = collections.abc.Callable[[], float]


def _never(_: str) -> bool:
    return False


class StateWriter:
    """Collects writes of changed jobs, learned factors and worker shapes.

    :param scheduler_state: jobs and workers.
    :param factors: learned interference factors.
    :param bounds: limits of the deployment.
    :param shapes: worker shapes that are stored already.
    :param unix_clock: Unix time in seconds.
    :param run_times: observed run times to store, None for none.
    """

    def __init__(
        self,
        scheduler_state: _scheduler_state.SchedulerState,
        factors: _interference.PairFactors,
        bounds: workflows.Bounds,
        shapes: _admission.Shapes,
        unix_clock: UnixClock,
        run_times: _run_times.RunTimes | None = None,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._factors = factors
        self._run_times = run_times
        self._bounds = bounds
        self._unix_clock = unix_clock
        self._shapes = frozenset(shapes)
        self._next_shapes_at = 0.0
        self._next_cleanup_at = 0.0
        self._next_factors_at = 0.0
        self._store_begun_at = 0.0
        self._last_commit: collections.abc.Callable[[], int] = int
        self._is_unloaded: collections.abc.Callable[[str], bool] = _never
        self._without_checkpoints: set[str] = set()  # logged jobs
        self._refused: set[str] = set()  # jobs whose progress is refused
        # Ended jobs whose segments are being deleted.
        self._without_segments: set[str] = set()
        # By job ID: revision before which it was stored, and local time.
        self._deleted: dict[str, tuple[int, float]] = {}

    def follow_commits(
        self, last_commit: collections.abc.Callable[[], int]
    ) -> None:
        """Set the function that tells deleted jobs from later ones.

        :param last_commit: returns the revision of the last commit.
        """
        self._last_commit = last_commit

    def keep_cancels_of(
        self, is_unloaded: collections.abc.Callable[[str], bool]
    ) -> None:
        """Set the function that tells of which jobs cancellations are kept.

        :param is_unloaded: returns whether a job is stored and not loaded.
        """
        self._is_unloaded = is_unloaded

    def was_deleted(self, job_id: str) -> bool:
        """Whether a job was deleted recently and not accepted again.

        :param job_id: ID of the job.
        """
        return job_id in self._deleted

    def on_job_seen(self, job_id: str, revision: int) -> None:
        """Record that the store shows a job; it may be a later one.

        The end of the deleted job was committed before its deletion was.

        :param job_id: ID of the job.
        :param revision: revision at which it was stored.
        """
        stored_before, _ = self._deleted.get(job_id, (revision, 0.0))
        if revision > stored_before:
            del self._deleted[job_id]

    def due_writes(self) -> list[ports.Put | ports.Delete]:
        """Return the writes that are due; the jobs remain marked as dirty.

        Their segments don't, so that all writes have to be committed.
        """
        due_writes: list[ports.Put | ports.Delete] = []
        # First, since a key may be written once only, and since the keys of a
        # job have to be deleted together.
        due_writes += self._cleanup_deletes()
        self._take_newly_begun()
        for job in self._scheduler_state.dirty:
            due_writes += self._progress_writes(job)
        due_writes += self._factor_writes(bool(due_writes))
        due_writes += self._shape_writes()
        acknowledges = any(
            view.applied > view.acknowledged
            for view in self._scheduler_state.workers.values()
        )
        if acknowledges and not due_writes:
            # Ends of runs of unknown jobs change no stored state.
            for view in self._scheduler_state.workers.values():
                view.acknowledged = view.applied
        return due_writes

    def _take_newly_begun(self) -> None:
        """Store which jobs have begun, with other writes or after a while.

        A successor counts those jobs as pending that haven't.
        """
        state = self._scheduler_state
        now = trio.current_time()
        if not state.newly_begun:
            self._store_begun_at = now + MAX_BEGUN_DELAY_S
        elif state.dirty or now >= self._store_begun_at:
            state.dirty |= state.newly_begun
            state.newly_begun.clear()

    def on_refused(
        self, refused: collections.abc.Sequence[ports.Put | ports.Delete]
    ) -> set[_job.Job]:
        """Handle writes that the store will never execute.

        A job whose progress can't be stored is failed: without a record of
        its runs a successor would start them again.

        :param refused: the writes.
        :returns: the jobs whose progress is not stored.
        """
        jobs = set()
        for write in refused:
            size = len(write.value) if isinstance(write, ports.Put) else 0
            metrics.DOCUMENTS_REFUSED.inc()
            observability.emit(
                events.DOCUMENT_REFUSED, key=write.key, size=size
            )
            if not write.key.startswith(documents.PROGRESS_PREFIX):
                continue
            job_id, _ = documents.parse_progress_key(write.key)
            job = self._scheduler_state.jobs.get(job_id)
            if job is not None:
                jobs.add(job)
        for job in jobs:
            if job.job_id in self._refused:
                continue  # not even its status is accepted
            self._refused.add(job.job_id)
            self._scheduler_state.dirty.add(job)  # its status alone
            if job.open:
                self._scheduler_state.fail_job(
                    job,
                    'storage',
                    'the store refuses its progress',
                    self._unix_clock(),
                )
        return jobs

    def _progress_writes(self, job: _job.Job) -> list[ports.Put]:
        """Return the writes of what has changed of a job.

        Its status comes last, so that a job is never shown as completed
        before the ends of all its tasks are stored.
        """
        if job.job_id in self._refused:
            status = documents.ProgressRecord(job.status, job.ended_at)
            key = documents.PROGRESS_PREFIX + job.job_id
            return [ports.Put(key, documents.encode(status))]
        writes: list[ports.Put] = []
        if job.segmented and job.job_id not in self._without_segments:
            for number in sorted(job.changed_segments):
                data = self._encode_fitting(job, job.segment_record(number))
                key = documents.segment_key(job.job_id, number)
                writes.append(ports.Put(key, data))
            job.stored_segments |= job.changed_segments
        job.changed_segments.clear()
        data = self._encode_fitting(job, job.progress())
        if not job.segmented or data != job.stored_progress:
            key = documents.PROGRESS_PREFIX + job.job_id
            writes.append(ports.Put(key, data))
            if job.segmented:
                job.stored_progress = data
        return writes

    def _encode_fitting(
        self, job: _job.Job, record: _progress_size.Progress
    ) -> bytes:
        """Encode progress, without parts if it is too long for a value.

        The store would refuse the whole commit. Runs of this scheduler still
        resume from their checkpoints, those of a successor begin anew.
        """
        limit = self._bounds.max_value_bytes
        data = documents.encode(record)
        if len(data) <= limit:
            return data
        if job.job_id not in self._without_checkpoints:
            self._without_checkpoints.add(job.job_id)
            observability.emit(
                events.CHECKPOINTS_NOT_STORED, job=job.job_id, size=len(data)
            )
        data = documents.encode(_progress_size.without_checkpoints(record))
        if len(data) <= limit:
            return data
        return documents.encode(_progress_size.without_evidence(record))

    def _factor_writes(self, has_other_writes: bool) -> list[ports.Put]:
        """Return the write of the learned factors, if it is due.

        It only accompanies other writes.
        """
        now = trio.current_time()
        if now < self._next_factors_at or not has_other_writes:
            return []
        self._next_factors_at = now + FACTORS_INTERVAL_S
        learned = self._factors.snapshot(
            min(
                MAX_LEARNED_BYTES,
                int(LEARNED_VALUE_SHARE * self._bounds.max_value_bytes),
            )
        )
        if self._run_times is not None:
            learned = _run_times.LearnedState(
                learned.factors,
                learned.rest_ratios,
                self._run_times.snapshot(),
            )
        return [ports.Put(documents.FACTORS_KEY, documents.encode(learned))]

    def _shape_writes(self) -> list[ports.Put]:
        """Return the write of the worker shapes, if there are new ones.

        The first write is delayed until most of the fleet has reported;
        otherwise entries would take the first few workers for the whole
        fleet.
        """
        now = trio.current_time()
        if not self._next_shapes_at:
            self._next_shapes_at = now + FIRST_SHAPES_DELAY_S
        if now < self._next_shapes_at:
            return []
        self._next_shapes_at = now + SHAPES_INTERVAL_S
        seen = {
            _admission.shape_of(view.life)
            for view in self._scheduler_state.workers.values()
        }
        if seen <= self._shapes:
            return []
        shapes = _admission.largest(self._shapes | seen)
        if shapes == self._shapes:
            return []
        self._shapes = shapes
        record = documents.FleetRecord(
            tuple(sorted(self._shapes, key=msgspec.structs.astuple))
        )
        data = documents.encode(record)
        if len(data) > self._bounds.max_value_bytes:
            # Without shapes, entries take every job to fit; with some of them,
            # they would reject jobs that fit the others.
            data = documents.encode(documents.FleetRecord())
        return [ports.Put(documents.FLEET_KEY, data)]

    def _cleanup_deletes(self) -> list[ports.Delete]:
        """Return the deletions that are due of what is no longer needed."""
        now = trio.current_time()
        if now < self._next_cleanup_at:
            return []
        self._next_cleanup_at = now + CLEANUP_INTERVAL_S
        self._release_ended_jobs()
        return self._expired_job_deletes(now) or self._expired_cancel_deletes(
            now
        )

    def _expired_cancel_deletes(self, now: float) -> list[ports.Delete]:
        """Return the deletions of cancellations whose job never came."""
        pending = self._scheduler_state.pending_cancels
        expired = [
            job_id
            for job_id, item in pending.items()
            if item.ends_at < now and not self._is_unloaded(job_id)
        ][:MAX_CANCELS_DELETED]
        if len(expired) == MAX_CANCELS_DELETED:
            self._next_cleanup_at = now
        for job_id in expired:
            del pending[job_id]
        return [
            ports.Delete(documents.CANCEL_PREFIX + job_id)
            for job_id in expired
        ]

    def _segment_deletes(
        self, job: _job.Job, planned: int
    ) -> list[ports.Delete]:
        """Return deletions of a job's segments; the job goes after the last.

        :param job: an ended job without runs.
        :param planned: number of deletions that are planned already.
        """
        self._without_segments.add(job.job_id)
        self._scheduler_state.dirty.discard(job)
        self._next_cleanup_at = 0.0
        count = MAX_JOBS_DELETED * len(_JOB_KEY_PREFIXES) - planned
        numbers = sorted(job.stored_segments)[:count]
        job.stored_segments.difference_update(numbers)
        return [
            ports.Delete(documents.segment_key(job.job_id, number))
            for number in numbers
        ]

    def _forget_steps(self, job: _job.Job) -> None:
        """Delete what was learned of the steps of a job that has ended."""
        for name in job.stage_names():
            self._factors.forget_load(name)
            if self._run_times is not None:
                self._run_times.forget_step(name)

    def _release_ended_jobs(self) -> None:
        """Let ended jobs whose last state was stored take little memory."""
        dirty = self._scheduler_state.dirty
        steps = 0
        for job in self._scheduler_state.jobs.values():
            if not job.ended_at or job.released or job in dirty:
                continue
            if job.changed_segments or any(True for _ in job.attempts()):
                continue
            steps += job.layout.stage_count
            self._forget_steps(job)
            job.release()
            job.size_bytes = _state_size.JOB_BYTES
            if steps >= MAX_STEPS_RELEASED:
                self._next_cleanup_at = 0.0
                return

    def _expired_job_deletes(self, now: float) -> list[ports.Delete]:
        """Return the deletions of jobs whose retention time has passed."""
        ended_before = (
            self._unix_clock() - RETENTION_RATIO * self._bounds.keep_ended_s
        )
        for job_id, (_, deleted_at) in list(self._deleted.items()):
            if now - deleted_at > DELETION_REMEMBERED_S:
                del self._deleted[job_id]
        deletes: list[ports.Delete] = []
        for job in list(self._scheduler_state.jobs.values()):
            if len(deletes) >= MAX_JOBS_DELETED * len(_JOB_KEY_PREFIXES):
                self._next_cleanup_at = now
                break
            if not job.ended_at or job.ended_at > ended_before:
                continue
            if any(True for _ in job.attempts()):
                continue
            if job.stored_segments:
                deletes += self._segment_deletes(job, len(deletes))
                continue
            del self._scheduler_state.jobs[job.job_id]
            self._scheduler_state.dirty.discard(job)
            self._without_checkpoints.discard(job.job_id)
            self._without_segments.discard(job.job_id)
            self._refused.discard(job.job_id)
            self._scheduler_state.pending_cancels.pop(job.job_id, None)
            self._deleted[job.job_id] = (self._last_commit(), now)
            self._forget_steps(job)
            deletes += [
                ports.Delete(prefix + job.job_id)
                for prefix in _JOB_KEY_PREFIXES
            ]
        return deletes
