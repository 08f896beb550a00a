"""Guards keys owned by other entries, and second copies of slow requests."""

import collections

import pytest
import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import ports
from citronrail import routing
from citronrail.routing.tests import fakes
from citronrail.routing.tests import test_promises
from citronrail.routing.tests import world as worlds
from standins import memory_peers

KEY = '01890a5d-ac96-774b-bcce-b302099a8057'
OWNER = identifiers.NodeId('entry-2')


def owned_elsewhere(world):
    """Add the entry that owns all ranges, and make it known."""
    peer = ports.Peer(
        OWNER, identifiers.new_boot_id(), 'entry', worlds.DATA_CENTRE
    )
    hub = memory_peers.MemoryHub(world.network, peer)
    keeper = fakes.OneKeeper()
    routing.KeyService(hub, keeper, lambda _: OWNER)
    world.router._keys._owner_of = lambda _: OWNER
    return hub, keeper


def test_key_of_another_entry_is_kept_there():
    """Guards against a repeated order that runs again at another entry."""
    world = worlds.World(worlds.seeded(3))

    async def main():
        async with world.running():
            owned_elsewhere(world)
            first = await world.call(b'order', idempotency_key=KEY)
            again = await world.call(b'order', idempotency_key=KEY)
            assert first.whole and again.whole
            assert first.body == again.body
            other = await world.call(b'other', idempotency_key=KEY)
            assert other.told.status == 422

    test_promises.simulate(main)
    assert sum(world.count().values()) == 1


@pytest.mark.parametrize('lost', ['request', 'reply'])
def test_unreachable_owner_means_not_run(lost):
    """Guards against running an order whose key nobody keeps."""
    world = worlds.World(worlds.seeded(3))

    async def main():
        async with world.running():
            owned_elsewhere(world)
            ways = [('entry-1', OWNER), (OWNER, 'entry-1')]
            way = world.network.faults(*ways[lost == 'reply'])
            way.cut = True
            caller = await world.call(b'order', idempotency_key=KEY)
            assert caller.told.status == 503
            assert caller.outcome is outcomes.Outcome.NOT_RUN
            assert not world.runs
            way.cut = False
            await trio.sleep(1)
            caller = await world.call(b'order', idempotency_key=KEY)
            assert caller.whole

    test_promises.simulate(main)
    assert world.count() == {b'order': 1}


def test_exclusive_run_keeps_its_key_after_a_timeout():
    """Guards against a rota that starts while the last one still runs."""
    world = worlds.World(worlds.seeded(3), worlds.Behaviour(service_s=2))
    told = []

    async def main():
        async with world.running():
            for number in range(40):
                caller = await world.call(
                    b'%d-' % number,
                    timeout_ms=300,
                    citronrail_exclusive='weekly',
                )
                told.append(caller.outcome)
                await trio.sleep(0.2)
            await trio.sleep(10)

    test_promises.simulate(main)
    assert told[0] is outcomes.Outcome.UNKNOWN
    assert outcomes.Outcome.NOT_RUN in told
    spans = sorted((run.started, run.ended) for run in world.runs)
    assert len(spans) > 1
    for before, after in zip(spans, spans[1:]):
        assert before[1] <= after[0]


@pytest.mark.parametrize('concurrent', ['true', 'false'])
def test_only_marked_requests_are_hedged(concurrent):
    """Guards against two runs at once where the caller forbids them."""
    world = worlds.World(worlds.seeded(3))
    sends = collections.Counter()

    async def main():
        async with world.running() as nursery:

            async def on_run(peer, message, payload):
                sends[message.request_id] += 1

            for hub in world.hubs.values():
                hub.subscribe(messages.RunRequest, on_run)
            for number in range(600):
                if number == 300:
                    world.behaviour.hanging = 0.02
                nursery.start_soon(
                    worlds.quietly(
                        world,
                        b'%d-' % number,
                        method='GET',
                        citronrail_concurrent=concurrent,
                    )
                )
                await trio.sleep(0.02)
            await trio.sleep(5)

    test_promises.simulate(main)
    doubled = sum(1 for count in sends.values() if count > 1)
    if concurrent == 'true':
        assert 5 < doubled < 40
    else:
        assert doubled == 0
