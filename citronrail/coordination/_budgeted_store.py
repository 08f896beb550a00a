"""The key-value port within the call budget."""

import collections.abc
import contextlib

from citronrail.coordination import _store_budget as budgets
from citronrail import ports

READ = budgets.CallKind.READ
WRITE = budgets.CallKind.WRITE


class BudgetedStore:
    """Gives each use its own view of the store.

    :param store: the store.
    :param budget: limits and counts.
    """

    def __init__(
        self, store: ports.KeyValueStore, budget: budgets.StoreBudget
    ) -> None:
        self._store = store
        self._budget = budget

    def for_use(self, use: budgets.StoreUse) -> 'UseStore':
        """Return a store whose calls are counted and limited for a use.

        :param use: what the calls are for.
        :returns: a :class:`citronrail.ports.KeyValueStore`; its calls may
            also raise :class:`citronrail.errors.StoreBudgetExceeded`.
        """
        return UseStore(self._store, self._budget, use)


class UseStore:
    """A :class:`citronrail.ports.KeyValueStore` for one use.

    :param store: the store.
    :param budget: limits and counts.
    :param use: what the calls are for.
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
        """Read one key; see the port."""
        await self._budget.take(self._use, READ, 'get')
        return await self._store.get(key)

    async def list(self, prefix: str) -> ports.Listing:
        """Read the keys under a prefix; see the port."""
        await self._budget.take(self._use, READ, 'list')
        return await self._store.list(prefix)

    async def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Carry out a transaction; see the port."""
        kind = WRITE if writes else READ
        await self._budget.take(self._use, kind, 'txn')
        return await self._store.txn(compares, writes)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; see the port."""
        await self._budget.take(self._use, WRITE, 'grant_lease')
        return await self._store.grant_lease(ttl_s)

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; see the port."""
        await self._budget.take(self._use, WRITE, 'keep_alive')
        return await self._store.keep_alive(lease_id)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; see the port."""
        await self._budget.take(self._use, WRITE, 'revoke_lease')
        await self._store.revoke_lease(lease_id)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]
    ]:
        """Receive changes; counted as one read however long it waits."""
        await self._budget.take(self._use, READ, 'watch')
        async with self._store.watch(prefix, start_revision) as changes:
            yield changes
