"""Tests of the detection of failing workers and bad jobs."""

import random

from hypothesis import given
from hypothesis import strategies as st

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _health_evidence as evidence
from citronrail.scheduling import _worker_health as worker_health

BAD = identifiers.NodeId('bad')


def _end(health, node, owner, index, succeeded, at=0.0):
    return worker_health.task_ended(
        health,
        evidence.TaskEnd(node, specs.TaskId(owner, index), succeeded, at),
    )


@given(
    owners=st.lists(st.sampled_from('abcd'), min_size=5, max_size=5),
    proved=st.sets(st.sampled_from('abcd')),
)
def test_worker_that_fails_everything_is_found(owners, proved):
    """Guards against more than 5 tasks lost to a broken worker."""
    health = evidence.HealthRecord()
    for owner in proved:
        health = _end(health, 'good', owner, 99, True)
    for index, owner in enumerate(owners):
        health = _end(health, BAD, owner, index, False)
    assert not worker_health.may_start(health, BAD, 1.0)
    assert BAD in worker_health.states(health)


@given(seed=st.integers(0, 2**32), spread=st.integers(3, 10))
def test_bad_job_condemns_no_worker(seed, spread):
    """Guards against a bad job that takes good workers out."""
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
    assert worker_health.states(health) == {}


def test_probation_ends_after_successful_trials():
    """Guards against a repaired worker that stays out for ever."""
    health = _end(evidence.HealthRecord(), 'good', 'a', 99, True)
    for index in range(3):
        health = _end(health, BAD, 'a', index, False, 10.0)
    assert not worker_health.may_start(health, BAD, 20.0)
    assert worker_health.may_start(health, BAD, 41.0)
    at = 41.0
    for index in (10, 11):
        task = specs.TaskId('a', index)
        assert worker_health.may_start(health, BAD, at)
        health = worker_health.task_started(health, BAD, task, at)
        assert not worker_health.may_start(health, BAD, at)
        at += 5.0
        health = _end(health, BAD, 'a', index, True, at)
    assert worker_health.states(health) == {}


def test_failed_trials_come_more_and_more_rarely():
    """Guards against a broken worker that eats a task each half minute."""
    health = _end(evidence.HealthRecord(), 'good', 'a', 99, True)
    for index in range(3):
        health = _end(health, BAD, 'a', index, False)
    at = 0.0
    gaps = []
    for index in range(10, 16):
        due = health.workers[BAD].trial_at
        gaps.append(due - at)
        at = due
        task = specs.TaskId('a', index)
        health = worker_health.task_started(health, BAD, task, at)
        health = _end(health, BAD, 'a', index, False, at)
    assert gaps == sorted(gaps)
    assert gaps[-1] <= health.settings.trial_after_max_s


def test_abandoned_and_overdue_trials_make_room_for_the_next():
    """Guards against a worker kept out by a trial that never ends."""
    health = _end(evidence.HealthRecord(), 'good', 'a', 99, True)
    for index in range(3):
        health = _end(health, BAD, 'a', index, False)
    task = specs.TaskId('a', 10)
    trying = worker_health.task_started(health, BAD, task, 40.0)
    stopped = worker_health.trial_abandoned(trying, BAD, task, 50.0)
    assert worker_health.may_start(stopped, BAD, 50.0)
    limit = health.settings.trial_timeout_s
    assert worker_health.may_start(trying, BAD, 41.0 + limit)


def test_fast_failures_slow_the_next_start():
    """Guards against an empty failing worker that attracts the queue."""
    health = evidence.HealthRecord()
    task = specs.TaskId('a', 0)
    health = worker_health.task_started(health, BAD, task, 0.0)
    health = _end(health, BAD, 'a', 0, False, 0.1)
    assert not worker_health.may_start(health, BAD, 0.5)
    assert worker_health.may_start(health, BAD, 1.0)
    assert worker_health.one_at_a_time(health, BAD)


def test_released_job_starts_anew():
    """Guards against a repaired job that stays parked."""
    health = evidence.HealthRecord()
    for index in range(3):
        health = _end(health, f'w{index}', 'bad', index, False)
    assert worker_health.parked(health, 'bad')
    health = worker_health.release_job(health, 'bad')
    assert not worker_health.parked(health, 'bad')
