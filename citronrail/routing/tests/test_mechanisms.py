"""Shows that each promise rests on its mechanism.

Each test first breaks a promise with a naive version of the mechanism, so
that it is known to detect the loss, and then keeps it with the real one.
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
from citronrail.routing.tests import test_promises
from citronrail.routing.tests import world as worlds

NAIVE_AND_REAL = pytest.mark.parametrize('naive', [True, False])


def run_world(scenario, behaviour=None, **options):
    """Run a scenario in a world and return the world."""
    world = worlds.World(worlds.seeded(7), behaviour, **options)

    async def main():
        async with world.running() as nursery:
            await scenario(world, nursery)

    test_promises.simulate(main)
    return world


@NAIVE_AND_REAL
def test_recorded_cancellation_makes_not_run_true(naive, monkeypatch):
    """Guards against a late copy that runs after `not run` was said."""
    if naive:
        monkeypatch.setattr(_runs.RunTable, 'add', lambda self, run: None)
    told = []

    async def scenario(world, nursery):
        """The request is held up longer than its cancellation."""
        hub = world.hubs['agent-0']
        agent = world.runners['agent-0']
        request = messages.RunRequest(
            'r', 1, worlds.SERVICE, 'POST', '/', (), 100.0, 100.0, 8
        )

        async def on_reply(peer, message, payload):
            told.append(message.outcome)

        world.entry.subscribe(messages.CancelReply, on_reply)
        await world.entry.send(
            'agent-0', messages.CancelRequest('r', 1, 200.0)
        )
        await trio.sleep(0.1)
        await world.entry.send('agent-0', request, b'late')
        await trio.sleep(1)
        assert hub and agent

    world = run_world(scenario)
    assert told == [outcomes.Outcome.NOT_RUN]
    assert world.count()[b'late'] == (1 if naive else 0)


@NAIVE_AND_REAL
def test_duplicate_is_dropped_in_silence(naive, monkeypatch):
    """Guards against two runs of one attempt, and a false refusal."""
    if naive:
        monkeypatch.setattr(_runs.RunTable, 'find', lambda self, run_id: None)

    async def scenario(world, nursery):
        world.faults(double_share=1.0)
        caller = await world.call(b'order')
        assert caller.whole or naive
        await trio.sleep(5)

    world = run_world(scenario)
    assert world.count()[b'order'] == (2 if naive else 1)


@NAIVE_AND_REAL
def test_only_confirmed_refusals_are_not_run(naive, monkeypatch):
    """Guards against a timeout that is reported as `not run`."""
    if naive:
        naive_verdict = lambda attempts: outcomes.Outcome.NOT_RUN  # noqa: E731
        monkeypatch.setattr(_attempt_states, 'outcome_of', naive_verdict)
    callers = []

    async def scenario(world, nursery):
        caller = worlds.FakeCaller()
        callers.append(caller)
        await world.call(b'order', timeout_ms=500, caller=caller)

    world = run_world(scenario, worlds.Behaviour(hanging=1.0), agents=1)
    false = world.count()[b'order'] and (
        callers[0].outcome is outcomes.Outcome.NOT_RUN
    )
    assert bool(false) == naive


@NAIVE_AND_REAL
def test_budget_bounds_the_retries(naive, monkeypatch):
    """Guards against every failing request being sent three times."""
    if naive:
        monkeypatch.setattr(_retry_budget, 'allows', lambda budget: True)
    sends = []

    async def scenario(world, nursery):
        async def on_run(peer, message, payload):
            sends.append(message)

        for hub in world.hubs.values():
            hub.subscribe(messages.RunRequest, on_run)
        for number in range(100):
            nursery.start_soon(
                worlds.quietly(world, b'%d-' % number, method='GET')
            )
            await trio.sleep(0.05)
        await trio.sleep(5)

    run_world(scenario, worlds.Behaviour(failing=1.0))
    assert (len(sends) >= 120) == naive


@NAIVE_AND_REAL
def test_credit_bounds_the_chunks_on_their_way(naive, monkeypatch):
    """Guards against an answer that piles up before a slow caller."""
    if naive:

        async def take_at_once(self):
            await trio.lowlevel.checkpoint()

        monkeypatch.setattr(_runs.Run, 'take_credit', take_at_once)
    most = 0
    arrived = 0

    async def scenario(world, nursery):
        caller = worlds.FakeCaller(pause_s=0.1)

        async def on_chunk(peer, message, payload):
            nonlocal most, arrived
            arrived += 1
            most = max(most, arrived - len(caller.body) // 10)

        world.entry.subscribe(messages.ResponseChunk, on_chunk)
        await world.call(
            b'large', method='GET', caller=caller, timeout_ms=60_000
        )
        assert caller.whole or naive

    run_world(scenario, worlds.Behaviour(chunks=100), agents=1)
    assert (most > _exchanges.CREDIT_CHUNKS + 1) == naive


@NAIVE_AND_REAL
def test_cancelled_run_does_not_start_with_its_slot(naive, monkeypatch):
    """Guards the moment between getting a slot and starting."""
    real = _runner.RequestRunner._start
    if naive:

        async def start(self, run, *rest):
            run.state = _runs.RunState.QUEUED
            with trio.CancelScope(shield=True):
                await real(self, run, *rest)

        monkeypatch.setattr(_runner.RequestRunner, '_start', start)
    told = []

    async def scenario(world, nursery):
        async def on_reply(peer, message, payload):
            told.append(message.outcome)

        world.entry.subscribe(messages.CancelReply, on_reply)
        runner = world.runners['agent-0']
        held = await runner._slots.acquire(100.0)
        request = messages.RunRequest(
            'r', 1, worlds.SERVICE, 'POST', '/', (), 100.0, 100.0, 8
        )
        await world.entry.send('agent-0', request, b'order')
        await trio.sleep(0.1)
        peer = world.entry.peer
        held.release()  # the slot is given, its task has not run yet
        await runner._on_cancel(
            peer, messages.CancelRequest('r', 1, 100.0), b''
        )
        await trio.sleep(1)
        assert told == [outcomes.Outcome.NOT_RUN]

    limits = routing.RunnerLimits(slots=1)
    world = run_world(scenario, agents=1, limits=limits)
    assert world.count()[b'order'] == (1 if naive else 0)


@NAIVE_AND_REAL
def test_feed_is_cut_between_events_only(naive, monkeypatch):
    """Guards against half an event before a planned end."""
    if naive:
        monkeypatch.setattr(
            _event_streams.EventBuffer, 'push', lambda self, data: data
        )
    caller = worlds.FakeCaller()
    feed = (b'id: 1\ndata: a\n\nid: 2\n', b'data: b\n\nid: 3\nda')

    async def scenario(world, nursery):
        async def read():
            await world.call(
                b'feed', 'GET', caller, accept='text/event-stream'
            )

        nursery.start_soon(read)
        await trio.sleep(0.5)
        await world.runners['agent-0'].drain()
        await trio.sleep(0.5)

    run_world(scenario, worlds.Behaviour(feed=feed), agents=1)
    assert caller.whole
    whole_events = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
    assert (caller.body == whole_events + _event_streams.RETRY_HINT) != naive


def test_slots_go_to_the_earliest_deadline():
    """Guards against urgent requests behind patient ones."""
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

    test_promises.simulate(main)
    assert order == [(0.5, False), (10.0, True), (20.0, True), (30.0, True)]


def test_fast_failing_agent_gets_little_work():
    """Guards against an agent that attracts work by failing at once."""

    async def scenario(world, nursery):
        broken = world.runners['agent-0']._backend_server
        broken.behaviour = worlds.Behaviour(service_s=0, failing=1.0)
        for number in range(300):
            nursery.start_soon(worlds.quietly(world, b'%d-' % number))
            await trio.sleep(0.02)
        await trio.sleep(1)

    world = run_world(scenario, worlds.Behaviour(service_s=0.02))
    failed = sum(1 for run in world.runs if run.agent == 'agent-0')
    assert failed < 30


@NAIVE_AND_REAL
def test_request_that_cannot_be_in_time_is_refused(naive, monkeypatch):
    """Guards against runs that start just before nobody waits any more."""
    if naive:
        times = _run_times.RunTimeEstimator
        monkeypatch.setattr(times, 'too_late', lambda *args: False)
        monkeypatch.setattr(
            times, 'latest_start', lambda self, message, now: 1e9
        )
    seen = []

    async def scenario(world, nursery):
        async def call(number):
            caller = await world.call(b'%d-' % number, timeout_ms=300)
            seen.append(caller.outcome)

        async with trio.open_nursery() as calls:
            for number in range(400):
                calls.start_soon(call, number)
                await trio.sleep(0.005)

    limits = routing.RunnerLimits(slots=2)
    run_world(
        scenario, worlds.Behaviour(service_s=0.05), agents=1, limits=limits
    )
    # Two slots can answer about 80 in the two seconds.
    kept = seen.count(outcomes.Outcome.DONE) > 50
    kept = kept and seen.count(outcomes.Outcome.UNKNOWN) < 40
    assert kept != naive
