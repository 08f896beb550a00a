"""Connections between the project's processes over zmq."""

import collections.abc
import dataclasses
import random

import trio
import zmq

from citronrail.adapters import _curve
from citronrail.adapters import _metrics
from citronrail.adapters import _peer_connections
from citronrail.adapters import _peer_inbox
from citronrail.adapters import _peer_links
from citronrail.adapters import _peer_port
from citronrail.adapters import _peer_traffic
from citronrail.adapters import _zmq_sockets
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import adapters as events
from citronrail import ports

# A wake-up that is later than this means that the process was suspended.
_SUSPENSION_THRESHOLD_S = 1.0
_FULL_QUEUE_RETRY_S = 0.002

Introduce = collections.abc.Callable[[], messages.Hello]


class ZmqPeerHub:
    """A :class:`citronrail.ports.PeerHub` over zmq.

    Entries listen with a ROUTER; agents and entries connect to each entry
    with a DEALER. Each connection begins with an exchange of Hello.

    :param introduce: returns this process's Hello; the hub sets its clock.
    :param listen: ``tcp://IP:PORT`` of the peer port, or '' for none; port 0
        chooses a free one.
    :param curve: key files; None is allowed only with ``insecure``.
    :param insecure: accept and open connections without keys.
    :param limits: limits of the port.
    :param rng: source of the jitter between reconnects.
    :raises citronrail.errors.ConfigError: if keys are missing or malformed.
    """

    def __init__(
        self,
        introduce: Introduce,
        *,
        listen: str = '',
        curve: _curve.CurveFiles | None = None,
        insecure: bool = False,
        limits: _zmq_sockets.PeerLimits | None = None,
        rng: random.Random,
    ) -> None:
        if (curve is None) != insecure:
            raise errors.ConfigError(
                'either key files or the insecure setting is required',
                step='peers.keys',
            )
        hello = introduce()
        self.address = ''
        self._introduce = introduce
        self._node_id = hello.node_id
        self._boot_id = hello.boot_id
        self._listen = listen
        self._keys = _curve.CurveKeys(curve) if curve else None
        self._limits = limits or _zmq_sockets.PeerLimits()
        self._ctx: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._table = _peer_links.LinkTable()
        self._sent = _peer_traffic.PeerTraffic('sent')
        self._inbox = _peer_inbox.PeerInbox(self._table, self._limits)
        self._connections = _peer_connections.EntryConnections(
            self._ctx,
            self._inbox,
            self._table,
            self._make_hello,
            self._keys,
            self._limits,
            rng,
        )
        self._entry_addresses: frozenset[str] = frozenset()
        self._nursery: trio.Nursery | None = None

    @property
    def node_id(self) -> identifiers.NodeId:
        """Node id of this process."""
        return self._node_id

    @property
    def boot_id(self) -> identifiers.BootId:
        """Boot id of this process."""
        return self._boot_id

    def subscribe(self, kind: type, handler: ports.Handler) -> None:
        """Call ``handler(peer, message, payload)`` for each ``kind``.

        :param kind: a registered message class.
        :param handler: awaited in the peer's own task.
        """
        self._inbox.subscribe(kind, handler)

    def listen(
        self,
        on_connect: ports.Listener,
        on_disconnect: ports.Listener,
    ) -> None:
        """Call functions when peers connect and disconnect.

        :param on_connect: called with the peer; called at once for peers
            that are already connected.
        :param on_disconnect: called with the peer.
        """
        self._table.listen(on_connect, on_disconnect)

    def peers(self, role: str) -> tuple[ports.Peer, ...]:
        """Return the connected peers of a role.

        :param role: ``entry`` or ``agent``.
        """
        return self._table.peers(role)

    def find_peer(self, node_id: identifiers.NodeId) -> ports.Peer | None:
        """Return a connected peer, None if it is not connected.

        :param node_id: the peer.
        """
        link = self._table.link(node_id)
        return None if link is None else link.peer

    def to_peer_clock(
        self, peer: identifiers.NodeId, deadline: float
    ) -> float:
        """Express a local deadline on the peer's clock.

        :param peer: node id of the receiver.
        :param deadline: time in seconds on this process's clock.
        :returns: a time on the peer's clock that is never later.
        :raises citronrail.errors.PeerUnreachable: if no clock reading of the
            peer's current boot is known.
        """
        reading = self._table.clock(peer)
        if reading is None:
            raise errors.PeerUnreachable(
                'no clock reading', step='peers.clock', peer=peer
            )
        return reading.convert(deadline, trio.current_time())

    async def send(
        self,
        peer: identifiers.NodeId,
        message: object,
        payload: bytes | None = None,
    ) -> None:
        """Queue a message on the peer's socket.

        Waits at most ``send_wait_s`` while the peer's queue is full; sends
        to other peers are not blocked.

        :param peer: node id of the receiver.
        :param message: an instance of a registered message.
        :param payload: raw bytes for frame 1.
        :raises citronrail.errors.PeerUnreachable: if the message was not
            queued.
        """
        frames = [messages.pack(message)]
        if payload is not None:
            frames.append(payload)
        reason = await self._send_frames(self._table.link(peer), frames)
        if reason:
            _metrics.PEER_SENDS_FAILED.inc()
            raise errors.PeerUnreachable(reason, step='peers.send', peer=peer)
        self._sent.count(type(message), map(len, frames))

    def set_entries(self, addresses: collections.abc.Iterable[str]) -> None:
        """Connect to these entries and disconnect from all others.

        :param addresses: peer ports as ``tcp://IP:PORT``; this process's own
            is ignored.
        """
        self._entry_addresses = frozenset(addresses) - {self.address}
        if self._nursery is not None:
            self._connections.apply(self._entry_addresses, self._nursery)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve the peer port and the connections until cancelled.

        :param task_status: started with the address of the peer port, or ''.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                if self._keys is not None:
                    await nursery.start(self._keys.authenticate, self._ctx)
                else:
                    observability.emit(events.PEER_PORT_INSECURE)
                self._inbox.open(nursery)
                if self._listen:
                    nursery.start_soon(self._open_port().run)
                nursery.start_soon(self._keep_alive)
                self._connections.apply(self._entry_addresses, nursery)
                task_status.started(self.address)
        finally:
            self._nursery = None
            self._ctx.destroy(linger=0)

    def _open_port(self) -> _peer_port.PeerPort:
        sock = _zmq_sockets.open_router(self._ctx, self._limits)
        if self._keys is not None:
            self._keys.secure_server(sock)
        sock.bind(self._listen)
        self.address = str(sock.getsockopt_string(zmq.LAST_ENDPOINT))
        observability.emit(events.PEER_PORT_OPEN, address=self.address)
        return _peer_port.PeerPort(
            _zmq_sockets.TrioSocket(sock),
            self._inbox,
            self._table,
            self._make_hello,
            self._keys,
        )

    async def _send_frames(
        self, link: _peer_links.Link | None, frames: list[bytes]
    ) -> str:
        """Queue frames on a link; return '' or the reason for the failure."""
        if link is None:
            await trio.lowlevel.checkpoint()
            return 'not connected'
        if sum(map(len, frames)) > self._limits.max_message_bytes:
            return 'the message is too large'
        with trio.move_on_after(self._limits.send_wait_s):
            async with link.lock:
                try:
                    while not link.try_send(frames):
                        await trio.sleep(_FULL_QUEUE_RETRY_S)
                except zmq.ZMQError as exc:
                    return str(exc)
                return ''
        return 'the queue is full'

    def _make_hello(self) -> messages.Hello:
        return dataclasses.replace(
            self._introduce(), clock=trio.current_time()
        )

    async def _keep_alive(self) -> None:
        """Send probes on idle links and close unresponsive ones."""
        interval_s = self._limits.keep_alive_s / 4
        while True:
            expected_at = trio.current_time() + interval_s
            await trio.sleep(interval_s)
            now = trio.current_time()
            if now > expected_at + _SUSPENSION_THRESHOLD_S:
                # Messages that arrived during the suspension are still unread.
                for link in self._table.links():
                    link.last_received_at = now
            for link in self._table.links():
                if link.silent_s() > self._limits.silence_s:
                    link.close('no message for too long')
                elif now - link.last_sent_at > self._limits.keep_alive_s:
                    self._probe(link, now)

    def _probe(self, link: _peer_links.Link, now: float) -> None:
        alive = messages.Alive(self._boot_id, now)
        try:
            link.try_send([messages.pack(alive)])
        except zmq.ZMQError:
            return
