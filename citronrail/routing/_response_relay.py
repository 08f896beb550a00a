"""Relays responses of agents to callers."""

import trio

from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail.routing import _attempt_states
from citronrail.routing import _attempts
from citronrail.routing import _dispatch
from citronrail.routing import _event_streams
from citronrail.routing import _exchanges
from citronrail.routing import _key_reservations
from citronrail.routing import _keys
from citronrail.routing import _requests

_WRITE_TIMEOUT_S = 30.0  # a caller that reads nothing for longer is dropped


class DiscardingWriter:
    """Discards a response that no caller awaits."""

    async def start(
        self,
        status: int,
        headers: messages.Headers,
        outcome: outcomes.Outcome,
    ) -> None:
        """Discard status and headers."""

    async def write(self, data: bytes) -> None:
        """Discard body data."""

    async def finish(self) -> None:
        """Discard the end."""

    async def problem(self, problem: _requests.Problem) -> None:
        """Discard a problem."""


class ResponseRelay:
    """Relays one response, and copies it for replay if it has a key.

    :param dispatch: grants credit to the agent.
    :param exchange: the attempt that yields the response.
    :param writer: writes the response to the caller.
    """

    def __init__(
        self,
        dispatch: _dispatch.Dispatcher,
        exchange: _exchanges.Exchange,
        writer: _requests.ResponseWriter,
    ) -> None:
        self.exchange = exchange
        self.writer = writer
        self._dispatch = dispatch
        self._copied: list[bytes] = []
        self._copied_bytes = 0

    async def start(self) -> None:
        """Send status and headers to the caller."""
        started = self.exchange.started
        if started is not None:
            await self.writer.start(
                started.status, started.headers, outcomes.Outcome.DONE
            )

    async def relay_body(self, progress: _attempts.RequestProgress) -> bool:
        """Relay everything but the end of the response.

        :param progress: the request, which decides whether to copy the
            response.
        :returns: whether the response is complete.
        """
        await self.start()
        while True:
            part = await self.exchange.receive()
            match part:
                case bytes():
                    self._copy_for_replay(part, progress)
                    await self.write(part)
                    await self.grant_credit()
                case _attempt_states.Started():
                    await self.start()
                case _attempt_states.Complete():
                    return True
                case _:
                    emit_incomplete(self.exchange)
                    return False

    async def write(self, data: bytes) -> None:
        """Write to the caller, which may read slowly.

        :param data: body data.
        :raises trio.TooSlowError: if the caller reads nothing for too long.
        """
        with trio.fail_after(_WRITE_TIMEOUT_S):
            await self.writer.write(data)

    async def grant_credit(self) -> None:
        """Record a consumed chunk, and grant the agent credit when due."""
        await self._dispatch.grant_credit(self.exchange)

    def stored_response(self) -> _key_reservations.StoredResponse | None:
        """Return the copied response, None if it is too large to store."""
        started = self.exchange.started
        if started is None or self._copied_bytes > _keys.MAX_STORED_BYTES:
            return None
        return _key_reservations.StoredResponse(
            started.status, started.headers, b''.join(self._copied)
        )

    def _copy_for_replay(
        self, data: bytes, progress: _attempts.RequestProgress
    ) -> None:
        if not progress.opts.key:
            return
        self._copied_bytes += len(data)
        if self._copied_bytes <= _keys.MAX_STORED_BYTES:
            self._copied.append(data)
        else:
            self._copied.clear()


class EventStreamRelay:
    """Relays an event stream in whole events, so that it can end cleanly.

    :param relay: relay of the response.
    :param ending: whether to end the event stream immediately.
    """

    def __init__(self, relay: ResponseRelay, ending: bool) -> None:
        self._response_relay = relay
        self._ending = ending
        self._reading: trio.CancelScope | None = None

    def end(self) -> None:
        """End the event stream after the last complete event."""
        self._ending = True
        if self._reading is not None:
            self._reading.cancel()

    async def relay(self) -> bool:
        """Relay the event stream until it ends.

        :returns: whether it ended normally.
        """
        exchange = self._response_relay.exchange
        buffer = _event_streams.EventBuffer()
        await self._response_relay.start()
        while not self._ending:
            with trio.CancelScope() as self._reading:
                part = await exchange.receive()
            if self._reading.cancelled_caught:
                break
            match part:
                case bytes():
                    await self._response_relay.write(buffer.push(part))
                    await self._response_relay.grant_credit()
                case _attempt_states.Complete():
                    await self._response_relay.write(buffer.flush())
                    return True
                case _:
                    emit_incomplete(exchange)
                    return False
        observability.emit(events.FEED_ENDED, request=exchange.request_id)
        await self._response_relay.write(_event_streams.RETRY_HINT)
        return True


def emit_incomplete(exchange: _exchanges.Exchange) -> None:
    """Emit the event for a response that ended early.

    :param exchange: the attempt that yielded the response.
    """
    observability.emit(
        events.ANSWER_INCOMPLETE,
        cause=exchange.request_id,
        request=f'{exchange.request_id}#{exchange.attempt}',
        reason=getattr(exchange.state, 'reason', ''),
    )
