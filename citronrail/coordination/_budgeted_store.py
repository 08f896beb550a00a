"""A key-value store client that enforces the call budget."""

import collections.abc
import contextlib

from citronrail.coordination import _store_budget as budgets
from citronrail import ports

READ = budgets.CallKind.READ
WRITE = budgets.CallKind.WRITE


class BudgetedStore:
    """Wraps a store and charges its calls to a budget.

    :param store: the underlying store.
    :param budget: rate limits and call counts.
    """

    def __init__(
        self, store: ports.KeyValueStore, budget: budgets.StoreBudget
    ) -> None:
        self._store = store
        self._budget = budget

    def for_use(self, use: budgets.StoreUse) -> 'StoreForUse':
        """Return a store whose calls are charged to one use.

        :param use: purpose of the calls.
        :returns: a :class:`citronrail.ports.KeyValueStore`; its calls may
            also raise :class:`citronrail.errors.StoreBudgetExceeded`.
        """
        return StoreForUse(self._store, self._budget, use)


class StoreForUse:
    """A :class:`citronrail.ports.KeyValueStore` whose calls have one use.

    :param store: the underlying store.
    :param budget: rate limits and call counts.
    :param use: purpose of the calls.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        budget: budgets.StoreBudget,
        use: budgets.StoreUse,
    ) -> None:
        self._store = store
        self._budget = budget
        self._use = use

    async def get(self, key: str) -> ports.KeyValue | None:
        """Read one key; see :class:`citronrail.ports.KeyValueStore`."""
        await self._budget.take(self._use, READ, 'get')
        return await self._store.get(key)

    async def list(
        self, prefix: str, keep: ports.ItemFilter | None = None
    ) -> ports.Listing:
        """Read the keys that start with a prefix."""
        await self._budget.take(self._use, READ, 'list')
        return await self._store.list(prefix, keep)

    async def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Run a transaction; without writes it is charged as a read."""
        kind = WRITE if writes else READ
        await self._budget.take(self._use, kind, 'txn')
        return await self._store.txn(compares, writes)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease."""
        await self._budget.take(self._use, WRITE, 'grant_lease')
        return await self._store.grant_lease(ttl_s)

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease."""
        await self._budget.take(self._use, WRITE, 'keep_alive')
        return await self._store.keep_alive(lease_id)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease."""
        await self._budget.take(self._use, WRITE, 'revoke_lease')
        await self._store.revoke_lease(lease_id)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]
    ]:
        """Watch a prefix; charged as one read whatever its duration."""
        await self._budget.take(self._use, READ, 'watch')
        async with self._store.watch(prefix, start_revision) as changes:
            yield changes
