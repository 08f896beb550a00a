"""Requests that an agent has heard of, and what became of them."""

import dataclasses
import enum

import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports

FORGET_S = 5.0  # a copy of a message is not delayed longer than this


class RunState(enum.Enum):
    """How far a run has come."""

    CANCELLED = 'cancelled'  # before it started, perhaps before it arrived
    QUEUED = 'queued'
    REFUSED = 'refused'
    STARTED = 'started'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True)
class RunId:
    """An attempt of a request, as sent by one boot of an entry."""

    entry: identifiers.NodeId
    boot_id: identifiers.BootId
    request_id: identifiers.RequestId
    attempt: int


@dataclasses.dataclass
class Run:
    """One attempt; ``forget_at`` is a local time in seconds."""

    run_id: RunId
    state: RunState
    forget_at: float
    exclusive: bool = False
    abandoned: bool = False
    address: tuple[str, str] = ('', '')  # service and backend server
    feed_ending: bool = False
    feed_reading: trio.CancelScope | None = None
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    credit: int = 0
    credit_given: trio.Event = dataclasses.field(default_factory=trio.Event)

    def end_feed(self) -> None:
        """End the feed, if this run is one, after the last whole event."""
        self.feed_ending = True
        if self.feed_reading is not None:
            self.feed_reading.cancel()

    def abandon(self) -> None:
        """Stop sending; an exclusive run is still read to its end."""
        self.abandoned = True
        self.credit_given.set()
        if not self.exclusive:
            self.scope.cancel()

    def give_credit(self, chunks: int) -> None:
        """Allow more chunks to be sent.

        :param chunks: how many more.
        """
        self.credit += chunks
        self.credit_given.set()

    async def take_credit(self) -> None:
        """Wait until a chunk may be sent, and count it."""
        while self.credit <= 0 and not self.abandoned:
            self.credit_given = trio.Event()
            await self.credit_given.wait()
        self.credit -= 1


class RunTable:
    """The runs that late copies and cancellations must find."""

    def __init__(self) -> None:
        self._runs: dict[RunId, Run] = {}

    def find(self, run_id: RunId) -> Run | None:
        """Return a run, None if it is not known."""
        return self._runs.get(run_id)

    def add(self, run: Run) -> None:
        """Remember a run."""
        self._runs[run.run_id] = run

    def prune(self, now: float) -> None:
        """Forget runs whose copies would be refused as too late.

        :param now: local time in seconds.
        """
        open_states = (RunState.QUEUED, RunState.STARTED)
        for run in list(self._runs.values()):
            if run.forget_at < now and run.state not in open_states:
                del self._runs[run.run_id]

    def of_entry(self, peer: ports.Peer) -> tuple[Run, ...]:
        """Return the runs that a peer asked for.

        :param peer: an entry.
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
    """Return the identity of the run that a message is about.

    :param peer: the entry that sent it.
    :param message: the message.
    """
    return RunId(
        peer.node_id, peer.boot_id, message.request_id, message.attempt
    )
