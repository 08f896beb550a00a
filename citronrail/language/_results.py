"""Remembers the results of commands, so that a retry is not run again."""

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
# 2,100 changes a day make this more than a day; a reply has a few hundred
# bytes, since queries are not kept.
CAPACITY = 4096
Run = collections.abc.Callable[
    [], collections.abc.Awaitable[messages.CommandReply]
]


@dataclasses.dataclass(frozen=True)
class _Kept:
    text: str
    reply: messages.CommandReply
    until: float


@dataclasses.dataclass(frozen=True)
class _Running:
    text: str
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)


class Results:
    """Runs each command id at most once at a time and keeps its result.

    ``done`` is kept while there is room. ``not run`` is kept until the
    deadline of the command, so that a late copy is refused as well, and may
    be tried again after it. ``unknown`` is not kept: a retry finds out.

    :param capacity: number of results kept.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._kept: collections.OrderedDict[identifiers.CommandId, _Kept] = (
            collections.OrderedDict()
        )
        self._running: dict[identifiers.CommandId, _Running] = {}

    async def once(
        self,
        command_id: identifiers.CommandId,
        text: str,
        deadline: float,
        run: Run,
    ) -> messages.CommandReply:
        """Carry out a command, or give the result that it had.

        :param command_id: identity of the command.
        :param text: the command in its usual form.
        :param deadline: local time at which to give up waiting.
        :param run: carries the command out.
        :returns: the result.
        :raises citronrail.errors.CommandRefused: if the id belongs to
            another command.
        :raises citronrail.errors.PeerTimeout: if an earlier copy is still
            being carried out at the deadline.
        """
        while True:
            kept = self._find(command_id, text)
            if kept is not None:
                _metrics.REPEATED.inc()
                observability.emit(
                    events.COMMAND_REPEATED, command_id=command_id
                )
                return kept
            running = self._running.get(command_id)
            if running is None:
                break
            _check_text(running.text, text)
            with trio.move_on_at(deadline) as scope:
                await running.ended.wait()
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
        run: Run,
    ) -> messages.CommandReply:
        running = _Running(text)
        self._running[command_id] = running
        try:
            reply = await run()
            self._keep(command_id, text, reply, deadline)
        finally:
            del self._running[command_id]
            running.ended.set()
        return reply

    def _find(
        self, command_id: identifiers.CommandId, text: str
    ) -> messages.CommandReply | None:
        kept = self._kept.get(command_id)
        if kept is None:
            return None
        if kept.until <= trio.current_time():
            del self._kept[command_id]
            return None
        _check_text(kept.text, text)
        return kept.reply

    def _keep(
        self,
        command_id: identifiers.CommandId,
        text: str,
        reply: messages.CommandReply,
        deadline: float,
    ) -> None:
        match reply.outcome:
            case outcomes.Outcome.DONE:
                until = math.inf
            case outcomes.Outcome.NOT_RUN:
                until = deadline
            case outcomes.Outcome.UNKNOWN:
                return
        self._kept[command_id] = _Kept(text, reply, until)
        while len(self._kept) > self._capacity:
            self._kept.popitem(last=False)


def _check_text(earlier: str, text: str) -> None:
    if earlier != text:
        raise errors.CommandRefused(
            'this command id was used for another command; use a new id',
            step=_STEP,
        )
