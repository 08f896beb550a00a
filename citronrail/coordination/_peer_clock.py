"""Deadlines between processes whose clocks are not synchronised."""

import dataclasses

from citronrail import errors
from citronrail.model import identifiers

# Two clocks may differ in rate by this share; crystal oscillators are far
# better, virtual machines under load are not.
CLOCK_RATE_MARGIN = 0.01


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """A peer's clock reading and when it was received here, in seconds."""

    boot_id: identifiers.BootId
    clock: float
    received_at: float

    def at_least(self, now: float) -> float:
        """Return a lower bound of the peer's clock.

        :param now: local time in seconds.
        :returns: the peer's clock shows this much or more.
        """
        elapsed = now - self.received_at
        margin = abs(elapsed) * CLOCK_RATE_MARGIN
        return self.clock + elapsed - margin


def shortened(interval_s: float) -> float:
    """Return an interval that surely ends first on the holder's clock.

    :param interval_s: seconds that another process counts on its own clock.
    :returns: seconds that the holder may count on.
    """
    return interval_s * (1.0 - CLOCK_RATE_MARGIN)


def lengthened(interval_s: float) -> float:
    """Return an interval that surely ends last on the waiting clock.

    :param interval_s: seconds that another process counts on its own clock.
    :returns: seconds to wait here until it has passed there.
    """
    return interval_s * (1.0 + 2.0 * CLOCK_RATE_MARGIN)


class PeerClock:
    """Clock readings of peers, one for each peer's present boot."""

    def __init__(self) -> None:
        self._readings: dict[identifiers.NodeId, ClockReading] = {}

    def observe(
        self,
        peer: identifiers.NodeId,
        boot_id: identifiers.BootId,
        clock: float,
        received_at: float,
    ) -> None:
        """Take note of a reading; the tightest bound is kept.

        :param peer: node id of the sender.
        :param boot_id: boot id of the sender.
        :param clock: the sender's monotonic clock when it sent.
        :param received_at: local time of receipt.
        """
        old = self._readings.get(peer)
        new = ClockReading(boot_id, clock, received_at)
        if (
            old is not None
            and old.boot_id == boot_id
            and old.at_least(received_at) >= clock
        ):
            return
        self._readings[peer] = new

    def forget(self, peer: identifiers.NodeId) -> None:
        """Drop the reading of a peer that is gone."""
        self._readings.pop(peer, None)

    def to_peer_clock(
        self,
        peer: identifiers.NodeId,
        deadline: float,
        boot_id: identifiers.BootId | None = None,
    ) -> float:
        """Express a local deadline on the peer's clock.

        :param peer: node id of the receiver.
        :param deadline: local time in seconds.
        :param boot_id: the boot the deadline is meant for; None accepts the
            latest one heard.
        :returns: a time on the peer's clock, never later than ``deadline``.
        :raises citronrail.errors.PeerUnreachable: if no reading of that boot
            is known.
        """
        reading = self._readings.get(peer)
        if reading is None or boot_id not in (None, reading.boot_id):
            raise errors.PeerUnreachable(
                'no clock reading of the present boot is known',
                step='clock.convert',
                peer=peer,
            )
        return reading.at_least(deadline)
