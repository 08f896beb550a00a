"""Tests of the order of jobs whose declared run times are wrong."""

import dataclasses

import pytest

from citronrail.model import load_settings
from citronrail.workflow.tests import _fleet

STEP = dataclasses.replace(_fleet.REBUILD, estimate_s=1.5)
SETTINGS = load_settings.LoadSettings(observed_run_times=True)


@pytest.mark.parametrize(
    ('load', 'first'),
    [(SETTINGS, 'begun'), (load_settings.OFF, 'new')],
    ids=['observed', 'declared'],
)
def test_begun_job_with_too_short_estimates_keeps_its_turn(load, first):
    """Guards against half-done jobs that wait as late while new ones start.

    Its objective by the declared times is over when its first step ends; by
    the observed one it can still meet it.
    """
    fleet = _fleet.Fleet(load=load, memory_mb=STEP.memory_mb)
    fleet.run_time_ratio = 4.0
    second = dataclasses.replace(STEP, after=(0,))
    fleet.submit('begun', STEP, second)
    fleet.place()
    for _ in range(11):
        fleet.step()
    fleet.submit('new', dataclasses.replace(STEP, estimate_s=12.0))
    while fleet.state.jobs['begun'].stages[0].done_count == 0:
        fleet.step()
    starting = [
        attempt.task.stage.job.job_id
        for view in fleet.state.workers.values()
        for attempt in view.attempts.values()
    ]
    assert starting == [first]
