"""Age checks for idempotency keys."""

import dataclasses
import time
import uuid

import trio


UUID_VERSION = 7


@dataclasses.dataclass(frozen=True)
class Moment:
    """A point in time on both clocks of this process.

    :param local: monotonic time in seconds.
    :param unix: Unix time in seconds; never decreases within a process.
    """

    local: float
    unix: float


class SteadyClock:
    """Unix time that never decreases while the process runs.

    After a step back, keys whose records have already been dropped would be
    accepted again.
    """

    def __init__(self) -> None:
        self._latest = 0.0

    def now(self) -> Moment:
        """Return the current moment."""
        self._latest = max(self._latest, time.time())
        return Moment(trio.current_time(), self._latest)


def born_at(key: str) -> float | None:
    """Return the creation time of a key by its caller's clock.

    :param key: idempotency key.
    :returns: Unix time in seconds, or None if the key is not a UUIDv7.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != UUID_VERSION or str(value) != key.lower():
        return None
    return (value.int >> 80) / 1000.0


@dataclasses.dataclass(frozen=True)
class AgeRefusal:
    """Why a key is rejected.

    ``verdict`` is ``not run``, or ``unknown`` for a key so old that the
    record of an earlier run may have been dropped.
    """

    verdict: str
    reason: str


def age_refusal(
    key: str, unix_now: float, lifetime_s: float, future_margin_s: float
) -> AgeRefusal | None:
    """Check whether a key is refused because of its age.

    :param key: idempotency key.
    :param unix_now: Unix time in seconds.
    :param lifetime_s: maximum age of an accepted key, in seconds.
    :param future_margin_s: seconds by which a key may lie in the future.
    :returns: the refusal, or None if the key is acceptable.
    """
    created_at = born_at(key)
    if created_at is None:
        return AgeRefusal('not run', 'the idempotency key is no UUIDv7')
    if created_at > unix_now + future_margin_s:
        return AgeRefusal('not run', 'the idempotency key is in the future')
    if created_at < unix_now - lifetime_s:
        return AgeRefusal('unknown', 'the idempotency key is too old')
    return None
