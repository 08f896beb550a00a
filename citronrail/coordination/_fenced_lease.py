"""A named lease with a fencing token."""

import contextlib

import trio

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _store_lease
from citronrail import errors
from citronrail.model import identifiers
from citronrail import ports

LEASES_PREFIX = '/citronrail/leases/'
RETRY_S = 0.5


class FencedLease:
    """Named lock with a lease; fencing tokens increase monotonically.

    The holder calls :meth:`check`, which compares the local deadline, before
    each action, and adds :attr:`guard` to its store transactions.

    :param store: store that keeps the lease.
    :param name: name of the lock, such as ``compaction``.
    :param holder: this process.
    :param ttl_s: time to live in seconds.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        name: str,
        holder: claims.Member,
        ttl_s: float = _store_lease.LEASE_TTL_S,
    ) -> None:
        self._store = store
        self._key = LEASES_PREFIX + name
        self._holder = holder
        self._lease = _store_lease.StoreLease(store, ttl_s)
        self._claim: claims.Claim | None = None

    @property
    def held_until(self) -> float:
        """Local deadline of the lease; minus infinity if not held."""
        if self._claim is None:
            return _store_lease.NEVER
        return self._lease.held_until

    @property
    def guard(self) -> ports.Compare:
        """Transaction condition that fails once another process holds it.

        :raises citronrail.errors.LeaseLost: if the lease is not held.
        """
        self.check()
        assert self._claim is not None
        return self._claim.guard

    def check(self) -> identifiers.FencingToken:
        """Verify that the lease is held now.

        :returns: the fencing token to send with every action.
        :raises citronrail.errors.LeaseLost: if the lease is not held.
        """
        if self._claim is None or not self._lease.holds:
            raise errors.LeaseLost('the lease is not held', step='lease.check')
        return self._claim.fencing

    async def acquire(self) -> identifiers.FencingToken:
        """Acquire the lease, retrying until it is free.

        :returns: the fencing token, higher than that of any previous holder.
        """
        while True:
            try:
                if await self._try_acquire():
                    return self.check()
            except (errors.StoreError, errors.LeaseLost):
                pass
            await trio.sleep(RETRY_S)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[
            identifiers.FencingToken
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Acquire the lease, pass on the token and renew until lost.

        The fencing token is the value of ``task_status.started()``.

        :raises citronrail.errors.LeaseLost: when the lease is lost.
        """
        task_status.started(await self.acquire())
        try:
            await self._lease.keep_alive()
        finally:
            self._claim = None

    async def release(self) -> None:
        """Release the lease so that another process can acquire it."""
        claim, self._claim = self._claim, None
        if claim is not None and self._lease.holds:
            # If this fails, revoking or expiry of the lease deletes the key.
            with contextlib.suppress(errors.StoreError):
                await claims.release(
                    self._store, self._key, claim, self._holder
                )
        await self._lease.revoke()

    async def _try_acquire(self) -> bool:
        if not self._lease.holds:
            self._claim = None
            await self._lease.revoke()
            await self._lease.grant()
        state = await claims.read_state(self._store, self._key)
        self._claim = await claims.claim(
            self._store, state, self._holder, self._lease.lease_id
        )
        return self._claim is not None
