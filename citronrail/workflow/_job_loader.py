"""Adds stored jobs to the scheduler's state while there is memory for them.

The store may hold more than this process can: jobs that were accepted by
earlier versions, under a leader with more memory, or by several entries at the
same moment. A job without memory stays in the store until others have ended.
"""

import dataclasses

import trio

from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_size
from citronrail.workflow import _state_writer

INTERVAL_S = 1.0  # between attempts to load jobs that were left out
MAX_LOADED = 20  # at a time
MAX_LOGGED = 20  # unloaded jobs; the metric counts them all


@dataclasses.dataclass(frozen=True)
class UnloadedJob:
    """A stored job that is not in memory.

    :param queue: name of its queue.
    :param size: memory that it would take, in bytes.
    """

    queue: str
    size: int


class JobLoader:
    """Decides which stored jobs are in memory.

    A job of which progress is stored is always loaded: its runs have to be
    known, and its ends must not be acknowledged before they are.

    :param scheduler_state: receives the jobs.
    :param limit: size of the state up to which jobs are loaded, in bytes; 0
        for any size.
    :param unix_clock: returns Unix time in seconds.
    """

    def __init__(
        self,
        scheduler_state: _scheduler_state.SchedulerState,
        limit: int,
        unix_clock: _state_writer.UnixClock,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._limit = limit
        self._unix_clock = unix_clock
        self._used = 0
        self.unloaded: dict[str, UnloadedJob] = {}

    def __contains__(self, job_id: object) -> bool:
        """Whether a job is known, in memory or not."""
        return job_id in self._scheduler_state.jobs or job_id in self.unloaded

    def measure(self) -> int:
        """Determine anew how much memory the jobs take, in bytes."""
        state = self._scheduler_state
        runs = sum(len(view.attempts) for view in state.workers.values())
        self._used = _state_size.held_bytes(state.jobs.values(), runs)
        metrics.STATE_BYTES.set(self._used)
        metrics.JOBS_UNLOADED.set(len(self.unloaded))
        return self._used

    def add(self, job_id: str, value: bytes) -> bool:
        """Add a job, unless it is known or there is no memory for it.

        :param job_id: ID of the job.
        :param value: its stored record.
        :returns: whether it was added.
        """
        if job_id in self:
            return False
        record = self._decode(job_id, value)
        if record is None:
            return False
        size = _state_size.job_bytes(record.spec, len(value))
        if not self._may_load(job_id, size):
            self._leave_out(record, size)
            return False
        self._add(record, size)
        return True

    def may_read(self, record_bytes: int) -> bool:
        """Whether records may be in memory at the same time.

        :param record_bytes: their length in sum.
        """
        cost = _state_size.BYTES_PER_RECORD_BYTE * record_bytes
        return not self._limit or cost <= self._limit

    def leave_out(self, job_id: str, value: bytes) -> None:
        """Let an unknown job stay in the store.

        :param job_id: ID of the job.
        :param value: its stored record.
        """
        record = self._decode(job_id, value)
        if record is not None:
            self._leave_out(
                record, _state_size.job_bytes(record.spec, len(value))
            )

    def _leave_out(self, record: documents.JobRecord, size: int) -> None:
        self.unloaded[record.job_id] = UnloadedJob(record.queue, size)
        if len(self.unloaded) <= MAX_LOGGED:
            observability.emit(
                events.JOB_NOT_LOADED,
                job=record.job_id,
                size=size,
                used=self._used,
                limit=self._limit,
                jobs=len(self.unloaded),
            )

    def _decode(self, job_id: str, value: bytes) -> documents.JobRecord | None:
        key = documents.JOB_PREFIX + job_id
        return _scheduler_state.decode_item(key, value, documents.JobRecord)

    def _add(self, record: documents.JobRecord, size: int) -> None:
        self._used += size
        self._scheduler_state.add_job(
            record, trio.current_time(), self._unix_clock(), size
        )

    def _may_load(self, job_id: str, size: int) -> bool:
        state = self._scheduler_state
        return (
            not self._limit
            or self._used + size <= self._limit
            or state.has_stored_progress(job_id)
            or job_id in state.pending_cancels
            # A single job is carried out whatever it takes.
            or not any(job.open for job in state.jobs.values())
        )

    def pending_count(self, queue: str) -> int:
        """Return the number of unloaded jobs of a queue."""
        return sum(item.queue == queue for item in self.unloaded.values())

    async def load_begun(self, store: ports.KeyValueStore) -> bool:
        """Load the unloaded jobs of which progress is stored.

        :param store: the store.
        :returns: whether the store could be read.
        """
        for job_id, item in list(self.unloaded.items()):
            if not self._scheduler_state.has_stored_progress(job_id):
                continue
            if not await self._load(store, job_id, item):
                return False
        return True

    async def load_more(self, store: ports.KeyValueStore) -> bool:
        """Load jobs for which there is memory now, the smallest first.

        Cancelled ones are loaded in any case, so that their end is stored.

        :param store: the store.
        :returns: whether a job was loaded.
        """
        self.measure()
        cancelled = self._scheduler_state.pending_cancels
        found = False
        for job_id, item in sorted(
            self.unloaded.items(),
            key=lambda pair: (pair[0] not in cancelled, pair[1].size),
        )[:MAX_LOADED]:
            if not self._may_load(job_id, item.size):
                break
            if not await self._load(store, job_id, item):
                break
            found = True
        return found

    async def _load(
        self, store: ports.KeyValueStore, job_id: str, item: UnloadedJob
    ) -> bool:
        """Load a job; return whether the store could be read."""
        try:
            stored = await store.get(documents.JOB_PREFIX + job_id)
        except errors.StoreError:
            return False
        self.unloaded.pop(job_id, None)
        record = stored and self._decode(job_id, stored.value)
        if record:
            self._add(record, item.size)
        return True
