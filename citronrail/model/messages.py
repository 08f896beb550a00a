"""Messages between the project's own processes.

Every message is a frozen data class registered under its class name. Fields
named ``*_before``, ``*_until`` or ``deadline`` hold a monotonic time in
seconds on the receiver's clock, unless the comment says otherwise.
"""

import dataclasses
import typing

import msgspec

from citronrail.model import _compression
from citronrail.model import identifiers
from citronrail.model import outcome as outcomes
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs

Headers = tuple[tuple[str, str], ...]
M = typing.TypeVar('M')

_KINDS: dict[str, type] = {}


@typing.dataclass_transform(frozen_default=True)
def _message(cls: type[M]) -> type[M]:
    """Make a class a frozen data class and register it as a message."""
    frozen = dataclasses.dataclass(frozen=True)(cls)
    _KINDS[cls.__name__] = frozen
    return frozen


def kinds() -> dict[str, type]:
    """Return the registered messages.

    :returns: a copy of the map from class name to data class.
    """
    return dict(_KINDS)


@dataclasses.dataclass(frozen=True)
class EntryAddress:
    """Where an entry's peer port listens, as ``tcp://IP:PORT``."""

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    address: str


@dataclasses.dataclass(frozen=True)
class RangeClaim:
    """A range that the sender owns, with its fencing token."""

    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken


@dataclasses.dataclass(frozen=True)
class BackendState:
    """A backend server beside the sending agent."""

    service: identifiers.ServiceName
    incarnation: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class AgentLoad:
    """Load of an agent at the time of the message.

    ``latency_ms`` is a moving average of the time that backend servers took.
    """

    slots_used: int = 0
    connections_used: int = 0
    queued: int = 0
    latency_ms: float = 0.0
    slots: int = 8
    connections: int = 64


@dataclasses.dataclass(frozen=True)
class RunningTask:
    """An attempt that the agent's worker holds.

    ``state`` is one of ``starting``, ``running``, ``throttled``,
    ``checkpointing``, or ``ended`` for an attempt whose report is not yet
    acknowledged.
    """

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    spec: specs.TaskSpec
    state: str
    started_at: float  # on the sender's clock


@dataclasses.dataclass(frozen=True)
class TaskUsage:
    """Usage of one attempt, measured at ``measured_at``.

    ``slowdown`` is the measured time over the undisturbed time of the same
    work, at least 1.0. ``co_runners`` are the classes of the other tasks that
    ran on the host when it was measured, ``co_runner_shares`` the share of
    its processors that each of them was limited to (empty: none was
    throttled), and ``host_load`` the share of the host's processors in use.
    """

    attempt: specs.AttemptId
    work_class: identifiers.WorkClass
    usage: resources.Resources
    slowdown: float
    co_runners: tuple[identifiers.WorkClass, ...]
    measured_at: float  # on the sender's clock
    co_runner_shares: tuple[float, ...] = ()
    host_load: float = 0.5


@_message
class Hello:
    """First message of a connection; the receiver answers with its own."""

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    role: str
    clock: float  # the sender's monotonic clock
    data_centre: identifiers.DataCentreName
    rack: str = ''
    capacity: resources.Resources = resources.Resources()
    tasks: tuple[RunningTask, ...] = ()
    address: str = ''


@_message
class Alive:
    """Sent by the peer port on a connection that was idle for a second."""

    boot_id: identifiers.BootId
    clock: float  # the sender's monotonic clock


@_message
class Heartbeat:
    """Agent to entry, each second."""

    boot_id: identifiers.BootId
    seq: int
    clock: float  # the sender's monotonic clock
    load: AgentLoad
    free: resources.Resources
    backends: tuple[BackendState, ...] = ()
    settings_version: int = 0
    leaving: bool = False
    ready: bool = True
    entries_known: int = 0  # checksum of the entries that the agent knows


@_message
class HeartbeatAck:
    """Entry to agent; extends the permit to start tasks.

    ``permit_until`` is 0 when the entry can't vouch for fresh settings.
    ``entries`` is empty unless the agent's list differs from the entry's.
    """

    boot_id: identifiers.BootId
    seq: int
    clock: float  # the sender's monotonic clock
    settings_version: int
    permit_until: float
    ranges: tuple[RangeClaim, ...] = ()
    entries: tuple[EntryAddress, ...] = ()


@dataclasses.dataclass(frozen=True)
class SilentAgent:
    """An agent that the sender has not acknowledged lately.

    ``last_ack_age_s`` counts back from the sending of the message.
    """

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    last_ack_age_s: float


@_message
class EntryHeartbeat:
    """Entry to entry, twice a second.

    ``fresh_age_s`` is the time since the settings of ``settings_version``
    were last confirmed to be the latest, counted back from the sending.
    ``echo_seq`` is the last heartbeat received from the addressee and
    ``echo_age_s`` the time since then; 0 if there was none. An entry that is
    no member in the sender's read of the store at ``view_revision`` may
    acknowledge agents for at most ``outsiders_for_s`` more.
    """

    boot_id: identifiers.BootId
    seq: int
    clock: float  # the sender's monotonic clock
    settings_version: int
    fresh_age_s: float
    ranges: tuple[RangeClaim, ...] = ()
    silent: tuple[SilentAgent, ...] = ()
    draining: bool = False
    echo_seq: int = 0
    echo_age_s: float = 0.0
    view_revision: int = 0
    outsiders_for_s: float = 0.0


@_message
class SettingsUpdate:
    """Entry to agent, when the settings changed."""

    settings: settings.Settings


@_message
class BackendUpdate:
    """Agent to entry, at once when a backend server comes or leaves."""

    boot_id: identifiers.BootId
    backends: tuple[BackendState, ...]
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class TeamReservation:
    """What the running tasks of a team reserve on the sender's host."""

    team: identifiers.TeamName
    reserved: resources.Resources


@_message
class UsageReport:
    """Agent to entry, every few seconds; usage lags behind the work."""

    boot_id: identifiers.BootId
    clock: float  # the sender's monotonic clock
    usage: tuple[TaskUsage, ...] = ()
    reserved: tuple[TeamReservation, ...] = ()


@_message
class StartTask:
    """Owner of a range to agent; refused after ``start_before``."""

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    spec: specs.TaskSpec
    settings_version: int
    start_before: float


@_message
class StartReply:
    """Agent to owner: whether the attempt was started.

    ``outcome`` is ``done``, ``not run`` (refused for ``reason``) or
    ``unknown``; after ``unknown`` a :class:`TaskReport` follows.
    ``checkpoint_lost`` tells that the platform doesn't have the checkpoint
    any more, so that no other worker can resume from it either.
    """

    attempt: specs.AttemptId
    outcome: outcomes.Outcome
    reason: str = ''
    checkpoint_lost: bool = False


@_message
class StopTask:
    """Owner to agent: stop attempts; answered by a :class:`TaskReport`."""

    attempts: tuple[specs.AttemptId, ...]
    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    checkpoint: bool = False
    reason: str = ''


@_message
class TaskQuery:
    """Owner to agent: what became of these attempts.

    Answered by a :class:`TaskQueryReply` from a list that the agent asked
    its worker for after the query arrived.
    """

    attempts: tuple[specs.AttemptId, ...]
    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken


@_message
class TaskQueryReply:
    """Agent to owner: what became of the attempts that were asked for.

    An attempt in ``absent`` doesn't run, and a late :class:`StartTask` for it
    is refused. One in neither list is being started or has ended; a
    :class:`StartReply` or :class:`TaskReport` follows. ``throttled`` names
    those of ``running`` that are limited to a share of their processors.
    """

    range_id: identifiers.RangeId
    running: tuple[specs.AttemptId, ...] = ()
    absent: tuple[specs.AttemptId, ...] = ()
    throttled: tuple[specs.AttemptId, ...] = ()


@_message
class ThrottleTask:
    """Owner to agent: limit an attempt to a share of its processors."""

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    share: float


@_message
class TaskReport:
    """Agent to owner: an attempt ended; repeated until acknowledged.

    ``state`` is ``finished``, ``failed``, ``stopped``, ``checkpointed`` or
    ``lost`` (the worker no longer knows it). ``checkpoint`` is the token to
    resume from, or ''.
    """

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    state: str
    result: str = ''
    checkpoint: str = ''
    run_s: float = 0.0
    usage: resources.Resources = resources.Resources()
    reason: str = ''


@_message
class TaskReportAck:
    """Owner to agent: the report is committed and may be forgotten."""

    attempts: tuple[specs.AttemptId, ...]


@_message
class RunRequest:
    """Entry to agent: run a caller's request; frame 1 is the body."""

    request_id: identifiers.RequestId
    attempt: int
    service: identifiers.ServiceName
    method: str
    target: str
    headers: Headers
    start_before: float
    finish_before: float
    credit: int


@_message
class RequestRefused:
    """Agent to entry: the request was not run and never will be.

    ``leaving`` tells that the agent or its backend servers leave, ``full``
    that there was no room in time.
    """

    request_id: identifiers.RequestId
    attempt: int
    reason: str
    leaving: bool = False
    full: bool = False


@_message
class RequestFailed:
    """Agent to entry: the run broke off; its effect is unknown.

    ``ended`` is True when no run of it can still be in progress, and
    ``timed_out`` when its time was over.
    """

    request_id: identifiers.RequestId
    attempt: int
    reason: str
    ended: bool = False
    timed_out: bool = False


@_message
class ResponseStart:
    """Agent to entry: status and headers of the answer."""

    request_id: identifiers.RequestId
    attempt: int
    status: int
    headers: Headers


@_message
class ResponseChunk:
    """Agent to entry: chunk number ``seq`` from 0; frame 1 is the data."""

    request_id: identifiers.RequestId
    attempt: int
    seq: int


@_message
class ResponseWhole:
    """Agent to entry: a whole small answer; frame 1 is its body.

    It stands for ResponseStart, one chunk unless the body is empty, and
    ResponseEnd.
    """

    request_id: identifiers.RequestId
    attempt: int
    status: int
    headers: Headers


@_message
class ResponseEnd:
    """Agent to entry: the answer is whole, with ``chunks`` chunks."""

    request_id: identifiers.RequestId
    attempt: int
    chunks: int


@_message
class Credit:
    """Entry to agent: allow ``chunks`` more chunks of an answer."""

    request_id: identifiers.RequestId
    attempt: int
    chunks: int


@_message
class CancelRequest:
    """Entry to agent: give up a request; a late copy is refused.

    The agent keeps the cancellation until ``forget_after``.
    """

    request_id: identifiers.RequestId
    attempt: int
    forget_after: float


@_message
class CancelReply:
    """Agent to entry: ``not run`` if the request had not been started."""

    request_id: identifiers.RequestId
    attempt: int
    outcome: outcomes.Outcome


@_message
class ReserveKey:
    """Entry to range owner: may this request run?

    ``key`` is the idempotency key, ``exclusive`` the exclusive key; either
    may be ''. ``hold_s`` bounds how long a run may last.
    """

    request_id: identifiers.RequestId
    range_id: identifiers.RangeId
    key: str
    exclusive: str
    fingerprint: str
    hold_s: float
    finish_before: float


@_message
class ReserveReply:
    """Range owner to entry.

    ``verdict`` is ``granted``, ``in progress``, ``done``, ``not run``,
    ``unknown``, ``conflict`` or ``not owner``. For ``done`` the stored status
    and headers are given, and frame 1 is the stored body. A granted run must
    start before ``start_before``.
    """

    request_id: identifiers.RequestId
    verdict: str
    reason: str = ''
    start_before: float = 0.0
    status: int = 0
    headers: Headers = ()


@_message
class CompleteKey:
    """Entry to range owner: how the granted request ended.

    Frame 1 is the body of the answer if it is small enough to be stored.
    ``ended`` tells that no run is in progress any more.
    """

    request_id: identifiers.RequestId
    range_id: identifiers.RangeId
    key: str
    exclusive: str
    outcome: outcomes.Outcome
    ended: bool
    status: int = 0
    headers: Headers = ()


@dataclasses.dataclass(frozen=True)
class KeyRecord:
    """State of an idempotency or exclusive key.

    ``verdict`` is ``in progress``, ``done`` or ``unknown``. Ages count back
    from the sending of the message; ``expires_in_s`` counts forward, as does
    ``run_ends_in_s``, after which no granted run can be in progress. A record
    of kind ``takeover`` passes on what the sender itself didn't know: keys
    born before ``expires_in_s`` from the sending (mostly negative) may have
    run unless there is a record of them, and exclusive keys may be held until
    ``run_ends_in_s``.
    """

    key: str
    kind: str
    request_id: identifiers.RequestId
    fingerprint: str
    verdict: str
    expires_in_s: float
    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    run_ends_in_s: float = 0.0


@_message
class KeyHandover:
    """Leaving range owner to successor: the records of a range."""

    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    records: tuple[KeyRecord, ...]
    final: bool


@_message
class KeyHandoverAck:
    """Successor to the leaving owner."""

    range_id: identifiers.RangeId
    accepted: bool


@_message
class ForwardCommand:
    """Entry to range owner: carry out a command on the jobs it owns.

    ``text`` is the command in the operators' language.
    """

    command_id: identifiers.CommandId
    text: str
    issued_at: float  # Unix time in seconds
    deadline: float


@_message
class ExtendOwnership:
    """Range owner to every other entry while it can't reach the store.

    Asks the receiver not to take the ranges over, and to help no one else to,
    for the fixed promise time from the receipt. The owner counts that time
    from before it sent the message. A message received after
    ``promise_until`` was held up and gets no promise.
    """

    seq: int
    ranges: tuple[RangeClaim, ...]
    promise_until: float


@_message
class ExtendOwnershipReply:
    """Entry to range owner: the ranges for which the promise was given."""

    seq: int
    promised: tuple[identifiers.RangeId, ...]


@_message
class TakeoverQuery:
    """Entry to other entries before it takes a range over.

    The receiver gives no further promise to the claimed owner.
    """

    seq: int
    claim: RangeClaim


@_message
class TakeoverReply:
    """Entry to the one that wants a range.

    ``promised_until`` is the end of the receiver's last promise, on the
    querying entry's clock; 0 if it gave none. It is a lower bound, so the
    querying entry waits ``promise_left_s`` from the receipt instead, which
    counts from the sending. ``still_owner`` is True when the receiver itself
    owns the range.
    """

    seq: int
    range_id: identifiers.RangeId
    promised_until: float
    still_owner: bool = False
    promise_left_s: float = 0.0


Cell = str | int | float | bool | None


@_message
class CommandReply:
    """Result of a command or query, with a table for queries.

    ``more`` tells that rows were left out. Between entries, ``ranges`` names
    the ranges that the sender owned from the start of the command to its
    end, and ``count`` how many tasks or jobs it cancelled in them.
    """

    command_id: identifiers.CommandId
    outcome: outcomes.Outcome
    message: str = ''
    settings_version: int = 0
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Cell, ...], ...] = ()
    more: bool = False
    ranges: tuple[identifiers.RangeId, ...] = ()
    count: int = 0


@_message
class TimelineQuery:
    """Entry to any process: send your timeline, at most ``limit`` events."""

    seq: int
    limit: int


@_message
class TimelineReply:
    """Answer to a timeline query; frame 1 is the compressed timeline."""

    seq: int


@_message
class ProtocolError:
    """Answer to a message that could not be understood."""

    reason: str


class UnknownMessage(ValueError):
    """Bytes from a peer that are no known message."""


def pack(message: object) -> bytes:
    """Encode a message for the wire.

    :param message: an instance of a registered message.
    :returns: msgpack of ``[kind, body]``, compressed for the messages that
        are sent regularly.
    """
    data = _ENCODER.encode((type(message).__name__, message))
    if isinstance(message, _REGULAR):
        return _compression.compress(data)
    return data


def unpack(data: bytes) -> object:
    """Decode a message from the wire.

    :param data: one frame, as made by :func:`pack`.
    :returns: an instance of a registered message.
    :raises UnknownMessage: if the bytes describe no registered message.
    """
    try:
        kind, body = _ENVELOPE.decode(_compression.expand(data))
        return _decoder(kind).decode(body)
    except (ValueError, KeyError) as exc:  # msgspec's errors are ValueErrors
        raise UnknownMessage(str(exc)) from exc


def _decoder(kind: str) -> msgspec.msgpack.Decoder[object]:
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(_KINDS[kind])
        _DECODERS[kind] = decoder
    return decoder


# Every agent sends these to every entry, so their size times the number of
# entries is the traffic of a node at rest.
_REGULAR = (Heartbeat, HeartbeatAck, UsageReport)
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS: dict[str, msgspec.msgpack.Decoder[object]] = {}
