"""Simulated entries on one store, with partitions and frozen processes."""

import collections
import collections.abc
import contextlib
import dataclasses
import typing

import trio

from citronrail import coordination
from citronrail import errors
from citronrail.model import identifiers
from citronrail import ports
from standins import key_value


class NodeStore:
    """One node's connection to the shared store; ``cut`` blocks calls."""

    def __init__(self, store: key_value.MemoryStore) -> None:
        self._store = store
        self.cut = False

    async def _call(self, name: str, *args: typing.Any) -> typing.Any:
        while self.cut:
            await trio.sleep(0.1)
        return await getattr(self._store, name)(*args)

    def __getattr__(self, name: str) -> typing.Any:
        return lambda *args: self._call(name, *args)

    @contextlib.asynccontextmanager
    async def watch(self, prefix: str, start: int) -> typing.Any:
        if self.cut:
            raise errors.StoreUnavailable('cut', step='store.watch')
        async with self._store.watch(prefix, start) as changes:
            yield changes


class Network:
    """Delivers messages between nodes, except over cut links."""

    def __init__(self, nursery: trio.Nursery, delay_s: float = 0.002) -> None:
        self.hubs: dict[str, Hub] = {}
        self.cut: set[frozenset[str]] = set()
        self._nursery = nursery
        self._delay_s = delay_s

    def connected(self, one: str, other: str) -> bool:
        return other in self.hubs and frozenset((one, other)) not in self.cut

    def deliver(self, sender: 'Hub', to: str, message: object) -> None:
        self._nursery.start_soon(self._deliver, sender, to, message)

    async def _deliver(self, sender: 'Hub', to: str, message: object) -> None:
        await trio.sleep(self._delay_s)
        hub = self.hubs.get(to)
        while hub is not None and hub.frozen:
            await trio.sleep(0.05)
        if hub is not None and self.connected(sender.node_id, to):
            for handler in hub.handlers[type(message)]:
                await handler(sender.peer, message, b'')


class Hub:
    """A :class:`citronrail.ports.PeerHub` on the simulated network."""

    def __init__(self, network: Network, name: str, boot: str) -> None:
        self.node_id = identifiers.NodeId(name)
        self.boot_id = identifiers.BootId(boot)
        self.peer = ports.Peer(
            self.node_id,
            self.boot_id,
            'entry',
            identifiers.DataCentreName('Leicester'),
        )
        self.handlers: dict[type, list[ports.Handler]] = (
            collections.defaultdict(list)
        )
        self.frozen = False
        self._network = network
        network.hubs[name] = self

    def subscribe(self, kind: type, handler: ports.Handler) -> None:
        self.handlers[kind].append(handler)

    async def send(
        self,
        peer: identifiers.NodeId,
        message: object,
        payload: bytes | None = None,
    ) -> None:
        if not self._network.connected(self.node_id, peer):
            raise errors.PeerUnreachable('cut', step='send', peer=peer)
        if not self.frozen:
            self._network.deliver(self, peer, message)

    def peers(self, role: str) -> tuple[ports.Peer, ...]:
        return tuple(
            hub.peer
            for name, hub in self._network.hubs.items()
            if self._network.connected(self.node_id, name)
        )

    def to_peer_clock(
        self, peer: identifiers.NodeId, deadline: float
    ) -> float:
        if not self._network.connected(self.node_id, peer):
            raise errors.PeerUnreachable('cut', step='clock', peer=peer)
        return deadline


class RecordingListener:
    """A listener that records its calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, int]] = []
        self.acquisitions: list[coordination.OwnedRange] = []

    async def acquired(self, owned: coordination.OwnedRange) -> None:
        self.calls.append(('acquired', owned.range_id))
        self.acquisitions.append(owned)

    async def releasing(
        self, owned: coordination.OwnedRange, successor: str
    ) -> None:
        self.calls.append(('releasing', owned.range_id))

    async def commits_lost(self, owned: coordination.OwnedRange) -> None:
        self.calls.append(('commits lost', owned.range_id))

    async def lost(self, range_id: int) -> None:
        self.calls.append(('lost', range_id))


@dataclasses.dataclass
class Node:
    """One simulated entry."""

    name: str
    store: NodeStore
    hub: Hub
    ownership: coordination.RangeOwnership
    listener: RecordingListener
    scope: trio.CancelScope

    def owned(self) -> set[int]:
        return {owned.range_id for owned in self.ownership.owned()}

    def committing(self) -> set[int]:
        return {
            owned.range_id
            for owned in self.ownership.owned()
            if owned.commits_allowed
        }


class Fleet:
    """Entries on one store and one network, in one nursery."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = key_value.MemoryStore()
        self.network = Network(nursery)
        self.nodes: dict[str, Node] = {}
        self._nursery = nursery
        self._boots = 0

    async def start(self, name: str) -> Node:
        self._boots += 1
        store = NodeStore(self.store)
        hub = Hub(self.network, name, f'boot{self._boots}')
        ownership = coordination.RangeOwnership(
            store, hub, f'tcp://127.0.0.1:{self._boots}'
        )
        listener = RecordingListener()
        ownership.add_listener(listener)
        scope = trio.CancelScope()
        node = Node(name, store, hub, ownership, listener, scope)
        self.nodes[name] = node
        await self._nursery.start(self._run, node)
        return node

    async def _run(
        self, node: Node, *, task_status: trio.TaskStatus[None]
    ) -> None:
        with node.scope:
            await node.ownership.run(task_status=task_status)

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        node.scope.cancel()
        if self.network.hubs.get(name) is node.hub:
            del self.network.hubs[name]

    def freeze(self, name: str, frozen: bool) -> None:
        node = self.nodes[name]
        node.hub.frozen = node.store.cut = frozen

    def cut(self, one: str, other: str, cut: bool) -> None:
        pair = frozenset((one, other))
        (self.network.cut.add if cut else self.network.cut.discard)(pair)

    def assert_single_owners(self) -> None:
        """Fail if two running entries own the same range."""
        owners: dict[int, str] = {}
        for node in self.nodes.values():
            if node.hub.frozen:
                continue
            for range_id in node.owned():
                assert range_id not in owners, (
                    f'range {range_id} is owned by {node.name} and '
                    f'{owners[range_id]}'
                )
                owners[range_id] = node.name

    async def advance(self, seconds: float) -> None:
        """Advance simulated time, checking ownership at each step."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            self.assert_single_owners()
            await trio.sleep(0.05)
        self.assert_single_owners()
