"""Passing answers on from an agent to the caller."""

import trio

from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail.routing import _attempts
from citronrail.routing import _dispatch
from citronrail.routing import _exchanges
from citronrail.routing import _feeds
from citronrail.routing import _keys
from citronrail.routing import _requests
from citronrail.routing import _verdicts

_WRITE_TIMEOUT_S = 30.0  # a caller that takes no byte for this time is gone


class Discard:
    """Takes an answer that no caller waits for."""

    async def start(
        self,
        status: int,
        headers: messages.Headers,
        outcome: outcomes.Outcome,
    ) -> None:
        """Drop status and headers."""

    async def write(self, data: bytes) -> None:
        """Drop a part of the body."""

    async def finish(self) -> None:
        """Drop the end."""

    async def problem(self, problem: _requests.Problem) -> None:
        """Drop a problem."""


class AnswerRelay:
    """Passes one answer on and keeps a copy if it is small.

    :param dispatch: grants the agent more credit.
    :param exchange: the attempt whose answer it is.
    :param respond: the way to the caller.
    """

    def __init__(
        self,
        dispatch: _dispatch.Dispatch,
        exchange: _exchanges.Exchange,
        respond: _requests.Respond,
    ) -> None:
        self.exchange = exchange
        self.respond = respond
        self._dispatch = dispatch
        self._copy: list[bytes] = []
        self._size = 0

    async def start(self) -> None:
        """Send status and headers to the caller."""
        started = self.exchange.started
        if started is not None:
            await self.respond.start(
                started.status, started.headers, outcomes.Outcome.DONE
            )

    async def all_but_end(self, progress: _attempts.Progress) -> bool:
        """Pass everything on but the end.

        :param progress: the request, for its events and whether to keep a
            copy.
        :returns: whether the answer is whole.
        """
        await self.start()
        while True:
            part = await self.exchange.receive()
            match part:
                case bytes():
                    self._keep(part, progress)
                    await self.write(part)
                    await self.grant()
                case _verdicts.Started():
                    await self.start()
                case _verdicts.Complete():
                    return True
                case _:
                    report_incomplete(self.exchange)
                    return False

    async def write(self, data: bytes) -> None:
        """Write to the caller, however slow it is.

        :param data: a part of the body.
        :raises trio.TooSlowError: if it takes nothing for too long.
        """
        with trio.fail_after(_WRITE_TIMEOUT_S):
            await self.respond.write(data)

    async def grant(self) -> None:
        """Allow the agent further chunks when it is time."""
        await self._dispatch.grant(self.exchange)

    def stored_answer(self) -> _keys.StoredAnswer | None:
        """Return the answer, None if it is too large to be kept."""
        started = self.exchange.started
        if started is None or self._size > _keys.MAX_STORED_BYTES:
            return None
        return _keys.StoredAnswer(
            started.status, started.headers, b''.join(self._copy)
        )

    def _keep(self, data: bytes, progress: _attempts.Progress) -> None:
        if not progress.opts.key:
            return
        self._size += len(data)
        if self._size <= _keys.MAX_STORED_BYTES:
            self._copy.append(data)
        else:
            self._copy.clear()


class FeedRelay:
    """Passes a feed on event by event, so that it can be ended cleanly.

    :param relay: the answer that is a feed.
    :param ending: whether to end it at once.
    """

    def __init__(self, relay: AnswerRelay, ending: bool) -> None:
        self._relay = relay
        self._ending = ending
        self._reading: trio.CancelScope | None = None

    def end(self) -> None:
        """End the feed after the last whole event."""
        self._ending = True
        if self._reading is not None:
            self._reading.cancel()

    async def relay(self) -> bool:
        """Pass the feed on until it ends.

        :returns: whether it ended as it should.
        """
        exchange = self._relay.exchange
        buffer = _feeds.FeedBuffer()
        await self._relay.start()
        while not self._ending:
            with trio.CancelScope() as self._reading:
                part = await exchange.receive()
            if self._reading.cancelled_caught:
                break
            match part:
                case bytes():
                    await self._relay.write(buffer.push(part))
                    await self._relay.grant()
                case _verdicts.Complete():
                    await self._relay.write(buffer.rest())
                    return True
                case _:
                    report_incomplete(exchange)
                    return False
        observability.emit(events.FEED_ENDED, request=exchange.request_id)
        await self._relay.write(_feeds.RETRY_HINT)
        return True


def report_incomplete(exchange: _exchanges.Exchange) -> None:
    """Emit the event for an answer that broke off.

    :param exchange: the attempt whose answer it was.
    """
    observability.emit(
        events.ANSWER_INCOMPLETE,
        cause=exchange.request_id,
        request=f'{exchange.request_id}#{exchange.attempt}',
        reason=getattr(exchange.verdict, 'reason', ''),
    )
