"""Guards the guarantees to callers under faults of all components."""

import hypothesis
from hypothesis import strategies as st
import trio
import trio.testing

from citronrail.model import outcome as outcomes
from citronrail.routing.tests import simulation

SHARES = st.sampled_from([0.0, 0.0, 0.1, 0.4])
BEHAVIOURS = st.builds(
    simulation.Behaviour,
    service_s=st.sampled_from([0.0, 0.01, 0.2]),
    not_reached=SHARES,
    failing=SHARES,
    failing_midway=SHARES,
    hanging=SHARES,
)
FAULTS = st.fixed_dictionaries(
    {
        'delay_s': st.sampled_from([0.0, 0.01, 0.5, 3.0]),
        'drop_share': SHARES,
        'double_share': SHARES,
    }
)
KINDS = st.sampled_from(['order', 'check', 'rota', 'keyed', 'safe'])
LAST_MESSAGE_S = 30.0  # after this time no message is in transit


def simulate(main):
    """Run a simulation on a virtual clock."""
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def options(kind, number):
    """Return method and headers for a kind of request."""
    if kind == 'order':
        return {'method': 'POST'}
    if kind == 'keyed':
        key = f'01890a5d-ac96-774b-bcce-{number:012x}'
        return {'method': 'POST', 'idempotency_key': key}
    if kind == 'rota':
        return {'method': 'PUT', 'citronrail_exclusive': 'weekly'}
    if kind == 'safe':
        return {'method': 'GET', 'citronrail_concurrent': 'true'}
    return {'method': 'GET'}


@hypothesis.given(
    st.integers(0, 2**32),
    BEHAVIOURS,
    FAULTS,
    st.lists(st.tuples(KINDS, st.floats(0, 2)), min_size=1, max_size=25),
)
def test_guarantees_hold_under_faults(seed, behaviour, faults, requests):
    """Guards against mixed responses, wrong `not run` and second runs."""
    sim = simulation.Simulation(simulation.seeded_rng(seed), behaviour)
    callers = {}

    async def call(number, kind, after):
        await trio.sleep(after)
        callers[number] = simulation.FakeCaller()
        body = b'%d-' % number
        await sim.call(body, caller=callers[number], **options(kind, number))

    async def main():
        async with sim.running():
            sim.faults(**faults)
            async with trio.open_nursery() as calls:
                for number, (kind, after) in enumerate(requests):
                    calls.start_soon(call, number, kind, after)
            await trio.sleep(LAST_MESSAGE_S)

    simulate(main)
    runs = sim.count()
    for number, (kind, _) in enumerate(requests):
        body, caller = b'%d-' % number, callers[number]
        expected_body = simulation.expected(body, behaviour)
        assert expected_body.startswith(caller.body)
        if caller.complete:
            assert caller.body == expected_body
        if caller.outcome is outcomes.Outcome.NOT_RUN:
            assert runs[body] == 0
        if kind in ('order', 'keyed'):
            assert runs[body] <= 1
    exclusive = sorted(
        (run.started, run.ended)
        for run in sim.runs
        if requests[int(run.body[:-1])][0] == 'rota'
    )
    for before, after in zip(exclusive, exclusive[1:]):
        assert before[1] <= after[0]


@hypothesis.given(st.integers(0, 2**32), FAULTS, st.floats(0, 0.5))
def test_guarantees_hold_when_callers_disconnect(seed, faults, patience_s):
    """Guards the keys of requests whose callers disconnect early."""
    sim = simulation.Simulation(
        simulation.seeded_rng(seed), simulation.Behaviour(service_s=0.2)
    )
    outcomes_seen = []
    key = options('keyed', 1)

    async def main():
        async with sim.running():
            sim.faults(**faults)
            with trio.move_on_after(patience_s):
                await sim.call(b'x', **key)
            for _ in range(20):
                caller = await sim.call(b'x', **key)
                outcomes_seen.append(caller.outcome)
                await trio.sleep(1)
            await trio.sleep(LAST_MESSAGE_S)

    simulate(main)
    assert sim.count()[b'x'] <= 1
    if not any(faults.values()):
        assert outcomes_seen[-1] is outcomes.Outcome.DONE


@hypothesis.settings(max_examples=15)
@hypothesis.given(st.integers(0, 2**32), st.floats(0.1, 3))
def test_leaving_agent_gets_no_new_work(seed, leave_at):
    """Guards against new or aborted runs at an agent that is leaving."""
    sim = simulation.Simulation(simulation.seeded_rng(seed))
    callers = []

    async def call(number):
        callers.append(await sim.call(b'%d-' % number))

    async def main():
        async with sim.running():
            drained = trio.Event()

            async def leave():
                await trio.sleep(leave_at)
                await sim.runners['agent-0'].drain()
                drained.set()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(leave)
                for number in range(200):
                    nursery.start_soon(call, number)
                    await trio.sleep(0.02)
                await drained.wait()

    simulate(main)
    assert all(caller.complete for caller in callers)
    late = [run for run in sim.runs if run.started > leave_at + 0.1]
    assert {run.agent for run in late} == {'agent-1', 'agent-2'}


@hypothesis.settings(max_examples=20)
@hypothesis.given(
    st.integers(0, 2**32),
    st.sampled_from(['not_reached', 'failing', 'hanging']),
    st.integers(0, 300),
)
def test_retries_stay_within_their_budget(seed, failure, successes):
    """Guards against a retry storm while all backend servers fail."""
    sim = simulation.Simulation(
        simulation.seeded_rng(seed), simulation.Behaviour(service_s=0)
    )
    requests = 120
    sends = []

    async def on_run(peer, message, payload):
        sends.append(message.request_id)

    async def main():
        async with sim.running() as nursery:
            for number in range(successes):
                await sim.call(b'ok-%d' % number, method='GET')
            for hub in sim.hubs.values():
                hub.subscribe(simulation.messages.RunRequest, on_run)
            setattr(sim.behaviour, failure, 1.0)
            for number in range(requests):
                nursery.start_soon(
                    simulation.discarding_call(
                        sim, b'%d-' % number, method='GET'
                    )
                )
                await trio.sleep(0.05)
            await trio.sleep(5)

    simulate(main)
    assert requests * 0.5 < len(sends) < 1.2 * requests


def test_drained_service_gets_no_new_requests():
    """Guards against requests to a service that operators have drained.

    Under steady load its replicas would never become idle and stop. Stored
    responses must still be replayed, and a refused key must stay free.
    """
    sim = simulation.Simulation(simulation.seeded_rng(1))
    seen = []

    async def main():
        async with sim.running():
            await sim.call(b'1-', **options('keyed', 1))
            sim.drain_service(True)
            for number, kind in enumerate(['keyed', 'keyed', 'check', 'rota']):
                body = b'%d-' % (number + 1)
                caller = await sim.call(body, **options(kind, number + 1))
                seen.append(caller.outcome)
            sim.drain_service(False)
            for number, kind in ((2, 'keyed'), (4, 'rota')):
                caller = await sim.call(
                    b'%d-' % number, **options(kind, number)
                )
                seen.append(caller.outcome)

    simulate(main)
    done, not_run = outcomes.Outcome.DONE, outcomes.Outcome.NOT_RUN
    assert seen == [done, not_run, not_run, not_run, done, done]
    assert sim.count() == {b'1-': 1, b'2-': 1, b'4-': 1}
