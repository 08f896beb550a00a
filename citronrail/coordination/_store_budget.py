"""Limits on the calls of this process to the key-value store."""

import collections
import dataclasses
import enum

import trio

from citronrail.coordination import _metrics
from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import coordination as events

ROUNDING = 1e-6  # tokens; a wait below the clock's resolution never ends
BURST_S = 1.0  # a bucket holds the tokens of this time


class StoreUse(enum.Enum):
    """What a store call is for; the first to give way comes first."""

    QUERY = 'query'
    SHARD = 'shard'
    SETTINGS = 'settings'
    LEASE = 'lease'


class CallKind(enum.Enum):
    """The two kinds of calls that the platform limits."""

    READ = 'read'
    WRITE = 'write'


@dataclasses.dataclass(frozen=True)
class UseLimits:
    """How a use gives way.

    :param reserve: share of the bucket that it must leave to the others.
    :param max_wait_s: seconds after which its call is refused.
    """

    reserve: float
    max_wait_s: float


# Each use leaves a reserve for those that give way later. Leases may take
# tokens in advance, since a lost lease costs far more calls than a renewal.
LIMITS = {
    StoreUse.QUERY: UseLimits(reserve=0.5, max_wait_s=0.5),
    StoreUse.SHARD: UseLimits(reserve=0.25, max_wait_s=2.0),
    StoreUse.SETTINGS: UseLimits(reserve=0.1, max_wait_s=1.0),
    StoreUse.LEASE: UseLimits(reserve=-1.0, max_wait_s=1.0),
}


class _Bucket:
    """Tokens that arrive at a rate, at most those of the burst time."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._tokens = rate * BURST_S
        self._filled_at = trio.current_time()

    @property
    def capacity(self) -> float:
        return max(1.0, self.rate * BURST_S)

    def missing(self, reserve: float) -> float:
        """Return how many tokens are missing for one call."""
        now = trio.current_time()
        gained = (now - self._filled_at) * self.rate
        self._tokens = min(self.capacity, self._tokens + gained)
        self._filled_at = now
        # A call is possible from a full bucket, however small it is.
        needed = min(reserve * self.capacity + 1.0, self.capacity)
        return needed - self._tokens

    def take(self) -> None:
        self._tokens -= 1.0


class StoreBudget:
    """Share of the store's call rates that this process may use.

    Calls of one use are served in order. When tokens are short, queries are
    held back first, then shard commits, then settings; leases last.

    :param writes_per_s: write calls a second, above 0.
    :param reads_per_s: read calls a second, above 0.
    """

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        self._buckets = {
            CallKind.WRITE: _Bucket(writes_per_s),
            CallKind.READ: _Bucket(reads_per_s),
        }
        self._queues = {
            (use, kind): trio.Lock() for use in StoreUse for kind in CallKind
        }
        self.calls: collections.Counter[tuple[StoreUse, str]] = (
            collections.Counter()
        )

    def set_rates(self, writes_per_s: float, reads_per_s: float) -> None:
        """Change the rates, such as when entries join or leave.

        :param writes_per_s: write calls a second, above 0.
        :param reads_per_s: read calls a second, above 0.
        """
        self._buckets[CallKind.WRITE].rate = writes_per_s
        self._buckets[CallKind.READ].rate = reads_per_s

    async def take(self, use: StoreUse, kind: CallKind, call: str) -> None:
        """Wait until a call may be made, and count it.

        :param use: what the call is for.
        :param kind: whether it reads or writes.
        :param call: name of the call for the counts.
        :raises citronrail.errors.StoreBudgetExceeded: if the use has to give
            way for too long.
        """
        limits = LIMITS[use]
        asked_at = trio.current_time()
        with trio.move_on_after(limits.max_wait_s) as scope:
            async with self._queues[use, kind]:
                bucket = self._buckets[kind]
                while (missing := bucket.missing(limits.reserve)) > ROUNDING:
                    await trio.sleep(missing / bucket.rate)
                bucket.take()
        if scope.cancelled_caught:
            self._refuse(use, kind)
        self.calls[use, call] += 1
        _metrics.STORE_CALLS.labels(use.value, call).inc()
        _metrics.STORE_CALL_WAIT_S.labels(use.value).observe(
            trio.current_time() - asked_at
        )

    def _refuse(self, use: StoreUse, kind: CallKind) -> None:
        _metrics.STORE_CALLS_REFUSED.labels(use.value, kind.value).inc()
        observability.emit(events.BUDGET_SPENT, call=kind.value, use=use.value)
        raise errors.StoreBudgetExceeded(
            f'{kind.value} for {use.value} held back, the budget is spent',
            step='store.budget',
        )
