"""Writes log lines without ever waiting for their reader."""

import os
import time
import typing

LINES_PER_S = 400  # of one kind of event; warnings and errors always pass
MAX_WAITING_BYTES = 512 * 1024


class LineBudget:
    """Bounds the lines of each kind in each second.

    :param lines_per_s: lines of one kind in a second.
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
        self._left_out: dict[str, int] = {}

    def allows(self, kind: str) -> bool:
        """Count a line and tell whether it may be written.

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
        self._left_out[kind] = self._left_out.get(kind, 0) + 1
        return False

    def take_left_out(self) -> dict[str, int]:
        """Return the lines left out by kind since the last call."""
        left_out, self._left_out = self._left_out, {}
        return left_out


class LineWriter:
    """Writes to a file descriptor that is never waited for.

    What the reader doesn't take is kept up to a limit; then whole lines are
    dropped and counted.

    :param descriptor: where to write; made non-blocking.
    :param limit_bytes: bytes that are kept for a slow reader.
    """

    def __init__(
        self, descriptor: int, limit_bytes: int = MAX_WAITING_BYTES
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = limit_bytes
        self._waiting = bytearray()
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line, or keep or drop it.

        :param line: a whole line with its end.
        """
        if len(self._waiting) + len(line) > self._limit:
            self._flush()
        if len(self._waiting) + len(line) > self._limit:
            self.dropped += 1
            return
        self._waiting += line
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            try:
                count = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nobody to tell.
                self._waiting.clear()
                self.dropped += 1
                return
            del self._waiting[:count]
