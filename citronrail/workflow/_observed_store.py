"""A store whose calls show whether it can be reached.

Load answered: submissions during an outage. The watches and probes find the
outage, so that most submissions needn't send a call that gets no answer.
"""

import collections.abc
import contextlib
import itertools
import typing

import trio

from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _store_health as store_health

CHECK_S = 0.1
PROBE_S = 0.3
# A probe waits longer than the next one, since a slow store is no outage.
PROBE_TIMEOUT_S = 1.0
# An idle entry notices an outage before the next submission arrives. This
# costs one read per second and entry.
IDLE_PROBE_S = 1.0

T = typing.TypeVar('T')
Batches = collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]


class ObservedStore:
    """A :class:`citronrail.ports.KeyValueStore` that observes its calls.

    :param store: the store that receives all calls.
    """

    def __init__(self, store: ports.KeyValueStore) -> None:
        self._store = store
        self._health = store_health.StoreHealth()
        self._calls = itertools.count(1)
        self._unreachable = False
        self._rejected = False
        self._probed_at = float('-inf')
        self.changed = trio.Event()

    @property
    def level(self) -> store_health.Level:
        """Whether the store can be used now."""
        return self._health.level(trio.current_time())

    @property
    def reachable(self) -> bool:
        """Whether the store may answer a call now."""
        return self.level is not store_health.Level.UNREACHABLE

    @property
    def serving(self) -> bool:
        """Whether the store can be used, and accepted the latest call."""
        return self.reachable and not self._rejected

    @property
    def retry_after_s(self) -> int:
        """Seconds after which a caller should try again."""
        return self._health.retry_after_s(trio.current_time())

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Probe the store and report changes until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            while True:
                self._report()
                if self._probe_due():
                    self._probed_at = trio.current_time()
                    nursery.start_soon(self._probe)
                await trio.sleep(CHECK_S)

    def _probe_due(self) -> bool:
        now = trio.current_time()
        if self.level is store_health.Level.REACHABLE:
            quiet_since = max(self._probed_at, self._health.answered_at)
            return now - quiet_since >= IDLE_PROBE_S
        return now - self._probed_at >= PROBE_S - CHECK_S / 2

    async def _probe(self) -> None:
        with (
            contextlib.suppress(errors.CitronrailError),
            trio.move_on_after(PROBE_TIMEOUT_S),
        ):
            await self.get(documents.LEADER_KEY)

    def _report(self) -> None:
        unreachable = not self.reachable
        if unreachable == self._unreachable:
            return
        self._unreachable = unreachable
        metrics.STORE_REACHABLE.set(not unreachable)
        if unreachable:
            metrics.STORE_LOSSES.inc()
            observability.emit(
                events.STORE_LOST, failures=self._health.failures
            )
        else:
            observability.emit(events.STORE_REGAINED)
        self._signal_change()

    def _signal_change(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def _observe(self, call: collections.abc.Awaitable[T]) -> T:
        number = next(self._calls)
        self._health = self._health.started(number, trio.current_time())
        try:
            result = await call
        except trio.Cancelled:
            self._health = self._health.abandoned(number, trio.current_time())
            raise
        except Exception as exc:
            self._record_error(number, exc)
            raise
        self._health = self._health.answered(number, trio.current_time())
        self._rejected = False
        if self._unreachable:
            self._report()
        return result

    def _record_error(self, number: int, exc: Exception) -> None:
        now = trio.current_time()
        match exc:
            case errors.StoreRejected():
                self._health = self._health.answered(number, now)
                if not self._rejected:
                    self._rejected = True
                    self._signal_change()
            case (
                errors.StoreCompacted()
                | errors.StoreRefused()
                | errors.LeaseLost()
            ):
                self._health = self._health.answered(number, now)
            case errors.StoreBudgetExceeded():
                # The call was not sent.
                self._health = self._health.abandoned(number, now)
            case _:
                self._health = self._health.failed(number, now)
        self._report()

    async def get(self, key: str) -> ports.KeyValue | None:
        """Read one key; see the port."""
        return await self._observe(self._store.get(key))

    async def list(
        self, prefix: str, keep: ports.ItemFilter | None = None
    ) -> ports.Listing:
        """Read the keys under a prefix; see the port."""
        return await self._observe(self._store.list(prefix, keep))

    async def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Carry out a transaction; see the port."""
        return await self._observe(self._store.txn(compares, writes))

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; see the port."""
        return await self._observe(self._store.grant_lease(ttl_s))

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; see the port."""
        return await self._observe(self._store.keep_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; see the port."""
        await self._observe(self._store.revoke_lease(lease_id))

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[Batches]:
        """Receive changes; only the failure of a watch is observed."""
        try:
            async with self._store.watch(prefix, start_revision) as changes:
                yield changes
        except errors.CitronrailError as exc:
            self._record_error(next(self._calls), exc)
            raise
