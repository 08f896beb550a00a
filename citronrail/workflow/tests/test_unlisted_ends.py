"""Tests of workers that hold more ends than a list shows."""

import trio

from citronrail.model import messages
from citronrail.workflow.tests import _cluster
from citronrail.workflow.tests import _fleet
from standins import task_worker

JOB = 'd' * 16


def test_run_in_neither_list_may_have_ended():
    """Guards against a second run of a task whose end is not listed (TWICE).

    The stop of the run was confirmed, as it is for a run that has ended.
    """
    fleet = _fleet.Fleet()
    fleet.submit(JOB, _cluster.one_step(3).steps[0])
    fleet.place()
    view = fleet.state.workers['a0']
    keys = list(view.attempts)
    report = messages.WorkerReport(
        _fleet.TOKEN,
        fleet.lives[0],
        int(fleet.now * 1000) + 1,
        ended=(messages.EndRow(1, *keys[0], 'done', ''),),
        stopped=(messages.TaskRun(*keys[1]),),
        settled=9,
        has_more_ends=True,
    )
    fleet.reports.take('a0', report, fleet.now, 0.0)
    assert list(view.attempts) == keys[1:]
    assert all(a.missing_from_ms is None for a in view.attempts.values())


async def test_tasks_run_once_while_ends_wait_for_a_commit(
    autojump_clock, nursery
):
    """Guards against tasks that are done and run again (TWICE).

    More ends than a list shows wait while the store doesn't answer, so that
    the worker returns the same ones again.
    """
    cluster = _cluster.SimulatedCluster(seed=1, entries=1, workers=2)
    cluster.default_plan = task_worker.TaskPlan(work_s=3.0)
    for worker in cluster.workers:
        worker.max_listed_ends = 5
    await cluster.start(nursery)
    await cluster.submit(JOB, _cluster.one_step(60))
    await cluster.until(
        lambda: any(r.done_at for r in cluster.history.tasks.values())
    )
    cluster.store.set_faults(outage=True, pause_leases=True)
    await trio.sleep(1.2)
    cluster.store.set_faults(outage=False)
    await cluster.until_state(JOB, 'completed')
    assert cluster.history.violations == []
    assert [len(r.starts) for r in cluster.history.tasks.values()] == [1] * 60
    nursery.cancel_scope.cancel()
