"""Holds all ranges as the only entry, then drains."""

import typing

import trio

from citronrail import coordination
from citronrail import errors
from citronrail import model
from citronrail import ports
from standins import key_value


class NoPeers:
    """A :class:`citronrail.ports.PeerHub` without any peer."""

    node_id = model.NodeId('entry-1')
    boot_id = model.new_boot_id()

    def subscribe(self, kind: type, handler: ports.Handler) -> None:
        """Accept a handler that is never called."""

    def listen(
        self, on_connect: ports.Listener, on_disconnect: ports.Listener
    ) -> None:
        """Accept functions that are never called."""

    def find_peer(self, node_id: model.NodeId) -> ports.Peer | None:
        """Return None, since nobody is connected."""
        del node_id

    async def send(
        self,
        peer: model.NodeId,
        message: object,
        payload: bytes | None = None,
    ) -> None:
        """Refuse to send."""
        del message, payload
        raise errors.PeerUnreachable('no such peer', step='send', peer=peer)

    def peers(self, role: str) -> tuple[ports.Peer, ...]:
        """Return no peers."""
        del role
        return ()

    def to_peer_clock(self, peer: model.NodeId, deadline: float) -> float:
        """Refuse, since no clock is known."""
        del deadline
        raise errors.PeerUnreachable('no such peer', step='clock', peer=peer)


class Printer:
    """Prints what it is told."""

    async def acquired(self, owned: coordination.OwnedRange) -> None:
        """Take up a range."""
        print(f'acquired {owned.range_id} with token {owned.fencing}')

    async def releasing(
        self, owned: coordination.OwnedRange, successor: str
    ) -> None:
        """Finish work on a range."""

    async def commits_lost(self, owned: coordination.OwnedRange) -> None:
        """Stop commits."""

    async def lost(self, range_id: int) -> None:
        """Stop work on a range."""


async def main() -> None:
    """Run the example."""
    store: typing.Any = key_value.MemoryStore()
    ownership = coordination.RangeOwnership(
        store, NoPeers(), 'tcp://127.0.0.1:7000'
    )
    ownership.add_listener(Printer())
    async with trio.open_nursery() as nursery:
        await nursery.start(ownership.run)
        await ownership.joined()
        while len(ownership.owned()) < coordination.RANGE_COUNT:
            await trio.sleep(0.05)
        key = '0190a5d2-7c1e-7000-8000-000000000001'
        owner = ownership.owner_of(coordination.range_of(key))
        print(f'owner of the key: {owner}')
        await ownership.drain()
        print(f'after draining: {len(ownership.owned())}')
        nursery.cancel_scope.cancel()


if __name__ == '__main__':
    trio.run(main)
