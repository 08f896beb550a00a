"""Connections to peers and the table of connected peers."""

import typing

import trio
import zmq

from citronrail.adapters import _metrics
from citronrail.adapters import _peer_clock
from citronrail.adapters import _zmq_sockets
from citronrail.model import identifiers
from citronrail import observability
from citronrail.observability.catalogue import adapters as events
from citronrail import ports

Inbound = tuple[typing.Any, bytes]
_CLOSE_GRACE_S = 1.0


class Link:
    """A connection to a peer that has sent its Hello.

    :param sock: socket of the connection.
    :param routing_id: address of the peer at a ROUTER, None at a DEALER.
    :param peer: the connected peer.
    :param limits: limits of the port.
    """

    def __init__(
        self,
        sock: _zmq_sockets.TrioSocket,
        routing_id: bytes | None,
        peer: ports.Peer,
        limits: _zmq_sockets.PeerLimits,
    ) -> None:
        self.peer = peer
        self.lock = trio.Lock()
        self.scope = trio.CancelScope()
        self.closed = ''
        self.closed_event = trio.Event()
        self.last_sent_at = trio.current_time()
        self.last_received_at = trio.current_time()
        self.inbox, self.received = trio.open_memory_channel[Inbound](
            limits.inbox_messages
        )
        self._sock = sock
        self._prefix = [] if routing_id is None else [routing_id]

    def try_send(self, frames: list[bytes]) -> bool:
        """Hand a message to the socket without waiting.

        :param frames: frames of the message, without routing id.
        :returns: False if the queue of this peer is full.
        :raises zmq.ZMQError: if the connection is lost.
        """
        if self.closed:
            raise zmq.ZMQError(zmq.EHOSTUNREACH)
        try:
            sent = self._sock.send(self._prefix + frames)
        except zmq.ZMQError as exc:
            self.close(str(exc))
            raise
        if sent:
            self.last_sent_at = trio.current_time()
        return sent

    def silent_s(self) -> float:
        """Return for how long the peer has certainly sent nothing.

        Messages that may still wait unread on the socket are no silence.
        """
        return self._sock.drained_at - self.last_received_at

    def close(self, reason: str) -> None:
        """Stop using the connection.

        Messages already received are handled for up to one second more.

        :param reason: logged with the disconnection.
        """
        if not self.closed:
            self.closed = reason
            self.closed_event.set()
            self.inbox.close()
            self.scope.deadline = trio.current_time() + _CLOSE_GRACE_S


class LinkTable:
    """The active links of this process, by peer."""

    def __init__(self) -> None:
        self._links: dict[identifiers.NodeId, list[Link]] = {}
        self._clocks: dict[identifiers.NodeId, _peer_clock.ClockReading] = {}
        self._listeners: list[tuple[ports.Listener, ports.Listener]] = []

    def listen(
        self, on_connect: ports.Listener, on_disconnect: ports.Listener
    ) -> None:
        """Call functions when a peer connects and disconnects.

        :param on_connect: called for already connected peers as well.
        :param on_disconnect: called after the last link is removed.
        """
        self._listeners.append((on_connect, on_disconnect))
        for links in self._links.values():
            on_connect(links[0].peer)

    def add(self, link: Link) -> None:
        """Add a link; links to an earlier boot of the peer are closed.

        :param link: a link whose peer has sent its Hello.
        """
        node_id = link.peer.node_id
        for old in list(self._links.get(node_id, ())):
            if old.peer.boot_id != link.peer.boot_id:
                old.close('the peer was restarted')
                self.remove(old)
        links = self._links.setdefault(node_id, [])
        links.append(link)
        if len(links) == 1:
            self._connected(link.peer)

    def remove(self, link: Link) -> None:
        """Remove a link.

        :param link: the link; ignored if it is not in the table.
        """
        node_id = link.peer.node_id
        links = self._links.get(node_id, [])
        if link not in links:
            return
        links.remove(link)
        if not links:
            del self._links[node_id]
            self._clocks.pop(node_id, None)
            self._disconnected(link)

    def link(self, node_id: identifiers.NodeId) -> Link | None:
        """Return the link that reaches a node.

        :param node_id: the receiver.
        :returns: the oldest open link, None if there is none.
        """
        for link in self._links.get(node_id, ()):
            if not link.closed:
                return link
        return None

    def links(self) -> tuple[Link, ...]:
        """Return all links."""
        return tuple(lnk for links in self._links.values() for lnk in links)

    def peers(self, role: str) -> tuple[ports.Peer, ...]:
        """Return the connected peers of a role.

        :param role: ``entry`` or ``agent``.
        """
        return tuple(
            links[0].peer
            for links in self._links.values()
            if links[0].peer.role == role
        )

    def observe_clock(self, link: Link, clock: float) -> None:
        """Record a peer's clock value that has just arrived.

        :param link: the link on which it arrived.
        :param clock: the peer's monotonic clock in seconds.
        """
        now = trio.current_time()
        node_id = link.peer.node_id
        reading = _peer_clock.ClockReading(clock, now)
        self._clocks[node_id] = _peer_clock.select_reading(
            self._clocks.get(node_id), reading, now
        )

    def clock(
        self, node_id: identifiers.NodeId
    ) -> _peer_clock.ClockReading | None:
        """Return the best reading of the peer's current boot, or None."""
        return self._clocks.get(node_id)

    def _connected(self, peer: ports.Peer) -> None:
        observability.emit(
            events.PEER_CONNECTED,
            role=peer.role,
            peer=peer.node_id,
            boot_id=peer.boot_id,
        )
        _metrics.PEERS_CONNECTED.labels(peer.role).inc()
        for on_connect, _ in self._listeners:
            _call(on_connect, peer)

    def _disconnected(self, link: Link) -> None:
        observability.emit(
            events.PEER_DISCONNECTED,
            peer=link.peer.node_id,
            reason=link.closed or 'closed',
        )
        _metrics.PEERS_CONNECTED.labels(link.peer.role).dec()
        for _, on_disconnect in self._listeners:
            _call(on_disconnect, link.peer)


def _call(listener: ports.Listener, peer: ports.Peer) -> None:
    """Call a listener; its error must not end the port of all peers."""
    try:
        listener(peer)
    except Exception as exc:  # noqa: BLE001
        _metrics.PEER_MESSAGES_REFUSED.labels('listener failed').inc()
        observability.emit(
            events.PEER_HANDLER_FAILED,
            message='connection',
            peer=peer.node_id,
            error=repr(exc),
        )
