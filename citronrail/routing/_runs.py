"""Runs of requests at an agent, and their states."""

import dataclasses
import enum

import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports

DUPLICATE_RETENTION_S = 5.0  # exceeds the longest delay of a duplicate message


class RunState(enum.Enum):
    """State of a run."""

    CANCELLED = 'cancelled'  # before its start, possibly before its arrival
    QUEUED = 'queued'
    REFUSED = 'refused'
    STARTED = 'started'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True)
class RunId:
    """Identity of an attempt, unique across restarts of an entry."""

    entry: identifiers.NodeId
    boot_id: identifiers.BootId
    request_id: identifiers.RequestId
    attempt: int


@dataclasses.dataclass
class Run:
    """One attempt at this agent; ``retain_until`` is a local time."""

    run_id: RunId
    state: RunState
    retain_until: float
    exclusive: bool = False
    abandoned: bool = False
    backend_key: tuple[str, str] = ('', '')  # service and backend server
    event_stream_ending: bool = False
    event_stream_read: trio.CancelScope | None = None
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    credit: int = 0
    credit_added: trio.Event = dataclasses.field(default_factory=trio.Event)

    def end_event_stream(self) -> None:
        """End the event stream, if this is one, after a complete event."""
        self.event_stream_ending = True
        if self.event_stream_read is not None:
            self.event_stream_read.cancel()

    def abandon(self) -> None:
        """Stop sending the response; an exclusive run is read to its end."""
        self.abandoned = True
        self.credit_added.set()
        if not self.exclusive:
            self.scope.cancel()

    def add_credit(self, chunks: int) -> None:
        """Add flow control credit.

        :param chunks: number of further chunks that may be sent.
        """
        self.credit += chunks
        self.credit_added.set()

    async def take_credit(self) -> None:
        """Wait for the credit to send one chunk, and use it."""
        while self.credit <= 0 and not self.abandoned:
            self.credit_added = trio.Event()
            await self.credit_added.wait()
        self.credit -= 1


class RunTable:
    """Known runs, to recognise duplicate requests and cancellations."""

    def __init__(self) -> None:
        self._runs: dict[RunId, Run] = {}

    def find(self, run_id: RunId) -> Run | None:
        """Return a run, or None if it is unknown."""
        return self._runs.get(run_id)

    def add(self, run: Run) -> None:
        """Add or replace a run."""
        self._runs[run.run_id] = run

    def prune(self, now: float) -> None:
        """Remove ended runs whose duplicates would be refused as too late.

        :param now: local time in seconds.
        """
        open_states = (RunState.QUEUED, RunState.STARTED)
        for run in list(self._runs.values()):
            if run.retain_until < now and run.state not in open_states:
                del self._runs[run.run_id]

    def requested_by(self, peer: ports.Peer) -> tuple[Run, ...]:
        """Return the runs that an entry requested.

        :param peer: the entry, with its boot id.
        """
        return tuple(
            run
            for run in self._runs.values()
            if run.run_id.entry == peer.node_id
            and run.run_id.boot_id == peer.boot_id
        )


def run_id(
    peer: ports.Peer, message: messages.RunRequest | messages.CancelRequest
) -> RunId:
    """Return the identity of the run that a message refers to.

    :param peer: the entry that sent the message.
    :param message: the message.
    """
    return RunId(
        peer.node_id, peer.boot_id, message.request_id, message.attempt
    )


def is_exclusive(message: messages.RunRequest) -> bool:
    """Return whether a request must not overlap with others of its key.

    :param message: the request.
    """
    return any(
        name.lower() == 'citronrail-exclusive' and value
        for name, value in message.headers
    )
