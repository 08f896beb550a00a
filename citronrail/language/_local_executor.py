"""Executes commands and queries on the ranges that this entry owns."""

import collections.abc
import itertools

import trio

from citronrail import errors
from citronrail.language import _local_rows
from citronrail.language import _metrics
from citronrail.language import _nodes
from citronrail.language import _ports
from citronrail.language import _query
from citronrail.language import _validation
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import ranges

_STEP = 'language.shards'
# Rows evaluated between two Trio checkpoints: about 0.1 ms, so that requests
# in the same process are not delayed.
ROWS_PER_CHECKPOINT = 200


class NotOwner(errors.CommandRefused):
    """Raised if this entry doesn't own the range of the job."""


class LocalExecutor:
    """Executes the part of commands and queries that concerns this entry.

    :param shards: the job shards that this entry owns.
    :param views: other state known to this entry.
    """

    def __init__(
        self,
        shards: _ports.JobShards,
        views: _local_rows.Views,
    ) -> None:
        self._shards = shards
        self._views = views

    async def run_command(
        self, command: _nodes.JobCommand, command_id: identifiers.CommandId
    ) -> messages.CommandReply:
        """Execute a command on the jobs that this entry owns.

        :param command: the command.
        :param command_id: id of the command, the same for all its retries.
        :returns: ``done``, with the ranges it was applied to.
        :raises NotOwner: if the job belongs to another entry.
        :raises citronrail.errors.CitronrailError: if it was refused or its
            outcome is unknown, as given by ``outcome``.
        """
        owned_before = set(self._shards.owned_ranges())
        cancelled = _ports.CancelOutcome(0)
        match command:
            case _nodes.StartJob(spec):
                self._check_owner(spec.job_id, owned_before)
                message = await self._shards.submit(spec, command_id)
            case _nodes.StopJob(name):
                self._check_owner(name, owned_before)
                cancelled = await self._cancel(_cancel_job(name), command_id)
                message = self._stop_message(name, cancelled)
            case _nodes.Cancel():
                cancelled = await self._cancel(command, command_id)
                message = f'{cancelled.count} tasks cancelled'
        still_owned = owned_before & set(self._shards.owned_ranges())
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.DONE,
            message,
            ranges=tuple(sorted(still_owned - set(cancelled.failed))),
            count=cancelled.count,
        )

    async def _cancel(
        self, command: _nodes.Cancel, command_id: identifiers.CommandId
    ) -> _ports.CancelOutcome:
        cancelled = await self._shards.cancel(
            command.table.value,
            _query.make_predicate(command.table, command.where),
            command_id,
        )
        _metrics.CANCELLED.inc(cancelled.count)
        return cancelled

    async def run_query(
        self,
        show: _nodes.Show,
        command_id: identifiers.CommandId,
        context: _validation.ValidationContext,
    ) -> messages.CommandReply:
        """Evaluate a query on the state of this entry.

        :param show: the query.
        :param command_id: id of the query.
        :param context: names known to this entry.
        :returns: the rows, with the ranges they come from.
        :raises citronrail.errors.CommandRefused: if a column is invalid.
        """
        _query.check(show)
        owned = self._shards.owned_ranges()
        match show.table:
            case _nodes.TableName.TASKS | _nodes.TableName.JOBS:
                rows: collections.abc.Iterable[object] = self._shards.rows(
                    show.table.value
                )
            case _:
                rows = _local_rows.local_rows(
                    show.table, self._views, context, trio.current_time()
                )
        matches = _query.make_predicate(show.table, show.where)
        summary = _query.Summary(show)
        remaining = iter(rows)
        while batch := tuple(itertools.islice(remaining, ROWS_PER_CHECKPOINT)):
            summary.add(row for row in batch if matches(row))
            await trio.lowlevel.checkpoint()
        result = summary.result()
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.DONE,
            columns=result.columns,
            rows=result.rows,
            more=result.more,
            ranges=tuple(owned),
        )

    def _check_owner(self, name: str, owned: set[identifiers.RangeId]) -> None:
        range_id = ranges.range_of(name)
        if range_id not in owned:
            raise NotOwner(
                f'this entry does not own range {range_id} of job "{name}"',
                step=_STEP,
            )

    def _stop_message(self, name: str, cancelled: _ports.CancelOutcome) -> str:
        range_id = ranges.range_of(name)
        if range_id in cancelled.failed:
            raise errors.StoreOutcomeUnknown(
                f'range {range_id} may or may not have cancelled it',
                step=_STEP,
            )
        if cancelled.count:
            return f'job "{name}" stopped, {cancelled.count} tasks cancelled'
        known = {getattr(row, 'job', '') for row in self._shards.rows('jobs')}
        if name not in known:
            raise errors.CommandRefused(
                f'there is no job "{name}"'
                f'{_validation.suggest_names(name, known)}',
                step=_STEP,
            )
        return f'job "{name}" had ended already'


def _cancel_job(name: str) -> _nodes.Cancel:
    return _nodes.Cancel(
        _nodes.TableName.JOBS,
        _nodes.Comparison('job', _nodes.Operator.EQUAL, name),
    )
