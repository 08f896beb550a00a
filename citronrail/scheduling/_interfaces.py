"""What the scheduler needs from other packages, as small protocols."""

import collections.abc
import typing

import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _agent_loss
from citronrail.scheduling import _shard_state

ShardChange = collections.abc.Callable[
    [_shard_state.ShardState], _shard_state.ShardState
]


class ShardDocument(typing.Protocol):
    """One job shard in the store, written by group commit."""

    @property
    def value(self) -> _shard_state.ShardState:
        """The latest committed state."""
        ...

    @property
    def size(self) -> int:
        """Stored size in bytes."""
        ...

    async def commit(self, change: ShardChange) -> _shard_state.ShardState:
        """Apply a change; it is durable when the call returns.

        :param change: a plain function; it may be called more than once, and
            on a newer state than the caller saw.
        :returns: the state after the change.
        :raises citronrail.errors.CommandRefused: raised by ``change``.
        :raises citronrail.errors.StoreUnavailable: nothing changed.
        :raises citronrail.errors.StoreOutcomeUnknown: it may have changed.
        :raises citronrail.errors.Fenced: another entry owns the shard.
        """
        ...

    async def run(self, *, task_status: trio.TaskStatus[None] = ...) -> None:
        """Load the shard, then commit; returns when the ownership ended."""
        ...

    async def drain(self) -> None:
        """Wait until every change so far is committed or has failed."""
        ...

    def release(self) -> None:
        """Note that the ownership is given up as planned."""
        ...


class OwnedRange(typing.Protocol):
    """A range that this process owns."""

    @property
    def range_id(self) -> identifiers.RangeId:
        """Number of the range."""
        ...

    @property
    def fencing(self) -> identifiers.FencingToken:
        """Token of this ownership; a later owner has a higher one."""
        ...

    @property
    def deadline(self) -> float:
        """Local time until which the range is certainly owned."""
        ...

    @property
    def commits_allowed(self) -> bool:
        """Whether the store lease holds, so that shards may be written."""
        ...


class RangeLookup(typing.Protocol):
    """Tells which ranges are owned at this moment."""

    def find(self, range_id: identifiers.RangeId) -> OwnedRange | None:
        """Return a range with its present deadline, None if not owned."""
        ...


class SettingsView(typing.Protocol):
    """The latest operators' configuration."""

    @property
    def settings(self) -> settings.Settings:
        """Latest known settings."""
        ...

    @property
    def fresh_at(self) -> float:
        """Local time at which they were last confirmed to be the latest."""
        ...


class AgentsView(typing.Protocol):
    """What is known of agents."""

    def agents(self) -> tuple[views.AgentView, ...]:
        """Return the last known state of each agent."""
        ...

    def quiet_spans(
        self, node_id: identifiers.NodeId
    ) -> tuple[_agent_loss.QuietSpan, ...]:
        """Return how long each entry has not acknowledged an agent.

        :param node_id: node id of the agent.
        :returns: one span for this entry and one for every other entry that
            may have acknowledged the agent in the last 30 s.
        """
        ...


class PermitView(typing.Protocol):
    """Agent side: what entries have told this agent."""

    @property
    def settings(self) -> settings.Settings:
        """Latest settings received."""
        ...

    @property
    def permit_until(self) -> float:
        """Local time until which tasks may be started."""
        ...

    @property
    def last_ack_at(self) -> float:
        """Local send time of the latest heartbeat that was acknowledged.

        The arrival of the acknowledgement must not be used: it may have
        been held up for any time.
        """
        ...

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the entry that owns a range, if known."""
        ...


class Admission(typing.Protocol):
    """Answer of the capacity ledger."""

    @property
    def accepted(self) -> bool:
        """Whether the resources are reserved now."""
        ...

    @property
    def reason(self) -> str:
        """Why not, or ''."""
        ...


class Ledger(typing.Protocol):
    """The host's capacity ledger, written by this agent only."""

    @property
    def free(self) -> resources.Resources:
        """What is not reserved."""
        ...

    def rebuild(
        self, running: collections.abc.Iterable[messages.RunningTask]
    ) -> None:
        """Replace all reservations by those of a list of attempts."""
        ...

    def admit(
        self, attempt: specs.AttemptId, amount: resources.Resources
    ) -> Admission:
        """Reserve resources for an attempt if they are free."""
        ...

    def release(self, attempt: specs.AttemptId) -> object:
        """Give up the reservation of an attempt, if there is one."""
        ...

    def observe(
        self, attempt: specs.AttemptId, usage: resources.Resources
    ) -> None:
        """Raise a reservation to the memory that was measured."""
        ...
