"""Keys and records of workflows in the store."""

import enum
import typing

import msgspec

from citronrail import errors
from citronrail.model import bounded
from citronrail.model import codec
from citronrail.model import workflows

ROOT = 'citronrail/'
CONTROL_PREFIX = ROOT + 'control/'
LEADER_KEY = CONTROL_PREFIX + 'scheduler'
FLEET_KEY = CONTROL_PREFIX + 'fleet'
INBOX_PREFIX = ROOT + 'inbox/'
JOB_PREFIX = INBOX_PREFIX + 'job/'
CANCEL_PREFIX = INBOX_PREFIX + 'cancel/'
PROGRESS_PREFIX = ROOT + 'progress/'
COMMIT_KEY = ROOT + 'commit'
FACTORS_KEY = ROOT + 'interference'


class JobStatus(enum.StrEnum):
    """Status of a job as shown to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def final(self) -> bool:
        """Whether the job has ended."""
        return self in (
            JobStatus.COMPLETED,
            JobStatus.FAILED,
            JobStatus.CANCELLED,
        )


class JobRecord(msgspec.Struct, frozen=True):
    """An accepted job; written once, by the entry that accepted it."""

    job_id: bounded.Name
    queue: bounded.Text
    service: bounded.Text
    accepted_at: bounded.Number  # Unix time in seconds
    spec: workflows.WorkflowSpec
    # Of its queue when the job was accepted; holds once that is removed. 0 if
    # it isn't known.
    max_attempts: bounded.Count = 0
    # A revision of the store that the entry had seen when the submission
    # arrived. Cancellations up to it were stored before.
    submitted_after: bounded.Id = 0


class AttemptRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that may exist on a worker."""

    number: bounded.Count
    node: bounded.Name  # agent on the worker's host
    worker_id: bounded.Name
    born_ms: bounded.UnixMs
    assigned_at: bounded.Number = 0.0  # Unix time in seconds
    lasted: bool = False  # its worker has lived on after its start
    # All leases of its worker end within this time after the write of this
    # record, in seconds; 0 if they may be extended.
    lease_left_s: bounded.Number = 0.0


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """A worker that was lost while a task's run was new on it."""

    worker_id: bounded.Name
    born_ms: bounded.UnixMs
    node: bounded.Name  # agent on the worker's host
    sole: bool  # it points to this job and to nothing else
    # The agent was lost with the worker, which no task brings about.
    with_agent: bool = False

    @property
    def life(self) -> tuple[str, int]:
        """ID and time of birth of the worker."""
        return (self.worker_id, self.born_ms)


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one task."""

    done: bool = False
    last_run: bounded.Count = 0
    failures: bounded.Count = 0
    checkpoint: bounded.Text = ''
    attempts: tuple[AttemptRecord, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()


class ProgressRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job.

    A stage that has not started is an empty tuple. A job of several segments
    has no stages here; its tasks are in records of their own. ``begun`` tells
    whether a worker has listed a run or its end; versions before it left it
    out.
    """

    status: JobStatus
    ended_at: bounded.Number = (
        0.0  # Unix time in seconds, 0 until it has ended
    )
    stages: tuple[tuple[TaskRecord, ...], ...] = ()
    begun: bool = False


class SegmentRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of the tasks of one segment of a job, in their order."""

    tasks: tuple[TaskRecord, ...] = ()


def segment_key(job_id: str, number: int) -> str:
    """Return the key of a segment of a job's progress."""
    return f'{PROGRESS_PREFIX}{job_id}/{number}'


def parse_progress_key(key: str) -> tuple[str, int | None]:
    """Split a key under :data:`PROGRESS_PREFIX`.

    :param key: the key of a progress record or of a segment.
    :returns: ID of the job, and the number of the segment; None for the
        number in the key of a progress record.
    """
    job_id = key.removeprefix(PROGRESS_PREFIX)
    head, separator, number = job_id.rpartition('/')
    if separator and number.isascii() and number.isdigit():
        return head, int(number)
    return job_id, None


class LeaderRecord(msgspec.Struct, frozen=True):
    """Identity and address of the scheduling entry (the leader)."""

    node_id: bounded.Name
    boot_id: bounded.Name
    address: bounded.Name  # tcp://IP:PORT of its peer port


class WorkerShape(msgspec.Struct, frozen=True, array_like=True):
    """Attributes of a worker that decide which tasks fit."""

    service: bounded.Text
    cpu_millis: bounded.Amount
    memory_mb: bounded.Amount
    accelerators: bounded.Amount
    labels: tuple[bounded.Name, ...] = ()  # sorted


class FleetRecord(msgspec.Struct, frozen=True):
    """All worker shapes that schedulers have seen."""

    shapes: tuple[WorkerShape, ...] = ()


T = typing.TypeVar('T')


def encode(record: object) -> bytes:
    """Encode a record for the store."""
    return codec.encode(record)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode a record from the store.

    :raises citronrail.errors.Undecodable: if the data isn't a record of this
        kind.
    """
    return codec.decode(data, kind)


def check(key: str, record: object) -> None:
    """Check what the types of a record don't.

    :param key: key of the record.
    :param record: the decoded record.
    :raises citronrail.errors.Undecodable: if the record can't be used.
    """
    if not isinstance(record, JobRecord):
        return
    problem = record.spec.problem
    if key != JOB_PREFIX + record.job_id:
        problem = f'it is the record of job {record.job_id}'
    if problem:
        raise errors.Undecodable(problem, step='documents.check')
