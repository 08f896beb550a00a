"""Tests of the number of pending jobs that a successor gives (MIXED)."""

import pytest
import trio

from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _job
from citronrail.workflow import _state_writer
from citronrail.workflow.tests import _cluster
from standins import task_worker

JOBS = [f'{number:016x}' for number in range(6)]


async def _pending(cluster) -> int:
    entry = next(iter(cluster.entries.values()))
    return (await entry.service.pending(_cluster.QUEUE)).pending


async def _take_over(cluster) -> None:
    name = cluster.leader.name
    cluster.kill_entry(name)
    await cluster.until(lambda: cluster.leader is not None)
    cluster.start_entry(name)


async def test_jobs_whose_starts_were_refused_are_pending(autojump_clock):
    """Guards against waiting jobs that vanish from the count.

    A number of a run in the stored progress was taken for a run that began.
    """
    cluster = _cluster.SimulatedCluster(entries=3, workers=1)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        (worker,) = cluster.workers
        start, worker.start = worker.start, _refuse
        for job_id in JOBS:
            await cluster.submit(job_id, _cluster.one_step(1))
        await cluster.until(lambda: _last_runs(cluster) > len(JOBS))
        assert await _pending(cluster) == len(JOBS)
        for _ in range(3):
            await _take_over(cluster)
            for _ in range(20):
                assert await _pending(cluster) == len(JOBS)
                await trio.sleep(0.1)
        worker.start = start
        for job_id in JOBS:
            await cluster.until_state(job_id, 'completed')
        assert await _pending(cluster) == 0
        nursery.cancel_scope.cancel()


async def _refuse(*_) -> ports.StartResult:
    return ports.StartResult(ports.StartVerdict.REFUSED, 'status 503')


def _last_runs(cluster) -> int:
    jobs = cluster.leader.election.term.scheduler_state.jobs.values()
    return sum(job.stages[0].tasks[0].last_run for job in jobs)


@pytest.mark.parametrize('silent', [False, True], ids=['listed', 'lost'])
async def test_jobs_that_run_are_not_pending(autojump_clock, silent):
    """Guards against jobs that count as pending although they have begun.

    Which jobs have begun is known before any worker has sent a list, and if
    none ever does.
    """
    cluster = _cluster.SimulatedCluster(entries=2, workers=2)
    cluster.default_plan = task_worker.TaskPlan(work_s=60.0)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        for job_id in JOBS:
            await cluster.submit(job_id, _cluster.one_step(1))
        await cluster.until(lambda: len(cluster.history.tasks) == len(JOBS))
        await trio.sleep(2 * _state_writer.MAX_BEGUN_DELAY_S)
        for worker in cluster.workers:
            worker.faults.silent = silent
        await _take_over(cluster)
        for _ in range(100):
            assert await _pending(cluster) == 0
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


async def test_that_a_job_has_begun_needs_few_writes(autojump_clock):
    """Guards against a transaction for each job that begins."""
    cluster = _cluster.SimulatedCluster(entries=1, workers=2)
    cluster.default_plan = task_worker.TaskPlan(work_s=60.0)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        for job_id in JOBS:
            await cluster.submit(job_id, _cluster.one_step(1))
        writes = cluster.store.calls['txn']
        await trio.sleep(3.0)
        assert cluster.store.calls['txn'] - writes <= 3
        nursery.cancel_scope.cancel()


ATTEMPT = documents.AttemptRecord(1, 'a0', 'w0', 1)
LASTED = documents.AttemptRecord(1, 'a0', 'w0', 1, lasted=True)


@pytest.mark.parametrize(
    ('fields', 'begun'),
    [
        ({}, False),
        ({'attempts': (ATTEMPT,)}, False),
        ({'attempts': (LASTED,)}, True),
        ({'done': True}, True),
        ({'failures': 1}, True),
        ({'checkpoint': 'c'}, True),
    ],
    ids=['refused', 'assigned', 'lasted', 'done', 'failed', 'checkpoint'],
)
def test_what_shows_that_a_job_has_begun(fields, begun):
    """Guards against a guess from the progress of an earlier version."""
    record = documents.JobRecord('j', 'q', 's', 0.0, _cluster.one_step(2))
    job = _job.Job(record, 0.0)
    task = documents.TaskRecord(last_run=1, **fields)
    job.restore(documents.ProgressRecord('running', stages=((task,),)))
    assert job.begun is begun
