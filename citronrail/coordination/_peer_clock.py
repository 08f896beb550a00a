"""Conversion of deadlines between unsynchronised clocks."""

import dataclasses

from citronrail import errors
from citronrail.model import identifiers

# Largest relative rate difference of two clocks. Crystal oscillators are far
# more accurate; the clocks of virtual machines under load are not.
CLOCK_RATE_MARGIN = 0.01


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """A peer's clock reading and its local time of receipt, in seconds."""

    boot_id: identifiers.BootId
    clock: float
    received_at: float

    def at_least(self, now: float) -> float:
        """Return a lower bound of the peer's clock.

        :param now: local time in seconds.
        :returns: a value that the peer's clock has reached at ``now``.
        """
        elapsed = now - self.received_at
        margin = abs(elapsed) * CLOCK_RATE_MARGIN
        return self.clock + elapsed - margin


def shortened(interval_s: float) -> float:
    """Return an interval that ends here before it ends on the other clock.

    Holders of a lease or promise use it for their own deadline.

    :param interval_s: seconds that another process counts on its own clock.
    :returns: seconds to count on the local clock.
    """
    return interval_s * (1.0 - CLOCK_RATE_MARGIN)


def lengthened(interval_s: float) -> float:
    """Return an interval that ends here after it ends on the other clock.

    A process that waits for another's lease or promise to expire uses it.

    :param interval_s: seconds that another process counts on its own clock.
    :returns: seconds to wait on the local clock.
    """
    return interval_s * (1.0 + 2.0 * CLOCK_RATE_MARGIN)


class PeerClock:
    """Clock readings of peers, one for the current boot of each."""

    def __init__(self) -> None:
        self._readings: dict[identifiers.NodeId, ClockReading] = {}

    def observe(
        self,
        peer: identifiers.NodeId,
        boot_id: identifiers.BootId,
        clock: float,
        received_at: float,
    ) -> None:
        """Record a reading unless the known one gives a tighter bound.

        :param peer: node id of the sender.
        :param boot_id: boot id of the sender.
        :param clock: the sender's monotonic clock when it sent.
        :param received_at: local time of receipt.
        """
        previous = self._readings.get(peer)
        reading = ClockReading(boot_id, clock, received_at)
        if (
            previous is not None
            and previous.boot_id == boot_id
            and previous.at_least(received_at) >= clock
        ):
            return
        self._readings[peer] = reading

    def forget(self, peer: identifiers.NodeId) -> None:
        """Discard the reading of a peer."""
        self._readings.pop(peer, None)

    def to_peer_clock(
        self,
        peer: identifiers.NodeId,
        deadline: float,
        boot_id: identifiers.BootId | None = None,
    ) -> float:
        """Convert a local deadline to the peer's clock.

        :param peer: node id of the receiver.
        :param deadline: local time in seconds.
        :param boot_id: required boot id of the peer; None accepts the latest
            known one.
        :returns: a time on the peer's clock that is never later than
            ``deadline``.
        :raises citronrail.errors.PeerUnreachable: if there is no reading for
            that boot id.
        """
        reading = self._readings.get(peer)
        if reading is None or boot_id not in (None, reading.boot_id):
            raise errors.PeerUnreachable(
                'no clock reading of the present boot is known',
                step='clock.convert',
                peer=peer,
            )
        return reading.at_least(deadline)
