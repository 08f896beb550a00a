"""Exchanges timelines, so that an entry can collect those of its peers."""

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
# Keeps replies well below the message size limit between peers.
MAX_REPLY_EVENTS = 2000
TIMEOUT_S = 3.0
# Timelines are sent one at a time; queries beyond the queue are dropped.
MAX_QUEUED = 16
_Query = tuple[identifiers.NodeId, int, int]


class TimelineExchange:
    """Answers timeline queries and, on an entry, sends them to peers.

    Every process runs one instance.

    :param hub: connections to the peers.
    :param role: role of this process.
    """

    def __init__(self, hub: ports.PeerHub, role: str) -> None:
        self._hub = hub
        self._role = role
        self._sequence = itertools.count(1)
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
            timeline = self.own(max(0, min(limit, MAX_REPLY_EVENTS)))
            # In a thread: compression would delay requests on the event loop.
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

        :param limit: maximum number of events.
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
        """Request the timeline of a peer.

        :param node_id: the peer, an entry or agent.
        :returns: its latest events.
        :raises citronrail.errors.PeerUnreachable: if it is not connected.
        :raises citronrail.errors.PeerTimeout: if it does not reply in
            time, or the reply is malformed.
        """
        if node_id == self._hub.node_id:
            return self.own()
        seq = next(self._sequence)
        pending = _PendingTimeline()
        self._replies[node_id, seq] = pending
        try:
            await self._hub.send(
                node_id, messages.TimelineQuery(seq, MAX_REPLY_EVENTS)
            )
            with trio.move_on_after(TIMEOUT_S):
                await pending.received.wait()
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
                    lower_bound_s = self._hub.to_peer_clock(peer.node_id, now)
                except errors.PeerUnreachable:
                    continue
                yield _timeline.ClockReading(
                    peer.node_id, peer.boot_id, lower_bound_s, now
                )

    async def _on_query(
        self, peer: ports.Peer, msg: messages.TimelineQuery, _payload: bytes
    ) -> None:
        try:
            self._sender.send_nowait((peer.node_id, msg.seq, msg.limit))
        except trio.WouldBlock:
            return  # the query times out and can be repeated

    async def _on_reply(
        self, peer: ports.Peer, msg: messages.TimelineReply, payload: bytes
    ) -> None:
        pending = self._replies.get((peer.node_id, msg.seq))
        if pending is not None:
            pending.data = payload
            pending.received.set()


class _PendingTimeline:
    """A pending reply."""

    def __init__(self) -> None:
        self.received = trio.Event()
        self.data: bytes = b''


class TimelineSource(typing.Protocol):
    """The timelines available to the operators' port."""

    def own(self) -> _timeline.ProcessTimeline:
        """Return the timeline of this process."""
        ...

    async def fetch(
        self, node_id: identifiers.NodeId
    ) -> _timeline.ProcessTimeline:
        """Return the timeline of a peer."""
        ...
