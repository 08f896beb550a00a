"""Tests of a scheduler or agents that handle their messages late."""

import pytest
import trio

from citronrail.workflow.tests import _cluster
from standins import task_worker

JOBS = 4
TASKS = 5
WORK_S = 4.0
LAG_S = 2.0


def _set_lag(cluster, *, reports_s=0.0, orders_s=0.0) -> None:
    for entry in cluster.entries:
        for agent in cluster.agents:
            cluster.network.faults(agent, entry).lag_s = reports_s
            cluster.network.faults(entry, agent).lag_s = orders_s


@pytest.mark.parametrize(
    'lags',
    [
        {'reports_s': LAG_S},
        {'orders_s': LAG_S},
        {'reports_s': 1, 'orders_s': 1},
    ],
    ids=['reports', 'orders', 'both'],
)
async def test_late_messages_stop_no_running_work(
    lags, autojump_clock, nursery
):
    """Guards against stops of runs that an old list doesn't show yet.

    A busy scheduler took them for missing 1.2 s after their order, stopped
    them and started them again, which made it busier still (issue 34).
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=1, workers=3)
    cluster.default_plan = task_worker.TaskPlan(work_s=WORK_S)
    await cluster.start(nursery)
    await trio.sleep(3.0)
    _set_lag(cluster, **lags)
    jobs = [f'{number:016x}' for number in range(JOBS)]
    for job_id in jobs:
        await cluster.submit(
            job_id, _cluster.one_step(TASKS, estimate_s=WORK_S)
        )
    for job_id in jobs:
        await cluster.until_state(job_id, 'completed')
    starts = [len(record.starts) for record in cluster.history.tasks.values()]
    assert starts == [1] * (JOBS * TASKS)
    assert not cluster.history.violations
    nursery.cancel_scope.cancel()


async def test_late_messages_start_no_second_runs(autojump_clock, nursery):
    """Guards against second runs since agents wait for a late confirmation.

    Their lists are then 1.5 s apart. A worker that was silent for longer was
    taken for lost, so that each speculative task started twice.
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=1, workers=4)
    cluster.default_plan = task_worker.TaskPlan(work_s=WORK_S)
    await cluster.start(nursery)
    await trio.sleep(3.0)
    _set_lag(cluster, reports_s=1.0, orders_s=1.0)
    jobs = [f'{number:016x}' for number in range(JOBS)]
    for job_id in jobs:
        spec = _cluster.one_step(TASKS, estimate_s=WORK_S, speculative=True)
        await cluster.submit(job_id, spec)
    for job_id in jobs:
        await cluster.until_state(job_id, 'completed')
    starts = [len(record.starts) for record in cluster.history.tasks.values()]
    assert starts == [1] * (JOBS * TASKS)
    nursery.cancel_scope.cancel()
