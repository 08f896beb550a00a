"""The port at which an entry accepts peers."""

import collections.abc
import typing

import zmq

from citronrail.adapters import _curve
from citronrail.adapters import _metrics
from citronrail.adapters import _peer_inbox
from citronrail.adapters import _peer_links
from citronrail.adapters import _zmq_sockets
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import adapters as events

_MAX_REASON = 300


class PeerPort:
    """Accepts connections on a ROUTER socket and replies to their Hello.

    :param sock: the bound socket.
    :param inbox: dispatches the messages of peers.
    :param table: the active links.
    :param introduce: returns this process's Hello with the current time.
    :param keys: maps the key of a connection to its node; None without
        keys.
    """

    def __init__(
        self,
        sock: _zmq_sockets.TrioSocket,
        inbox: _peer_inbox.PeerInbox,
        table: _peer_links.LinkTable,
        introduce: collections.abc.Callable[[], messages.Hello],
        keys: _curve.CurveKeys | None,
    ) -> None:
        self._sock = sock
        self._inbox = inbox
        self._table = table
        self._introduce = introduce
        self._keys = keys
        self._links: dict[bytes, _peer_links.Link] = {}

    async def run(self) -> None:
        """Receive messages until cancelled."""
        while True:
            routing_id, *frames = await self._sock.receive()
            self._take(routing_id.bytes, frames)
            for routing_id, *frames in self._sock.waiting():
                self._take(routing_id.bytes, frames)

    def _take(self, key: bytes, frames: list[zmq.Frame]) -> None:
        message = _peer_inbox.decode(frames, key.decode(errors='replace'))
        link = self._open_link(key)
        if isinstance(message, messages.UnknownMessage):
            self._send_protocol_error(key, str(message))
        elif isinstance(message, messages.Hello):
            self._accept_hello(key, message, frames[0])
        elif link is None:
            self._send_protocol_error(key, _peer_inbox.HELLO_EXPECTED)
        else:
            self._inbox.deliver(link, message, frames)

    def _open_link(self, key: bytes) -> _peer_links.Link | None:
        link = self._links.get(key)
        if link is not None and link.closed:
            del self._links[key]
            return None
        return link

    def _send_protocol_error(self, key: bytes, reason: str) -> None:
        """Report an unusable message; an unreachable sender is ignored."""
        reply = messages.ProtocolError(reason[:_MAX_REASON])
        try:
            self._sock.send([key, messages.pack(reply)])
        except zmq.ZMQError:
            return

    def _accept_hello(
        self, key: bytes, hello: messages.Hello, frame: zmq.Frame
    ) -> None:
        claimed = f'{hello.node_id}/{hello.boot_id}'
        if key != claimed.encode():
            _peer_inbox.record_refusal(
                claimed, 'wrong boot', 'routing id differs'
            )
            self._send_protocol_error(key, 'the routing id names another peer')
            return
        if self._keys is not None:
            owner = self._keys.owner(_user_id(frame))
            if owner != hello.node_id:
                _metrics.PEER_MESSAGES_REFUSED.labels('wrong key').inc()
                observability.emit(
                    events.PEER_KEY_REFUSED, peer=claimed, owner=owner
                )
                return
        old = self._links.pop(key, None)
        if old is not None:
            old.close('the peer connected anew')
            self._table.remove(old)
        # The peer must receive the reply before any other message.
        answer = messages.pack(self._introduce())
        try:
            answered = self._sock.send([key, answer])
        except zmq.ZMQError:
            answered = False
        if answered:
            self._links[key] = self._inbox.start(self._sock, key, hello)
        self._drop_closed()

    def _drop_closed(self) -> None:
        for key, link in list(self._links.items()):
            if link.closed:
                del self._links[key]


def _user_id(frame: zmq.Frame) -> str:
    """Return the authenticated public key of a frame's sender, or ''."""
    try:
        return str(typing.cast(typing.Any, frame).get('User-Id'))
    except zmq.ZMQError:
        return ''
