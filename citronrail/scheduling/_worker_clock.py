"""Conversion of times between the local and the worker's clock."""

import dataclasses

CLOCK_RATE_MARGIN = 0.01  # largest relative difference of the clocks' rates


@dataclasses.dataclass(frozen=True)
class WorkerClock:
    """A reading of the worker's clock and the local time of its arrival.

    At local time ``t`` the worker's clock shows at least
    ``reading + (t - received_at)``, minus the clock rate margin.
    """

    reading: float
    received_at: float

    def to_worker(self, deadline: float) -> float:
        """Convert a local deadline to the worker's clock.

        :param deadline: local time in seconds.
        :returns: worker time in seconds, never later than the deadline.
        """
        ahead = deadline - self.received_at
        return self.reading + ahead - abs(ahead) * CLOCK_RATE_MARGIN

    def to_local(self, worker_time: float) -> float:
        """Convert a past worker time to an upper bound on the local clock.

        :param worker_time: time in seconds on the worker's clock.
        :returns: local time in seconds, never earlier than the given time.
        """
        return self.received_at + (worker_time - self.reading)
