"""A store lease with a conservative local deadline."""

import trio

from citronrail.coordination import _peer_clock
from citronrail.coordination import _store_calls
from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import coordination as events
from citronrail import ports

LEASE_TTL_S = 5.0
RENEWALS_PER_TTL = 4  # two consecutive renewals may fail
NEVER = float('-inf')


class StoreLease:
    """Holds one lease at a time and renews it.

    The local deadline is measured from before the renewal request was sent
    and reduced by the clock rate margin, so it passes before the store can
    expire the lease. A lease is never used after its local deadline.

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
        self._ended = False

    @property
    def lease_id(self) -> int:
        """Id of the current lease; 0 if there is none."""
        return self._lease_id

    @property
    def held_until(self) -> float:
        """Local deadline, no later than the expiry in the store."""
        return self._held_until

    @property
    def last_contact(self) -> float:
        """Local time at which the last successful renewal was sent."""
        return self._last_contact

    @property
    def holds(self) -> bool:
        """Whether the local deadline is still ahead."""
        return trio.current_time() < self._held_until

    @property
    def ended(self) -> bool:
        """Whether the store has reported the end of the current lease."""
        return self._ended

    async def grant(self) -> int:
        """Acquire a new lease.

        :returns: the id of the lease.
        :raises citronrail.errors.StoreError: if the store granted none.
        """
        requested_at = trio.current_time()
        self._held_until = NEVER
        self._ended = False
        self._lease_id = await _store_calls.with_timeout(
            self._store.grant_lease(self._ttl_s), 'lease.grant'
        )
        self._record_renewal(requested_at)
        observability.emit(
            events.LEASE_GRANTED, lease_id=self._lease_id, ttl_s=self._ttl_s
        )
        return self._lease_id

    async def keep_alive(self) -> None:
        """Renew the lease periodically until it is lost.

        :raises citronrail.errors.LeaseLost: when the lease is lost; the method
            does not return otherwise.
        """
        interval_s = self._ttl_s / RENEWALS_PER_TTL
        while True:
            await trio.sleep_until(
                min(trio.current_time() + interval_s, self._held_until)
            )
            await self._renew()

    async def revoke(self) -> None:
        """Revoke the lease; if that fails, it expires after its TTL."""
        self._held_until = NEVER
        if not self._lease_id:
            return
        lease_id, self._lease_id = self._lease_id, 0
        try:
            await _store_calls.with_timeout(
                self._store.revoke_lease(lease_id), 'lease.revoke'
            )
        except errors.StoreError as exc:
            observability.emit(events.STORE_CALL_FAILED, reason=exc)

    async def renew_lapsed(self, timeout_s: float) -> float:
        """Renew the lease after its local deadline has passed.

        The lease is not held again until :meth:`resume` is called, so that
        the caller can verify first what depends on it.

        :param timeout_s: timeout of the call in seconds.
        :returns: the local deadline that this renewal grants.
        :raises citronrail.errors.LeaseLost: if the store has ended the lease.
        :raises citronrail.errors.StoreError: if the store gave no answer.
        """
        if not self._lease_id or self._ended:
            raise errors.LeaseLost('there is no lease', step='lease.resume')
        requested_at = trio.current_time()
        alive = await _store_calls.with_timeout(
            self._store.keep_alive(self._lease_id), 'lease.resume', timeout_s
        )
        if not alive:
            self._ended = True
            raise self._mark_lost('the store has expired the lease')
        return self._deadline(requested_at)

    def resume(self, deadline: float) -> None:
        """Hold the lease again.

        :param deadline: result of :meth:`renew_lapsed`.
        """
        self._held_until = max(self._held_until, deadline)

    async def _renew(self) -> None:
        requested_at = trio.current_time()
        if not self.holds:
            raise self._mark_lost(
                'the local deadline passed without a renewal'
            )
        timeout_s = min(
            _store_calls.CALL_TIMEOUT_S, self._held_until - requested_at
        )
        try:
            alive = await _store_calls.with_timeout(
                self._store.keep_alive(self._lease_id),
                'lease.renew',
                timeout_s,
            )
        except errors.StoreError as exc:
            observability.emit(events.STORE_CALL_FAILED, reason=exc)
            return
        if not alive:
            self._ended = True
            raise self._mark_lost('the store has expired the lease')
        if not self.holds:
            raise self._mark_lost(
                'the renewal reply arrived after the local deadline'
            )
        self._record_renewal(requested_at)

    def _record_renewal(self, requested_at: float) -> None:
        self._last_contact = requested_at
        self._held_until = self._deadline(requested_at)

    def _deadline(self, requested_at: float) -> float:
        return requested_at + _peer_clock.shortened(self._ttl_s)

    def _mark_lost(self, reason: str) -> errors.LeaseLost:
        self._held_until = NEVER
        observability.emit(
            events.LEASE_LOST, lease_id=self._lease_id, reason=reason
        )
        return errors.LeaseLost(reason, step='lease.renew')
