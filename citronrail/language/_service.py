"""Carries out commands of operators and answers their queries."""

import collections.abc
import dataclasses
import time

import trio

from citronrail import errors
from citronrail.language import _changes
from citronrail.language import _checks
from citronrail.language import _facts
from citronrail.language import _format
from citronrail.language import _forwarder
from citronrail.language import _local_rows
from citronrail.language import _metrics
from citronrail.language import _nodes
from citronrail.language import _owners
from citronrail.language import _parser
from citronrail.language import _ports
from citronrail.language import _query
from citronrail.language import _receiver
from citronrail.language import _results
from citronrail.language import _shard_commands
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import ranges
from citronrail import observability
from citronrail.observability.catalogue import language as events
from citronrail import ports

_STEP = 'language.execute'
MAX_COMMAND_ID_CHARACTERS = 100
MAX_AT_ONCE = 64
MAX_LOGGED_CHARACTERS = 300
# A query is answered without the entries that stay silent for longer.
MAX_QUERY_S = 5.0
FACTS_INTERVAL_S = 60.0
_EMITTED = {
    outcomes.Outcome.DONE: events.COMMAND_DONE,
    outcomes.Outcome.NOT_RUN: events.COMMAND_NOT_RUN,
    outcomes.Outcome.UNKNOWN: events.COMMAND_UNKNOWN,
}
_GATHERED = frozenset(
    {
        _nodes.TableName.TASKS,
        _nodes.TableName.JOBS,
        _nodes.TableName.REQUESTS,
    }
)
_Run = collections.abc.Callable[
    [], collections.abc.Awaitable[messages.CommandReply]
]


class CommandService:
    """Executes commands, each command id at most once.

    :param hub: connections to the peers.
    :param writer: writes the configuration.
    :param shards: the job shards that this entry owns.
    :param directory: tells which entry owns which range.
    :param views: what this entry knows, for queries.
    :param facts: gives the names and sizes known at the moment.
    :param wall_clock: gives Unix time in seconds.
    :param max_at_once: commands and queries in progress at most.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        writer: _ports.SettingsWriter,
        shards: _ports.JobShards,
        directory: _ports.RangeDirectory,
        views: _local_rows.Views,
        facts: _facts.FactsSource,
        wall_clock: collections.abc.Callable[[], float] = time.time,
        max_at_once: int = MAX_AT_ONCE,
    ) -> None:
        self._writer = writer
        self._views = views
        self._facts = facts
        self._max_at_once = max_at_once
        self._own = _shard_commands.ShardCommands(shards, views)
        forwarder = _forwarder.Forwarder(hub, wall_clock)
        self._owners = _owners.Owners(hub, forwarder, directory)
        self._receiver = _receiver.Receiver(hub, self._own, self._facts)
        self._results = _results.Results()
        self._in_progress = 0
        self._idle = trio.Event()
        self._draining = False

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Carry out the commands that other entries forward."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._receiver.run)
            task_status.started()
            while True:
                # Keeps the names of workers that go silent between commands.
                self._facts()
                await trio.sleep(FACTS_INTERVAL_S)

    async def drain(self) -> None:
        """Refuse new commands and wait for those in progress."""
        self._draining = True
        while self._in_progress:
            self._idle = trio.Event()
            await self._idle.wait()
        await self._receiver.drain()

    async def execute(
        self, command_id: identifiers.CommandId, text: str, deadline: float
    ) -> messages.CommandReply:
        """Carry out one command or answer one query.

        :param command_id: chosen by the operator's tool; a repeated id gives
            the earlier result.
        :param text: one command in the operators' language.
        :param deadline: local time at which to give up.
        :returns: the outcome ``done``, ``not run`` or ``unknown`` with a
            message, the settings version and, for queries, a table.
        """
        began = trio.current_time()
        kind = 'unreadable'
        self._in_progress += 1
        _metrics.IN_PROGRESS.inc()
        try:
            self._admit(command_id)
            command = _parser.parse(text)
            kind = type(command).__name__
            reply = await self._execute(command_id, command, deadline)
        except errors.CitronrailError as exc:
            reply = messages.CommandReply(command_id, exc.outcome, exc.message)
        finally:
            self._in_progress -= 1
            _metrics.IN_PROGRESS.dec()
            if not self._in_progress:
                self._idle.set()
        _metrics.COMMANDS.labels(kind, reply.outcome.value).inc()
        _metrics.COMMAND_SECONDS.labels(kind).observe(
            trio.current_time() - began
        )
        return self._finish(command_id, kind, reply)

    def _finish(
        self,
        command_id: identifiers.CommandId,
        kind: str,
        reply: messages.CommandReply,
    ) -> messages.CommandReply:
        if kind != _nodes.Show.__name__:
            observability.emit(
                _EMITTED[reply.outcome],
                cause=command_id,
                command_id=command_id,
                message=reply.message[:MAX_LOGGED_CHARACTERS],
            )
        version = reply.settings_version or self._views.settings.version
        return dataclasses.replace(
            reply, command_id=command_id, settings_version=version, ranges=()
        )

    def _admit(self, command_id: identifiers.CommandId) -> None:
        if (
            not 1 <= len(command_id) <= MAX_COMMAND_ID_CHARACTERS
            or not command_id.isascii()
            or not command_id.isprintable()
        ):
            raise errors.CommandRefused(
                f'a command id has 1 to {MAX_COMMAND_ID_CHARACTERS} printable '
                f'ASCII characters',
                step=_STEP,
            )
        if self._draining:
            raise errors.CommandRefused(
                'this entry is about to stop; ask another one', step=_STEP
            )
        if self._in_progress > self._max_at_once:
            raise errors.CommandRefused(
                f'{self._max_at_once} commands are being carried out already; '
                f'try again',
                step=_STEP,
            )

    async def _execute(
        self,
        command_id: identifiers.CommandId,
        command: _nodes.Command,
        deadline: float,
    ) -> messages.CommandReply:
        text = _format.format(command)
        if isinstance(command, _nodes.Show):
            return await self._query(command_id, command, deadline)
        observability.emit(
            events.COMMAND_RECEIVED,
            cause=command_id,
            command_id=command_id,
            text=text[:MAX_LOGGED_CHARACTERS],
        )
        run = self._runner(command_id, command, deadline)
        return await self._results.once(command_id, text, deadline, run)

    def _runner(
        self,
        command_id: identifiers.CommandId,
        command: _nodes.Change,
        deadline: float,
    ) -> _Run:
        """Return what carries out a change and always gives a reply."""

        async def run() -> messages.CommandReply:
            try:
                return await self._change(command_id, command, deadline)
            except errors.CitronrailError as exc:
                return messages.CommandReply(
                    command_id, exc.outcome, exc.message
                )

        return run

    async def _change(
        self,
        command_id: identifiers.CommandId,
        command: _nodes.Change,
        deadline: float,
    ) -> messages.CommandReply:
        match command:
            case _nodes.StartJob(spec):
                self._check_version(command)
                _checks.check_job(self._views.settings, self._facts(), spec)
                return await self._at_owner(
                    spec.job_id, command, command_id, deadline
                )
            case _nodes.StopJob(name):
                self._check_version(command)
                return await self._at_owner(
                    name, command, command_id, deadline
                )
            case _nodes.Cancel(table, where):
                self._check_version(command)
                _query.predicate(table, where)
                return await self._owners.at_all(
                    command,
                    command_id,
                    deadline,
                    lambda: self._own.carry_out(command, command_id),
                )
            case _:
                return await self._configure(command_id, command, deadline)

    async def _at_owner(
        self,
        name: str,
        command: _nodes.StartJob | _nodes.StopJob,
        command_id: identifiers.CommandId,
        deadline: float,
    ) -> messages.CommandReply:
        return await self._owners.at_owner(
            ranges.range_of(name),
            command,
            command_id,
            deadline,
            lambda: self._own.carry_out(command, command_id),
        )

    def _check_version(self, command: _nodes.JobCommand) -> None:
        version = self._views.settings.version
        expected = command.expected_version
        if expected is not None and expected != version:
            raise errors.CommandRefused(
                f'the settings have version {version}, not {expected}',
                step=_STEP,
            )

    async def _configure(
        self,
        command_id: identifiers.CommandId,
        command: _nodes.SettingsCommand,
        deadline: float,
    ) -> messages.CommandReply:
        facts = self._facts()
        seen_version = self._views.settings.version
        text = _format.without_version(command)
        while True:
            try:
                applied = await self._writer.apply(
                    command_id,
                    lambda settings: _changes.changed(
                        settings, command, facts, seen_version
                    ),
                    text,
                    deadline=deadline,
                )
            except errors.CommandConflict:
                # The writer refuses every write that came between its own
                # read and write. Only one on the same object is a conflict,
                # which the change itself finds when it is tried again.
                if trio.current_time() >= deadline:
                    raise
                await trio.lowlevel.checkpoint()
                continue
            return messages.CommandReply(
                command_id,
                outcomes.Outcome.DONE,
                f'{applied.message}: in settings version {applied.version}',
                applied.version,
            )

    async def _query(
        self,
        command_id: identifiers.CommandId,
        show: _nodes.Show,
        deadline: float,
    ) -> messages.CommandReply:
        _query.check(show)
        facts = self._facts()
        if show.table not in _GATHERED:
            return await self._own.answer(show, command_id, facts)
        part = _query.for_part(show)
        replies, note = await self._owners.gather(
            part,
            command_id,
            min(deadline, trio.current_time() + MAX_QUERY_S),
            lambda: self._own.answer(part, command_id, facts),
        )
        result = _query.merge(
            show,
            (
                _query.Result(reply.columns, reply.rows, reply.more)
                for reply in replies
                if reply.outcome is outcomes.Outcome.DONE
            ),
        )
        if note:
            observability.emit(
                events.QUERY_INCOMPLETE,
                cause=command_id,
                command_id=command_id,
                message=note,
            )
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.DONE,
            f'incomplete: {note}' if note else '',
            columns=result.columns,
            rows=result.rows,
            more=result.more,
        )
