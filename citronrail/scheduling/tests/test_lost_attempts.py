"""Tests of tasks whose attempts are lost with their workers."""

import pytest

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _attempt_changes as attempts
from citronrail.scheduling import _job_changes as jobs
from citronrail.scheduling import _shard_state as shards
from citronrail.scheduling.tests import _cluster

JOB = 'nightly'
TASK = specs.TaskId(JOB, 0)
SHORT_RUN_S = 0.5
LONG_RUN_S = 120.0
MAX_STARTS = 8


def _one_task_job():
    return jobs.submit_job(shards.ShardState(), _cluster.job(JOB, 1), 'c', 0.0)


def _lose_until_parked(state, run_s):
    """Start the task and lose it again.

    :returns: the shard, and the time from each loss to the next start.
    """
    delays = []
    now = 0.0
    for number in range(1, MAX_STARTS + 1):
        group = state.groups[JOB]
        if group.parked:
            break
        entry = group.waiting.get(0)
        start_at = max(now, entry.not_before if entry else 0.0)
        delays.append(start_at - now)
        node = identifiers.NodeId(f'node{number}')
        state = attempts.assign(
            state, [attempts.Assignment(TASK, node)], start_at
        )
        attempt = specs.AttemptId(TASK, number)
        state = attempts.confirm_started(state, attempt, start_at)
        now = start_at + run_s
        end = attempts.AttemptEnd(attempt, 'lost', reason='worker restarted')
        state = attempts.record_end(state, end, now)
    return state, delays


def test_task_that_loses_its_workers_is_parked():
    """Guards against a task that crashes one worker after another.

    The same fault as in issue 26, in the scheduler of jobs: lost attempts
    counted for nothing, so that the task was started again at once.
    """
    state, delays = _lose_until_parked(_one_task_job(), SHORT_RUN_S)
    assert state.groups[JOB].parked
    assert len(delays) == attempts.PARK_AFTER_LOSSES
    assert delays[:2] == [0.0, 0.0]  # a single loss delays nothing
    assert all(a < b for a, b in zip(delays[1:], delays[2:]))
    assert 'was lost with 5 workers in a row' in state.groups[JOB].reason


def test_task_that_runs_long_on_lost_workers_is_not_parked():
    """Guards against giving up long tasks because hosts fail every day."""
    state, delays = _lose_until_parked(_one_task_job(), LONG_RUN_S)
    assert not state.groups[JOB].parked
    assert delays == [0.0] * MAX_STARTS


@pytest.mark.parametrize('end', ['refused', 'checkpointed', 'stopped'])
def test_ends_that_are_not_losses_are_not_counted(end):
    """Guards against parking tasks that were moved or refused."""
    state = _one_task_job()
    for number in range(1, MAX_STARTS + 1):
        node = identifiers.NodeId('node')
        state = attempts.assign(state, [attempts.Assignment(TASK, node)], 0.0)
        attempt = specs.AttemptId(TASK, number)
        state = attempts.record_end(
            state, attempts.AttemptEnd(attempt, end), 0.0
        )
    assert state.groups[JOB].waiting[0].losses == 0
