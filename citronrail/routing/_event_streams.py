"""Splits event streams (server-sent events) between complete events."""

import re

RETRY_MS = 200  # reconnection delay of clients after a planned end
MAX_EVENT_BYTES = 1024 * 1024
_BOUNDARY = re.compile(rb'\r\n\r\n|\n\n|\r\r')
RETRY_HINT = b'retry: %d\n\n' % RETRY_MS


class EventTooLong(ValueError):
    """An event exceeds the buffer limit."""


class EventBuffer:
    """Buffers an incomplete event until the rest of it arrives.

    The event stream can then be ended at any time without truncating an
    event, and a client that reconnects with Last-Event-ID misses nothing.
    """

    def __init__(self) -> None:
        self._partial = b''

    def push(self, data: bytes) -> bytes:
        """Add received data.

        :param data: the next bytes of the event stream.
        :returns: the complete events, or b''.
        :raises EventTooLong: if an event exceeds the buffer limit.
        """
        data = self._partial + data
        end = 0
        for match in _BOUNDARY.finditer(data):
            end = match.end()
        self._partial = data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        return data[:end]

    def flush(self) -> bytes:
        """Return the buffered rest of an event stream that has ended."""
        flush, self._partial = self._partial, b''
        return flush
