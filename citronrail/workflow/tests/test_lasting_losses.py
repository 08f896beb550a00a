"""Tests of tasks that last on workers that are lost again and again."""

import trio

from citronrail.workflow import _crashes
from citronrail.workflow import _documents as documents
from citronrail.workflow.tests import _cluster
from standins import task_worker

JOB = '00000000000000a1'
TASK = f'{JOB}.0.0.0'
LOSSES = 8
MAX_ABSENCE_S = 9.0  # of a task that lasts, from its last run, beside room


async def _cluster_with_task(nursery, **plan):
    cluster = _cluster.SimulatedCluster(workers=1)
    cluster.plans[JOB] = task_worker.TaskPlan(work_s=1e6, **plan)
    await cluster.start(nursery)
    await cluster.submit(JOB, _cluster.one_step(1, long_running=True))
    return cluster


def _start_count(cluster):
    record = cluster.history.tasks.get(TASK)
    return 0 if record is None else len(record.starts)


def _runs(cluster):
    term = cluster.leader.election.term
    return [
        attempt
        for view in term.scheduler_state.workers.values()
        for attempt in view.attempts.values()
        if attempt.listed_at
    ]


async def test_task_that_lasts_survives_a_flapping_worker(autojump_clock):
    """Guards against a lasting job shown as failed for losses (LOST).

    Review 14: the only worker of a service went down and up by turns.
    """
    async with trio.open_nursery() as nursery:
        cluster = await _cluster_with_task(nursery)
        (worker,) = cluster.workers
        worker.down_s = 0.4
        for number in range(LOSSES):
            await cluster.until(
                lambda count=number + 1: _start_count(cluster) >= count,
                MAX_ABSENCE_S + worker.down_s,
            )
            await trio.sleep(0.2)  # its run isn't listed yet, or new
            await worker.crash()
        await cluster.until(lambda: _runs(cluster), MAX_ABSENCE_S)
        assert await cluster.state(JOB) == documents.JobStatus.RUNNING
        nursery.cancel_scope.cancel()


async def test_task_that_lasts_and_crashes_its_worker_is_slowed_down(
    autojump_clock,
):
    """Guards against a task that takes all the time of a worker."""
    async with trio.open_nursery() as nursery:
        cluster = await _cluster_with_task(nursery, crashes=True)
        (worker,) = cluster.workers
        worker.down_s = 0.4
        await trio.sleep(60.0)
        assert _crashes.MAX_CRASHES < _start_count(cluster) < 20
        assert await cluster.state(JOB) == documents.JobStatus.RUNNING
        task = cluster.leader.election.term.scheduler_state.find_task(TASK)
        assert len(task.crashes) <= _crashes.MAX_LOSSES
        nursery.cancel_scope.cancel()
