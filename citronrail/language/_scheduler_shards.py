"""Adapts the job scheduler to the :class:`JobShards` interface."""

import collections.abc
import typing

from citronrail.language import _ports
from citronrail.model import identifiers
from citronrail.model import rows
from citronrail.model import specs


class SchedulerResult(typing.Protocol):
    """Result of cancelling jobs or tasks."""

    @property
    def tasks(self) -> int:
        """Number of tasks that were cancelled."""
        ...

    @property
    def failed(self) -> tuple[identifiers.RangeId, ...]:
        """Ranges where the outcome is unknown or nothing changed."""
        ...


class Scheduler(typing.Protocol):
    """Interface of the job scheduler that commands use."""

    async def submit(
        self, spec: specs.JobSpec, command_id: identifiers.CommandId
    ) -> identifiers.RangeId:
        """Store a job durably."""
        ...

    async def cancel(
        self,
        predicate: collections.abc.Callable[[specs.JobSpec], bool],
        command_id: identifiers.CommandId,
        reason: str = ...,
    ) -> SchedulerResult:
        """Cancel the matching jobs of all owned ranges."""
        ...

    async def cancel_tasks(
        self,
        predicate: collections.abc.Callable[[rows.TaskRow], bool],
        command_id: identifiers.CommandId,
        reason: str = ...,
    ) -> SchedulerResult:
        """Cancel the matching tasks of all owned ranges."""
        ...

    def iterate_rows(
        self, kind: str
    ) -> collections.abc.Iterator[rows.JobRow | rows.TaskRow]:
        """Iterate over a table of the owned shards."""
        ...

    def owned_ranges(self) -> tuple[identifiers.RangeId, ...]:
        """Return the ranges whose shards are loaded."""
        ...


class SchedulerShards:
    """Implements :class:`JobShards` with a job scheduler.

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
    ) -> _ports.CancelOutcome:
        """Cancel jobs or single tasks; see :class:`JobShards`."""
        if kind == 'tasks':
            result = await self._scheduler.cancel_tasks(predicate, command_id)
        else:
            names = frozenset(
                row.job
                for row in self._scheduler.iterate_rows('jobs')
                if predicate(row)
            )
            result = await self._scheduler.cancel(
                lambda spec: spec.job_id in names, command_id
            )
        return _ports.CancelOutcome(result.tasks, result.failed)

    def rows(self, kind: str) -> _ports.JobRows:
        """Iterate over rows of the owned shards; see :class:`JobShards`."""
        return self._scheduler.iterate_rows(kind)

    def owned_ranges(self) -> tuple[identifiers.RangeId, ...]:
        """Return the ranges whose shards are loaded."""
        return self._scheduler.owned_ranges()
