"""Membership messages: Hello, heartbeats and updates."""

import dataclasses

from citronrail.model import bounded
from citronrail.model import identifiers
from citronrail.model.messages import _registry
from citronrail.model.messages import _tasks
from citronrail.model import resources
from citronrail.model import settings


@dataclasses.dataclass(frozen=True)
class EntryAddress:
    """Address of an entry's peer port, as ``tcp://IP:PORT``."""

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
    """A backend server on the sending agent's host."""

    service: identifiers.ServiceName
    incarnation: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class AgentLoad:
    """Load of an agent at the time of the message.

    ``latency_ms`` is a moving average of the response time of backend servers.
    """

    slots_used: int = 0
    connections_used: int = 0
    queued: int = 0
    latency_ms: float = 0.0
    slots: int = 8
    connections: int = 64


@_registry.message
class Hello:
    """First message of a connection; the receiver replies with its own."""

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    role: str
    clock: bounded.SignedNumber  # the sender's monotonic clock
    data_centre: identifiers.DataCentreName
    rack: str = ''
    capacity: resources.Resources = resources.Resources()
    tasks: tuple[_tasks.RunningTask, ...] = ()
    address: str = ''


@_registry.message
class Alive:
    """Sent by the peer port on a connection that was idle for a second."""

    boot_id: identifiers.BootId
    clock: bounded.SignedNumber  # the sender's monotonic clock


@_registry.message
class Heartbeat:
    """Agent to entry, every second."""

    boot_id: identifiers.BootId
    seq: int
    clock: bounded.SignedNumber  # the sender's monotonic clock
    load: AgentLoad
    free: resources.Resources
    backends: tuple[BackendState, ...] = ()
    settings_version: int = 0
    leaving: bool = False
    ready: bool = True
    entries_known: int = 0  # checksum of the entries that the agent knows


@_registry.message
class HeartbeatAck:
    """Entry to agent; extends the permit to start tasks.

    ``permit_until`` is 0 when the entry cannot confirm that its settings
    are current.
    ``entries`` is empty unless the agent's list differs from the entry's.
    """

    boot_id: identifiers.BootId
    seq: int
    clock: bounded.SignedNumber  # the sender's monotonic clock
    settings_version: int
    permit_until: float
    ranges: tuple[RangeClaim, ...] = ()
    entries: tuple[EntryAddress, ...] = ()


@dataclasses.dataclass(frozen=True)
class SilentAgent:
    """An agent that the sender has not acknowledged recently.

    ``last_ack_age_s`` counts back from the sending of the message.
    """

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    last_ack_age_s: float


@_registry.message
class EntryHeartbeat:
    """Entry to entry, twice a second.

    ``fresh_age_s`` is the time since the settings of ``settings_version``
    were last confirmed to be the latest, counted back from the sending.
    ``echo_seq`` is the last heartbeat received from the addressee and
    ``echo_age_s`` the time since then; 0 if there was none. An entry that was
    not a member when the sender read the store at ``view_revision`` may
    acknowledge agents for at most ``outsiders_for_s`` more.
    """

    boot_id: identifiers.BootId
    seq: int
    clock: bounded.SignedNumber  # the sender's monotonic clock
    settings_version: int
    fresh_age_s: float
    ranges: tuple[RangeClaim, ...] = ()
    silent: tuple[SilentAgent, ...] = ()
    draining: bool = False
    echo_seq: int = 0
    echo_age_s: float = 0.0
    view_revision: int = 0
    outsiders_for_s: float = 0.0


@_registry.message
class SettingsUpdate:
    """Entry to agent, when the settings changed."""

    settings: settings.Settings


@_registry.message
class BackendUpdate:
    """Agent to entry, immediately when a backend server joins or leaves."""

    boot_id: identifiers.BootId
    backends: tuple[BackendState, ...]
    leaving: bool = False
