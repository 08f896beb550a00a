"""Guards keys owned by other entries, and hedged attempts."""

import collections

import pytest
import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import ports
from citronrail import routing
from citronrail.routing.tests import fakes
from citronrail.routing.tests import simulation
from citronrail.routing.tests import test_guarantees
from standins import memory_peers

KEY = '01890a5d-ac96-774b-bcce-b302099a8057'
OWNER = identifiers.NodeId('entry-2')


def owned_elsewhere(sim):
    """Add an entry that owns all ranges, and let the router use it."""
    peer = ports.Peer(
        OWNER, identifiers.new_boot_id(), 'entry', simulation.DATA_CENTRE
    )
    hub = memory_peers.MemoryHub(sim.network, peer)
    keeper = fakes.MemoryKeyStore()
    routing.KeyService(hub, keeper, lambda _: OWNER)
    sim.router._keys._owner_of = lambda _: OWNER
    return hub, keeper


def test_key_is_reserved_at_its_remote_owner():
    """Guards against a repeated request that runs again at another entry."""
    sim = simulation.Simulation(simulation.seeded_rng(3))

    async def main():
        async with sim.running():
            owned_elsewhere(sim)
            first = await sim.call(b'order', idempotency_key=KEY)
            again = await sim.call(b'order', idempotency_key=KEY)
            assert first.complete and again.complete
            assert first.body == again.body
            other = await sim.call(b'other', idempotency_key=KEY)
            assert other.received_problem.status == 422

    test_guarantees.simulate(main)
    assert sum(sim.count().values()) == 1


@pytest.mark.parametrize('lost', ['request', 'reply'])
def test_unreachable_owner_means_not_run(lost):
    """Guards against running a request whose key is not reserved."""
    sim = simulation.Simulation(simulation.seeded_rng(3))

    async def main():
        async with sim.running():
            owned_elsewhere(sim)
            directions = [('entry-1', OWNER), (OWNER, 'entry-1')]
            link = sim.network.faults(*directions[lost == 'reply'])
            link.cut = True
            caller = await sim.call(b'order', idempotency_key=KEY)
            assert caller.received_problem.status == 503
            assert caller.outcome is outcomes.Outcome.NOT_RUN
            assert not sim.runs
            link.cut = False
            await trio.sleep(1)
            caller = await sim.call(b'order', idempotency_key=KEY)
            assert caller.complete

    test_guarantees.simulate(main)
    assert sim.count() == {b'order': 1}


def test_exclusive_run_keeps_its_key_after_a_timeout():
    """Guards against overlapping runs after a caller's timeout."""
    sim = simulation.Simulation(
        simulation.seeded_rng(3), simulation.Behaviour(service_s=2)
    )
    reported_outcomes = []

    async def main():
        async with sim.running():
            for number in range(40):
                caller = await sim.call(
                    b'%d-' % number,
                    timeout_ms=300,
                    citronrail_exclusive='weekly',
                )
                reported_outcomes.append(caller.outcome)
                await trio.sleep(0.2)
            await trio.sleep(10)

    test_guarantees.simulate(main)
    assert reported_outcomes[0] is outcomes.Outcome.UNKNOWN
    assert outcomes.Outcome.NOT_RUN in reported_outcomes
    intervals = sorted((run.started, run.ended) for run in sim.runs)
    assert len(intervals) > 1
    for before, after in zip(intervals, intervals[1:]):
        assert before[1] <= after[0]


@pytest.mark.parametrize('concurrent', ['true', 'false'])
def test_only_concurrent_requests_are_hedged(concurrent):
    """Guards against concurrent runs that the caller has not allowed."""
    sim = simulation.Simulation(simulation.seeded_rng(3))
    sends = collections.Counter()

    async def main():
        async with sim.running() as nursery:

            async def on_run(peer, message, payload):
                sends[message.request_id] += 1

            for hub in sim.hubs.values():
                hub.subscribe(messages.RunRequest, on_run)
            for number in range(600):
                if number == 300:
                    sim.behaviour.hanging = 0.02
                nursery.start_soon(
                    simulation.discarding_call(
                        sim,
                        b'%d-' % number,
                        method='GET',
                        citronrail_concurrent=concurrent,
                    )
                )
                await trio.sleep(0.02)
            await trio.sleep(5)

    test_guarantees.simulate(main)
    hedged = sum(1 for count in sends.values() if count > 1)
    if concurrent == 'true':
        assert 5 < hedged < 40
    else:
        assert hedged == 0
