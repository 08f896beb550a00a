"""Conversion of local deadlines to the clock of a peer.

If a message that carries the peer's clock value ``a`` arrives at local time
``e``, the peer's clock is at least ``a + (t - e)`` at local time ``t``.
Network delay only lowers this bound, so a converted deadline is never later
than the local one.
"""

import dataclasses

CLOCK_RATE_MARGIN = 0.01  # largest assumed difference in clock rate


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """Lower bound of the peer's clock: its value at a local time."""

    peer_s: float
    local_s: float

    def lower_bound_at(self, now: float) -> float:
        """Return a lower bound of the peer's clock.

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
        return self.lower_bound_at(now) + remaining


def select_reading(
    old: ClockReading | None, new: ClockReading, now: float
) -> ClockReading:
    """Return the reading with the higher lower bound.

    :param old: the reading used so far, from the same boot of the peer.
    :param new: the latest reading.
    :param now: local time in seconds.
    :returns: the reading that shortens converted deadlines least.
    """
    if old is not None and old.lower_bound_at(now) > new.lower_bound_at(now):
        return old
    return new
