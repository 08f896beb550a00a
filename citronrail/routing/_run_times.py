"""Estimates whether a run can start and end before its deadline."""

from citronrail.model import messages
from citronrail.routing import _latency
from citronrail.routing import _slots

# About half of the responses take longer than the average.
SAFETY_FACTOR = 1.5


class RunTimeEstimator:
    """Estimates queueing delays and run times at this agent.

    A run that starts shortly before its deadline wastes a slot and leaves
    the caller with an unknown outcome, so it is refused instead.

    :param slots: the queue for slots.
    :param latencies: average latencies of the services.
    """

    def __init__(
        self, slots: _slots.SlotQueue, latencies: _latency.LatencyAverages
    ) -> None:
        self._slots = slots
        self._latencies = latencies

    def latest_start(self, message: messages.RunRequest, now: float) -> float:
        """Return the latest local start time that meets the deadline.

        :param message: the request.
        :param now: local time in seconds.
        """
        needed_s = SAFETY_FACTOR * self._needed_s(message, now)
        return min(message.start_before, message.finish_before - needed_s)

    def too_late(self, message: messages.RunRequest, now: float) -> bool:
        """Return whether a run would get its slot too late.

        :param message: the request.
        :param now: local time in seconds.
        """
        latest = self.latest_start(message, now)
        wait_s = 0.0
        if self._slots.used >= self._slots.slots:
            turns = self._slots.count_ahead_of(latest) + 1
            needed_s = self._needed_s(message, now)
            wait_s = turns / self._slots.slots * needed_s
        return now + wait_s > latest

    def _needed_s(self, message: messages.RunRequest, now: float) -> float:
        return self._latencies.average_ms(message.service, now) / 1000
