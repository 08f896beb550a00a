"""Pace of attempts to connect to an entry.

Load answered: the loss of all processes at once, after which agents and
entries start in any order and find ports that are not open yet.
"""

import dataclasses

from citronrail.adapters import _zmq_sockets


@dataclasses.dataclass(frozen=True)
class Pace:
    """Pace of attempts, in seconds.

    :param hello_wait_s: how long an attempt waits for the entry's Hello.
    :param least_pause_s: shortest pause after an attempt.
    :param longest_pause_s: longest pause; pauses are spread in between.
    """

    hello_wait_s: float
    least_pause_s: float
    longest_pause_s: float


def pace(limits: _zmq_sockets.PeerLimits, lost_at: float, now: float) -> Pace:
    """Return the pace of the next attempt.

    :param limits: limits of the connections.
    :param lost_at: local time at which the connection was lost or first
        wanted.
    :param now: local time in seconds.
    """
    if now - lost_at >= limits.fast_reconnect_s:
        return Pace(
            limits.hello_wait_s,
            0.5 * limits.reconnect_s,
            1.5 * limits.reconnect_s,
        )
    return Pace(
        min(limits.hello_wait_s, limits.fast_hello_wait_s),
        0.25 * limits.reconnect_s,
        limits.reconnect_s,
    )
