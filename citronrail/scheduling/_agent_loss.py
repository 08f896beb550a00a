"""Computes when the tasks of an unreachable agent have certainly ended."""

import dataclasses
import math

# An agent renews worker leases for this long after an acknowledgement.
ACK_VALIDITY_S = 10.0
WORKER_LEASE_DURATION_S = 10.0
CLOCK_RATE_MARGIN = 0.01  # largest relative difference of the clocks' rates
PAUSE_MARGIN_S = 2.0  # for pauses of the processes involved
TASKS_END_AFTER_S = (ACK_VALIDITY_S + WORKER_LEASE_DURATION_S) * (
    1.0 + CLOCK_RATE_MARGIN
) + PAUSE_MARGIN_S


@dataclasses.dataclass(frozen=True)
class QuietSpan:
    """A span of local time in which an entry did not acknowledge an agent.

    ``last_ack`` is the latest time at which the entry may have acknowledged;
    ``quiet_until`` is the time until which it certainly has not done so again.
    """

    last_ack: float
    quiet_until: float


def own_span(last_ack: float, now: float) -> QuietSpan:
    """Return the span of this process.

    :param last_ack: local time of its last acknowledgement, or the time at
        which it began to answer agents if there was none.
    :param now: local time.
    :returns: the span until now.
    """
    return QuietSpan(last_ack, now)


def acknowledging_span(now: float) -> QuietSpan:
    """Return the span of an entry that acknowledges the agent, or may do so.

    Unreachable entries count as acknowledging until their store lease has
    expired.

    :param now: local time.
    :returns: an empty span.
    """
    return QuietSpan(now, now)


def departed_span(lease_expired_at: float) -> QuietSpan:
    """Return the span of an entry whose store lease expired or was revoked.

    :param lease_expired_at: local time at which it had certainly ended.
    :returns: an unbounded span.
    """
    return QuietSpan(lease_expired_at, math.inf)


def agent_tasks_ended_at(spans: tuple[QuietSpan, ...]) -> float | None:
    """Return the time from which on an agent's tasks have certainly ended.

    Worker leases expire once no entry has acknowledged the agent for
    ``TASKS_END_AFTER_S``. This interval must lie within the span of each
    entry.

    :param spans: one for each entry that can acknowledge the agent.
    :returns: local time, None as long as it can't be determined.
    """
    if not spans:
        return None
    ended_at = max(span.last_ack for span in spans) + TASKS_END_AFTER_S
    if ended_at > min(span.quiet_until for span in spans):
        return None
    return ended_at
