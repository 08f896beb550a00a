"""Lets an entry collect the timelines of its peers."""

import collections.abc
import itertools
import typing

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.observability import _timeline
from citronrail import ports

_STEP = 'timeline.fetch'
# Keeps replies far below the largest message between peers.
MAX_EVENTS_RELAYED = 2000
TIMEOUT_S = 3.0
# Further queries are dropped; one timeline is sent at a time.
MAX_QUEUED = 16
_Query = tuple[identifiers.NodeId, int, int]


class TimelineExchange:
    """Answers queries of entries; on an entry, also asks peers.

    Every process runs one.

    :param hub: connections to the peers.
    :param role: role of this process.
    """

    def __init__(self, hub: ports.PeerHub, role: str) -> None:
        self._hub = hub
        self._role = role
        self._numbers = itertools.count(1)
        self._replies: dict[
            tuple[identifiers.NodeId, int], _PendingTimeline
        ] = {}
        self._sender, self._queries = trio.open_memory_channel[_Query](
            MAX_QUEUED
        )
        hub.subscribe(messages.TimelineQuery, self._on_query)
        hub.subscribe(messages.TimelineReply, self._on_reply)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Answer queries until cancelled."""
        task_status.started()
        async for node_id, seq, limit in self._queries:
            timeline = self.own(max(0, min(limit, MAX_EVENTS_RELAYED)))
            # In a thread, since compressing takes longer than a request may.
            data = await trio.to_thread.run_sync(_timeline.compress, timeline)
            try:
                await self._hub.send(
                    node_id, messages.TimelineReply(seq), data
                )
            except errors.PeerUnreachable:
                continue

    def own(
        self, limit: int = _timeline.MAX_EVENTS
    ) -> _timeline.ProcessTimeline:
        """Return the timeline of this process.

        :param limit: number of events at most.
        :returns: the timeline with the clock readings of all peers.
        """
        return _timeline.snapshot(
            self._hub.node_id,
            self._hub.boot_id,
            self._role,
            self._readings(),
            limit,
        )

    async def fetch(
        self, node_id: identifiers.NodeId
    ) -> _timeline.ProcessTimeline:
        """Ask a peer for its timeline.

        :param node_id: the peer, an entry or agent.
        :returns: its latest events.
        :raises citronrail.errors.PeerUnreachable: if it isn't connected.
        :raises citronrail.errors.PeerTimeout: if it doesn't answer in time
            or sends something else.
        """
        if node_id == self._hub.node_id:
            return self.own()
        seq = next(self._numbers)
        pending = _PendingTimeline()
        self._replies[node_id, seq] = pending
        try:
            await self._hub.send(
                node_id, messages.TimelineQuery(seq, MAX_EVENTS_RELAYED)
            )
            with trio.move_on_after(TIMEOUT_S):
                await pending.came.wait()
        finally:
            del self._replies[node_id, seq]
        try:
            return _timeline.expand(pending.data)
        except ValueError as exc:
            raise errors.PeerTimeout(
                'no timeline came', step=_STEP, peer=node_id
            ) from exc

    def _readings(
        self,
    ) -> collections.abc.Iterator[_timeline.ClockReading]:
        now = trio.current_time()
        for role in ('entry', 'agent'):
            for peer in self._hub.peers(role):
                try:
                    at_least = self._hub.to_peer_clock(peer.node_id, now)
                except errors.PeerUnreachable:
                    continue
                yield _timeline.ClockReading(
                    peer.node_id, peer.boot_id, at_least, now
                )

    async def _on_query(
        self, peer: ports.Peer, msg: messages.TimelineQuery, _payload: bytes
    ) -> None:
        try:
            self._sender.send_nowait((peer.node_id, msg.seq, msg.limit))
        except trio.WouldBlock:
            return  # the asker's deadline passes and it may ask again

    async def _on_reply(
        self, peer: ports.Peer, msg: messages.TimelineReply, payload: bytes
    ) -> None:
        pending = self._replies.get((peer.node_id, msg.seq))
        if pending is not None:
            pending.data = payload
            pending.came.set()


class _PendingTimeline:
    """A reply that is waited for."""

    def __init__(self) -> None:
        self.came = trio.Event()
        self.data: bytes = b''


class TimelineSource(typing.Protocol):
    """What the operators' port needs to show timelines."""

    def own(self) -> _timeline.ProcessTimeline:
        """Return the timeline of this process."""
        ...

    async def fetch(
        self, node_id: identifiers.NodeId
    ) -> _timeline.ProcessTimeline:
        """Return the timeline of a peer."""
        ...
