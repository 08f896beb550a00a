"""Deadlines on the worker's clock."""

import dataclasses

CLOCK_RATE_MARGIN = 0.01


@dataclasses.dataclass(frozen=True)
class WorkerClock:
    """A reading of the worker's clock and the local time it arrived.

    At local time ``t`` the worker's clock shows at least
    ``reading + (t - received_at)``, less the clock rate margin.
    """

    reading: float
    received_at: float

    def to_worker(self, deadline: float) -> float:
        """Express a local deadline on the worker's clock.

        :param deadline: local time in seconds.
        :returns: worker time that is never later than the deadline.
        """
        ahead = deadline - self.received_at
        return self.reading + ahead - abs(ahead) * CLOCK_RATE_MARGIN

    def to_local(self, worker_time: float) -> float:
        """Express a past worker time on the local clock, at the latest.

        :param worker_time: time in seconds on the worker's clock.
        :returns: local time that is never earlier than it was.
        """
        return self.received_at + (worker_time - self.reading)
