"""When the tasks of an agent that nobody hears have certainly ended."""

import dataclasses
import math

ACK_VALIDITY_S = (
    10.0  # an agent renews leases this long after an acknowledgement
)
WORKER_LEASE_DURATION_S = 10.0
CLOCK_RATE_MARGIN = 0.01
PAUSE_MARGIN_S = 2.0
TASKS_END_AFTER_S = (ACK_VALIDITY_S + WORKER_LEASE_DURATION_S) * (
    1.0 + CLOCK_RATE_MARGIN
) + PAUSE_MARGIN_S


@dataclasses.dataclass(frozen=True)
class QuietSpan:
    """A time in which one entry did not acknowledge an agent.

    Both ends are on the local clock. ``last_ack`` is the latest time at which
    the entry may have acknowledged; ``quiet_until`` is the time up to which
    it certainly has not done so again.
    """

    last_ack: float
    quiet_until: float


def own_span(last_ack: float, now: float) -> QuietSpan:
    """Return the span of this process itself.

    :param last_ack: local time of its last acknowledgement, or the time at
        which it began to answer agents if there was none.
    :param now: local time.
    :returns: the span up to now.
    """
    return QuietSpan(last_ack, now)


def acknowledging_span(now: float) -> QuietSpan:
    """Return the span of an entry that answers, or may answer, the agent.

    Entries that can't be reached count as acknowledging until their store
    lease has expired.

    :param now: local time.
    :returns: an empty span.
    """
    return QuietSpan(now, now)


def departed_span(lease_expired_at: float) -> QuietSpan:
    """Return the span of an entry whose store lease expired or was revoked.

    :param lease_expired_at: local time at which it was certainly over.
    :returns: a span without end.
    """
    return QuietSpan(lease_expired_at, math.inf)


def agent_tasks_ended_at(spans: tuple[QuietSpan, ...]) -> float | None:
    """Tell from which time on the tasks of an agent have certainly ended.

    Worker leases lapse when no entry acknowledged the agent during a whole
    interval; it must lie inside the quiet span of every entry.

    :param spans: one for each entry that can acknowledge the agent.
    :returns: local time; None as long as it can't be told.
    """
    if not spans:
        return None
    ended_at = max(span.last_ack for span in spans) + TASKS_END_AFTER_S
    if ended_at > min(span.quiet_until for span in spans):
        return None
    return ended_at
