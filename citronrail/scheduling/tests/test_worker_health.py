"""Tests of the detection of faulty workers and faulty jobs."""

import random

from hypothesis import given
from hypothesis import strategies as st

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _health_evidence as evidence
from citronrail.scheduling import _worker_health as worker_health

FAULTY = identifiers.NodeId('bad')


def _end(health, node, owner, index, succeeded, at=0.0):
    return worker_health.task_ended(
        health,
        evidence.TaskEnd(node, specs.TaskId(owner, index), succeeded, at),
    )


@given(
    owners=st.lists(st.sampled_from('abcd'), min_size=5, max_size=5),
    proved=st.sets(st.sampled_from('abcd')),
)
def test_worker_that_fails_all_tasks_is_suspended(owners, proved):
    """Guards against losing more than 5 tasks to a faulty worker."""
    health = evidence.HealthRecord()
    for owner in proved:
        health = _end(health, 'good', owner, 99, True)
    for index, owner in enumerate(owners):
        health = _end(health, FAULTY, owner, index, False)
    assert not worker_health.may_start(health, FAULTY, 1.0)
    assert FAULTY in worker_health.unhealthy_states(health)


@given(seed=st.integers(0, 2**32), spread=st.integers(3, 10))
def test_faulty_job_gets_no_worker_suspended(seed, spread):
    """Guards against a faulty job that gets healthy workers suspended."""
    rng = random.Random(seed)
    health = evidence.HealthRecord()
    workers = [identifiers.NodeId(f'w{i}') for i in range(spread)]
    index = 0
    while not worker_health.parked(health, 'bad'):
        task = specs.TaskId('bad', index)
        allowed = [
            node
            for node in workers
            if node not in worker_health.avoided_workers(health, task)
            and worker_health.may_start(health, node, index * 60.0)
        ]
        node = rng.choice(allowed)
        health = _end(health, node, 'bad', index, False, index * 60.0)
        if rng.random() < 0.5:
            health = _end(health, node, 'good', index, True, index * 60.0)
        index += 1
        assert index < 40
    assert worker_health.unhealthy_states(health) == {}


def test_probation_ends_after_successful_trials():
    """Guards against a repaired worker that stays on probation."""
    health = _end(evidence.HealthRecord(), 'good', 'a', 99, True)
    for index in range(3):
        health = _end(health, FAULTY, 'a', index, False, 10.0)
    assert not worker_health.may_start(health, FAULTY, 20.0)
    assert worker_health.may_start(health, FAULTY, 41.0)
    at = 41.0
    for index in (10, 11):
        task = specs.TaskId('a', index)
        assert worker_health.may_start(health, FAULTY, at)
        health = worker_health.task_started(health, FAULTY, task, at)
        assert not worker_health.may_start(health, FAULTY, at)
        at += 5.0
        health = _end(health, FAULTY, 'a', index, True, at)
    assert worker_health.unhealthy_states(health) == {}


def test_delay_of_trials_grows_with_each_failure():
    """Guards against a faulty worker that fails a task every 30 s."""
    health = _end(evidence.HealthRecord(), 'good', 'a', 99, True)
    for index in range(3):
        health = _end(health, FAULTY, 'a', index, False)
    at = 0.0
    gaps = []
    for index in range(10, 16):
        due = health.workers[FAULTY].trial_at
        gaps.append(due - at)
        at = due
        task = specs.TaskId('a', index)
        health = worker_health.task_started(health, FAULTY, task, at)
        health = _end(health, FAULTY, 'a', index, False, at)
    assert gaps == sorted(gaps)
    assert gaps[-1] <= health.settings.trial_after_max_s


def test_next_trial_may_start_after_an_abandoned_or_overdue_one():
    """Guards against a worker blocked by a trial without a result."""
    health = _end(evidence.HealthRecord(), 'good', 'a', 99, True)
    for index in range(3):
        health = _end(health, FAULTY, 'a', index, False)
    task = specs.TaskId('a', 10)
    in_trial = worker_health.task_started(health, FAULTY, task, 40.0)
    abandoned = worker_health.trial_abandoned(in_trial, FAULTY, task, 50.0)
    assert worker_health.may_start(abandoned, FAULTY, 50.0)
    limit = health.settings.trial_timeout_s
    assert worker_health.may_start(in_trial, FAULTY, 41.0 + limit)


def test_next_start_is_delayed_after_a_failure():
    """Guards against an idle faulty worker that attracts pending tasks."""
    health = evidence.HealthRecord()
    task = specs.TaskId('a', 0)
    health = worker_health.task_started(health, FAULTY, task, 0.0)
    health = _end(health, FAULTY, 'a', 0, False, 0.1)
    assert not worker_health.may_start(health, FAULTY, 0.5)
    assert worker_health.may_start(health, FAULTY, 1.0)
    assert worker_health.one_at_a_time(health, FAULTY)


def test_released_job_is_no_longer_parked():
    """Guards against a repaired job that stays parked."""
    health = evidence.HealthRecord()
    for index in range(3):
        health = _end(health, f'w{index}', 'bad', index, False)
    assert worker_health.parked(health, 'bad')
    health = worker_health.release_job(health, 'bad')
    assert not worker_health.parked(health, 'bad')
