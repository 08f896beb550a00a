"""Guards the fit between commands and the other subsystems."""

import pytest

from citronrail import errors
from citronrail import language
from citronrail.language import _query
from citronrail.model import rows
from citronrail.model import settings as settings_model
from citronrail import scheduling

JOBS = tuple(
    scheduling.JobRow(
        name, team, 'c', 'normal', state, 3, 1, 1, 1, 0, 0, 0, 5.0, None, ''
    )
    for name, team, state in [
        ('a', 'h', 'active'),
        ('b', 'h', 'parked'),
        ('c', 'x', 'active'),
    ]
)
TASK = scheduling.TaskRow(
    'a/1', 2, 'a', 'h', 'c', 'w1', 'running', 7.0, '', ''
)


class _Scheduler:
    def __init__(self):
        self.cancelled = []

    async def submit(self, spec, command_id):
        return 3

    async def cancel(self, predicate, command_id, reason=''):
        class Spec:
            def __init__(self, job_id):
                self.job_id = job_id

        names = [row.job for row in JOBS if predicate(Spec(row.job))]
        self.cancelled.append(names)
        return scheduling.CancelResult(len(names) * 2, (4,))

    def rows(self, kind):
        return JOBS if kind == 'jobs' else (TASK,)

    def owned_ranges(self):
        return (3, 4)


def _predicate(text):
    command = language.parse(text)
    return _query.predicate(command.table, command.where)


async def test_scheduler_rows_become_columns():
    """Guards against a column that the scheduler no longer fills."""
    shards = language.SchedulerShards(_Scheduler())
    assert shards.rows('jobs')[0] == rows.JobRow(
        'a', 'h', 'c', 'active', 'normal', 3, 1, 1, 1, submitted_at=5.0
    )
    assert shards.rows('tasks') == (
        rows.TaskRow('a/1', 'a', 'h', 'c', 'running', 2, 'w1', 7.0),
    )


async def test_conditions_choose_whole_jobs():
    """Guards against cancelling more than the condition says."""
    scheduler = _Scheduler()
    shards = language.SchedulerShards(scheduler)
    for text in (
        'cancel jobs where state = parked or team = x',
        'cancel tasks where team = h and job != b',
    ):
        kind = language.parse(text).table.value
        done = await shards.cancel(kind, _predicate(text), 'id')
        assert done.failed == (4,)
    assert scheduler.cancelled == [['b', 'c'], ['a']]
    with pytest.raises(errors.CommandRefused, match='"state"'):
        await shards.cancel(
            'tasks', _predicate('cancel tasks where state = running'), 'id'
        )


def test_policies_are_tried_before_they_are_stored():
    """Guards against settings that no process can carry out."""

    def build(policy):
        if policy.name != 'learned':
            raise ValueError('unknown policy')

    check = language.PolicyChecks({language.PolicyKind.PLACEMENT: build})
    good = settings_model.PolicySettings('learned', {'a': 1})
    check(language.PolicyKind.PLACEMENT, good)
    for bad in (
        settings_model.PolicySettings('other'),
        settings_model.PolicySettings('learned', {'a': 'x' * 1000}),
    ):
        with pytest.raises(errors.CommandRefused):
            check(language.PolicyKind.PLACEMENT, bad)
