"""One process's connection to a store, with faults of its own."""

import collections.abc
import contextlib
import enum
import random
import typing

import trio

from citronrail import errors
from citronrail import ports
from standins.key_value import _memory_store

# A call without an answer may take effect this much later.
MAX_LATENESS_S = 2.0

T = typing.TypeVar('T')
Batches = collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]


class LinkFault(enum.Enum):
    """What happens to the calls of one process."""

    NONE = 'none'
    REFUSED = 'refused'  # no connection, no effect
    REJECTED = 'rejected'  # 429 or 503, no effect
    RESET = 'reset'  # no answer; half of the calls take effect, maybe later
    SILENT = 'silent'  # the same, after waiting for an answer


class StoreLink:
    """A store as one process reaches it.

    :param store: the store.
    :param rng: decides which calls take effect without an answer.
    """

    def __init__(
        self, store: _memory_store.MemoryStore, rng: random.Random
    ) -> None:
        self.fault = LinkFault.NONE
        self.calls = 0
        self._store = store
        self._rng = rng
        self._scopes: set[trio.CancelScope] = set()

    def set_fault(self, fault: LinkFault) -> None:
        """Change what happens to calls; reset connections end watches."""
        self.fault = fault
        if fault is not LinkFault.NONE:
            for scope in self._scopes:
                scope.cancel()

    async def get(self, key: str) -> ports.KeyValue | None:
        """Read one key; see the port."""
        return await self._call('get', lambda: self._store.get(key))

    async def list(
        self, prefix: str, keep: ports.ItemFilter | None = None
    ) -> ports.Listing:
        """Read the keys under a prefix; see the port."""
        return await self._call('list', lambda: self._store.list(prefix, keep))

    async def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Carry out a transaction; see the port."""
        return await self._call(
            'txn', lambda: self._store.txn(compares, writes)
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; see the port."""
        return await self._call(
            'grant_lease', lambda: self._store.grant_lease(ttl_s)
        )

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; see the port."""
        return await self._call(
            'keep_alive', lambda: self._store.keep_alive(lease_id)
        )

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; see the port."""
        await self._call(
            'revoke_lease', lambda: self._store.revoke_lease(lease_id)
        )

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[Batches]:
        """Receive changes; see the port."""
        await self._call('watch', trio.lowlevel.checkpoint)
        async with self._store.watch(prefix, start_revision) as changes:
            yield self._events(changes)

    async def _events(self, changes: Batches) -> Batches:
        while True:
            batch: tuple[ports.WatchEvent, ...] = ()
            with trio.CancelScope() as scope:
                self._scopes.add(scope)
                try:
                    batch = await anext(changes)
                finally:
                    self._scopes.discard(scope)
            if scope.cancelled_caught:
                raise await self._failure('watch')
            yield batch

    async def _call(
        self,
        kind: str,
        call: collections.abc.Callable[[], collections.abc.Awaitable[T]],
    ) -> T:
        self.calls += 1
        if self.fault is LinkFault.NONE:
            return await call()
        takes_effect = self._rng.random() < 0.5
        if takes_effect and self.fault in (
            LinkFault.RESET,
            LinkFault.SILENT,
        ):
            trio.lowlevel.spawn_system_task(
                _execute_later, call, self._rng.uniform(0.0, MAX_LATENESS_S)
            )
        raise await self._failure(kind)

    async def _failure(self, kind: str) -> errors.StoreError:
        await trio.lowlevel.checkpoint()
        step = f'store.{kind}'
        match self.fault:
            case LinkFault.REFUSED:
                return errors.StoreUnavailable('no connection', step=step)
            case LinkFault.REJECTED:
                return errors.StoreRejected('status 503', step=step)
            case LinkFault.SILENT:
                await trio.sleep(1.0)
        return errors.StoreOutcomeUnknown('no answer', step=step)


async def _execute_later(
    call: collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]],
    delay_s: float,
) -> None:
    await trio.sleep(delay_s)
    with contextlib.suppress(errors.CitronrailError):
        await call()
