"""What an agent knows of its worker's clock and of the lease there."""

import math

import trio

from citronrail.workflow import _worker_view

# A lease that the worker knows to end sooner is extended at once; a list call
# under way is cancelled for that, which costs its connection.
LEASE_FORWARD_MARGIN_MS = 3000
CLOCK_DRIFT_FACTOR = 1.0 / (1.0 - _worker_view.MAX_CLOCK_DRIFT_RATIO)


class AgentLease:
    """The lease of the worker's runs, and the readings of its clock.

    Times in milliseconds are on the worker's clock, times in seconds on the
    local one.

    :param max_lease_s: longest lease that the worker grants, in seconds.
    """

    def __init__(self, max_lease_s: float) -> None:
        self._max_lease_s = max_lease_s
        self._began_at = 0.0
        self._last_call_at = 0.0  # last call that may have extended a lease
        self._clock_ms = 0
        self._clock_read_at = 0.0
        self._sent_ms = 0
        self.until_ms = 0  # as ordered by the scheduling entry

    def begin(self) -> None:
        """Note that this process begins; an earlier one may have called."""
        self._began_at = trio.current_time()

    def reset(self) -> None:
        """Forget clock and lease at a new incarnation of the worker."""
        self._clock_ms = 0
        self.until_ms = 0
        self._sent_ms = 0

    def extend(self, until_ms: int) -> None:
        """Extend the lease; it never gets shorter."""
        self.until_ms = max(self.until_ms, until_ms)

    def note_sent(self, until_ms: int) -> None:
        """Note the lease that the next list call gives to the worker."""
        self._sent_ms = until_ms

    def note_call(self) -> None:
        """Note that a call may extend a lease on the worker now."""
        self._last_call_at = trio.current_time()

    def read_clock(self, clock_ms: int) -> None:
        """Note a reading of the worker's clock that has just arrived."""
        self._clock_ms = clock_ms
        self._clock_read_at = trio.current_time()

    def runs_out(self) -> bool:
        """Whether the worker needs an extension before the next list call."""
        elapsed_s = trio.current_time() - self._clock_read_at
        clock_ms = self._clock_ms + elapsed_s * 1000 * CLOCK_DRIFT_FACTOR
        return (
            self.until_ms > self._sent_ms
            and self._sent_ms < clock_ms + LEASE_FORWARD_MARGIN_MS
        )

    def start_until_ms(self, start_until: float) -> int:
        """Return the end of a start's validity on the worker's clock.

        It is no later than the end of the lease that the scheduler granted.

        :param start_until: end of the validity on the local clock.
        """
        valid_until = self._clock_ms + math.ceil(
            (start_until - self._clock_read_at) * 1000
        )
        return min(valid_until, self.until_ms)

    def left_s(self) -> float:
        """Return the time until all leases of the worker have expired.

        Leases of the current incarnation expire by its clock. A call for an
        earlier incarnation may have been carried out by the current one,
        whose clock is behind. For that reason the longest possible lease is
        also counted from the last call, or from the start of this process
        for calls of an agent that ran before it.
        """
        now = trio.current_time()
        left_ms = max(0, self.until_ms - self._clock_ms)
        ends_at = self._clock_read_at + left_ms / 1000 * CLOCK_DRIFT_FACTOR
        longest_s = self._max_lease_s * CLOCK_DRIFT_FACTOR
        touched_at = max(self._began_at, self._last_call_at)
        return max(0.0, ends_at - now, touched_at + longest_s - now)
