"""In-memory implementation of the key-value port, with faults."""

import collections
import collections.abc
import contextlib
import dataclasses
import typing

import trio

from citronrail import errors
from citronrail import ports
from standins.key_value import _faults
from standins.key_value import _state

HANG_POLL_INTERVAL_S = 0.05
R = typing.TypeVar('R')


class MemoryStore:
    """An in-memory :class:`citronrail.ports.KeyValueStore`.

    ``faults`` may be changed at any time. ``calls`` counts the calls by
    kind; a watch counts once, however long it waits. A write whose caller
    stops waiting takes effect later, once its delay has passed and the store
    responds again.

    :param history_events: number of events kept for watches.
    """

    def __init__(
        self, history_events: int = _state.MAX_HISTORY_EVENTS
    ) -> None:
        self.state = _state.StoreState(history_events)
        self.faults = _faults.Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._writes = 0
        self._changed = trio.Event()
        self._watches_dropped = 0
        self._down_since = 0.0
        self._abandoned_writes: list[
            tuple[float, collections.abc.Callable[[], object]]
        ] = []

    async def get(self, key: str) -> ports.KeyValue | None:
        """Read one key; see the port."""
        return await self._read(
            'get', lambda: self.state.get(key, self.faults.stale_by)
        )

    async def list(
        self, prefix: str, keep: ports.ItemFilter | None = None
    ) -> ports.Listing:
        """Read the keys under a prefix; see the port."""
        listing = await self._read(
            'list', lambda: self.state.list(prefix, self.faults.stale_by)
        )
        return ports.Listing(
            tuple(filter(keep, listing.items)) if keep else listing.items,
            listing.revision,
        )

    async def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Carry out a transaction; see the port."""
        return await self._write(
            'txn', lambda: self.state.txn(compares, writes)
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; see the port."""
        return await self._write(
            'grant_lease',
            lambda: self.state.grant_lease(ttl_s, trio.current_time()),
        )

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; see the port."""
        ttl_s = await self._write(
            'keep_alive',
            lambda: self.state.keep_alive(lease_id, trio.current_time()),
        )
        return ttl_s > 0

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; see the port."""
        await self._write(
            'revoke_lease', lambda: self.state.revoke_lease(lease_id)
        )

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]
    ]:
        """Receive changes; see the port."""
        self.calls['watch'] += 1
        await self._apply_faults('watch')
        events = self._events(prefix, start_revision)
        try:
            yield events
        finally:
            await events.aclose()

    def lapse_leases(self) -> None:
        """Expire all leases immediately."""
        self.state.lapse_leases()
        self._notify()

    def drop_watches(self) -> None:
        """End all watches with an error."""
        self._watches_dropped += 1
        self._notify()

    def set_faults(self, **switches: typing.Any) -> None:
        """Change fault switches by name; an outage ends the watches.

        :param switches: fields of :class:`Faults`.
        """
        was_down = self.faults.outage
        self.faults = dataclasses.replace(self.faults, **switches)
        if self.faults.outage and not was_down:
            self._apply_due_events()
            self._down_since = trio.current_time()
        elif was_down and not self.faults.outage and self.faults.pause_leases:
            self.state.defer_leases(trio.current_time() - self._down_since)
        if self.faults.outage or self.faults.hang:
            self.drop_watches()

    async def _events(
        self, prefix: str, revision: int
    ) -> collections.abc.AsyncGenerator[tuple[ports.WatchEvent, ...], None]:
        dropped = self._watches_dropped
        while True:
            if self._watches_dropped != dropped or self.faults.outage:
                raise errors.StoreUnavailable(
                    'the watch was closed', step='store.watch'
                )
            self._apply_due_events()
            changed = self._changed
            events = self.state.events_from(prefix, revision)
            if events:
                revision = events[-1].revision + 1
                yield events
            else:
                expiry = self.state.next_expiry()
                with trio.move_on_at(trio.current_time() + 3600.0) as scope:
                    if expiry is not None:
                        scope.deadline = min(scope.deadline, expiry)
                    await changed.wait()

    async def _read(
        self, kind: str, action: collections.abc.Callable[[], R]
    ) -> R:
        self.calls[kind] += 1
        await self._apply_faults(kind)
        return action()

    async def _write(
        self, kind: str, action: collections.abc.Callable[[], R]
    ) -> R:
        self.calls[kind] += 1
        due_at = trio.current_time() + self.faults.delay_s
        try:
            await self._apply_faults(kind)
        except trio.Cancelled:
            # The caller timed out, but its request is still in flight.
            self._abandoned_writes.append((due_at, action))
            raise
        result = action()
        self._notify()
        self._writes += 1
        if self._should_lose_response():
            raise errors.StoreOutcomeUnknown(
                'the response was lost', step=f'store.{kind}'
            )
        return result

    async def _apply_faults(self, kind: str) -> None:
        await trio.lowlevel.checkpoint()
        if self.faults.delay_s > 0:
            await trio.sleep(self.faults.delay_s)
        while self.faults.hang:
            await trio.sleep(HANG_POLL_INTERVAL_S)
        if self.faults.outage:
            raise errors.StoreUnavailable(
                'the store is unavailable', step=f'store.{kind}'
            )
        self._apply_due_events()

    def _should_lose_response(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        every = self.faults.lose_every
        return every > 0 and self._writes % every == 0

    def _apply_due_events(self) -> None:
        old_revision = self.state.revision
        now = trio.current_time()
        self.state.expire_leases(now)
        due = [
            action
            for due_at, action in self._abandoned_writes
            if due_at <= now
        ]
        self._abandoned_writes = [
            pending for pending in self._abandoned_writes if pending[0] > now
        ]
        for action in due:
            with contextlib.suppress(errors.CitronrailError):
                action()
        if self.state.revision != old_revision:
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
