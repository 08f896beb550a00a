"""Tests of workers that start again under their ID."""

import dataclasses

import pytest
import trio

from citronrail.workflow.tests import _cluster
from citronrail.workflow.tests import test_incarnation_checks
from standins import task_worker

LIFE = test_incarnation_checks.LIFE
JOB = 'b' * 16


async def test_list_of_a_new_incarnation_keeps_no_old_state(
    autojump_clock, nursery
):
    """Guards against a restarted worker that counts as draining for good.

    Its list is answered before its first announcement (LOST).
    """
    worker = test_incarnation_checks._Worker(LIFE)
    agent = await test_incarnation_checks._begin(nursery, worker)
    agent.announce(LIFE)
    await trio.sleep(0.1)
    agent.announce(dataclasses.replace(LIFE, state='draining'))
    worker.life = dataclasses.replace(LIFE, born_ms=9)
    await trio.sleep(3.0)
    assert agent.life is not None
    assert (agent.life.born_ms, agent.life.state) == (9, 'starting')
    agent.announce(worker.life)
    assert agent.life == worker.life
    nursery.cancel_scope.cancel()


async def _idle_cluster(nursery) -> _cluster.SimulatedCluster:
    """Return a cluster with one worker of 4 cores, which has run a task."""
    cluster = _cluster.SimulatedCluster(seed=1, entries=1, workers=1)
    cluster.default_plan = task_worker.TaskPlan(work_s=1.0, cpu_millis=1000)
    await cluster.start(nursery)
    await cluster.submit(JOB, _cluster.one_step())
    await cluster.until_state(JOB, 'completed')
    return cluster


@pytest.mark.parametrize('smaller', [False, True])
async def test_restarted_worker_is_used_as_announced(
    autojump_clock, nursery, smaller
):
    """Guards against work that waits for a worker that is up (LOST, LIMIT).

    The worker drains, ends and starts again under its ID before it announces
    itself; a smaller one was filled like the one before.
    """
    cluster = await _idle_cluster(nursery)
    (worker,) = cluster.workers
    worker.state = 'draining'
    await trio.sleep(2.0)
    (agent,) = cluster.agents.values()
    announce = agent.agent.announce
    agent.agent.announce = lambda life: None
    worker.simulate_restart()
    worker.state = 'ready'
    if smaller:
        worker.cpu_millis = 1000
    await cluster.submit('c' * 16, _cluster.one_step(8, cpu_millis=1000))
    await trio.sleep(3.0)
    agent.agent.announce = announce
    await cluster.until_state('c' * 16, 'completed')
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()


async def test_crashed_worker_is_filled_by_its_new_capacity(
    autojump_clock, nursery
):
    """Guards against starts on a smaller worker than the one before (LIMIT).

    It crashed and is of another kind now, which it has not announced yet.
    """
    cluster = await _idle_cluster(nursery)
    (worker,) = cluster.workers
    (agent,) = cluster.agents.values()
    announce = agent.agent.announce
    agent.agent.announce = lambda life: None
    worker.cpu_millis = 1000
    worker.simulate_restart()
    await trio.sleep(2.0)
    await cluster.submit('c' * 16, _cluster.one_step(4, cpu_millis=1000))
    await trio.sleep(2.0)
    agent.agent.announce = announce
    await cluster.until_state('c' * 16, 'completed')
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()


async def test_incarnation_begins_once(autojump_clock, nursery):
    """Guards against orders that count anew within an incarnation.

    It is confirmed after a list has shown it already.
    """
    worker = test_incarnation_checks._Worker(LIFE)
    agent = await test_incarnation_checks._begin(nursery, worker)
    agent.announce(LIFE)
    await trio.sleep(0.1)
    worker.life = dataclasses.replace(LIFE, born_ms=9)
    agent._begin_unannounced(LIFE, 9)
    received = agent._received
    agent._begin_incarnation(worker.life)
    assert agent.life == worker.life
    assert agent._received is received
    nursery.cancel_scope.cancel()


async def test_late_end_of_an_earlier_incarnation_stops_no_work(
    autojump_clock, nursery
):
    """Guards against a restarted worker that counts as draining for good.

    The message that the incarnation before ends is read after its first
    announcement, such as by an agent that was suspended (LOST).
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=1, workers=1)
    cluster.default_plan = task_worker.TaskPlan(work_s=1.0, cpu_millis=1000)
    (worker,) = cluster.workers
    await cluster.start(nursery)
    worker.state = 'draining'
    await trio.sleep(1.0)
    worker.simulate_restart()
    worker.state = 'ready'
    await trio.sleep(1.0)
    (agent,) = cluster.agents.values()
    assert agent.agent.life == worker.life()
    agent.agent.leave(worker.worker_id)
    await trio.sleep(0.1)
    await cluster.submit(JOB, _cluster.one_step(8, cpu_millis=1000))
    await cluster.until_state(JOB, 'completed')
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()


async def test_worker_that_has_left_gets_no_work(autojump_clock, nursery):
    """Guards against starts on a worker that ends, and draining forgotten."""
    worker = test_incarnation_checks._Worker(LIFE)
    agent = await test_incarnation_checks._begin(nursery, worker)
    agent.announce(LIFE)
    await trio.sleep(0.1)
    agent.leave(LIFE.worker_id)
    assert agent.life is not None
    assert agent.life.state == 'leaving'
    agent.announce(dataclasses.replace(LIFE, state='draining'))
    agent.leave(LIFE.worker_id)
    assert agent.life.state == 'draining'
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('announced', [True, False])
async def test_worker_with_an_earlier_time_of_birth_is_used(
    autojump_clock, nursery, announced
):
    """Guards against a restarted worker that is never used again (LOST).

    The clock of its host was set back between the two incarnations. The first
    sign of the present one is its announcement, or a list.
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=1, workers=1)
    cluster.default_plan = task_worker.TaskPlan(work_s=1.0, cpu_millis=1000)
    (worker,) = cluster.workers
    worker.born_offset_ms = 2000
    await cluster.start(nursery)
    await cluster.submit(JOB, _cluster.one_step(4, cpu_millis=1000))
    await cluster.until_state(JOB, 'running')
    (agent,) = cluster.agents.values()
    worker.faults.down = announced
    worker.simulate_restart()
    worker.born_offset_ms = 0
    if announced:
        agent.agent.announce(worker.life())
        await trio.sleep(0.1)
        worker.faults.down = False
    await cluster.until_state(JOB, 'completed')
    assert agent.agent.life == worker.life()
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()


async def test_late_answer_of_an_earlier_incarnation_is_not_believed(
    autojump_clock, nursery
):
    """Guards against runs that are given up while they go on (TWICE).

    An earlier incarnation answered a check, and its answer arrives after the
    present incarnation was confirmed by a list.
    """
    worker = test_incarnation_checks._Worker(LIFE)
    agent = await test_incarnation_checks._begin(nursery, worker)
    agent.announce(LIFE)
    await trio.sleep(0.1)
    list_runs = worker.list_runs

    async def late(life, order):
        worker_list = await list_runs(life, order)
        if life.cpu_millis == 1:
            await trio.sleep(2.5)
        return worker_list

    worker.list_runs = late
    earlier = dataclasses.replace(LIFE, worker_id='w0', born_ms=3)
    worker.life = earlier
    agent.announce(dataclasses.replace(earlier, cpu_millis=1))
    await trio.sleep(0.02)
    worker.life = dataclasses.replace(LIFE, born_ms=9)
    await trio.sleep(5.0)
    assert agent.life is not None
    assert agent.life.born_ms == 9
    nursery.cancel_scope.cancel()
