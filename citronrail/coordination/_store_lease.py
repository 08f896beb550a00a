"""A store lease whose end is known on the local clock."""

import trio

from citronrail.coordination import _peer_clock
from citronrail.coordination import _store_calls
from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import coordination as events
from citronrail import ports

LEASE_TTL_S = 5.0
RENEWALS_PER_TTL = 4  # two renewals may fail before the lease is in danger
NEVER = float('-inf')


class StoreLease:
    """One lease at a time, renewed while it lasts.

    The local deadline counts from before the renewing call left and is
    shortened by the clock rate margin, so it passes before the store can
    expire the lease. A lease whose deadline has passed is never used again.

    :param store: store that grants the lease.
    :param ttl_s: time to live in seconds.
    """

    def __init__(
        self, store: ports.KeyValueStore, ttl_s: float = LEASE_TTL_S
    ) -> None:
        self._store = store
        self._ttl_s = ttl_s
        self._lease_id = 0
        self._held_until = NEVER
        self._last_contact = NEVER

    @property
    def lease_id(self) -> int:
        """Id of the lease, 0 before the first."""
        return self._lease_id

    @property
    def held_until(self) -> float:
        """Local time until which the lease certainly lasts."""
        return self._held_until

    @property
    def last_contact(self) -> float:
        """Local time before the last renewing call that was answered."""
        return self._last_contact

    @property
    def holds(self) -> bool:
        """Whether the lease certainly lasts now."""
        return trio.current_time() < self._held_until

    async def grant(self) -> int:
        """Get a new lease.

        :returns: its id.
        :raises citronrail.errors.StoreError: if none was granted.
        """
        asked_at = trio.current_time()
        self._held_until = NEVER
        self._lease_id = await _store_calls.bounded(
            self._store.grant_lease(self._ttl_s), 'lease.grant'
        )
        self._renewed(asked_at)
        observability.emit(
            events.LEASE_GRANTED, lease_id=self._lease_id, ttl_s=self._ttl_s
        )
        return self._lease_id

    async def keep_alive(self) -> None:
        """Renew the lease until it is lost.

        :raises citronrail.errors.LeaseLost: always, when it is lost.
        """
        interval_s = self._ttl_s / RENEWALS_PER_TTL
        while True:
            await trio.sleep_until(
                min(trio.current_time() + interval_s, self._held_until)
            )
            await self._renew()

    async def revoke(self) -> None:
        """End the lease; a failure only delays its end by its lifetime."""
        self._held_until = NEVER
        if not self._lease_id:
            return
        lease_id, self._lease_id = self._lease_id, 0
        try:
            await _store_calls.bounded(
                self._store.revoke_lease(lease_id), 'lease.revoke'
            )
        except errors.StoreError as exc:
            observability.emit(events.STORE_CALL_FAILED, reason=exc)

    async def _renew(self) -> None:
        asked_at = trio.current_time()
        if not self.holds:
            raise self._lost('it was not renewed in time')
        left_s = min(_store_calls.CALL_TIMEOUT_S, self._held_until - asked_at)
        try:
            alive = await _store_calls.bounded(
                self._store.keep_alive(self._lease_id), 'lease.renew', left_s
            )
        except errors.StoreError as exc:
            observability.emit(events.STORE_CALL_FAILED, reason=exc)
            return
        if not alive:
            raise self._lost('the store has expired it')
        if not self.holds:
            raise self._lost('the answer came too late')
        self._renewed(asked_at)

    def _renewed(self, asked_at: float) -> None:
        self._last_contact = asked_at
        self._held_until = asked_at + _peer_clock.shortened(self._ttl_s)

    def _lost(self, reason: str) -> errors.LeaseLost:
        self._held_until = NEVER
        observability.emit(
            events.LEASE_LOST, lease_id=self._lease_id, reason=reason
        )
        return errors.LeaseLost(reason, step='lease.renew')
