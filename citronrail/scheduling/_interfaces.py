"""Protocols through which the scheduler uses other packages."""

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
    """A job shard in the store, written by group commit."""

    @property
    def value(self) -> _shard_state.ShardState:
        """The latest committed state."""
        ...

    @property
    def size(self) -> int:
        """Stored size in bytes."""
        ...

    async def commit(self, change: ShardChange) -> _shard_state.ShardState:
        """Apply a change, which is durable when the call returns.

        :param change: a pure function; it may be called more than once, and
            with a newer state than the caller saw.
        :returns: the state after the change.
        :raises citronrail.errors.CommandRefused: raised by ``change``.
        :raises citronrail.errors.StoreUnavailable: the change was not made.
        :raises citronrail.errors.StoreOutcomeUnknown: it may have been made.
        :raises citronrail.errors.Fenced: another entry owns the shard.
        """
        ...

    async def run(self, *, task_status: trio.TaskStatus[None] = ...) -> None:
        """Load the shard, then commit changes until the ownership ends."""
        ...

    async def drain(self) -> None:
        """Wait until all earlier changes are committed or have failed."""
        ...

    def release(self) -> None:
        """Mark the ownership as given up voluntarily."""
        ...


class OwnedRange(typing.Protocol):
    """A range that this process owns."""

    @property
    def range_id(self) -> identifiers.RangeId:
        """Number of the range."""
        ...

    @property
    def fencing(self) -> identifiers.FencingToken:
        """Fencing token of this ownership; later owners get higher ones."""
        ...

    @property
    def deadline(self) -> float:
        """Local time until which the range is certainly owned."""
        ...

    @property
    def commits_allowed(self) -> bool:
        """Whether the store lease is valid, so that shards may be written."""
        ...


class RangeLookup(typing.Protocol):
    """Lookup of the ranges that this process owns now."""

    def find(self, range_id: identifiers.RangeId) -> OwnedRange | None:
        """Return a range with its current deadline, None if not owned."""
        ...


class SettingsView(typing.Protocol):
    """The latest settings that operators have made."""

    @property
    def settings(self) -> settings.Settings:
        """Latest known settings."""
        ...

    @property
    def fresh_at(self) -> float:
        """Local time at which they were last confirmed to be current."""
        ...


class AgentsView(typing.Protocol):
    """Last known states of the agents."""

    def agents(self) -> tuple[views.AgentView, ...]:
        """Return the last known state of each agent."""
        ...

    def quiet_spans(
        self, node_id: identifiers.NodeId
    ) -> tuple[_agent_loss.QuietSpan, ...]:
        """Return the span in which each entry did not acknowledge an agent.

        :param node_id: node id of the agent.
        :returns: one span for this entry and one for each other entry that
            may have acknowledged the agent in the last 30 s.
        """
        ...


class PermitView(typing.Protocol):
    """Settings, permits and acknowledgements that an agent has received."""

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

        The arrival time of the acknowledgement must not be used, since its
        delay is unbounded.
        """
        ...

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the entry that owns a range, if known."""
        ...


class Admission(typing.Protocol):
    """Result of a request to the capacity ledger."""

    @property
    def accepted(self) -> bool:
        """Whether the resources were reserved."""
        ...

    @property
    def reason(self) -> str:
        """Why they were not reserved, or ''."""
        ...


class Ledger(typing.Protocol):
    """Capacity ledger of the host, written only by its agent."""

    @property
    def free(self) -> resources.Resources:
        """Resources that are not reserved."""
        ...

    def rebuild(
        self, running: collections.abc.Iterable[messages.RunningTask]
    ) -> None:
        """Replace all reservations with those of a list of attempts."""
        ...

    def admit(
        self, attempt: specs.AttemptId, amount: resources.Resources
    ) -> Admission:
        """Reserve resources for an attempt if they are free."""
        ...

    def release(self, attempt: specs.AttemptId) -> object:
        """Release the reservation of an attempt, if there is one."""
        ...

    def observe(
        self, attempt: specs.AttemptId, usage: resources.Resources
    ) -> None:
        """Raise a reservation to the measured memory usage."""
        ...
