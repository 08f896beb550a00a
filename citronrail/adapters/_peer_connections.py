"""Connections that this process makes to entries."""

import collections.abc
import random

import trio
import zmq

from citronrail.adapters import _curve
from citronrail.adapters import _metrics
from citronrail.adapters import _peer_inbox
from citronrail.adapters import _peer_links
from citronrail.adapters import _reconnect
from citronrail.adapters import _zmq_sockets
from citronrail.model import bounded
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import workflow as workflow_events

_FULL_QUEUE_RETRY_S = 0.002


class EntryConnections:
    """Keeps one connection to each entry.

    :param ctx: context of the sockets.
    :param inbox: dispatches the messages of peers.
    :param table: the active links.
    :param introduce: returns this process's Hello with the current time.
    :param keys: keys of the connections; None without keys.
    :param limits: limits of the connections.
    :param rng: source of the jitter between reconnects.
    """

    def __init__(
        self,
        ctx: zmq.Context[zmq.Socket[bytes]],
        inbox: _peer_inbox.PeerInbox,
        table: _peer_links.LinkTable,
        introduce: collections.abc.Callable[[], messages.Hello],
        keys: _curve.CurveKeys | None,
        limits: _zmq_sockets.PeerLimits,
        rng: random.Random,
    ) -> None:
        self._ctx = ctx
        self._inbox = inbox
        self._table = table
        self._introduce = introduce
        self._keys = keys
        self._limits = limits
        self._rng = rng
        self._scopes: dict[str, trio.CancelScope] = {}

    def apply(
        self, addresses: collections.abc.Set[str], nursery: trio.Nursery
    ) -> None:
        """Connect to these entries and disconnect from all others.

        An address that can't be one is counted, logged and skipped.

        :param addresses: peer ports as ``tcp://IP:PORT``.
        :param nursery: runs one task for each connection.
        """
        addresses = frozenset(filter(_check_address, addresses))
        for address in self._scopes.keys() - addresses:
            self._scopes.pop(address).cancel()
        for address in sorted(addresses - self._scopes.keys()):
            scope = self._scopes[address] = trio.CancelScope()
            nursery.start_soon(self._keep_connected, address, scope)

    async def _keep_connected(
        self, address: str, scope: trio.CancelScope
    ) -> None:
        with scope:
            lost_at = trio.current_time()
            while True:
                pace = _reconnect.pace(
                    self._limits, lost_at, trio.current_time()
                )
                if await self._connect(address, pace):
                    lost_at = trio.current_time()
                pause_s = self._rng.uniform(
                    pace.least_pause_s, pace.longest_pause_s
                )
                await trio.sleep(pause_s)

    async def _connect(self, address: str, pace: _reconnect.Pace) -> bool:
        """Connect to an entry and use the connection until it is lost.

        :returns: whether it was connected.
        """
        own_hello = self._introduce()
        routing_id = f'{own_hello.node_id}/{own_hello.boot_id}'.encode()
        raw = _zmq_sockets.open_dealer(self._ctx, self._limits, routing_id)
        sock = _zmq_sockets.TrioSocket(raw)
        link = None
        try:
            if self._keys is not None:
                self._keys.secure_client(raw)
            watched = zmq.EVENT_DISCONNECTED
            if self._limits.fast_reconnect_s:
                watched |= zmq.EVENT_CLOSED  # the connection was refused
            monitor = _zmq_sockets.TrioSocket(raw.get_monitor_socket(watched))
            raw.connect(address)
            with trio.move_on_after(pace.hello_wait_s):
                link = await self._exchange_hello(sock, address, monitor)
            if link is not None:
                await self._read(sock, link, monitor)
        except zmq.ZMQError as exc:
            _peer_inbox.record_refusal(address, 'connection failed', str(exc))
        finally:
            if link is not None:
                link.close('the connection broke')
                self._table.remove(link)
            raw.disable_monitor()
            sock.close()
        return link is not None

    async def _exchange_hello(
        self,
        sock: _zmq_sockets.TrioSocket,
        address: str,
        monitor: _zmq_sockets.TrioSocket,
    ) -> _peer_links.Link | None:
        while not sock.send([messages.pack(self._introduce())]):
            if self._limits.fast_reconnect_s and monitor.readable:
                return None
            await trio.sleep(_FULL_QUEUE_RETRY_S)
        frames = await sock.receive()
        hello = _peer_inbox.decode(frames, address)
        if not isinstance(hello, messages.Hello):
            _peer_inbox.record_refusal(
                address, 'no hello', type(hello).__name__
            )
            return None
        if hello.node_id == self._introduce().node_id:
            await trio.sleep_forever()  # own address
        return self._inbox.start(sock, None, hello)

    async def _read(
        self,
        sock: _zmq_sockets.TrioSocket,
        link: _peer_links.Link,
        monitor: _zmq_sockets.TrioSocket,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_when_broken, link, monitor)
            nursery.start_soon(self._read_messages, sock, link)
            await link.closed_event.wait()
            nursery.cancel_scope.cancel()

    async def _read_messages(
        self, sock: _zmq_sockets.TrioSocket, link: _peer_links.Link
    ) -> None:
        while True:
            self._take(await sock.receive(), link)
            for frames in sock.waiting():
                self._take(frames, link)

    def _take(self, frames: list[zmq.Frame], link: _peer_links.Link) -> None:
        message = _peer_inbox.decode(frames, link.peer.node_id)
        if isinstance(message, messages.UnknownMessage):
            _peer_inbox.send_protocol_error(link, str(message))
        else:
            self._inbox.deliver(link, message, frames)


def _check_address(address: str) -> bool:
    """Whether an address can be connected to; count and log it if not."""
    if bounded.is_peer_address(address):
        return True
    _metrics.PEER_MESSAGES_REFUSED.labels('address').inc()
    observability.emit(
        workflow_events.PEER_ADDRESS_REFUSED, address=repr(address[:80])
    )
    return False


async def _close_when_broken(
    link: _peer_links.Link, monitor: _zmq_sockets.TrioSocket
) -> None:
    await monitor.receive()
    link.close('the connection broke')
