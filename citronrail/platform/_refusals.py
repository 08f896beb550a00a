"""Records requests that are refused for the state of this process."""

import collections

import trio

from citronrail import observability
from citronrail.observability.catalogue import daemon as events
from citronrail.platform import _transport_metrics as metrics

# At most one line per reason in this time: a stopping entry may refuse
# hundreds of requests a second, and has little processor time.
LOG_INTERVAL_S = 1.0


class Refusals:
    """Counts refused requests, and logs each reason once a second at most."""

    def __init__(self) -> None:
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._log_from: dict[str, float] = {}

    def record(self, reason: str) -> None:
        """Record that a request was answered with 503 and not run.

        :param reason: why this process doesn't serve it.
        """
        metrics.REQUESTS_REFUSED.labels(reason).inc()
        self._unlogged[reason] += 1
        now = trio.current_time()
        if now < self._log_from.get(reason, now):
            return
        self._log_from[reason] = now + LOG_INTERVAL_S
        observability.emit(
            events.REQUESTS_REFUSED,
            reason=reason,
            count=self._unlogged.pop(reason),
        )
