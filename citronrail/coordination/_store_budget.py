"""Rate limits for this process's calls to the key-value store."""

import collections
import dataclasses
import enum

import trio

from citronrail.coordination import _metrics
from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import coordination as events

TOKEN_EPSILON = (
    1e-6  # tokens; a shorter wait may be below the clock resolution
)
BURST_S = 1.0  # bucket capacity, in seconds of refill


class StoreUse(enum.Enum):
    """Purpose of a store call, in ascending order of priority."""

    QUERY = 'query'
    SHARD = 'shard'
    SETTINGS = 'settings'
    LEASE = 'lease'


class CallKind(enum.Enum):
    """Kind of store call; each has its own rate limit."""

    READ = 'read'
    WRITE = 'write'


@dataclasses.dataclass(frozen=True)
class UseLimits:
    """Throttling parameters of a use.

    :param reserved_share: fraction of the bucket that this use must leave for
        uses of higher priority.
    :param max_wait_s: seconds after which a waiting call is refused.
    """

    reserved_share: float
    max_wait_s: float


# Each use reserves part of the bucket for uses of higher priority. Leases may
# overdraw the bucket: recovering from a lost lease takes far more calls than a
# renewal.
LIMITS_BY_USE = {
    StoreUse.QUERY: UseLimits(reserved_share=0.5, max_wait_s=0.5),
    StoreUse.SHARD: UseLimits(reserved_share=0.25, max_wait_s=2.0),
    StoreUse.SETTINGS: UseLimits(reserved_share=0.1, max_wait_s=1.0),
    StoreUse.LEASE: UseLimits(reserved_share=-1.0, max_wait_s=1.0),
}


class _TokenBucket:
    """Token bucket that holds at most :data:`BURST_S` of tokens."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._tokens = rate * BURST_S
        self._refilled_at = trio.current_time()

    @property
    def capacity(self) -> float:
        return max(1.0, self.rate * BURST_S)

    def deficit(self, reserved_share: float) -> float:
        """Refill the bucket and return how many tokens one call lacks."""
        now = trio.current_time()
        refilled = (now - self._refilled_at) * self.rate
        self._tokens = min(self.capacity, self._tokens + refilled)
        self._refilled_at = now
        # A full bucket always admits a call, however small its capacity.
        required = min(reserved_share * self.capacity + 1.0, self.capacity)
        return required - self._tokens

    def take(self) -> None:
        self._tokens -= 1.0


class StoreBudget:
    """This process's share of the store's call rate limits.

    Calls of one use are served first in, first out. When tokens run short,
    queries are throttled first, then shard commits, settings and leases.

    :param writes_per_s: write calls a second, above 0.
    :param reads_per_s: read calls a second, above 0.
    """

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        self._buckets = {
            CallKind.WRITE: _TokenBucket(writes_per_s),
            CallKind.READ: _TokenBucket(reads_per_s),
        }
        self._queues = {
            (use, kind): trio.Lock() for use in StoreUse for kind in CallKind
        }
        self.calls: collections.Counter[tuple[StoreUse, str]] = (
            collections.Counter()
        )

    def set_rates(self, writes_per_s: float, reads_per_s: float) -> None:
        """Change the rates, for example when entries join or leave.

        :param writes_per_s: write calls a second, above 0.
        :param reads_per_s: read calls a second, above 0.
        """
        self._buckets[CallKind.WRITE].rate = writes_per_s
        self._buckets[CallKind.READ].rate = reads_per_s

    async def take(self, use: StoreUse, kind: CallKind, call: str) -> None:
        """Take a token for a call, waiting for one if necessary.

        :param use: purpose of the call.
        :param kind: whether the call reads or writes.
        :param call: name under which the call is counted.
        :raises citronrail.errors.StoreBudgetExceeded: if no token was
            available within the maximum wait of the use.
        """
        limits = LIMITS_BY_USE[use]
        requested_at = trio.current_time()
        with trio.move_on_after(limits.max_wait_s) as timeout_scope:
            async with self._queues[use, kind]:
                bucket = self._buckets[kind]
                while (
                    deficit := bucket.deficit(limits.reserved_share)
                ) > TOKEN_EPSILON:
                    await trio.sleep(deficit / bucket.rate)
                bucket.take()
        if timeout_scope.cancelled_caught:
            self._raise_exceeded(use, kind)
        self.calls[use, call] += 1
        _metrics.STORE_CALLS.labels(use.value, call).inc()
        _metrics.STORE_CALL_WAIT_S.labels(use.value).observe(
            trio.current_time() - requested_at
        )

    def _raise_exceeded(self, use: StoreUse, kind: CallKind) -> None:
        _metrics.STORE_CALLS_REFUSED.labels(use.value, kind.value).inc()
        observability.emit(
            events.STORE_BUDGET_EXCEEDED, call=kind.value, use=use.value
        )
        raise errors.StoreBudgetExceeded(
            f'{kind.value} for {use.value} held back, the budget is spent',
            step='store.budget',
        )
