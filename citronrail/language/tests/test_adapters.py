"""Tests of the adapters between commands and other subsystems."""

import pytest

from citronrail import errors
from citronrail import language
from citronrail.language import _query
from citronrail.model import rows
from citronrail.model import settings as settings_model
from citronrail import scheduling

JOBS = tuple(
    rows.JobRow(name, team, 'c', state, tasks=3, submitted_at=5.0)
    for name, team, state in [
        ('a', 'h', 'active'),
        ('b', 'h', 'parked'),
        ('c', 'x', 'active'),
    ]
)
TASKS = (
    rows.TaskRow('a/1', 'a', 'h', 'c', 'running', 2, 'w1', 7.0),
    rows.TaskRow('a/2', 'a', 'h', 'c', 'pending'),
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

    async def cancel_tasks(self, predicate, command_id, reason=''):
        names = [row.task for row in TASKS if predicate(row)]
        self.cancelled.append(names)
        return scheduling.CancelResult(len(names), (4,))

    def iterate_rows(self, kind):
        return iter(JOBS if kind == 'jobs' else TASKS)

    def owned_ranges(self):
        return (3, 4)


def _predicate(text):
    command = language.parse(text)
    return _query.make_predicate(command.table, command.where)


async def test_conditions_select_jobs_or_single_tasks():
    """Guards against cancelling more than the condition selects."""
    scheduler = _Scheduler()
    shards = language.SchedulerShards(scheduler)
    assert tuple(shards.rows('tasks')) == TASKS
    for text, count in (
        ('cancel jobs where state = parked or team = x', 4),
        ('cancel tasks where team = h and job != b', 2),
        ('cancel tasks where state = running', 1),
        ('cancel tasks where state = pending', 1),
    ):
        kind = language.parse(text).table.value
        done = await shards.cancel(kind, _predicate(text), 'id')
        assert (done.count, done.failed) == (count, (4,))
    assert scheduler.cancelled == [
        ['b', 'c'],
        ['a/1', 'a/2'],
        ['a/1'],
        ['a/2'],
    ]


def test_policies_are_validated_before_they_are_stored():
    """Guards against stored policies that no process can build."""

    def build(policy):
        if policy.name != 'learned':
            raise ValueError('unknown policy')

    check = language.PolicyValidator({language.PolicyKind.PLACEMENT: build})
    good = settings_model.PolicySettings('learned', {'a': 1})
    check(language.PolicyKind.PLACEMENT, good)
    for bad in (
        settings_model.PolicySettings('other'),
        settings_model.PolicySettings('learned', {'a': 'x' * 1000}),
    ):
        with pytest.raises(errors.CommandRefused):
            check(language.PolicyKind.PLACEMENT, bad)
