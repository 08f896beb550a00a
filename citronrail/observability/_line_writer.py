"""Writes log lines without blocking on a slow reader."""

import os
import time
import typing

# Limit for each kind of event; warnings and errors are not limited.
LINES_PER_S = 400
MAX_BUFFERED_BYTES = 512 * 1024


class LineBudget:
    """Limits the number of lines per second of each kind of event.

    :param lines_per_s: maximum lines of one kind per second.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        lines_per_s: int = LINES_PER_S,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = -1
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def allows(self, kind: str) -> bool:
        """Count a line and return whether it may be written.

        :param kind: code of the event.
        """
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count <= self._lines_per_s:
            return True
        self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
        return False

    def take_suppressed(self) -> dict[str, int]:
        """Return the suppressed lines by kind since the last call."""
        suppressed, self._suppressed = self._suppressed, {}
        return suppressed


class LineWriter:
    """Writes to a non-blocking file descriptor.

    Output that the reader has not consumed is buffered up to a limit; beyond
    it, complete lines are dropped and counted.

    :param descriptor: file descriptor, set to non-blocking.
    :param limit_bytes: size of the buffer for a slow reader.
    """

    def __init__(
        self, descriptor: int, limit_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = limit_bytes
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write or buffer a line; drop it if the buffer is full.

        :param line: a complete line with its newline.
        """
        if len(self._buffer) + len(line) > self._limit:
            self._flush()
        if len(self._buffer) + len(line) > self._limit:
            self.dropped += 1
            return
        self._buffer += line
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            try:
                count = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed; the error cannot be logged.
                self._buffer.clear()
                self.dropped += 1
                return
            del self._buffer[:count]
