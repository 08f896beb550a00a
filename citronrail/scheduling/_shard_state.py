"""The durable state of one job shard, in a compact form.

Structures are encoded as arrays: 1,750 running tasks must fit in a value of
1 MB together with the jobs they belong to. Times are Unix time in seconds,
because the state outlives the process that wrote it.
"""

import enum

import msgspec

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _index_runs

FORMAT = 1
MAX_ENCODED_BYTES = 900_000  # the store takes values up to 1 MB
MAX_LIVE = 3_000  # twice the running tasks of a shard at the target size
MAX_GROUPS = 1_000
MAX_ENDED_JOBS = 300
MAX_COMMANDS = 200
MAX_RESULTS = 20
MAX_RESULTS_ENDED = 5
MAX_TEXT_BYTES = 256  # results and reasons are cut to this length
MAX_ARGUMENT_BYTES = 2_048
MAX_AVOIDED = 4
SERVICE_PREFIX = 'service:'


class LiveState(enum.Enum):
    """Where an attempt stands that may be running.

    ``STOPPING`` attempts end for good, ``MOVING`` ones are followed by
    another attempt.
    """

    ASSIGNED = 'a'
    RUNNING = 'r'
    STOPPING = 's'
    MOVING = 'm'


class Phase(enum.Enum):
    """Whether tasks of a group may start."""

    ACTIVE = 'active'
    PARKED = 'parked'
    CANCELLED = 'cancelled'


class Waiting(msgspec.Struct, frozen=True, array_like=True):
    """A task that ran before, or a replica, waiting for its next attempt.

    ``number`` is that of the last attempt. ``replaces`` is the index of the
    replica that is stopped once this one runs, or -1.
    """

    index: int
    number: int
    not_before: float = 0.0
    checkpoint: str = ''
    failures: int = 0
    avoid: tuple[identifiers.NodeId, ...] = ()
    replaces: int = -1


class Live(msgspec.Struct, frozen=True, array_like=True):
    """The one attempt of a task that may be running.

    ``checkpoint`` is what it resumed from. ``confirmed`` is True once the
    agent said that it started. ``generation`` is that of the group's
    specification when its worker was chosen.
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


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The result of a finished task."""

    index: int
    number: int
    text: str


class Group(msgspec.Struct, frozen=True, array_like=True):
    """The tasks of one job, or the replicas of one service.

    Each index of a job is in exactly one of ``pending`` (never started),
    ``waiting``, ``live``, ``finished``, ``cancelled`` and ``parked``.
    ``parked_numbers`` holds the last attempt of each parked task.
    ``failed_on`` names distinct healthy workers on which tasks failed since
    the last one finished. ``generation`` rises when the size, class or data
    centres of a service change.
    """

    owner: str
    job: specs.JobSpec | None
    service: specs.ServiceSpec | None
    command_id: identifiers.CommandId
    submitted_at: float
    phase: Phase = Phase.ACTIVE
    reason: str = ''
    pending: _index_runs.Runs = ()
    waiting: dict[int, Waiting] = {}
    live: dict[int, Live] = {}
    finished: _index_runs.Runs = ()
    cancelled: _index_runs.Runs = ()
    parked: _index_runs.Runs = ()
    parked_numbers: dict[int, int] = {}
    failed_on: tuple[identifiers.NodeId, ...] = ()
    failures: int = 0
    results: tuple[Result, ...] = ()
    generation: int = 0

    @property
    def team(self) -> identifiers.TeamName:
        """Team that owns the group."""
        return self._spec.team

    @property
    def work_class(self) -> identifiers.WorkClass:
        """Class of the work, by which interference is learned."""
        return self._spec.work_class

    @property
    def resources(self) -> resources.Resources:
        """Declared size of one task."""
        return self._spec.resources

    @property
    def data_centres(self) -> tuple[identifiers.DataCentreName, ...]:
        """Data centres in which tasks may run; all if empty."""
        return self._spec.data_centres

    @property
    def _spec(self) -> specs.JobSpec | specs.ServiceSpec:
        spec = self.job or self.service
        if spec is None:
            raise ValueError(f'group {self.owner} has no specification')
        return spec


class EndedJob(msgspec.Struct, frozen=True, array_like=True):
    """A job whose tasks all ended."""

    job_id: identifiers.JobId
    team: identifiers.TeamName
    command_id: identifiers.CommandId
    outcome: str  # 'finished' or 'cancelled'
    reason: str
    finished: int
    cancelled: int
    failures: int
    ended_at: float
    results: tuple[Result, ...] = ()


class ShardCommand(msgspec.Struct, frozen=True, array_like=True):
    """A command that was applied, so that a repeated one is recognised."""

    command_id: identifiers.CommandId
    affected: int


class ShardState(msgspec.Struct, frozen=True, array_like=True):
    """Everything that must survive an owner of the shard.

    ``next_replica`` is the next index of a replica of any service; indexes
    are not used again, even after a service was removed.
    """

    format: int = FORMAT
    groups: dict[str, Group] = {}
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

    :param data: as made by :func:`encode`; empty for a new shard.
    :returns: the shard.
    :raises msgspec.ValidationError: if the bytes describe no shard.
    """
    return _DECODER.decode(data) if data else ShardState()


def live_count(state: ShardState) -> int:
    """Return how many attempts of a shard may be running."""
    return sum(len(group.live) for group in state.groups.values())


def cut(text: str) -> str:
    """Shorten a text from outside to what the shard keeps of it."""
    data = text.encode()[:MAX_TEXT_BYTES]
    return data.decode(errors='ignore')
