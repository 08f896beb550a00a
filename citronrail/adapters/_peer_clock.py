"""Conversion of local deadlines to the clock of a peer.

A message with reading ``a`` of the peer's clock that arrives at local time
``e`` proves that the peer's clock is at least ``a + (t - e)`` at local time
``t``. Delay only lowers the estimate, so a converted deadline is never later
than the local one.
"""

import dataclasses

CLOCK_RATE_MARGIN = 0.01  # largest assumed difference in clock rate


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """Lower bound of the peer's clock: its value at a local time."""

    peer_s: float
    local_s: float

    def at(self, now: float) -> float:
        """Return the least value that the peer's clock has.

        :param now: local time in seconds, not before the reading.
        :returns: seconds on the peer's clock.
        """
        age = max(0.0, now - self.local_s)
        return self.peer_s + age * (1 - CLOCK_RATE_MARGIN)

    def convert(self, deadline: float, now: float) -> float:
        """Express a local deadline on the peer's clock.

        :param deadline: local time in seconds.
        :param now: local time in seconds.
        :returns: seconds on the peer's clock, never later.
        """
        remaining = deadline - now
        if remaining > 0:
            remaining *= 1 - CLOCK_RATE_MARGIN
        return self.at(now) + remaining


def better(
    old: ClockReading | None, new: ClockReading, now: float
) -> ClockReading:
    """Choose the reading that converts deadlines with the least loss.

    :param old: the reading used so far, of the same boot of the peer.
    :param new: the latest reading.
    :param now: local time in seconds.
    :returns: the one that puts the peer's clock further.
    """
    if old is not None and old.at(now) > new.at(now):
        return old
    return new
