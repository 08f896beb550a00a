"""Tests of cancellations of jobs that are stored later, or never."""

import pytest
import trio

from citronrail import workflow
from citronrail.workflow import _documents as documents
from citronrail.workflow import _scheduler_state
from citronrail.workflow.tests import _cluster
from citronrail.workflow.tests import _flawed_store
from standins import task_worker

JOB = '00000000000000b1'


async def _cancel(cluster, job_id) -> workflow.Reply:
    entry = cluster.rng.choice(list(cluster.entries.values()))
    return await entry.service.cancel(job_id, trio.current_time() + 3.0)


async def test_job_that_is_stored_after_its_cancellation_runs_nothing(
    autojump_clock, nursery
):
    """Guards against a cancelled job that runs (UNASKED).

    The write of its submission got no answer, and takes effect after the
    caller has cancelled the job and got 410.
    """
    for seed in range(10):
        cluster = _cluster.SimulatedCluster(seed=seed)
        store = cluster.store = _flawed_store.FlawedStore(cluster.rng)
        await cluster.start(nursery)
        store.flaws.late_share = 1.0
        entry = cluster.leader
        reply = await entry.service.submit(
            _cluster.QUEUE, JOB, _cluster.one_step(4), trio.current_time() + 1
        )
        store.flaws.late_share = 0.0
        assert reply.verdict is workflow.Verdict.UNKNOWN
        if (await _cancel(cluster, JOB)).verdict is workflow.Verdict.DONE:
            continue  # the late write was executed before
        await trio.sleep(_flawed_store.MAX_LATENESS_S + 1.0)
        assert cluster.history.tasks == {}
        assert await cluster.state(JOB) == ''
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('pause_s', [0.0, 3.0])
async def test_job_that_is_submitted_after_its_cancellation_runs(
    autojump_clock, nursery, pause_s
):
    """Guards against an accepted job that is shown as cancelled (LOST).

    The caller got 410 for its cancellation before it submitted the job.
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=3)
    await cluster.start(nursery)
    reply = await _cancel(cluster, JOB)
    assert reply.verdict is workflow.Verdict.ABSENT
    await trio.sleep(pause_s)
    await cluster.submit(JOB, _cluster.one_step(4))
    await cluster.until_state(JOB, 'completed', 5.0)
    cluster.kill_entry(cluster.leader.name)
    await cluster.until(lambda: cluster.leader is not None)
    await trio.sleep(1.0)
    assert await cluster.state(JOB) == 'completed'
    nursery.cancel_scope.cancel()


async def test_submission_under_way_does_not_undo_a_cancellation(
    autojump_clock, nursery
):
    """Guards against a cancelled job that runs (UNASKED).

    The submission arrived before the cancellation, and is carried out later.
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=2)
    await cluster.start(nursery)
    entry, other = cluster.entries.values()
    txn, waits = cluster.store.txn, [0.5]

    async def delayed(compares, writes):
        submits = any(w.key == documents.JOB_PREFIX + JOB for w in writes)
        if submits and waits:
            await trio.sleep(waits.pop())
        return await txn(compares, writes)

    cluster.store.txn = delayed
    verdicts = []

    async def submit():
        reply = await entry.service.submit(
            _cluster.QUEUE, JOB, _cluster.one_step(4), trio.current_time() + 3
        )
        verdicts.append(reply.verdict)

    nursery.start_soon(submit)
    await trio.sleep(0.1)
    reply = await other.service.cancel(JOB, trio.current_time() + 3.0)
    assert reply.verdict is workflow.Verdict.ABSENT
    await trio.sleep(3.0)
    assert verdicts == [workflow.Verdict.NOT_RUN]
    assert cluster.history.tasks == {}
    await cluster.submit(JOB, _cluster.one_step(4))  # once more, and later
    await cluster.until_state(JOB, 'completed', 5.0)
    nursery.cancel_scope.cancel()


async def test_job_that_runs_again_can_be_cancelled(autojump_clock, nursery):
    """Guards against a later cancellation that is taken for the first."""
    cluster = _cluster.SimulatedCluster(seed=1, entries=3)
    cluster.default_plan = task_worker.TaskPlan(work_s=60.0)
    await cluster.start(nursery)
    await _cancel(cluster, JOB)
    await cluster.submit(JOB, _cluster.one_step(4))
    await cluster.until_state(JOB, 'running', 5.0)
    reply = await _cancel(cluster, JOB)
    assert reply.verdict is workflow.Verdict.DONE
    await cluster.until_state(JOB, 'cancelled', 3.0)
    nursery.cancel_scope.cancel()


async def test_cancellations_of_unknown_jobs_are_not_kept(
    autojump_clock, nursery
):
    """Guards against keys in the store that grow with odd requests.

    28 were deleted each 5 s, whatever the number that waited.
    """
    cluster = _cluster.SimulatedCluster(seed=1)
    await cluster.start(nursery)
    for number in range(100):
        await _cancel(cluster, f'{number:016x}')

    async def count_keys() -> int:
        listing = await cluster.store.list(documents.CANCEL_PREFIX)
        return len(listing.items)

    assert await count_keys() == 100
    await trio.sleep(_scheduler_state.PENDING_CANCEL_S + 7.0)
    assert await count_keys() == 0
    nursery.cancel_scope.cancel()
