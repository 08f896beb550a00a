"""Age of idempotency keys and their place among the ranges."""

import dataclasses
import hashlib
import time
import uuid

import trio

from citronrail.model import identifiers

RANGE_COUNT = 8
UUID_VERSION = 7


@dataclasses.dataclass(frozen=True)
class Moment:
    """One point in time on both clocks of this process.

    :param local: monotonic time in seconds.
    :param unix: Unix time in seconds; never goes back within a process.
    """

    local: float
    unix: float


class SteadyClock:
    """Unix time that never goes back while the process runs.

    A step back would let keys pass as young whose records were dropped.
    """

    def __init__(self) -> None:
        self._latest = 0.0

    def now(self) -> Moment:
        """Return the present moment."""
        self._latest = max(self._latest, time.time())
        return Moment(trio.current_time(), self._latest)


def range_of(key: str, count: int = RANGE_COUNT) -> identifiers.RangeId:
    """Return the range that keeps a key.

    :param key: idempotency or exclusive key.
    :param count: number of ranges.
    :returns: a number from 0, equal in every process and release.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return identifiers.RangeId(int.from_bytes(digest, 'big') % count)


def born_at(key: str) -> float | None:
    """Return when a key was made, by its caller's clock.

    :param key: idempotency key.
    :returns: Unix time in seconds, or None if it is no UUIDv7.
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
    """Why a key can't be accepted.

    ``verdict`` is ``not run``, or ``unknown`` for a key so old that the
    record of an earlier run may have been dropped.
    """

    verdict: str
    reason: str


def age_refusal(
    key: str, unix_now: float, lifetime_s: float, future_margin_s: float
) -> AgeRefusal | None:
    """Tell whether a key is refused because of its age.

    :param key: idempotency key.
    :param unix_now: Unix time in seconds.
    :param lifetime_s: age in seconds up to which keys are accepted.
    :param future_margin_s: seconds that a key may lie in the future.
    :returns: the refusal, or None if the key is acceptable.
    """
    born = born_at(key)
    if born is None:
        return AgeRefusal('not run', 'the idempotency key is no UUIDv7')
    if born > unix_now + future_margin_s:
        return AgeRefusal('not run', 'the idempotency key is in the future')
    if born < unix_now - lifetime_s:
        return AgeRefusal('unknown', 'the idempotency key is too old')
    return None
