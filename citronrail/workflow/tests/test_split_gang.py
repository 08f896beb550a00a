"""Tests of gangs of which some members have no run."""

import dataclasses

import pytest

from citronrail.workflow import _round
from citronrail.workflow.tests import _fleet

GANG = dataclasses.replace(
    _fleet.REBUILD, fills=False, gang=True, task_count=3, estimate_s=100.0
)


def _gang_fleet() -> tuple[_fleet.Fleet, list]:
    fleet = _fleet.Fleet(workers=3)
    fleet.submit('gang', dataclasses.replace(GANG, max_per_worker=1))
    fleet.step()
    return fleet, fleet.state.jobs['gang'].stages[0].tasks


@pytest.mark.parametrize('listed', [True, False], ids=['listed', 'unlisted'])
def test_gang_with_a_refused_member_starts_again_in_time(listed):
    """Guards against members that wait for one whose start was refused.

    Without a stop they wait for gangTimeoutMs, 3 to 5 s, and end `alone`
    (GANG); meanwhile nothing works for the job (LOST).
    """
    fleet, tasks = _gang_fleet()
    if listed:
        fleet.step(0.25)
    (attempt,) = tasks[1].attempts
    fleet.state.remove_run(attempt)
    tasks[1].retry_at = fleet.now + 0.3
    refused_at = fleet.now
    while any(task.last_run < 2 for task in tasks):
        assert fleet.now - refused_at < 2.5
        fleet.step(0.25)
    assert all(len(task.attempts) == 1 for task in tasks)


def test_members_that_end_one_after_the_other_are_not_stopped():
    """Guards against stops of members whose ends are about to be listed."""
    fleet, tasks = _gang_fleet()
    fleet.step()
    for task in tasks:
        (attempt,) = task.attempts
        fleet.state.remove_run(attempt)
        fleet.supervisor.run(fleet.now)
        fleet.now += 0.2
    assert not fleet.stopping()


@pytest.mark.parametrize(
    'condition',
    [
        {'held_until': 1000.0},
        {'avoid_until': 1000.0},
        {'held_until': 1000.0, 'avoid_until': 1000.0},
    ],
    ids=['held', 'avoided', 'both'],
)
def test_gang_starts_where_workers_are_held_or_avoided(condition):
    """Guards against a gang with nothing running while there is room."""
    fleet = _fleet.Fleet(workers=3)
    for view in fleet.state.workers.values():
        for name, value in condition.items():
            setattr(view, name, value)
    fleet.submit('gang', GANG)
    tasks = fleet.state.jobs['gang'].stages[0].tasks
    tasks[1].last_run, tasks[1].checkpoint = 2, 'saved'
    for _ in range(8):
        fleet.step(0.25)
    for view in fleet.state.workers.values():
        assert not _round.remaining_capacity(view).overcommitted
    assert [len(task.attempts) for task in tasks] == [1, 1, 1]
    assert {task.last_run for task in tasks} == {3}
    assert not any(task.attempts[0].from_start for task in tasks)
