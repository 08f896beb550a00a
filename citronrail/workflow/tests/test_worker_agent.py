"""Tests of the agent's calls to its worker."""

import trio

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
