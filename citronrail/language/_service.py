"""Executes the commands and queries of operators."""

import collections.abc
import dataclasses
import time

import trio

from citronrail import errors
from citronrail.language import _changes
from citronrail.language import _checks
from citronrail.language import _command_router
from citronrail.language import _format
from citronrail.language import _forward_receiver
from citronrail.language import _forwarder
from citronrail.language import _local_executor
from citronrail.language import _local_rows
from citronrail.language import _metrics
from citronrail.language import _nodes
from citronrail.language import _parser
from citronrail.language import _ports
from citronrail.language import _query
from citronrail.language import _result_cache
from citronrail.language import _validation
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import ranges
from citronrail import observability
from citronrail.observability.catalogue import language as events
from citronrail import ports

_STEP = 'language.execute'
MAX_COMMAND_ID_CHARACTERS = 100
MAX_CONCURRENT_COMMANDS = 64
MAX_LOGGED_CHARACTERS = 300
# A query is answered without the entries that don't reply within this time.
QUERY_TIMEOUT_S = 5.0
CONTEXT_REFRESH_INTERVAL_S = 60.0
_OUTCOME_EVENTS = {
    outcomes.Outcome.DONE: events.COMMAND_DONE,
    outcomes.Outcome.NOT_RUN: events.COMMAND_NOT_RUN,
    outcomes.Outcome.UNKNOWN: events.COMMAND_UNKNOWN,
}
_DISTRIBUTED_TABLES = frozenset(
    {
        _nodes.TableName.TASKS,
        _nodes.TableName.JOBS,
        _nodes.TableName.REQUESTS,
    }
)
_RunCommand = collections.abc.Callable[
    [], collections.abc.Awaitable[messages.CommandReply]
]


class CommandService:
    """Executes commands, each command id at most once.

    :param hub: connections to the peers.
    :param writer: writes the configuration.
    :param shards: the job shards that this entry owns.
    :param directory: maps ranges to the entries that own them.
    :param views: state known to this entry, for queries.
    :param get_context: returns the current validation context.
    :param wall_clock: returns Unix time in seconds.
    :param max_at_once: maximum number of commands and queries in progress.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        writer: _ports.SettingsWriter,
        shards: _ports.JobShards,
        directory: _ports.RangeDirectory,
        views: _local_rows.Views,
        get_context: _validation.ContextSource,
        wall_clock: collections.abc.Callable[[], float] = time.time,
        max_at_once: int = MAX_CONCURRENT_COMMANDS,
    ) -> None:
        self._writer = writer
        self._views = views
        self._get_context = get_context
        self._max_at_once = max_at_once
        self._executor = _local_executor.LocalExecutor(shards, views)
        forwarder = _forwarder.Forwarder(hub, wall_clock)
        self._router = _command_router.CommandRouter(hub, forwarder, directory)
        self._receiver = _forward_receiver.ForwardedCommandReceiver(
            hub, self._executor, self._get_context
        )
        self._result_cache = _result_cache.ResultCache()
        self._in_progress = 0
        self._idle = trio.Event()
        self._draining = False

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Execute the commands that other entries forward."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._receiver.run)
            task_status.started()
            while True:
                # Records workers that appear and disappear between commands.
                self._get_context()
                await trio.sleep(CONTEXT_REFRESH_INTERVAL_S)

    async def drain(self) -> None:
        """Refuse new commands and wait until those in progress have ended."""
        self._draining = True
        while self._in_progress:
            self._idle = trio.Event()
            await self._idle.wait()
        await self._receiver.drain()

    async def execute(
        self, command_id: identifiers.CommandId, text: str, deadline: float
    ) -> messages.CommandReply:
        """Execute one command or query.

        :param command_id: chosen by the client; a repeated id returns the
            earlier result.
        :param text: one command in the operators' language.
        :param deadline: local time at which to give up.
        :returns: the outcome ``done``, ``not run`` or ``unknown`` with a
            message, the settings version and, for queries, a table.
        """
        received_at = trio.current_time()
        kind = 'unreadable'
        self._in_progress += 1
        _metrics.IN_PROGRESS.inc()
        try:
            self._check_admission(command_id)
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
            trio.current_time() - received_at
        )
        return self._finish_reply(command_id, kind, reply)

    def _finish_reply(
        self,
        command_id: identifiers.CommandId,
        kind: str,
        reply: messages.CommandReply,
    ) -> messages.CommandReply:
        if kind != _nodes.Show.__name__:
            observability.emit(
                _OUTCOME_EVENTS[reply.outcome],
                cause=command_id,
                command_id=command_id,
                message=reply.message[:MAX_LOGGED_CHARACTERS],
            )
        version = reply.settings_version or self._views.settings.version
        return dataclasses.replace(
            reply, command_id=command_id, settings_version=version, ranges=()
        )

    def _check_admission(self, command_id: identifiers.CommandId) -> None:
        if (
            not 1 <= len(command_id) <= MAX_COMMAND_ID_CHARACTERS
            or not command_id.isascii()
            or not command_id.isprintable()
        ):
            raise errors.CommandRefused(
                f'a command id has 1 to {MAX_COMMAND_ID_CHARACTERS} '
                f'printable ASCII characters',
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
        return await self._result_cache.run_once(
            command_id, text, deadline, run
        )

    def _runner(
        self,
        command_id: identifiers.CommandId,
        command: _nodes.Change,
        deadline: float,
    ) -> _RunCommand:
        """Return a function that runs a change and always returns a reply."""

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
                self._check_expected_version(command)
                _checks.check_job(
                    self._views.settings, self._get_context(), spec
                )
                return await self._at_owner(
                    spec.job_id, command, command_id, deadline
                )
            case _nodes.StopJob(name):
                self._check_expected_version(command)
                return await self._at_owner(
                    name, command, command_id, deadline
                )
            case _nodes.Cancel(table, where):
                self._check_expected_version(command)
                _query.make_predicate(table, where)
                return await self._router.run_at_all_owners(
                    command,
                    command_id,
                    deadline,
                    lambda: self._executor.run_command(command, command_id),
                )
            case _:
                return await self._apply_settings_command(
                    command_id, command, deadline
                )

    async def _at_owner(
        self,
        name: str,
        command: _nodes.StartJob | _nodes.StopJob,
        command_id: identifiers.CommandId,
        deadline: float,
    ) -> messages.CommandReply:
        return await self._router.run_at_owner(
            ranges.range_of(name),
            command,
            command_id,
            deadline,
            lambda: self._executor.run_command(command, command_id),
        )

    def _check_expected_version(self, command: _nodes.JobCommand) -> None:
        version = self._views.settings.version
        expected = command.expected_version
        if expected is not None and expected != version:
            raise errors.CommandRefused(
                f'the settings have version {version}, not {expected}',
                step=_STEP,
            )

    async def _apply_settings_command(
        self,
        command_id: identifiers.CommandId,
        command: _nodes.SettingsCommand,
        deadline: float,
    ) -> messages.CommandReply:
        context = self._get_context()
        base_version = self._views.settings.version
        text = _format.without_version(command)
        while True:
            try:
                applied = await self._writer.apply(
                    command_id,
                    lambda settings: _changes.apply_change(
                        settings, command, context, base_version
                    ),
                    text,
                    deadline=deadline,
                )
            except errors.CommandConflict:
                # The writer fails whenever the settings changed between its
                # read and its write. Only a change of the same object is a
                # real conflict, which is detected on the next attempt.
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
        context = self._get_context()
        if show.table not in _DISTRIBUTED_TABLES:
            return await self._executor.run_query(show, command_id, context)
        partial = _query.partial_query(show)
        replies, missing = await self._router.query_entries(
            partial,
            command_id,
            min(deadline, trio.current_time() + QUERY_TIMEOUT_S),
            lambda: self._executor.run_query(partial, command_id, context),
        )
        result = _query.merge(
            show,
            (
                _query.Result(reply.columns, reply.rows, reply.more)
                for reply in replies
                if reply.outcome is outcomes.Outcome.DONE
            ),
        )
        if missing:
            observability.emit(
                events.QUERY_INCOMPLETE,
                cause=command_id,
                command_id=command_id,
                message=missing,
            )
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.DONE,
            f'incomplete: {missing}' if missing else '',
            columns=result.columns,
            rows=result.rows,
            more=result.more,
        )
