"""Decides when to send a hedged attempt for a slow request."""

import collections

PERCENTILE = 0.95
WINDOW_SAMPLES = 256
MIN_SAMPLES = 32
MAX_HEDGE_SHARE = 0.05


class LatencyWindow:
    """Recent times to first byte of a service, and its hedging budget."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._requests = 0
        self._hedges = 0
        self._percentile_s: float | None = None

    def record_latency(self, seconds: float) -> None:
        """Record a time to first byte.

        :param seconds: time from sending to the first byte.
        """
        self._samples.append(seconds)
        # The percentile is updated only now and then, because sorting for
        # each response costs more than the precision is worth.
        if len(self._samples) >= MIN_SAMPLES and (
            self._percentile_s is None or self._requests % 16 == 0
        ):
            ordered = sorted(self._samples)
            self._percentile_s = ordered[int(len(ordered) * PERCENTILE)]

    def count_request(self) -> None:
        """Record a request that was sent."""
        self._requests += 1
        if self._requests >= 4 * WINDOW_SAMPLES:
            self._requests //= 2
            self._hedges //= 2

    def hedge_after_s(self) -> float | None:
        """Return the delay before a hedged attempt.

        :returns: the 95th percentile of the time to first byte in seconds,
            None if there are too few samples or the budget is exhausted.
        """
        if self._hedges + 1 > self._requests * MAX_HEDGE_SHARE:
            return None
        return self._percentile_s

    def count_hedge(self) -> None:
        """Record that a hedged attempt was sent."""
        self._hedges += 1
