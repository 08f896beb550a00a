"""Guards the key records of a range when its owner changes."""

import dataclasses
import random
import uuid

import pytest
import trio
import uuid_utils

from citronrail import coordination
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import ports
from citronrail import routing
from standins import memory_peers

RANGE = 3
HOLD_S = 30.0


@dataclasses.dataclass
class _Ranges:
    """Range lookup that a test sets."""

    owned: coordination.OwnedRange | None = None

    def find(self, range_id):
        return self.owned if range_id == RANGE else None


def _owned(fencing, previous=None, handed_over=False, continued=False):
    return coordination.OwnedRange(
        RANGE,
        fencing,
        trio.current_time() + 1000.0,
        True,
        ports.Compare('/range', 1),
        previous,
        handed_over,
        continued,
    )


class _Entry:
    def __init__(self, network, name, longest_run_s=0.0):
        peer = ports.Peer(name, f'boot-{name}', 'entry', 'leon')
        self.name = name
        self.hub = memory_peers.MemoryHub(network, peer)
        self.ranges = _Ranges()
        self.keys = routing.OwnedKeyStore(
            self.hub, self.ranges, longest_run_s=lambda: longest_run_s
        )

    async def acquire(self, *args, **kwargs):
        self.ranges.owned = _owned(*args, **kwargs)
        await self.keys.acquired(self.ranges.owned)

    async def release_to(self, successor):
        await self.keys.releasing(self.ranges.owned, successor)
        self.ranges.owned = None
        await self.keys.lost(RANGE)

    def reserve(self, request, key='', exclusive=''):
        now = trio.current_time()
        message = messages.ReserveKey(
            request, RANGE, key, exclusive, 'print', HOLD_S, now + 20.0
        )
        return self.keys.reserve(message, now)

    def complete(self, request, key, body):
        message = messages.CompleteKey(
            request, RANGE, key, '', outcomes.Outcome.DONE, True, 200
        )
        self.keys.complete(message, body, trio.current_time())


def _key():
    return str(uuid.UUID(str(uuid_utils.uuid7())))


@pytest.fixture
def network():
    return memory_peers.MemoryNetwork(random.Random(1))


async def test_records_are_handed_over_at_a_planned_owner_change(
    network, autojump_clock
):
    """Guards against a second run after a planned stop of the owner."""
    key = _key()
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run)
        first, second = _Entry(network, 'one'), _Entry(network, 'two')
        await first.acquire(1)
        assert first.reserve('a', key).reply.verdict == 'granted'
        first.complete('a', key, b'order')
        assert first.reserve('b', '', 'seat').reply.verdict == 'granted'
        await first.release_to('two')
        await second.acquire(2, 'one', handed_over=True)
        repeated = second.reserve('c', key)
        assert repeated.reply.verdict == 'done'
        assert repeated.body == b'order'
        held = second.reserve('d', '', 'seat')
        assert held.reply.verdict == 'in progress'
        assert second.reserve('e', _key()).reply.verdict == 'granted'
        assert first.reserve('f', key).reply.verdict == 'not owner'
        nursery.cancel_scope.cancel()


async def test_handover_waits_for_a_successor_that_is_connecting(
    network, autojump_clock
):
    """Guards against refusing exclusive keys after an entry joins.

    If a range is released to an entry that is not connected yet, its records
    are lost and its exclusive keys are refused for 30 s.
    """
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run)
        first = _Entry(network, 'one')
        await first.acquire(1)
        nursery.start_soon(first.release_to, 'two')
        await trio.sleep(1.0)
        second = _Entry(network, 'two')
        await trio.sleep(1.0)
        await second.acquire(2, 'one', handed_over=True)
        granted = second.reserve('a', '', 'seat')
        assert granted.reply.verdict == 'granted'
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('fencing', [2, 3])
async def test_keys_are_unknown_after_an_owner_crash(
    network, autojump_clock, fencing
):
    """Guards against a second run after a crash of the owner.

    If the fencing token skips a value, there was another owner in between,
    and an earlier handover must be ignored.
    """
    key = _key()
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run)
        first, second = _Entry(network, 'one'), _Entry(network, 'two')
        await first.acquire(1)
        assert first.reserve('a', key).reply.verdict == 'granted'
        if fencing == 3:
            await first.release_to('two')
        await second.acquire(fencing, 'one')
        assert second.reserve('b', key).reply.verdict in (
            'unknown',
            'in progress',
        )
        refused = second.reserve('c', '', 'seat')
        assert refused.reply.verdict == 'not run'
        nursery.cancel_scope.cancel()


async def test_records_are_kept_if_no_other_entry_took_over(
    network, autojump_clock
):
    """Guards against unknown outcomes after a short store outage."""
    key = _key()
    first = _Entry(network, 'one')
    await first.acquire(1)
    assert first.reserve('a', key).reply.verdict == 'granted'
    first.complete('a', key, b'order')
    await first.keys.lost(RANGE)
    await first.acquire(2, 'one', continued=True)
    assert first.reserve('b', key).reply.verdict == 'done'


async def test_exclusive_keys_wait_for_the_longest_run(
    network, autojump_clock
):
    """Guards against overlap with a long run granted before a crash."""
    entry = _Entry(network, 'two', longest_run_s=120.0)
    await entry.acquire(2, 'one')
    await trio.sleep(100.0)
    assert entry.reserve('a', '', 'seat').reply.verdict == 'not run'
    await trio.sleep(30.0)
    assert entry.reserve('b', '', 'seat').reply.verdict == 'granted'
