"""Caches command results so that a retry isn't executed again."""

import collections
import collections.abc
import dataclasses
import math

import trio

from citronrail import errors
from citronrail.language import _metrics
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import language as events

_STEP = 'language.execute'
# Covers more than a day at 2,100 changes per day. A reply takes a few hundred
# bytes, since query results are not cached.
CAPACITY = 4096
RunCommand = collections.abc.Callable[
    [], collections.abc.Awaitable[messages.CommandReply]
]


@dataclasses.dataclass(frozen=True)
class _CachedResult:
    text: str
    reply: messages.CommandReply
    expires_at: float


@dataclasses.dataclass(frozen=True)
class _Running:
    text: str
    finished: trio.Event = dataclasses.field(default_factory=trio.Event)


class ResultCache:
    """Runs at most one execution per command id and caches its result.

    ``done`` is cached until it is evicted as the oldest result. ``not run``
    is cached until the deadline of the command, so that a late duplicate is
    refused as well; after the deadline the command can be retried.
    ``unknown`` is not cached, so a retry determines the outcome.

    :param capacity: maximum number of cached results.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._cached: collections.OrderedDict[
            identifiers.CommandId, _CachedResult
        ] = collections.OrderedDict()
        self._running: dict[identifiers.CommandId, _Running] = {}

    async def run_once(
        self,
        command_id: identifiers.CommandId,
        text: str,
        deadline: float,
        run: RunCommand,
    ) -> messages.CommandReply:
        """Execute a command or return its cached result.

        :param command_id: id of the command.
        :param text: the command in canonical form.
        :param deadline: local time at which to give up waiting.
        :param run: executes the command.
        :returns: the result.
        :raises citronrail.errors.CommandRefused: if the id was used for
            another command.
        :raises citronrail.errors.PeerTimeout: if an earlier copy is still
            being executed at the deadline.
        """
        while True:
            cached = self._lookup(command_id, text)
            if cached is not None:
                _metrics.REPEATED.inc()
                observability.emit(
                    events.COMMAND_REPEATED, command_id=command_id
                )
                return cached
            running = self._running.get(command_id)
            if running is None:
                break
            _check_same_command(running.text, text)
            with trio.move_on_at(deadline) as scope:
                await running.finished.wait()
            if scope.cancelled_caught:
                raise errors.PeerTimeout(
                    'the command is still being carried out', step=_STEP
                )
        return await self._run(command_id, text, deadline, run)

    async def _run(
        self,
        command_id: identifiers.CommandId,
        text: str,
        deadline: float,
        run: RunCommand,
    ) -> messages.CommandReply:
        running = _Running(text)
        self._running[command_id] = running
        try:
            reply = await run()
            self._store(command_id, text, reply, deadline)
        finally:
            del self._running[command_id]
            running.finished.set()
        return reply

    def _lookup(
        self, command_id: identifiers.CommandId, text: str
    ) -> messages.CommandReply | None:
        cached = self._cached.get(command_id)
        if cached is None:
            return None
        if cached.expires_at <= trio.current_time():
            del self._cached[command_id]
            return None
        _check_same_command(cached.text, text)
        return cached.reply

    def _store(
        self,
        command_id: identifiers.CommandId,
        text: str,
        reply: messages.CommandReply,
        deadline: float,
    ) -> None:
        match reply.outcome:
            case outcomes.Outcome.DONE:
                expires_at = math.inf
            case outcomes.Outcome.NOT_RUN:
                expires_at = deadline
            case outcomes.Outcome.UNKNOWN:
                return
        self._cached[command_id] = _CachedResult(text, reply, expires_at)
        while len(self._cached) > self._capacity:
            self._cached.popitem(last=False)


def _check_same_command(earlier: str, text: str) -> None:
    if earlier != text:
        raise errors.CommandRefused(
            'this command id was used for another command; use a new id',
            step=_STEP,
        )
