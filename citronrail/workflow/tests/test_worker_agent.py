"""Tests of the agent's calls to its worker."""

import dataclasses
import itertools

import pytest
import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports
from citronrail import workflow
from citronrail.workflow import _orders as worker_orders
from citronrail.workflow import _worker_agent
from citronrail.workflow.tests import _cluster
from standins import task_worker


def _count_cancelled_lists(worker) -> list[float]:
    """Record the times at which list calls of a worker were cancelled."""
    found = []
    list_runs = worker.list_runs

    async def counting(life, order):
        try:
            return await list_runs(life, order)
        except trio.Cancelled:
            found.append(trio.current_time())
            raise

    worker.list_runs = counting
    return found


async def test_lease_renewals_do_not_cancel_list_calls(
    autojump_clock, nursery
):
    """Guards against a new connection to the worker for each renewal.

    Each cancelled call closes its connection. On hosts with 0.08 of a core,
    agents spent their time on connecting, and leases lapsed.
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=1, workers=1)
    cluster.default_plan = task_worker.TaskPlan(lasts=True)
    await cluster.start(nursery)
    await cluster.submit('a' * 16, _cluster.one_step(1, long_running=True))
    await cluster.until_state('a' * 16, 'running')
    await trio.sleep(2.0)
    cancelled = _count_cancelled_lists(cluster.workers[0])
    await trio.sleep(20.0)
    assert len(cancelled) <= 1
    # The lease was extended all the while.
    (run,) = (
        a
        for j in cluster.leader.election.term.scheduler_state.jobs.values()
        for a in j.attempts()
    )
    assert run.number == 1
    nursery.cancel_scope.cancel()


LIFE = messages.WorkerLife('w0', 1, 'pool', 'dc', 'ready', 16000, 64000, 0)
LEADER = ports.Peer(
    node_id=identifiers.NodeId('e0'),
    boot_id=identifiers.BootId('e0-1'),
    role='entry',
    data_centre=identifiers.DataCentreName('dc'),
)


class _SlowWorker:
    """A worker on a slow host: each start takes ``start_s``."""

    def __init__(self, start_s: float) -> None:
        self.start_s = start_s
        self.started: list[tuple[str, float]] = []

    async def list_runs(self, life, order):
        await trio.sleep(order.wait_ms / 1000 + 0.01)
        clock_ms = 1000 + int(trio.current_time() * 1000)
        return ports.WorkerList(life.born_ms, clock_ms, (), ())

    async def start(self, life, order, start_until_ms, fencing):
        self.started.append((order.task, trio.current_time()))
        await trio.sleep(self.start_s)
        return ports.StartResult(ports.StartVerdict.STARTED)


class _Hub:
    """Records what the agent sends, and hands it orders."""

    node_id = identifiers.NodeId('a0')

    def __init__(self) -> None:
        self.refused: dict[str, str] = {}
        self.on_orders = None

    def subscribe(self, kind, handler) -> None:
        self.on_orders = handler

    async def send(self, peer, message, payload=None) -> None:
        for item in message.refused:
            self.refused[item.task] = item.reason


def _orders(fencing=5, starts=0, **fields) -> messages.WorkerOrders:
    return messages.WorkerOrders(
        fencing=fencing,
        worker_id='w0',
        born_ms=1,
        lease_until_ms=10**9,
        starts=tuple(
            messages.StartOrder(f't{n:02}', 1, 'x') for n in range(starts)
        ),
        **fields,
    )


async def _begin(nursery, start_s) -> tuple:
    worker, hub = _SlowWorker(start_s), _Hub()
    agent = workflow.WorkerAgent(worker, hub, 8.0)
    await nursery.start(agent.run)
    agent.announce(LIFE)
    await hub.on_orders(LEADER, _orders(), b'')
    await trio.sleep(0.1)
    return worker, hub, agent


async def test_order_that_waited_too_long_is_not_started(
    autojump_clock, nursery
):
    """Guards against a start after its permission has run out.

    The validity counts from the arrival of the order, however long it waits
    for a free call.
    """
    worker, hub, _ = await _begin(nursery, start_s=2.0)
    began_at = trio.current_time()
    at_once = _worker_agent.MAX_CONCURRENT_STARTS
    await hub.on_orders(LEADER, _orders(starts=at_once + 2), b'')
    await trio.sleep(5.0)
    assert len(worker.started) == at_once
    assert all(
        at - began_at <= _worker_agent.START_VALIDITY_S
        for _, at in worker.started
    )
    assert sorted(hub.refused.values()) == ['late', 'late']


@pytest.mark.parametrize('case', ['new leader', 'new incarnation'])
async def test_waiting_order_is_dropped_at_a_hand_over(
    autojump_clock, nursery, case
):
    """Guards against orders of two leaders, or for two incarnations, at once.

    Orders that still wait in the agent when a new leader or a new incarnation
    of the worker shows itself must not reach the worker.
    """
    worker, hub, agent = await _begin(nursery, start_s=1.0)
    at_once = _worker_agent.MAX_CONCURRENT_STARTS
    await hub.on_orders(LEADER, _orders(starts=at_once + 3), b'')
    await trio.sleep(0.5)
    if case == 'new leader':
        other = dataclasses.replace(LEADER, node_id=identifiers.NodeId('e1'))
        await hub.on_orders(other, _orders(fencing=6), b'')
    else:
        agent.announce(dataclasses.replace(LIFE, born_ms=2))
    await trio.sleep(3.0)
    assert len(worker.started) == at_once
    reason = 'fence' if case == 'new leader' else 'another life'
    assert sorted(hub.refused.values()) == [reason] * 3


async def test_refusals_cancel_no_list_call(autojump_clock, nursery):
    """Guards against a new connection to the worker for each refused start."""
    worker, hub, _ = await _begin(nursery, start_s=0.01)
    cancelled = _count_cancelled_lists(worker)

    async def refuse(life, order, start_until_ms, fencing):
        return ports.StartResult(ports.StartVerdict.REFUSED, 'late')

    worker.start = refuse
    for _ in range(10):
        await hub.on_orders(LEADER, _orders(starts=4), b'')
        await trio.sleep(0.2)
    assert len(hub.refused) == 4
    assert not cancelled


class _EndingWorker(_SlowWorker):
    """A worker on which a run has ended at each list call."""

    def __init__(self) -> None:
        super().__init__(0.0)
        self.lists = 0

    async def list_runs(self, life, order):
        await trio.sleep(0.01)
        self.lists += 1
        end = messages.EndRow(self.lists, 't', self.lists, 'done', '')
        return ports.WorkerList(life.born_ms, 1000 + self.lists, (), (end,))


@pytest.mark.parametrize('confirms', [False, True])
async def test_reports_wait_for_a_busy_scheduler(
    confirms, autojump_clock, nursery
):
    """Guards against reports that queue up at a scheduler short of time.

    An agent sent one for each end of a run, however many were not applied.
    """
    worker, hub = _EndingWorker(), _Hub()
    numbers = []

    async def send(peer, message, payload=None):
        numbers.append(message.number)
        if confirms:
            await hub.on_orders(LEADER, _orders(reports=message.number), b'')

    hub.send = send
    agent = workflow.WorkerAgent(worker, hub, 8.0)
    await nursery.start(agent.run)
    agent.announce(LIFE)
    await hub.on_orders(LEADER, _orders(), b'')
    await trio.sleep(10.0)
    # Without a confirmation one follows each 1.5 s.
    assert len(numbers) > 500 if confirms else 2 <= len(numbers) <= 12
    assert numbers == sorted(set(numbers))
    nursery.cancel_scope.cancel()


async def test_reports_wait_after_a_restart_of_the_agent(
    autojump_clock, nursery
):
    """Guards against a bound on reports that is off after a restart.

    A late order confirms a report that the agent sent before its restart.
    """
    worker, hub = _EndingWorker(), _Hub()
    numbers = []

    async def send(peer, message, payload=None):
        numbers.append(message.number)

    hub.send = send
    agent = workflow.WorkerAgent(worker, hub, 8.0)
    await nursery.start(agent.run)
    agent.announce(LIFE)
    await hub.on_orders(LEADER, _orders(reports=500), b'')
    await trio.sleep(10.0)
    assert 2 <= len(numbers) <= 12
    nursery.cancel_scope.cancel()


async def test_unconfirmed_reports_keep_a_worker_usable(
    autojump_clock, nursery
):
    """Guards against idle workers that get no work from a late scheduler.

    The wait for a confirmation and the long poll of the list after it added
    up to 3 s; with a list of more than 2.5 s nothing is started on a worker,
    with one of more than 2 s its lease isn't renewed.
    """
    worker, hub = _SlowWorker(0.0), _Hub()
    sent_at = []

    async def send(peer, message, payload=None):
        if message.clock_ms:
            sent_at.append(trio.current_time())

    hub.send = send
    agent = workflow.WorkerAgent(worker, hub, 8.0)
    await nursery.start(agent.run)
    agent.announce(LIFE)
    await hub.on_orders(LEADER, _orders(), b'')
    await trio.sleep(20.0)
    gaps = [later - at for at, later in itertools.pairwise(sent_at)]
    assert max(gaps) < worker_orders.LEASE_RENEW_MAX_LIST_AGE_S
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('case', ['lease', 'incarnation'])
async def test_unconfirmed_reports_delay_no_urgent_list(
    case, autojump_clock, nursery
):
    """Guards against leases that end while an agent waits for a confirmation.

    A lease is extended by the next list call, which had to wait for up to
    1.5 s. So had the first list of a new incarnation, before which nothing
    is started there.
    """
    worker, hub = _SlowWorker(0.0), _Hub()
    calls = []
    list_runs = worker.list_runs

    async def recording(life, order):
        calls.append((trio.current_time(), life.born_ms, order.lease_until_ms))
        return await list_runs(life, order)

    worker.list_runs = recording
    agent = workflow.WorkerAgent(worker, hub, 8.0)
    await nursery.start(agent.run)
    agent.announce(LIFE)
    short = dataclasses.replace(_orders(), lease_until_ms=4000)
    await hub.on_orders(LEADER, short, b'')
    for _ in range(10):
        await trio.sleep(0.37)
        until_ms = 3900 + int(trio.current_time() * 1000)
        began_at, calls[:] = trio.current_time(), []
        if case == 'lease':
            longer = dataclasses.replace(short, lease_until_ms=until_ms)
            await hub.on_orders(LEADER, longer, b'')
            wanted = (1, until_ms)
        else:
            born_ms = agent.life.born_ms + 1
            agent.announce(dataclasses.replace(LIFE, born_ms=born_ms))
            wanted = (born_ms, 0)
        await trio.sleep(0.1)
        assert [wanted] == [call[1:] for call in calls[:1]], began_at
    nursery.cancel_scope.cancel()
