"""Streams responses of backend servers to the entry, with flow control."""

import collections.abc

import trio

from citronrail import errors
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _event_streams
from citronrail.routing import _exchanges
from citronrail.routing import _requests
from citronrail.routing import _runs

_FULL_QUEUE_PAUSE_S = 0.02


class ResponseStream:
    """Sends one response to the entry in numbered chunks.

    An exclusive run continues after its entry cancelled it or disconnected:
    its response is read to the end and discarded, because only then is the
    run known to have ended.

    :param hub: connections to entries.
    :param run: the run that produces the response.
    """

    def __init__(self, hub: ports.PeerHub, run: _runs.Run) -> None:
        self._hub = hub
        self._run = run
        self._chunks_sent = 0

    async def start(self, status: int, headers: messages.Headers) -> None:
        """Send status and headers.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        """
        run_id = self._run.run_id
        await self._send(
            messages.ResponseStart(
                run_id.request_id, run_id.attempt, status, headers
            )
        )

    async def write(self, data: bytes) -> None:
        """Send body data in chunks, waiting for credit.

        :param data: body bytes of any length.
        """
        run_id = self._run.run_id
        for offset in range(0, len(data), _exchanges.CHUNK_BYTES):
            if self._run.abandoned:
                return
            await self._run.take_credit()
            if self._run.abandoned:
                return
            await self._send(
                messages.ResponseChunk(
                    run_id.request_id, run_id.attempt, self._chunks_sent
                ),
                data[offset : offset + _exchanges.CHUNK_BYTES],
            )
            self._chunks_sent += 1

    async def finish(self) -> None:
        """Send the end of a complete response."""
        run_id = self._run.run_id
        if self._run.abandoned:
            await self._send_ended()
            return
        await self._send(
            messages.ResponseEnd(
                run_id.request_id, run_id.attempt, self._chunks_sent
            )
        )

    async def send_whole(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a complete small response in one message.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        :param body: at most :data:`_exchanges.CHUNK_BYTES` bytes.
        """
        run_id = self._run.run_id
        if self._run.abandoned:
            await self._send_ended()
            return
        await self._send(
            messages.ResponseWhole(
                run_id.request_id, run_id.attempt, status, headers
            ),
            body,
        )

    async def _send_ended(self) -> None:
        run_id = self._run.run_id
        try:
            await self._hub.send(
                run_id.entry,
                messages.RequestFailed(
                    run_id.request_id,
                    run_id.attempt,
                    'given up',
                    ended=True,
                ),
            )
        except errors.PeerUnreachable:
            return

    async def _send(self, message: object, data: bytes | None = None) -> None:
        """Send in order; retry while the send queue is full.

        If the entry has disconnected, an exclusive run is marked as abandoned
        and any other run fails.
        """
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


async def relay_response(
    response: ports.BackendResponse,
    stream: ResponseStream,
    run: _runs.Run,
) -> None:
    """Send the response of a backend server to the entry.

    :param response: the response of the backend server.
    :param stream: stream to the entry.
    :param run: the run that produces the response.
    :raises citronrail.errors.BackendFailed: if the response ended early.
    :raises citronrail.errors.PeerUnreachable: if the entry disconnected.
    """
    if _fits_in_one_chunk(response.headers):
        # Sending a small response as three messages costs each side more than
        # the rest of its work on the request.
        body = b''.join([data async for data in response.chunks()])
        await stream.send_whole(response.status, response.headers, body)
        return
    await stream.start(response.status, response.headers)
    if _requests.is_event_stream(response.headers):
        await _relay_events(response.chunks(), stream, run)
    else:
        async for data in response.chunks():
            await stream.write(data)
    await stream.finish()


def _fits_in_one_chunk(headers: messages.Headers) -> bool:
    """Return whether the declared content length fits in one chunk.

    The HTTP client rejects a body that differs from its declared length.
    """
    lengths = {value for name, value in headers if name == 'content-length'}
    if len(lengths) != 1 or _requests.is_event_stream(headers):
        return False
    length = lengths.pop()
    return (
        length.isascii()
        and length.isdigit()
        and int(length) <= _exchanges.CHUNK_BYTES
    )


async def _relay_events(
    chunks: collections.abc.AsyncIterator[bytes],
    stream: ResponseStream,
    run: _runs.Run,
) -> None:
    """Forward complete events until the event stream ends or is ended."""
    buffer = _event_streams.EventBuffer()
    while not run.event_stream_ending:
        with trio.CancelScope() as run.event_stream_read:
            data = await anext(chunks, None)
        if run.event_stream_read.cancelled_caught:
            break
        if data is None:
            await stream.write(buffer.flush())
            return
        try:
            await stream.write(buffer.push(data))
        except _event_streams.EventTooLong as exc:
            raise errors.BackendFailed(str(exc), step='feed') from exc
    observability.emit(events.FEED_ENDED, request=run.run_id.request_id)
    await stream.write(_event_streams.RETRY_HINT)
