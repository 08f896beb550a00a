"""Carries out commands and queries on what this entry itself owns."""

import collections.abc
import itertools

import trio

from citronrail import errors
from citronrail.language import _facts
from citronrail.language import _local_rows
from citronrail.language import _metrics
from citronrail.language import _nodes
from citronrail.language import _ports
from citronrail.language import _query
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import ranges

_STEP = 'language.shards'
# Rows tested between two checkpoints: about 0.1 ms, so that requests in the
# same process are not held up.
ROWS_AT_A_TIME = 200


class NotOwner(errors.CommandRefused):
    """This entry doesn't own the range of the job."""


class ShardCommands:
    """The part of commands and queries that one entry answers.

    :param shards: the job shards that this entry owns.
    :param views: what this entry knows besides.
    """

    def __init__(
        self,
        shards: _ports.JobShards,
        views: _local_rows.Views,
    ) -> None:
        self._shards = shards
        self._views = views

    async def carry_out(
        self, command: _nodes.JobCommand, command_id: identifiers.CommandId
    ) -> messages.CommandReply:
        """Carry out a command on the jobs that this entry owns.

        :param command: the command.
        :param command_id: identity of the command, equal for its retries.
        :returns: ``done``, with the ranges it applies to.
        :raises NotOwner: if the job belongs to another entry.
        :raises citronrail.errors.CitronrailError: if it was refused or its
            effect is unknown, as told by ``outcome``.
        """
        before = set(self._shards.owned_ranges())
        done = _ports.Cancelled(0)
        match command:
            case _nodes.StartJob(spec):
                self._check_owner(spec.job_id, before)
                message = await self._shards.submit(spec, command_id)
            case _nodes.StopJob(name):
                self._check_owner(name, before)
                done = await self._cancel(_named(name), command_id)
                message = self._stopped(name, done)
            case _nodes.Cancel():
                done = await self._cancel(command, command_id)
                message = f'{done.count} tasks cancelled'
        held = before & set(self._shards.owned_ranges())
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.DONE,
            message,
            ranges=tuple(sorted(held - set(done.failed))),
            count=done.count,
        )

    async def _cancel(
        self, command: _nodes.Cancel, command_id: identifiers.CommandId
    ) -> _ports.Cancelled:
        done = await self._shards.cancel(
            command.table.value,
            _query.predicate(command.table, command.where),
            command_id,
        )
        _metrics.CANCELLED.inc(done.count)
        return done

    async def answer(
        self,
        show: _nodes.Show,
        command_id: identifiers.CommandId,
        facts: _facts.Facts,
    ) -> messages.CommandReply:
        """Answer a query from what this entry owns and knows.

        :param show: the query.
        :param command_id: identity of the query.
        :param facts: names that this entry knows.
        :returns: its rows, with the ranges they come from.
        :raises citronrail.errors.CommandRefused: if a column is wrong.
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
                    show.table, self._views, facts, trio.current_time()
                )
        met = _query.predicate(show.table, show.where)
        summary = _query.Summary(show)
        remaining = iter(rows)
        while part := tuple(itertools.islice(remaining, ROWS_AT_A_TIME)):
            summary.add(row for row in part if met(row))
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

    def _stopped(self, name: str, done: _ports.Cancelled) -> str:
        range_id = ranges.range_of(name)
        if range_id in done.failed:
            raise errors.StoreOutcomeUnknown(
                f'range {range_id} may or may not have cancelled it',
                step=_STEP,
            )
        if done.count:
            return f'job "{name}" stopped, {done.count} tasks cancelled'
        known = {getattr(row, 'job', '') for row in self._shards.rows('jobs')}
        if name not in known:
            raise errors.CommandRefused(
                f'there is no job "{name}"{_facts.near_miss(name, known)}',
                step=_STEP,
            )
        return f'job "{name}" had ended already'


def _named(name: str) -> _nodes.Cancel:
    return _nodes.Cancel(
        _nodes.TableName.JOBS,
        _nodes.Comparison('job', _nodes.Operator.EQUAL, name),
    )
