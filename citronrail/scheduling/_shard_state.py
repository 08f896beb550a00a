"""Persistent state of one job shard, in a compact encoding.

Structures are encoded as arrays, because 1,750 running tasks and their jobs
must fit in a store value of 1 MB. Times are Unix time in seconds, because the
state outlives the process that wrote it.
"""

import enum

import msgspec

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _index_intervals

FORMAT_VERSION = 1
MAX_ENCODED_BYTES = 900_000  # the store accepts values up to 1 MB
MAX_LIVE_ATTEMPTS = 3_000  # twice the running tasks at the target size
MAX_GROUPS = 1_000
MAX_KEPT_ENDED_JOBS = 300
MAX_KEPT_COMMANDS = 200
MAX_RESULTS_PER_GROUP = 20
MAX_RESULTS_PER_ENDED_JOB = 5
MAX_TEXT_BYTES = 256  # results and reasons are truncated to this length
MAX_JOB_ARGUMENT_BYTES = 2_048
MAX_AVOIDED_NODES = 4
SERVICE_PREFIX = 'service:'


class LiveState(enum.Enum):
    """State of a live attempt, which is one that may be running.

    A task is not run again after a ``STOPPING`` attempt, but gets another
    attempt after a ``MOVING`` one.
    """

    ASSIGNED = 'a'
    RUNNING = 'r'
    STOPPING = 's'
    MOVING = 'm'


class GroupPhase(enum.Enum):
    """Decides whether tasks of a group may start."""

    ACTIVE = 'active'
    PARKED = 'parked'
    CANCELLED = 'cancelled'


class WaitingTask(msgspec.Struct, frozen=True, array_like=True):
    """A replica, or a task that had an attempt, waiting for the next one.

    ``number`` is the number of the last attempt. ``replaces`` is the index of
    the replica that is stopped once this one runs, or -1. ``losses`` counts
    the last attempts in a row that were soon lost with their worker.
    """

    index: int
    number: int
    not_before: float = 0.0
    checkpoint: str = ''
    failures: int = 0
    avoid: tuple[identifiers.NodeId, ...] = ()
    replaces: int = -1
    losses: int = 0


class LiveAttempt(msgspec.Struct, frozen=True, array_like=True):
    """The only attempt of a task that may be running.

    ``checkpoint`` is the one that it resumed from. ``confirmed`` is True once
    the agent has confirmed the start. ``generation`` is the group's generation
    for which the worker was chosen.
    """

    number: int
    node: identifiers.NodeId
    state: LiveState
    since: float
    confirmed: bool = False
    checkpoint: str = ''
    failures: int = 0
    avoid: tuple[identifiers.NodeId, ...] = ()
    replaces: int = -1
    reason: str = ''
    generation: int = 0
    losses: int = 0


class TaskResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a finished task."""

    index: int
    number: int
    text: str


class TaskGroup(msgspec.Struct, frozen=True, array_like=True):
    """The tasks of one job, or the replicas of one service.

    Each index of a job is in exactly one of ``pending`` (never started),
    ``waiting``, ``live``, ``finished``, ``cancelled`` and ``parked``.
    ``parked_numbers`` maps each parked task to the number of its last attempt.
    ``failed_on`` lists distinct healthy workers on which tasks have failed
    since one last finished. ``generation`` increases when the size, class or
    data centres of a service change.
    """

    owner: str
    job: specs.JobSpec | None
    service: specs.ServiceSpec | None
    command_id: identifiers.CommandId
    submitted_at: float
    phase: GroupPhase = GroupPhase.ACTIVE
    reason: str = ''
    pending: _index_intervals.Intervals = ()
    waiting: dict[int, WaitingTask] = {}
    live: dict[int, LiveAttempt] = {}
    finished: _index_intervals.Intervals = ()
    cancelled: _index_intervals.Intervals = ()
    parked: _index_intervals.Intervals = ()
    parked_numbers: dict[int, int] = {}
    failed_on: tuple[identifiers.NodeId, ...] = ()
    failures: int = 0
    results: tuple[TaskResult, ...] = ()
    generation: int = 0

    @property
    def team(self) -> identifiers.TeamName:
        """Team that owns the group."""
        return self._spec.team

    @property
    def work_class(self) -> identifiers.WorkClass:
        """Work class, the key of learned interference."""
        return self._spec.work_class

    @property
    def resources(self) -> resources.Resources:
        """Declared size of one task."""
        return self._spec.resources

    @property
    def data_centres(self) -> tuple[identifiers.DataCentreName, ...]:
        """Data centres in which tasks may run; empty means all."""
        return self._spec.data_centres

    @property
    def _spec(self) -> specs.JobSpec | specs.ServiceSpec:
        spec = self.job or self.service
        if spec is None:
            raise ValueError(f'group {self.owner} has no specification')
        return spec


class EndedJob(msgspec.Struct, frozen=True, array_like=True):
    """Summary of a job whose tasks have all ended."""

    job_id: identifiers.JobId
    team: identifiers.TeamName
    command_id: identifiers.CommandId
    outcome: str  # 'finished' or 'cancelled'
    reason: str
    finished: int
    cancelled: int
    failures: int
    ended_at: float
    results: tuple[TaskResult, ...] = ()


class ShardCommand(msgspec.Struct, frozen=True, array_like=True):
    """A command that was applied, kept to make repeated ones idempotent."""

    command_id: identifiers.CommandId
    affected: int


class ShardState(msgspec.Struct, frozen=True, array_like=True):
    """State of a shard that is passed from one owner to the next.

    ``next_replica`` is the index of the next new replica of any service.
    Indexes are never reused, not even after a service was removed.
    """

    format: int = FORMAT_VERSION
    groups: dict[str, TaskGroup] = {}
    ended: tuple[EndedJob, ...] = ()
    commands: tuple[ShardCommand, ...] = ()
    finished_total: int = 0
    refused_reports: int = 0
    next_replica: int = 0


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ShardState)


def encode(state: ShardState) -> bytes:
    """Encode a shard for the store.

    :param state: the shard.
    :returns: msgpack.
    """
    return _ENCODER.encode(state)


def decode(data: bytes) -> ShardState:
    """Decode a shard.

    :param data: output of :func:`encode`; empty for a new shard.
    :returns: the shard.
    :raises msgspec.ValidationError: if the bytes are no encoded shard.
    """
    return _DECODER.decode(data) if data else ShardState()


def live_count(state: ShardState) -> int:
    """Return the number of live attempts of a shard."""
    return sum(len(group.live) for group in state.groups.values())


def truncate(text: str) -> str:
    """Truncate a text to the length that the shard stores."""
    data = text.encode()[:MAX_TEXT_BYTES]
    return data.decode(errors='ignore')
