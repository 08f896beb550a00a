"""In-memory peer hubs, with simulated faults on their links."""

import collections.abc
import dataclasses
import random
import typing

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports


@dataclasses.dataclass
class LinkFaults:
    """Faults of one direction between two nodes.

    ``delay_s`` bounds a random delay, which may reorder messages; ``lag_s`` is
    a delay of all messages alike. Shares lie between 0 and 1.
    """

    delay_s: float = 0.0
    lag_s: float = 0.0
    drop_share: float = 0.0
    double_share: float = 0.0
    cut: bool = False


class MemoryNetwork:
    """Connects the hubs of simulated processes.

    Messages are encoded and decoded in transit, as on the wire.

    :param rng: random number generator for delays, drops and duplicates.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._hubs: dict[str, MemoryHub] = {}
        self._faults: dict[tuple[str, str], LinkFaults] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Deliver messages until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def faults(self, sender: str, receiver: str) -> LinkFaults:
        """Return the faults of a direction, to be changed in place."""
        return self._faults.setdefault((sender, receiver), LinkFaults())

    def add(self, hub: 'MemoryHub') -> None:
        """Connect a hub, replacing one with the same node id."""
        old = self._hubs.get(hub.node_id)
        if old is not None:
            self.remove(old)
        self._hubs[hub.node_id] = hub
        for other in self.hubs():
            if other is not hub:
                other.connected(hub.peer)

    def remove(self, hub: 'MemoryHub') -> None:
        """Disconnect a hub, as if its process had died."""
        if self._hubs.get(hub.node_id) is hub:
            del self._hubs[hub.node_id]
            for other in self.hubs():
                other.disconnected(hub.peer)

    def hubs(self) -> tuple['MemoryHub', ...]:
        """Return the connected hubs."""
        return tuple(self._hubs.values())

    def post(
        self, sender: 'MemoryHub', receiver: str, data: bytes, payload: bytes
    ) -> None:
        """Send a message, subject to the faults of its link."""
        faults = self.faults(sender.node_id, receiver)
        hub = self._hubs.get(receiver)
        if hub is None or self._nursery is None:
            raise errors.PeerUnreachable(
                'not connected', step='peer.send', peer=receiver
            )
        copies = 2 if self._rng.random() < faults.double_share else 1
        for _ in range(copies):
            if faults.cut or self._rng.random() < faults.drop_share:
                continue
            delay_s = faults.lag_s + self._rng.uniform(0.0, faults.delay_s)
            self._nursery.start_soon(
                self._deliver, sender, hub, data, payload, delay_s
            )

    async def _deliver(
        self,
        sender: 'MemoryHub',
        hub: 'MemoryHub',
        data: bytes,
        payload: bytes,
        delay_s: float,
    ) -> None:
        await trio.sleep(delay_s)
        if self._hubs.get(hub.node_id) is hub:
            await hub.deliver(sender.peer, messages.unpack(data), payload)


class MemoryHub:
    """A peer hub of one simulated process.

    :param network: the network to join.
    :param peer: identity of this process.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        peer: ports.Peer,
    ) -> None:
        self.peer = peer
        self._network = network
        self._handlers: dict[type, list[ports.Handler]] = {}
        self._listeners: list[tuple[ports.Listener, ports.Listener]] = []
        self._frozen = False
        self._held_messages: list[tuple[ports.Peer, typing.Any, bytes]] = []
        network.add(self)

    @property
    def node_id(self) -> identifiers.NodeId:
        """Node id of this process."""
        return self.peer.node_id

    @property
    def boot_id(self) -> identifiers.BootId:
        """Boot id of this process."""
        return self.peer.boot_id

    def subscribe(self, kind: type, handler: ports.Handler) -> None:
        """Call a handler for each message of a kind."""
        self._handlers.setdefault(kind, []).append(handler)

    def listen(
        self, on_connect: ports.Listener, on_disconnect: ports.Listener
    ) -> None:
        """Call functions when other hubs connect and disconnect."""
        self._listeners.append((on_connect, on_disconnect))
        for hub in self._network.hubs():
            if hub is not self:
                on_connect(hub.peer)

    def connected(self, peer: ports.Peer) -> None:
        """Notify the listeners that a hub connected."""
        for on_connect, _ in self._listeners:
            on_connect(peer)

    def disconnected(self, peer: ports.Peer) -> None:
        """Notify the listeners that a hub disconnected."""
        for _, on_disconnect in self._listeners:
            on_disconnect(peer)

    def find_peer(self, node_id: identifiers.NodeId) -> ports.Peer | None:
        """Return another process, None if it is not connected."""
        for hub in self._network.hubs():
            if hub is not self and hub.node_id == node_id:
                return hub.peer
        return None

    async def send(
        self,
        peer: identifiers.NodeId,
        message: object,
        payload: bytes | None = None,
    ) -> None:
        """Send a message; see :class:`citronrail.ports.PeerHub`."""
        await trio.lowlevel.checkpoint()
        data = messages.pack(message)
        self._network.post(self, peer, data, payload or b'')

    def peers(self, role: str) -> tuple[ports.Peer, ...]:
        """Return the other processes of a role."""
        return tuple(
            hub.peer
            for hub in self._network.hubs()
            if hub is not self and hub.peer.role == role
        )

    def to_peer_clock(
        self, peer: identifiers.NodeId, deadline: float
    ) -> float:
        """Express a local deadline on the peer's clock.

        All simulated processes share the test's clock.
        """
        if not any(hub.node_id == peer for hub in self._network.hubs()):
            raise errors.PeerUnreachable(
                'no clock reading', step='peer.clock', peer=peer
            )
        return deadline

    def set_entries(self, addresses: collections.abc.Sequence[str]) -> None:
        """Ignore the entries, as all hubs are always connected."""

    async def deliver(
        self, sender: ports.Peer, message: object, payload: bytes
    ) -> None:
        """Pass a message to the handlers, or queue it while frozen."""
        if self._frozen:
            self._held_messages.append((sender, message, payload))
            return
        for handler in self._handlers.get(type(message), []):
            await handler(sender, message, payload)

    def freeze(self) -> None:
        """Queue incoming messages, as a suspended process would."""
        self._frozen = True

    async def thaw(self) -> None:
        """Deliver the messages queued while frozen."""
        self._frozen = False
        held, self._held_messages = self._held_messages, []
        for item in held:
            await self.deliver(*item)
