"""Keys and records of workflows in the store."""

import enum
import typing

import msgspec

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

    job_id: str
    queue: str
    service: str
    accepted_at: float  # Unix time in seconds
    spec: workflows.WorkflowSpec


class AttemptRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that may exist on a worker."""

    number: int
    node: str  # agent on the worker's host
    worker_id: str
    born_ms: int
    assigned_at: float = 0.0  # Unix time in seconds
    lasted: bool = False  # its worker has lived on after its start


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """A worker that was lost while a task's run was new on it."""

    worker_id: str
    born_ms: int
    node: str  # agent on the worker's host
    sole: bool  # it points to this job and to nothing else

    @property
    def life(self) -> tuple[str, int]:
        """ID and time of birth of the worker."""
        return (self.worker_id, self.born_ms)


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one task."""

    done: bool = False
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ''
    attempts: tuple[AttemptRecord, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()


class ProgressRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job; a stage that has not started is an empty tuple."""

    status: str
    ended_at: float = 0.0  # Unix time in seconds, 0 until it has ended
    stages: tuple[tuple[TaskRecord, ...], ...] = ()


class LeaderRecord(msgspec.Struct, frozen=True):
    """Identity and address of the scheduling entry (the leader)."""

    node_id: str
    boot_id: str
    address: str  # tcp://IP:PORT of its peer port


class WorkerShape(msgspec.Struct, frozen=True, array_like=True):
    """Attributes of a worker that decide which tasks fit."""

    service: str
    cpu_millis: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...] = ()  # sorted


class FleetRecord(msgspec.Struct, frozen=True):
    """All worker shapes that schedulers have seen."""

    shapes: tuple[WorkerShape, ...] = ()


T = typing.TypeVar('T')


def encode(record: object) -> bytes:
    """Encode a record for the store."""
    return codec.encode(record)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode a record from the store.

    :raises msgspec.DecodeError: if the data isn't a record of this kind.
    """
    return codec.decode(data, kind)
