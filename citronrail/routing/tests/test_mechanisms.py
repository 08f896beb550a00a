"""Guards the mechanisms behind the guarantees of request routing.

Each test runs with a naive version of its mechanism, which must break the
guarantee, so that the test is known to detect it, and with the real one.
"""

import pytest
import trio
import trio.testing

from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import routing
from citronrail.routing import _attempt_states
from citronrail.routing import _event_streams
from citronrail.routing import _exchanges
from citronrail.routing import _retry_budget
from citronrail.routing import _run_times
from citronrail.routing import _runner
from citronrail.routing import _runs
from citronrail.routing import _slots
from citronrail.routing.tests import simulation
from citronrail.routing.tests import test_guarantees

NAIVE_AND_REAL = pytest.mark.parametrize('naive', [True, False])


def run_simulation(scenario, behaviour=None, **options):
    """Run a scenario in a simulation and return the simulation."""
    sim = simulation.Simulation(simulation.seeded_rng(7), behaviour, **options)

    async def main():
        async with sim.running() as nursery:
            await scenario(sim, nursery)

    test_guarantees.simulate(main)
    return sim


@NAIVE_AND_REAL
def test_recorded_cancellation_prevents_a_late_run(naive, monkeypatch):
    """Guards against a delayed request that runs after `not run`."""
    if naive:
        monkeypatch.setattr(_runs.RunTable, 'add', lambda self, run: None)
    reported_outcomes = []

    async def scenario(sim, nursery):
        """Deliver the request after its cancellation."""
        hub = sim.hubs['agent-0']
        agent = sim.runners['agent-0']
        request = messages.RunRequest(
            'r', 1, simulation.SERVICE, 'POST', '/', (), 100.0, 100.0, 8
        )

        async def on_reply(peer, message, payload):
            reported_outcomes.append(message.outcome)

        sim.entry.subscribe(messages.CancelReply, on_reply)
        await sim.entry.send('agent-0', messages.CancelRequest('r', 1, 200.0))
        await trio.sleep(0.1)
        await sim.entry.send('agent-0', request, b'late')
        await trio.sleep(1)
        assert hub and agent

    sim = run_simulation(scenario)
    assert reported_outcomes == [outcomes.Outcome.NOT_RUN]
    assert sim.count()[b'late'] == (1 if naive else 0)


@NAIVE_AND_REAL
def test_duplicate_is_dropped_without_a_reply(naive, monkeypatch):
    """Guards against two runs of an attempt, and a wrong refusal."""
    if naive:
        monkeypatch.setattr(_runs.RunTable, 'find', lambda self, run_id: None)

    async def scenario(sim, nursery):
        sim.faults(double_share=1.0)
        caller = await sim.call(b'order')
        assert caller.complete or naive
        await trio.sleep(5)

    sim = run_simulation(scenario)
    assert sim.count()[b'order'] == (2 if naive else 1)


@NAIVE_AND_REAL
def test_only_confirmed_refusals_are_not_run(naive, monkeypatch):
    """Guards against a timeout that is reported as `not run`."""
    if naive:
        naive_verdict = lambda attempts: outcomes.Outcome.NOT_RUN  # noqa: E731
        monkeypatch.setattr(_attempt_states, 'outcome_of', naive_verdict)
    callers = []

    async def scenario(sim, nursery):
        caller = simulation.FakeCaller()
        callers.append(caller)
        await sim.call(b'order', timeout_ms=500, caller=caller)

    sim = run_simulation(scenario, simulation.Behaviour(hanging=1.0), agents=1)
    wrong = sim.count()[b'order'] and (
        callers[0].outcome is outcomes.Outcome.NOT_RUN
    )
    assert bool(wrong) == naive


@NAIVE_AND_REAL
def test_retry_budget_limits_retries(naive, monkeypatch):
    """Guards against retry amplification while all requests fail."""
    if naive:
        monkeypatch.setattr(_retry_budget, 'allows', lambda budget: True)
    sends = []

    async def scenario(sim, nursery):
        async def on_run(peer, message, payload):
            sends.append(message)

        for hub in sim.hubs.values():
            hub.subscribe(messages.RunRequest, on_run)
        for number in range(100):
            nursery.start_soon(
                simulation.discarding_call(sim, b'%d-' % number, method='GET')
            )
            await trio.sleep(0.05)
        await trio.sleep(5)

    run_simulation(scenario, simulation.Behaviour(failing=1.0))
    assert (len(sends) >= 120) == naive


@NAIVE_AND_REAL
def test_credit_limits_the_chunks_in_flight(naive, monkeypatch):
    """Guards against unlimited buffering for a slow caller."""
    if naive:

        async def take_at_once(self):
            await trio.lowlevel.checkpoint()

        monkeypatch.setattr(_runs.Run, 'take_credit', take_at_once)
    max_in_flight = 0
    arrived = 0

    async def scenario(sim, nursery):
        caller = simulation.FakeCaller(pause_s=0.1)

        async def on_chunk(peer, message, payload):
            nonlocal max_in_flight, arrived
            arrived += 1
            max_in_flight = max(
                max_in_flight, arrived - len(caller.body) // 10
            )

        sim.entry.subscribe(messages.ResponseChunk, on_chunk)
        await sim.call(
            b'large', method='GET', caller=caller, timeout_ms=60_000
        )
        assert caller.complete or naive

    run_simulation(scenario, simulation.Behaviour(chunks=100), agents=1)
    assert (max_in_flight > _exchanges.CREDIT_CHUNKS + 1) == naive


@NAIVE_AND_REAL
def test_cancelled_run_does_not_start_with_its_slot(naive, monkeypatch):
    """Guards against a cancellation between slot grant and start."""
    real = _runner.RequestRunner._start
    if naive:

        async def start(self, run, *rest):
            run.state = _runs.RunState.QUEUED
            with trio.CancelScope(shield=True):
                await real(self, run, *rest)

        monkeypatch.setattr(_runner.RequestRunner, '_start', start)
    reported_outcomes = []

    async def scenario(sim, nursery):
        async def on_reply(peer, message, payload):
            reported_outcomes.append(message.outcome)

        sim.entry.subscribe(messages.CancelReply, on_reply)
        runner = sim.runners['agent-0']
        held = await runner._slots.acquire(100.0)
        request = messages.RunRequest(
            'r', 1, simulation.SERVICE, 'POST', '/', (), 100.0, 100.0, 8
        )
        await sim.entry.send('agent-0', request, b'order')
        await trio.sleep(0.1)
        peer = sim.entry.peer
        held.release()  # the slot is granted; its task has not run yet
        await runner._on_cancel(
            peer, messages.CancelRequest('r', 1, 100.0), b''
        )
        await trio.sleep(1)
        assert reported_outcomes == [outcomes.Outcome.NOT_RUN]

    limits = routing.RunnerLimits(slots=1)
    sim = run_simulation(scenario, agents=1, limits=limits)
    assert sim.count()[b'order'] == (1 if naive else 0)


@NAIVE_AND_REAL
def test_event_stream_ends_between_events(naive, monkeypatch):
    """Guards against a truncated event before a planned end."""
    if naive:
        monkeypatch.setattr(
            _event_streams.EventBuffer, 'push', lambda self, data: data
        )
    caller = simulation.FakeCaller()
    feed = (b'id: 1\ndata: a\n\nid: 2\n', b'data: b\n\nid: 3\nda')

    async def scenario(sim, nursery):
        async def read():
            await sim.call(b'feed', 'GET', caller, accept='text/event-stream')

        nursery.start_soon(read)
        await trio.sleep(0.5)
        await sim.runners['agent-0'].drain()
        await trio.sleep(0.5)

    run_simulation(scenario, simulation.Behaviour(feed=feed), agents=1)
    assert caller.complete
    whole_events = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
    assert (caller.body == whole_events + _event_streams.RETRY_HINT) != naive


def test_slots_go_to_the_earliest_deadline():
    """Guards against urgent requests waiting behind less urgent ones."""
    order = []

    async def main():
        queue = _slots.SlotQueue(1)
        held = await queue.acquire(100.0)

        async def wait(start_before):
            slot = await queue.acquire(start_before)
            order.append((start_before, slot is not None))
            if slot is not None:
                await trio.sleep(1)
                slot.release()

        async with trio.open_nursery() as nursery:
            for start_before in (30.0, 10.0, 20.0, 0.5):
                nursery.start_soon(wait, start_before)
            await trio.sleep(1)
            held.release()
        assert queue.used == 0

    test_guarantees.simulate(main)
    assert order == [(0.5, False), (10.0, True), (20.0, True), (30.0, True)]


def test_fast_failing_agent_gets_little_work():
    """Guards against an agent that attracts load by failing fast."""

    async def scenario(sim, nursery):
        broken = sim.runners['agent-0']._backend_server
        broken.behaviour = simulation.Behaviour(service_s=0, failing=1.0)
        for number in range(300):
            nursery.start_soon(
                simulation.discarding_call(sim, b'%d-' % number)
            )
            await trio.sleep(0.02)
        await trio.sleep(1)

    sim = run_simulation(scenario, simulation.Behaviour(service_s=0.02))
    failed = sum(1 for run in sim.runs if run.agent == 'agent-0')
    assert failed < 30


@NAIVE_AND_REAL
def test_request_that_would_miss_its_deadline_is_refused(naive, monkeypatch):
    """Guards against runs that start shortly before their deadline."""
    if naive:
        times = _run_times.RunTimeEstimator
        monkeypatch.setattr(times, 'too_late', lambda *args: False)
        monkeypatch.setattr(
            times, 'latest_start', lambda self, message, now: 1e9
        )
    seen = []

    async def scenario(sim, nursery):
        async def call(number):
            caller = await sim.call(b'%d-' % number, timeout_ms=300)
            seen.append(caller.outcome)

        async with trio.open_nursery() as calls:
            for number in range(400):
                calls.start_soon(call, number)
                await trio.sleep(0.005)

    limits = routing.RunnerLimits(slots=2)
    run_simulation(
        scenario, simulation.Behaviour(service_s=0.05), agents=1, limits=limits
    )
    # Two slots can complete about 80 requests in the two seconds.
    kept = seen.count(outcomes.Outcome.DONE) > 50
    kept = kept and seen.count(outcomes.Outcome.UNKNOWN) < 40
    assert kept != naive
