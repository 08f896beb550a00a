"""Tests of cancellations of jobs that are stored later, or never."""

import trio

from citronrail import workflow
from citronrail.workflow import _documents as documents
from citronrail.workflow import _scheduler_state
from citronrail.workflow.tests import _cluster

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
    cluster = _cluster.SimulatedCluster(seed=1)
    await cluster.start(nursery)
    reply = await _cancel(cluster, JOB)
    assert reply.verdict is workflow.Verdict.ABSENT
    assert await cluster.state(JOB) == ''
    await trio.sleep(6.0)
    await cluster.submit(JOB, _cluster.one_step(4))
    await trio.sleep(5.0)
    assert cluster.history.tasks == {}
    assert await cluster.state(JOB) == 'cancelled'
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
