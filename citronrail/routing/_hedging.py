"""When to send a second copy of a slow request."""

import collections

PERCENTILE = 0.95
WINDOW = 256
MIN_SAMPLES = 32
SHARE_OF_REQUESTS = 0.05


class LatencyWindow:
    """Times to the first byte of the latest answers of a service."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW
        )
        self._requests = 0
        self._hedges = 0
        self._percentile_s: float | None = None

    def add(self, seconds: float) -> None:
        """Note the time an answer took.

        :param seconds: from sending to the first byte.
        """
        self._samples.append(seconds)
        # Sorting for each answer would cost more than the precision is worth.
        if len(self._samples) >= MIN_SAMPLES and (
            self._percentile_s is None or self._requests % 16 == 0
        ):
            ordered = sorted(self._samples)
            self._percentile_s = ordered[int(len(ordered) * PERCENTILE)]

    def count_request(self) -> None:
        """Note a request that was sent."""
        self._requests += 1
        if self._requests >= 4 * WINDOW:
            self._requests //= 2
            self._hedges //= 2

    def hedge_after_s(self) -> float | None:
        """Return how long to wait before a second copy is sent.

        :returns: the 95th percentile in seconds, None if too little is known
            or the budget is spent.
        """
        if self._hedges + 1 > self._requests * SHARE_OF_REQUESTS:
            return None
        return self._percentile_s

    def count_hedge(self) -> None:
        """Note that a second copy was sent."""
        self._hedges += 1
