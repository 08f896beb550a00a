"""zmq sockets for trio."""

import collections.abc
import dataclasses

import trio
import zmq

# Messages that are handled before other tasks run again, and the time after
# which no further one is: a slow host must not delay its other tasks.
MAX_BATCH = 64
MAX_BATCH_S = 0.02


@dataclasses.dataclass(frozen=True)
class PeerLimits:
    """Limits of the peer port.

    Low high-water marks bound the backlog of a stalled peer, so that a sender
    soon gets an error.

    For ``fast_reconnect_s`` after a connection was lost or first wanted, 0 for
    never, attempts follow each other sooner, wait only ``fast_hello_wait_s``,
    and end as soon as the connection is refused.
    """

    queue_messages: int = 256
    inbox_messages: int = 4096
    max_message_bytes: int = 8 * 1024 * 1024
    send_wait_s: float = 0.25
    hello_wait_s: float = 2.0
    keep_alive_s: float = 1.0
    silence_s: float = 3.0
    reconnect_s: float = 0.2
    fast_reconnect_s: float = 0.0
    fast_hello_wait_s: float = 0.7


def batch() -> collections.abc.Iterator[int]:
    """Count further messages to handle before other tasks run again."""
    until = trio.current_time() + MAX_BATCH_S
    for number in range(1, MAX_BATCH):
        if trio.current_time() >= until:
            return
        yield number


class TrioSocket:
    """Sends and receives multipart messages on one zmq socket.

    The socket's descriptor is edge-triggered, and a send may consume an edge.
    The receiver therefore checks EVENTS before it waits, and a send wakes the
    receiver if messages are waiting.

    :param sock: an open socket; closed by :meth:`close`.
    """

    def __init__(self, sock: zmq.Socket[bytes]) -> None:
        self.zmq = sock
        self._drained_at = trio.current_time()
        self._wait_scope: trio.CancelScope | None = None

    @property
    def readable(self) -> bool:
        """Whether a message is waiting."""
        return self._readable()

    @property
    def drained_at(self) -> float:
        """Local time at which no message was last known to wait."""
        if not self._readable():
            self._drained_at = trio.current_time()
        elif self._wait_scope is not None:
            self._wait_scope.cancel()  # the look at it has consumed the edge
        return self._drained_at

    async def receive(self) -> list[zmq.Frame]:
        """Wait for the next message.

        :returns: its frames.
        :raises zmq.ZMQError: if the socket is closed.
        """
        await trio.lowlevel.checkpoint()
        while True:
            try:
                return self.zmq.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                self._drained_at = trio.current_time()
            if self._readable():
                continue
            with trio.CancelScope() as self._wait_scope:
                await trio.lowlevel.wait_readable(self.zmq.FD)
            self._wait_scope = None

    def waiting(self) -> collections.abc.Iterator[list[zmq.Frame]]:
        """Yield messages that wait behind the one received last.

        Otherwise a busy process would read one message in each pass of its
        event loop. The time that the caller takes for each is counted.

        :raises zmq.ZMQError: if the socket is closed.
        """
        for _ in batch():
            try:
                yield self.zmq.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                self._drained_at = trio.current_time()
                return

    def send(self, frames: list[bytes]) -> bool:
        """Queue a message without waiting.

        :param frames: frames of the message.
        :returns: False if the queue is full; the message is then not queued.
        :raises zmq.ZMQError: if no such peer is connected.
        """
        try:
            self.zmq.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            return False
        finally:
            if self._wait_scope is not None and self._readable():
                self._wait_scope.cancel()
        return True

    def close(self) -> None:
        """Close the socket; queued messages are dropped."""
        self.zmq.close(linger=0)

    def _readable(self) -> bool:
        events = self.zmq.getsockopt(zmq.EVENTS)
        return bool(int(events) & zmq.POLLIN)


def open_router(
    ctx: zmq.Context[zmq.Socket[bytes]], limits: PeerLimits
) -> zmq.Socket[bytes]:
    """Open the socket that accepts peers.

    A second connection with the routing id of a live one does not replace it,
    since it may be an impostor or a delayed reconnect.

    :param ctx: context of the process.
    :param limits: limits of the port.
    :returns: an unbound socket.
    """
    sock = ctx.socket(zmq.ROUTER)
    _set_common(sock, limits)
    sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
    sock.setsockopt(zmq.ROUTER_HANDOVER, 0)
    return sock


def open_dealer(
    ctx: zmq.Context[zmq.Socket[bytes]], limits: PeerLimits, routing_id: bytes
) -> zmq.Socket[bytes]:
    """Open a socket for one connection to an entry.

    libzmq doesn't reconnect it: messages in flight are lost with the
    connection, so both sides must exchange Hello again.

    :param ctx: context of the process.
    :param limits: limits of the port.
    :param routing_id: identity of this process and boot.
    :returns: an unconnected socket.
    """
    sock = ctx.socket(zmq.DEALER)
    _set_common(sock, limits)
    sock.setsockopt(zmq.ROUTING_ID, routing_id)
    sock.setsockopt(zmq.RECONNECT_IVL, -1)
    return sock


def _set_common(sock: zmq.Socket[bytes], limits: PeerLimits) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.SNDHWM, limits.queue_messages)
    sock.setsockopt(zmq.RCVHWM, limits.queue_messages)
    sock.setsockopt(zmq.MAXMSGSIZE, limits.max_message_bytes)
    sock.setsockopt(zmq.TCP_KEEPALIVE, 1)
    sock.setsockopt(zmq.TCP_KEEPALIVE_IDLE, 5)
    sock.setsockopt(zmq.TCP_KEEPALIVE_INTVL, 2)
    sock.setsockopt(zmq.TCP_KEEPALIVE_CNT, 3)
    sock.setsockopt(zmq.HEARTBEAT_IVL, 1000)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, 2500)
    sock.setsockopt(zmq.HANDSHAKE_IVL, 2000)
