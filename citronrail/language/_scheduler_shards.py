"""Fits the job scheduler to what commands need of it."""

import collections.abc
import typing

from citronrail import errors
from citronrail.language import _ports
from citronrail.language import _tables
from citronrail.model import identifiers
from citronrail.model import rows
from citronrail.model import specs

_STEP = 'language.shards'
# Tasks are cancelled by whole jobs, so a condition on tasks may only use what
# all tasks of a job have in common.
_JOB_FIELDS = frozenset({'job', 'team', 'work_class'})


class SchedulerResult(typing.Protocol):
    """Result of cancelling jobs."""

    @property
    def tasks(self) -> int:
        """Number of tasks that had not ended."""
        ...

    @property
    def failed(self) -> tuple[identifiers.RangeId, ...]:
        """Ranges in which the outcome is unknown or nothing changed."""
        ...


class Scheduler(typing.Protocol):
    """The part of the job scheduler that commands use."""

    async def submit(
        self, spec: specs.JobSpec, command_id: identifiers.CommandId
    ) -> identifiers.RangeId:
        """Add a job durably."""
        ...

    async def cancel(
        self,
        predicate: collections.abc.Callable[[specs.JobSpec], bool],
        command_id: identifiers.CommandId,
        reason: str = ...,
    ) -> SchedulerResult:
        """Cancel the matching jobs of all owned ranges."""
        ...

    def rows(self, kind: str) -> tuple[typing.Any, ...]:
        """Return a table of the owned shards."""
        ...

    def owned_ranges(self) -> tuple[identifiers.RangeId, ...]:
        """Return the ranges whose shards are loaded."""
        ...


class SchedulerShards:
    """Implements :class:`JobShards` by a job scheduler.

    :param scheduler: the scheduler of this entry.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler

    async def submit(
        self, spec: specs.JobSpec, command_id: identifiers.CommandId
    ) -> str:
        """Accept a job; see :class:`JobShards`."""
        range_id = await self._scheduler.submit(spec, command_id)
        return (
            f'job "{spec.job_id}" accepted with {spec.task_count} tasks '
            f'in range {range_id}'
        )

    async def cancel(
        self,
        kind: str,
        predicate: _ports.RowPredicate,
        command_id: identifiers.CommandId,
    ) -> _ports.Cancelled:
        """Cancel whole jobs; see :class:`JobShards`.

        :raises citronrail.errors.CommandRefused: if a condition on tasks
            uses columns in which the tasks of one job differ.
        """
        names = self._matching(kind, predicate)
        result = await self._scheduler.cancel(
            lambda spec: spec.job_id in names, command_id
        )
        return _ports.Cancelled(result.tasks, result.failed)

    def rows(self, kind: str) -> _ports.JobRows:
        """Return the rows of the owned shards; see :class:`JobShards`."""
        found = self._scheduler.rows(kind)
        if kind == 'jobs':
            return tuple(_job_row(row) for row in found)
        return tuple(_task_row(row) for row in found)

    def owned_ranges(self) -> tuple[identifiers.RangeId, ...]:
        """Return the ranges whose shards are loaded."""
        return self._scheduler.owned_ranges()

    def _matching(
        self, kind: str, predicate: _ports.RowPredicate
    ) -> frozenset[str]:
        jobs = [_job_row(row) for row in self._scheduler.rows('jobs')]
        if kind == 'jobs':
            return frozenset(row.job for row in jobs if predicate(row))
        other = predicate.fields - _JOB_FIELDS
        if other:
            raise errors.CommandRefused(
                f'tasks are cancelled by whole jobs, so "{min(other)}" can '
                f'not choose among them; use {", ".join(sorted(_JOB_FIELDS))}'
                f', or: cancel jobs where ...',
                step=_STEP,
            )
        return frozenset(
            row.job
            for row in jobs
            if predicate(
                rows.TaskRow('', row.job, row.team, row.work_class, '')
            )
        )


def _job_row(row: typing.Any) -> rows.JobRow:
    names = [column.name for column in _tables.job_columns()]
    return rows.JobRow(**{name: getattr(row, name) for name in names})


def _task_row(row: typing.Any) -> rows.TaskRow:
    return rows.TaskRow(
        task=row.task,
        job=row.owner,
        team=row.team,
        work_class=row.work_class,
        state=row.state,
        attempt=row.attempt,
        worker=row.node,
        since_at=row.since,
        checkpoint=row.checkpoint,
        reason=row.reason,
    )
