"""Tests of announcements that may come from another writer (TWICE)."""

import dataclasses

import trio

from citronrail import errors
from citronrail.model import messages
from citronrail import ports
from citronrail import workflow
from citronrail.workflow import _incarnation_checks
from citronrail.workflow.tests import _cluster
from citronrail.workflow.tests import test_worker_agent
from standins import task_worker

LIFE = test_worker_agent.LIFE
STRAY = dataclasses.replace(LIFE, worker_id='stray', born_ms=2)
JOB = 'a' * 16


class _Worker:
    """A worker that answers calls for one incarnation."""

    def __init__(self, life: messages.WorkerLife) -> None:
        self.life = life
        self.answers = True
        self.lists = 0

    async def list_runs(self, life, order):
        await trio.sleep(order.wait_ms / 1000 + 0.01)
        self.lists += 1
        if not self.answers:
            raise errors.WorkerOutcomeUnknown('no answer', step='hold')
        if life.worker_id != self.life.worker_id:
            raise errors.AnotherIncarnation('another life', step='hold')
        clock_ms = 1000 + int(trio.current_time() * 1000)
        return ports.WorkerList(self.life.born_ms, clock_ms, (), ())


async def _begin(nursery, worker) -> workflow.WorkerAgent:
    hub = test_worker_agent._Hub()
    agent = workflow.WorkerAgent(worker, hub, 8.0)
    await nursery.start(agent.run)
    orders = test_worker_agent._orders()
    await hub.on_orders(test_worker_agent.LEADER, orders, b'')
    return agent


async def test_announcement_of_another_writer_doubles_no_run(
    autojump_clock, nursery
):
    """Guards against runs that start elsewhere while they go on (TWICE).

    An announcement of an unknown worker ended what was believed of the runs
    of a sound worker, which got no more work either.
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=1, workers=2)
    cluster.default_plan = task_worker.TaskPlan(work_s=3.0)
    await cluster.start(nursery)
    await cluster.submit(JOB, _cluster.one_step(20))
    await cluster.until_state(JOB, 'running')
    await trio.sleep(1.0)
    stray = dataclasses.replace(
        cluster.workers[0].life(), worker_id='stray', born_ms=10**6
    )
    cluster.agents['a0'].agent.announce(stray)
    await cluster.until_state(JOB, 'completed')
    assert cluster.history.violations == []
    assert [len(r.starts) for r in cluster.history.tasks.values()] == [1] * 20
    assert cluster.agents['a0'].agent.life == cluster.workers[0].life()
    nursery.cancel_scope.cancel()


async def test_unconfirmed_incarnation_is_dropped(autojump_clock, nursery):
    """Guards against calls without end for an incarnation that isn't here."""
    worker = _Worker(LIFE)
    agent = await _begin(nursery, worker)
    agent.announce(STRAY)
    await trio.sleep(1.0)
    assert agent.life is None
    assert worker.lists == 1
    agent.announce(LIFE)
    await trio.sleep(0.1)
    assert agent.life == LIFE
    agent.announce(STRAY)
    await trio.sleep(5.0)
    assert agent.life == LIFE
    nursery.cancel_scope.cancel()


async def test_later_birth_is_confirmed_by_the_worker(autojump_clock, nursery):
    """Guards against an announcement with the ID of the worker (TWICE).

    Its time of birth is later than that of the worker.
    """
    agent = await _begin(nursery, _Worker(LIFE))
    agent.announce(LIFE)
    await trio.sleep(0.1)
    agent.announce(dataclasses.replace(LIFE, born_ms=9))
    await trio.sleep(5.0)
    assert agent.life == LIFE
    nursery.cancel_scope.cancel()


async def test_new_incarnation_is_taken_up_at_once(autojump_clock, nursery):
    """Guards against a restarted worker that waits to be used."""
    worker = _Worker(LIFE)
    agent = await _begin(nursery, worker)
    agent.announce(LIFE)
    await trio.sleep(0.1)
    worker.life = dataclasses.replace(LIFE, worker_id='w1', born_ms=5)
    agent.announce(worker.life)
    await trio.sleep(0.05)
    assert agent.life == worker.life
    nursery.cancel_scope.cancel()


async def test_check_is_repeated_until_the_worker_answers(
    autojump_clock, nursery
):
    """Guards against a restarted worker that isn't used.

    It announces itself while it doesn't answer, and other writers announce
    incarnations meanwhile.
    """
    worker = _Worker(LIFE)
    agent = await _begin(nursery, worker)
    worker.answers = False
    agent.announce(LIFE)
    newest = dataclasses.replace(LIFE, cpu_millis=8000)
    agent.announce(newest)
    for number in range(_incarnation_checks.MAX_UNCONFIRMED - 1):
        agent.announce(dataclasses.replace(STRAY, worker_id=f's{number}'))
    await trio.sleep(3.0)
    assert agent.life is None
    worker.answers = True
    await trio.sleep(0.5)
    assert agent.life == newest
    nursery.cancel_scope.cancel()


async def test_no_more_checks_than_the_limit_wait(autojump_clock, nursery):
    """Guards against memory that grows with announcements."""
    worker = _Worker(LIFE)
    worker.answers = False
    agent = await _begin(nursery, worker)
    for number in range(1000):
        agent.announce(dataclasses.replace(STRAY, worker_id=f's{number}'))
    await trio.sleep(0.05)
    worker.answers, worker.lists = True, 0
    await trio.sleep(5.0)
    assert worker.lists <= 2 * _incarnation_checks.MAX_UNCONFIRMED
    nursery.cancel_scope.cancel()


async def test_earlier_birth_is_confirmed_by_a_time_of_birth(
    autojump_clock, nursery
):
    """Guards against a late announcement that ends what is known (TWICE).

    It names the ID of the worker, whose lists have no time of birth.
    """
    worker = _Worker(dataclasses.replace(LIFE, born_ms=0))
    agent = await _begin(nursery, worker)
    agent.announce(dataclasses.replace(LIFE, born_ms=5))
    await trio.sleep(0.1)
    agent.announce(dataclasses.replace(LIFE, born_ms=3))
    await trio.sleep(1.0)
    assert agent.life is not None
    assert agent.life.born_ms == 5
    nursery.cancel_scope.cancel()
