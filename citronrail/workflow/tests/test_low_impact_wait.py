"""Tests of how long best-effort steps wait for nearly full pace."""

import dataclasses

import pytest

from citronrail.workflow import _interference
from citronrail.workflow.tests import _fleet

STEP = dataclasses.replace(_fleet.REBUILD, task_count=3, estimate_s=4.4)
# Beside a serving task with a load of 0.6 a run gets two thirds of its pace.
TAIL_MS = 25.0


def _busy_fleet():
    """Return workers of which none allows nearly full pace."""
    fleet = _fleet.Fleet(workers=3)
    fleet.factors.restore(
        _interference.LearnedFactors(
            (('shop', 'heavy', 1.2, 0.001),), (('shop', 0.2),)
        ),
        fleet.now,
    )
    fleet.tail_ms = TAIL_MS
    serve = dataclasses.replace(_fleet.SERVE, task_count=3, max_per_worker=1)
    fleet.submit('serve', serve, priority=0)
    for _ in range(20):
        fleet.step()
    fleet.idle_jobs = None  # one task of a job would start in any case
    return fleet


@pytest.mark.parametrize('count', [1, 2], ids=['one step', 'two steps'])
def test_step_does_not_wait_until_its_job_is_late(count):
    """Guards against orders that wait 25 s for a pace that no worker allows.

    The tasks have to start while the job can still meet its objective.
    """
    fleet = _busy_fleet()
    steps = [STEP, dataclasses.replace(STEP, after=(0,))][:count]
    fleet.submit('order', *steps)
    first = fleet.state.jobs['order'].stages[0]
    # The objective is twice the critical path and a second.
    late_at = fleet.now + count * STEP.estimate_s + 1.0
    while fleet.now < late_at:
        fleet.step()
    assert all(task.last_run for task in first.tasks)
