"""Passing an answer of a backend server on to the entry, under credit."""

import collections.abc

import trio

from citronrail import errors
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _exchanges
from citronrail.routing import _feeds
from citronrail.routing import _requests
from citronrail.routing import _runs

_FULL_QUEUE_PAUSE_S = 0.02


class AnswerStream:
    """Sends one answer in numbered chunks.

    An exclusive run goes on after its entry gave up or went away: its answer
    is read to the end and dropped, since only then is it known to have ended.

    :param hub: connections to entries.
    :param run: the run whose answer it is.
    """

    def __init__(self, hub: ports.PeerHub, run: _runs.Run) -> None:
        self._hub = hub
        self._run = run
        self._chunks = 0

    async def start(self, status: int, headers: messages.Headers) -> None:
        """Send status and headers.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        """
        ident = self._run.run_id
        await self._send(
            messages.ResponseStart(
                ident.request_id, ident.attempt, status, headers
            )
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body in chunks, waiting for credit.

        :param data: any number of bytes.
        """
        ident = self._run.run_id
        for offset in range(0, len(data), _exchanges.CHUNK_BYTES):
            if self._run.abandoned:
                return
            await self._run.take_credit()
            if self._run.abandoned:
                return
            await self._send(
                messages.ResponseChunk(
                    ident.request_id, ident.attempt, self._chunks
                ),
                data[offset : offset + _exchanges.CHUNK_BYTES],
            )
            self._chunks += 1

    async def finish(self) -> None:
        """Mark the answer as whole."""
        ident = self._run.run_id
        if self._run.abandoned:
            await self._tell_ended()
            return
        await self._send(
            messages.ResponseEnd(ident.request_id, ident.attempt, self._chunks)
        )

    async def whole(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a whole small answer in one message.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        :param body: at most a chunk of bytes.
        """
        ident = self._run.run_id
        if self._run.abandoned:
            await self._tell_ended()
            return
        await self._send(
            messages.ResponseWhole(
                ident.request_id, ident.attempt, status, headers
            ),
            body,
        )

    async def _tell_ended(self) -> None:
        ident = self._run.run_id
        try:
            await self._hub.send(
                ident.entry,
                messages.RequestFailed(
                    ident.request_id, ident.attempt, 'given up', ended=True
                ),
            )
        except errors.PeerUnreachable:
            return

    async def _send(self, message: object, data: bytes | None = None) -> None:
        """Send in order; a full queue is waited for, a lost entry not."""
        while not self._run.abandoned:
            try:
                await self._hub.send(self._run.run_id.entry, message, data)
            except errors.PeerUnreachable:
                if self._entry_is_connected():
                    await trio.sleep(_FULL_QUEUE_PAUSE_S)
                elif self._run.exclusive:
                    self._run.abandoned = True
                else:
                    raise
            else:
                return

    def _entry_is_connected(self) -> bool:
        return self._hub.find_peer(self._run.run_id.entry) is not None


async def pass_on(
    response: ports.BackendResponse,
    stream: AnswerStream,
    run: _runs.Run,
) -> None:
    """Pass a whole answer on.

    :param response: the answer of the backend server.
    :param stream: the way to the entry.
    :param run: the run whose answer it is.
    :raises citronrail.errors.BackendFailed: if the answer broke off.
    :raises citronrail.errors.PeerUnreachable: if the entry is gone.
    """
    if _is_small(response.headers):
        # Three messages for a small answer cost each side more than the rest
        # of its work on the request.
        body = b''.join([data async for data in response.chunks()])
        await stream.whole(response.status, response.headers, body)
        return
    await stream.start(response.status, response.headers)
    if _requests.is_feed(response.headers):
        await _pass_on_feed(response.chunks(), stream, run)
    else:
        async for data in response.chunks():
            await stream.write(data)
    await stream.finish()


def _is_small(headers: messages.Headers) -> bool:
    """Tell whether the body is declared to fit in one chunk.

    The HTTP client refuses a body that differs from its declared length.
    """
    lengths = {value for name, value in headers if name == 'content-length'}
    if len(lengths) != 1 or _requests.is_feed(headers):
        return False
    length = lengths.pop()
    return (
        length.isascii()
        and length.isdigit()
        and int(length) <= _exchanges.CHUNK_BYTES
    )


async def _pass_on_feed(
    chunks: collections.abc.AsyncIterator[bytes],
    stream: AnswerStream,
    run: _runs.Run,
) -> None:
    """Pass whole events on until the feed ends or has to be ended."""
    buffer = _feeds.FeedBuffer()
    while not run.feed_ending:
        with trio.CancelScope() as run.feed_reading:
            data = await anext(chunks, None)
        if run.feed_reading.cancelled_caught:
            break
        if data is None:
            await stream.write(buffer.rest())
            return
        try:
            await stream.write(buffer.push(data))
        except _feeds.EventTooLong as exc:
            raise errors.BackendFailed(str(exc), step='feed') from exc
    observability.emit(events.FEED_ENDED, request=run.run_id.request_id)
    await stream.write(_feeds.RETRY_HINT)
