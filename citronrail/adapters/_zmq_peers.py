"""Connections between the project's processes over zmq."""

import collections
import collections.abc
import dataclasses
import random
import typing

import trio
import zmq

from citronrail.adapters import _curve
from citronrail.adapters import _metrics
from citronrail.adapters import _peer_links
from citronrail.adapters import _zmq_sockets
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import adapters as events
from citronrail import ports

_HELLO_EXPECTED = 'hello expected'
_FULL_QUEUE_PAUSE_S = 0.002

Introduce = collections.abc.Callable[[], messages.Hello]


class ZmqPeerHub:
    """A :class:`citronrail.ports.PeerHub` over zmq.

    Entries listen with a ROUTER; agents and entries connect to each entry
    with a DEALER. Each connection begins with an exchange of Hello.

    :param introduce: returns this process's Hello as of now; its clock is
        set by the hub.
    :param listen: ``tcp://IP:PORT`` of the peer port, or '' for none; port 0
        chooses a free one.
    :param curve: key files; None is allowed only with ``insecure``.
    :param insecure: accept and make connections without keys.
    :param limits: bounds of the port.
    :param rng: spreads reconnects in time.
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
                'give either key files or the setting for no keys',
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
        self._rng = rng
        self._handlers: dict[type, list[ports.Handler]] = (
            collections.defaultdict(list)
        )
        self._table = _peer_links.LinkTable()
        self._accepted: dict[bytes, _peer_links.Link] = {}
        self._entries: dict[str, trio.CancelScope] = {}
        self._wanted: frozenset[str] = frozenset()
        self._nursery: trio.Nursery | None = None
        self._ctx: zmq.Context[zmq.Socket[bytes]] = zmq.Context()

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
        self._handlers[kind].append(handler)

    def listen(
        self,
        on_connect: ports.Listener,
        on_disconnect: ports.Listener,
    ) -> None:
        """Call functions when peers connect and disconnect.

        :param on_connect: gets the peer; called for present peers at once.
        :param on_disconnect: gets the peer.
        """
        self._table.listen(on_connect, on_disconnect)

    def peers(self, role: str) -> tuple[ports.Peer, ...]:
        """Return the connected peers of a role.

        :param role: ``entry`` or ``agent``.
        """
        return self._table.peers(role)

    def peer(self, node_id: identifiers.NodeId) -> ports.Peer | None:
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
            peer's present boot is known.
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
        """Hand a message to the peer's socket.

        Waits at most ``send_wait_s`` while the peer's queue is full; sends
        to other peers go on meanwhile.

        :param peer: node id of the receiver.
        :param message: an instance of a registered message.
        :param payload: raw bytes for frame 1.
        :raises citronrail.errors.PeerUnreachable: if nothing was handed to
            a socket.
        """
        frames = [messages.pack(message)]
        if payload is not None:
            frames.append(payload)
        reason = await self._hand_over(self._table.link(peer), frames)
        if reason:
            _metrics.PEER_SENDS_FAILED.inc()
            raise errors.PeerUnreachable(reason, step='peers.send', peer=peer)

    def set_entries(self, addresses: collections.abc.Iterable[str]) -> None:
        """Connect to these entries and disconnect from all others.

        :param addresses: peer ports as ``tcp://IP:PORT``; this process's own
            is ignored.
        """
        self._wanted = frozenset(addresses) - {self.address}
        if self._nursery is not None:
            self._apply_entries(self._nursery)

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
                    nursery.start_soon(self._keys.authenticate, self._ctx)
                    await trio.lowlevel.checkpoint()
                else:
                    observability.emit(events.PEER_PORT_INSECURE)
                if self._listen:
                    nursery.start_soon(self._accept, self._bind())
                nursery.start_soon(self._keep_alive)
                self._apply_entries(nursery)
                task_status.started(self.address)
        finally:
            self._nursery = None
            self._ctx.destroy(linger=0)

    def _bind(self) -> _zmq_sockets.TrioSocket:
        sock = _zmq_sockets.open_router(self._ctx, self._limits)
        if self._keys is not None:
            self._keys.secure_server(sock)
        sock.bind(self._listen)
        self.address = str(sock.getsockopt_string(zmq.LAST_ENDPOINT))
        observability.emit(events.PEER_PORT_OPEN, address=self.address)
        return _zmq_sockets.TrioSocket(sock)

    def _apply_entries(self, nursery: trio.Nursery) -> None:
        for address, scope in list(self._entries.items()):
            if address not in self._wanted:
                scope.cancel()
                del self._entries[address]
        for address in sorted(self._wanted - self._entries.keys()):
            scope = self._entries[address] = trio.CancelScope()
            nursery.start_soon(self._stay_connected, address, scope)

    async def _hand_over(
        self, link: _peer_links.Link | None, frames: list[bytes]
    ) -> str:
        """Hand frames to a link; return '' or why it was impossible."""
        if link is None:
            await trio.lowlevel.checkpoint()
            return 'not connected'
        if sum(map(len, frames)) > self._limits.max_message_bytes:
            return 'the message is too large'
        with trio.move_on_after(self._limits.send_wait_s):
            async with link.lock:
                try:
                    while not link.try_send(frames):
                        await trio.sleep(_FULL_QUEUE_PAUSE_S)
                except zmq.ZMQError as exc:
                    return str(exc)
                return ''
        return 'the queue is full'

    # Incoming messages

    async def _accept(self, sock: _zmq_sockets.TrioSocket) -> None:
        while True:
            routing_id, *frames = await sock.receive()
            key = routing_id.bytes
            link = self._accepted.get(key)
            if link is not None and link.closed:
                link = None
            message = self._decode(frames, key.decode(errors='replace'))
            if isinstance(message, messages.UnknownMessage):
                self._complain(sock, key, str(message))
            elif isinstance(message, messages.Hello):
                self._welcome(sock, key, message, frames[0])
            elif link is None:
                self._complain(sock, key, _HELLO_EXPECTED)
            else:
                self._deliver(link, message, frames)

    def _decode(self, frames: list[zmq.Frame], sender: str) -> object:
        """Return the message, or UnknownMessage after noting it."""
        if len(frames) not in (1, 2):
            exc = messages.UnknownMessage('wrong number of frames')
        else:
            try:
                return messages.unpack(frames[0].bytes)
            except messages.UnknownMessage as caught:
                exc = caught
        self._refuse(sender, 'undecodable', str(exc))
        return exc

    def _refuse(self, sender: str, reason: str, detail: str) -> None:
        _metrics.PEER_MESSAGES_REFUSED.labels(reason).inc()
        observability.emit(
            events.PEER_MESSAGE_REFUSED,
            peer=sender[:80],
            reason=f'{reason}: {detail}'[:300],
        )

    def _complain(
        self, sock: _zmq_sockets.TrioSocket, key: bytes, reason: str
    ) -> None:
        """Tell the sender of an unusable message, if it is reachable."""
        reply = messages.pack(messages.ProtocolError(reason[:300]))
        try:
            sock.send([key, reply])
        except zmq.ZMQError:
            return

    def _welcome(
        self,
        sock: _zmq_sockets.TrioSocket,
        key: bytes,
        hello: messages.Hello,
        frame: zmq.Frame,
    ) -> None:
        claimed = f'{hello.node_id}/{hello.boot_id}'
        if key != claimed.encode():
            self._refuse(claimed, 'wrong boot', 'routing id differs')
            self._complain(sock, key, 'the routing id names another peer')
            return
        if self._keys is not None:
            owner = self._keys.owner(_user_id(frame))
            if owner != hello.node_id:
                _metrics.PEER_MESSAGES_REFUSED.labels('wrong key').inc()
                observability.emit(
                    events.PEER_KEY_REFUSED, peer=claimed, owner=owner
                )
                return
        old = self._accepted.get(key)
        if old is not None:
            old.close('the peer connected anew')
            self._table.remove(old)
        link = _peer_links.Link(sock, key, _peer_of(hello), self._limits)
        if not self._answer_hello(link):
            return
        self._accepted[key] = link
        self._start_link(link, hello)

    def _answer_hello(self, link: _peer_links.Link) -> bool:
        try:
            return link.try_send([messages.pack(self._hello())])
        except zmq.ZMQError:
            return False

    def _hello(self) -> messages.Hello:
        return dataclasses.replace(
            self._introduce(), clock=trio.current_time()
        )

    def _start_link(
        self, link: _peer_links.Link, hello: messages.Hello
    ) -> None:
        assert self._nursery is not None
        self._table.add(link)
        self._table.observe_clock(link, hello.clock)
        link.inbox.send_nowait((hello, b''))
        self._nursery.start_soon(self._handle, link)

    def _deliver(
        self,
        link: _peer_links.Link,
        message: object,
        frames: list[zmq.Frame],
    ) -> None:
        """Check a message and pass it to the task of its peer."""
        link.heard_at = trio.current_time()
        sender = str(link.peer.node_id)
        if isinstance(message, messages.ProtocolError):
            observability.emit(
                events.PEER_REPORTED_ERROR, peer=sender, reason=message.reason
            )
            if message.reason == _HELLO_EXPECTED:
                link.close('the peer no longer knows this connection')
            return
        boot_id = getattr(message, 'boot_id', link.peer.boot_id)
        if boot_id != link.peer.boot_id:
            self._refuse(sender, 'wrong boot', type(message).__name__)
            self._tell(link, 'the boot id is not that of Hello')
            return
        clock = getattr(message, 'clock', None)
        if clock is not None:
            self._table.observe_clock(link, clock)
        payload = frames[1].bytes if len(frames) == 2 else b''
        try:
            link.inbox.send_nowait((message, payload))
        except trio.WouldBlock:
            observability.emit(events.PEER_QUEUE_FULL, peer=sender)
            _metrics.PEER_MESSAGES_REFUSED.labels('inbox full').inc()
            link.close('too many unhandled messages')

    def _tell(self, link: _peer_links.Link, reason: str) -> None:
        try:
            link.try_send([messages.pack(messages.ProtocolError(reason))])
        except zmq.ZMQError:
            return

    async def _handle(self, link: _peer_links.Link) -> None:
        """Await the handlers of one peer's messages, in order."""
        try:
            with link.scope:
                async for message, payload in link.received:
                    for handler in self._handlers.get(type(message), ()):
                        await self._call(handler, link, message, payload)
        finally:
            self._table.remove(link)
            for key, accepted in list(self._accepted.items()):
                if accepted is link:
                    del self._accepted[key]

    async def _call(
        self,
        handler: ports.Handler,
        link: _peer_links.Link,
        message: object,
        payload: bytes,
    ) -> None:
        try:
            await handler(link.peer, message, payload)
        except Exception as exc:  # noqa: BLE001
            # A fault in one handler must not end the peer's connection.
            _metrics.PEER_MESSAGES_REFUSED.labels('handler failed').inc()
            observability.emit(
                events.PEER_HANDLER_FAILED,
                message=type(message).__name__,
                peer=link.peer.node_id,
                error=repr(exc),
            )

    # Outgoing connections

    async def _stay_connected(
        self, address: str, scope: trio.CancelScope
    ) -> None:
        with scope:
            while True:
                await self._connect(address)
                pause = self._limits.reconnect_s
                await trio.sleep(pause * self._rng.uniform(0.5, 1.5))

    async def _connect(self, address: str) -> None:
        """Use one connection to an entry until it breaks."""
        routing_id = f'{self._node_id}/{self._boot_id}'.encode()
        raw = _zmq_sockets.open_dealer(self._ctx, self._limits, routing_id)
        sock = _zmq_sockets.TrioSocket(raw)
        link = None
        try:
            if self._keys is not None:
                self._keys.secure_client(raw)
            broken = raw.get_monitor_socket(zmq.EVENT_DISCONNECTED)
            raw.connect(address)
            with trio.move_on_after(self._limits.hello_wait_s):
                link = await self._greet(sock, address)
            if link is not None:
                await self._read(sock, link, _zmq_sockets.TrioSocket(broken))
        except zmq.ZMQError as exc:
            self._refuse(address, 'connection failed', str(exc))
        finally:
            if link is not None:
                link.close('the connection broke')
                self._table.remove(link)
            raw.disable_monitor()
            sock.close()

    async def _greet(
        self, sock: _zmq_sockets.TrioSocket, address: str
    ) -> _peer_links.Link | None:
        while not sock.send([messages.pack(self._hello())]):
            await trio.sleep(_FULL_QUEUE_PAUSE_S)
        frames = await sock.receive()
        hello = self._decode(frames, address)
        if not isinstance(hello, messages.Hello):
            self._refuse(address, 'no hello', type(hello).__name__)
            return None
        if hello.node_id == self._node_id:
            await trio.sleep_forever()  # an address of this process itself
        link = _peer_links.Link(sock, None, _peer_of(hello), self._limits)
        self._start_link(link, hello)
        return link

    async def _read(
        self,
        sock: _zmq_sockets.TrioSocket,
        link: _peer_links.Link,
        broken: _zmq_sockets.TrioSocket,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_when_broken, link, broken)
            nursery.start_soon(self._read_messages, sock, link)
            await link.gone.wait()
            nursery.cancel_scope.cancel()

    async def _read_messages(
        self, sock: _zmq_sockets.TrioSocket, link: _peer_links.Link
    ) -> None:
        while True:
            frames = await sock.receive()
            message = self._decode(frames, link.peer.node_id)
            if isinstance(message, messages.UnknownMessage):
                self._tell(link, str(message)[:300])
            else:
                self._deliver(link, message, frames)

    async def _keep_alive(self) -> None:
        """Probe idle connections and drop silent ones."""
        while True:
            await trio.sleep(self._limits.keep_alive_s / 4)
            now = trio.current_time()
            for link in self._table.links():
                if now - link.heard_at > self._limits.silence_s:
                    link.close('no message for too long')
                elif now - link.sent_at > self._limits.keep_alive_s:
                    self._probe(link, now)

    def _probe(self, link: _peer_links.Link, now: float) -> None:
        alive = messages.Alive(self._boot_id, now)
        try:
            link.try_send([messages.pack(alive)])
        except zmq.ZMQError:
            return


async def _close_when_broken(
    link: _peer_links.Link, broken: _zmq_sockets.TrioSocket
) -> None:
    await broken.receive()
    link.close('the connection broke')


def _peer_of(hello: messages.Hello) -> ports.Peer:
    return ports.Peer(
        hello.node_id,
        hello.boot_id,
        hello.role,
        hello.data_centre,
        hello.rack,
        hello.capacity,
        hello.address,
    )


def _user_id(frame: zmq.Frame) -> str:
    """Return the authenticated public key of a frame's sender, or ''."""
    try:
        return str(typing.cast(typing.Any, frame).get('User-Id'))
    except zmq.ZMQError:
        return ''
