"""Feeds of events, cut only between whole events."""

import re

RETRY_MS = 200  # how soon a client reconnects after a planned end
MAX_EVENT_BYTES = 1024 * 1024
_BOUNDARY = re.compile(rb'\r\n\r\n|\n\n|\r\r')
RETRY_HINT = b'retry: %d\n\n' % RETRY_MS


class EventTooLong(ValueError):
    """An event exceeds the memory set aside for it."""


class FeedBuffer:
    """Holds back the beginning of an event until it is whole.

    So a feed can be ended at any moment without a torn event, and a client
    that reconnects with Last-Event-ID misses nothing.
    """

    def __init__(self) -> None:
        self._partial = b''

    def push(self, data: bytes) -> bytes:
        """Take data as it arrives.

        :param data: any part of a feed.
        :returns: whole events that may be passed on, or b''.
        :raises EventTooLong: if one event is too long.
        """
        data = self._partial + data
        end = 0
        for match in _BOUNDARY.finditer(data):
            end = match.end()
        self._partial = data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        return data[:end]

    def rest(self) -> bytes:
        """Return what was held back, for a feed that ended by itself."""
        rest, self._partial = self._partial, b''
        return rest
