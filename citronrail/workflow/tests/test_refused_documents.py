"""Tests of documents that the store will never accept."""

import pytest
import trio

from citronrail import errors
from citronrail.model import messages
from citronrail.model import workflows
from citronrail import ports
from citronrail import workflow
from citronrail.workflow import _admission
from citronrail.workflow import _commit_chain
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_writer
from citronrail.workflow import _worker_view
from citronrail.workflow.tests import _cluster
from standins import key_value
from standins import task_worker

GUARD = ports.Compare(documents.LEADER_KEY, 0)


class RefusingStore(key_value.MemoryStore):
    """A store that refuses some values for good.

    :param refuses: tells whether a write is refused.
    """

    def __init__(self, refuses) -> None:
        super().__init__()
        self.refuses = refuses

    async def txn(self, compares, writes) -> ports.TxnResult:
        """Carry out a transaction unless one of its writes is refused."""
        await trio.lowlevel.checkpoint()
        if any(self.refuses(write) for write in writes):
            raise errors.StoreRefused('status 400', step='store.txn')
        return await super().txn(compares, writes)


@pytest.mark.parametrize('bad', [set(), {0}, {27}, {13, 14}, {0, 28, 39}])
async def test_others_are_committed(autojump_clock, bad):
    """Guards against a value that keeps all others from being stored (LOST).

    A refusal for good was repeated like one of a store that is busy.
    """
    refused_keys = {f'k{number}' for number in bad}
    store = RefusingStore(lambda write: write.key in refused_keys)
    chain = _commit_chain.CommitChain(store, GUARD, 'boot/1')
    await chain.open()
    writes = [ports.Put(f'k{number}', b'x') for number in range(40)]
    with trio.fail_after(5.0):
        refused = await chain.commit(writes)
    assert {write.key for write in refused} == refused_keys
    stored = await store.list('k')
    assert len(stored.items) == 40 - len(bad)
    assert not await chain.commit([ports.Put('later', b'x')])


async def test_store_that_refuses_everything_condemns_no_write(
    autojump_clock,
):
    """Guards against jobs that fail for a fault of the store."""
    store = RefusingStore(lambda _: True)
    chain = _commit_chain.CommitChain(store, GUARD, 'boot/1')
    await chain.open()
    refused = None
    with trio.move_on_after(10.0):
        refused = await chain.commit([ports.Put('k', b'x')])
    assert refused is None
    store.refuses = lambda _: False
    assert not await chain.commit([ports.Put('k', b'x')])


@pytest.mark.parametrize('count', [2, 600])
async def test_job_whose_progress_is_refused_ends_alone(autojump_clock, count):
    """Guards against one job that ends the progress of all jobs (LOST).

    Its runs are not ordered, as no successor would know them.
    """
    cluster = _cluster.SimulatedCluster(
        entries=2, cpu_millis=200_000, memory_mb=200_000
    )

    def refuses(write) -> bool:
        prefix = documents.PROGRESS_PREFIX + 'bad'
        return write.key.startswith(prefix) and len(write.value) > 40

    cluster.store = RefusingStore(refuses)
    cluster.default_plan = task_worker.TaskPlan(work_s=1.0)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        await cluster.submit('before', _cluster.chain(2, 2))
        await cluster.submit('bad', _cluster.one_step(count))
        await cluster.submit('after', _cluster.chain(2, 2))
        await cluster.until_state('bad', 'failed', 5.0)
        await cluster.until_state('before', 'completed', 10.0)
        await cluster.until_state('after', 'completed', 10.0)
        assert not any(
            task.startswith('bad') for task in cluster.history.tasks
        )
        cluster.kill_entry(cluster.leader.name)
        await cluster.until(lambda: cluster.leader is not None)
        assert await cluster.state('bad') == 'failed'
        nursery.cancel_scope.cancel()


async def test_end_whose_progress_is_refused_is_shown(autojump_clock):
    """Guards against a job that is done and shown as running for good."""
    cluster = _cluster.SimulatedCluster(entries=2)

    def refuses(write) -> bool:
        if write.key != documents.PROGRESS_PREFIX + 'late':
            return False
        progress = documents.decode(write.value, documents.ProgressRecord)
        return progress.status.final and bool(progress.stages)

    cluster.store = RefusingStore(refuses)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        await cluster.submit('late', _cluster.one_step(2))
        await cluster.until_state('late', 'completed', 10.0)
        cluster.kill_entry(cluster.leader.name)
        await cluster.until(lambda: cluster.leader is not None)
        await trio.sleep(2.0)
        assert await cluster.state('late') == 'completed'
        starts = [len(r.starts) for r in cluster.history.tasks.values()]
        assert starts == [1, 1]
        nursery.cancel_scope.cancel()


async def test_job_that_is_too_large_is_rejected_at_once(autojump_clock):
    """Guards against a job that is sent again and never accepted."""
    cluster = _cluster.SimulatedCluster(entries=1)
    step = workflows.StepSpec(1, cpu_millis=100, memory_mb=100)
    spec = workflows.WorkflowSpec('argument', (step,) * 6000)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        entry = cluster.leader
        began_at = trio.current_time()
        reply = await entry.service.submit(
            _cluster.QUEUE, 'large', spec, began_at + 3.0
        )
        assert reply.verdict is workflow.Verdict.TOO_LARGE
        assert trio.current_time() - began_at < 0.1
        listing = await cluster.store.list(documents.JOB_PREFIX)
        assert not listing.items
        nursery.cancel_scope.cancel()


async def test_worker_shapes_fit_the_store(autojump_clock):
    """Guards against worker shapes that keep jobs from being stored.

    With part of the shapes, jobs that fit the others would be rejected.
    """
    state = _scheduler_state.SchedulerState(lambda _: _cluster.QUEUE)
    for number in range(300):
        life = messages.WorkerLife(
            f'w{number}',
            1,
            'pool',
            'dc',
            'ready',
            16_000,
            64_000,
            0,
            labels=(f'{number}' + 'x' * 200,),
        )
        state.workers[f'a{number}'] = _worker_view.WorkerView(
            f'a{number}', life
        )
    writer = _state_writer.StateWriter(
        state,
        _interference.PairFactors(),
        workflows.Bounds(max_value_bytes=50_000),
        (),
        lambda: 0.0,
    )
    writer.due_writes()
    await trio.sleep(_state_writer.FIRST_SHAPES_DELAY_S)
    (put,) = writer.due_writes()
    assert len(put.value) <= 50_000
    shapes = documents.decode(put.value, documents.FleetRecord).shapes
    assert _admission.unfit_step(_cluster.one_step(), 'pool', shapes) is None
