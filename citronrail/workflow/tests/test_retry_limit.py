"""Tests of the limit on failed runs of a task."""

import msgspec
import pytest
import trio

from citronrail.model import workflows
from citronrail import ports
from citronrail.workflow.tests import _cluster
from standins import task_worker

JOB = '00000000000000b1'


@pytest.mark.parametrize(
    'new_leader', [False, True], ids=['same scheduler', 'another scheduler']
)
async def test_limit_holds_once_the_queue_is_removed(
    autojump_clock, nursery, new_leader
):
    """Guards against a task that fails again and again (BUDGET).

    The queue of its job is removed from the configuration meanwhile.
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=2, workers=2)
    cluster.default_plan = task_worker.TaskPlan(work_s=0.5, fails=99)
    await cluster.start(nursery)
    await cluster.submit(JOB, _cluster.one_step())
    await cluster.until(lambda: cluster.history.failures)
    config = workflows.OperatorConfig(
        version=2, queues=(_cluster.BATCH_QUEUE,)
    )
    await cluster.store.txn(
        [], [ports.Put(_cluster.CONFIG_KEY, msgspec.msgpack.encode(config))]
    )
    if new_leader:
        await trio.sleep(0.2)
        cluster.kill_entry(cluster.leader.name)
    await cluster.until_state(JOB, 'failed')
    (record,) = cluster.history.tasks.values()
    assert len(record.starts) == _cluster.QUEUE.max_attempts
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()
