"""Decodes, checks and dispatches the messages of peers."""

import collections
import collections.abc

import trio
import zmq

from citronrail.adapters import _metrics
from citronrail.adapters import _peer_links
from citronrail.adapters import _peer_traffic
from citronrail.adapters import _zmq_sockets
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import adapters as events
from citronrail import ports

HELLO_EXPECTED = 'hello expected'
_MAX_REASON = 300


def decode(frames: list[zmq.Frame], sender: str) -> object:
    """Decode a message.

    :param frames: one or two frames.
    :param sender: the sender, for the log event.
    :returns: the message, or UnknownMessage, which has been
        recorded.
    """
    if len(frames) not in (1, 2):
        exc = messages.UnknownMessage('wrong number of frames')
    else:
        try:
            return messages.unpack(frames[0].bytes)
        except messages.UnknownMessage as caught:
            exc = caught
    record_refusal(sender, 'undecodable', str(exc))
    return exc


def record_refusal(sender: str, reason: str, detail: str) -> None:
    """Count and log a dropped message.

    :param sender: the sender.
    :param reason: label of the metric, from a small fixed set.
    :param detail: details for the log event.
    """
    _metrics.PEER_MESSAGES_REFUSED.labels(reason).inc()
    observability.emit(
        events.PEER_MESSAGE_REFUSED,
        peer=sender[:80],
        reason=f'{reason}: {detail}'[:_MAX_REASON],
    )


def send_protocol_error(link: _peer_links.Link, reason: str) -> None:
    """Report an unusable message to its sender; send errors are ignored.

    :param link: the link to the sender.
    :param reason: why the message is unusable.
    """
    error = messages.ProtocolError(reason[:_MAX_REASON])
    try:
        link.try_send([messages.pack(error)])
    except zmq.ZMQError:
        return


class PeerInbox:
    """Dispatches the messages of each peer to the handlers, in order.

    :param table: the active links.
    :param limits: limits of the port.
    """

    def __init__(
        self,
        table: _peer_links.LinkTable,
        limits: _zmq_sockets.PeerLimits,
    ) -> None:
        self._table = table
        self._limits = limits
        self._nursery: trio.Nursery | None = None
        self._received = _peer_traffic.PeerTraffic('received')
        self._handlers: dict[type, list[ports.Handler]] = (
            collections.defaultdict(list)
        )

    def subscribe(self, kind: type, handler: ports.Handler) -> None:
        """Call ``handler(peer, message, payload)`` for each ``kind``.

        :param kind: a registered message class.
        :param handler: awaited in the peer's own task.
        """
        self._handlers[kind].append(handler)

    def open(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which links are handled.

        :param nursery: runs one task for each link.
        """
        self._nursery = nursery

    def start(
        self,
        sock: _zmq_sockets.TrioSocket,
        routing_id: bytes | None,
        hello: messages.Hello,
    ) -> _peer_links.Link:
        """Create a link to a peer that has sent its Hello.

        :param sock: socket of the connection.
        :param routing_id: address of the peer at a ROUTER, None at a DEALER.
        :param hello: the peer's Hello.
        :returns: an active link with a task that handles its messages.
        """
        assert self._nursery is not None
        peer = _peer_from_hello(hello)
        link = _peer_links.Link(sock, routing_id, peer, self._limits)
        self._table.add(link)
        self._table.observe_clock(link, hello.clock)
        link.inbox.send_nowait((hello, b''))
        self._nursery.start_soon(self._handle, link)
        return link

    def deliver(
        self,
        link: _peer_links.Link,
        message: object,
        frames: list[zmq.Frame],
    ) -> None:
        """Check a message and queue it for the task of its peer.

        :param link: the link on which it arrived.
        :param message: the message.
        :param frames: its frames; the second one, if any, is the payload.
        """
        link.last_received_at = trio.current_time()
        self._received.count(type(message), map(len, frames))
        sender = str(link.peer.node_id)
        if isinstance(message, messages.ProtocolError):
            observability.emit(
                events.PEER_REPORTED_ERROR, peer=sender, reason=message.reason
            )
            if message.reason == HELLO_EXPECTED:
                link.close('the peer no longer knows this connection')
            return
        boot_id = getattr(message, 'boot_id', link.peer.boot_id)
        if boot_id != link.peer.boot_id:
            record_refusal(sender, 'wrong boot', type(message).__name__)
            send_protocol_error(link, 'the boot id is not that of Hello')
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

    async def _handle(self, link: _peer_links.Link) -> None:
        """Await the handlers of one peer's messages, in order."""
        try:
            with link.scope:
                async for first in link.received:
                    for message, payload in _with_waiting(first, link):
                        for handler in self._handlers.get(type(message), ()):
                            await self._call(handler, link, message, payload)
        finally:
            link.close('closed')
            self._table.remove(link)

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
            # An error in one handler must not close the peer's connection.
            _metrics.PEER_MESSAGES_REFUSED.labels('handler failed').inc()
            observability.emit(
                events.PEER_HANDLER_FAILED,
                message=type(message).__name__,
                peer=link.peer.node_id,
                error=repr(exc),
            )


def _peer_from_hello(hello: messages.Hello) -> ports.Peer:
    return ports.Peer(
        hello.node_id,
        hello.boot_id,
        hello.role,
        hello.data_centre,
        hello.rack,
        hello.capacity,
        hello.address,
    )


def _with_waiting(
    first: _peer_links.Inbound, link: _peer_links.Link
) -> collections.abc.Iterator[_peer_links.Inbound]:
    """Yield a message and those that wait behind it, up to a batch."""
    yield first
    for _ in _zmq_sockets.batch():
        try:
            yield link.received.receive_nowait()
        except (trio.WouldBlock, trio.EndOfChannel):
            return
