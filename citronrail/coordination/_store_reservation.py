"""At-most-once execution by reservations in the store, for comparison.

This is the design of the paper "Failing fast: a solution to quickly detect
duplicate data using Redis in a synchronous flow": a request reserves its key
by set-if-absent with an expiry, the reservation's revision serves as fencing
token, and after the run the reservation is promoted to a stored result. It
needs at least two store calls a request. citronrail keeps its keys in
:class:`citronrail.coordination.IdempotencyKeeper` instead; see
docs/design.md, section 7.
"""

import dataclasses

import trio

from citronrail import errors
from citronrail.model import codec
from citronrail import ports

KEYS_PREFIX = '/citronrail/reservations/'
LEASE_SLOT_S = 10.0


@dataclasses.dataclass(frozen=True)
class StoredReservation:
    """Value of a key; ``holder`` names the reserving request."""

    holder: str
    fingerprint: str
    promoted: bool = False
    answer: bytes = b''


@dataclasses.dataclass(frozen=True)
class StoreVerdict:
    """Reply to a reservation.

    ``verdict`` is ``granted``, ``in progress``, ``done`` or ``conflict``.
    ``token`` is the fencing token of a grant.
    """

    verdict: str
    token: int = 0
    answer: bytes = b''


class _SharedLease:
    """One lease for all keys that are written in a time slot."""

    def __init__(self, store: ports.KeyValueStore, ttl_s: float) -> None:
        self._store = store
        self._ttl_s = ttl_s
        self._lease_id = 0
        self._granted_at = float('-inf')
        self._lock = trio.Lock()

    async def current(self) -> int:
        async with self._lock:
            now = trio.current_time()
            if now >= self._granted_at + LEASE_SLOT_S:
                self._lease_id = await self._store.grant_lease(
                    self._ttl_s + LEASE_SLOT_S
                )
                self._granted_at = now
            return self._lease_id

    def reset(self) -> None:
        self._granted_at = float('-inf')


class StoreReservation:
    """Reserves keys in the store.

    :param store: store that keeps the keys.
    :param reservation_s: minimum lifetime of a reservation, in seconds.
    :param lifetime_s: minimum lifetime of a result, in seconds.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        reservation_s: float = 30.0,
        lifetime_s: float = 600.0,
    ) -> None:
        self._store = store
        self._reservation_lease = _SharedLease(store, reservation_s)
        self._result_lease = _SharedLease(store, lifetime_s)

    async def reserve(
        self, key: str, holder: str, fingerprint: str
    ) -> StoreVerdict:
        """Reserve a key if it is absent.

        :param key: idempotency key.
        :param holder: id of the request.
        :param fingerprint: digest of the request.
        :returns: the verdict; if the reply is lost, the key is read back.
        :raises citronrail.errors.StoreError: if the outcome is unknown.
        """
        store_key = KEYS_PREFIX + key
        value = StoredReservation(holder, fingerprint)
        try:
            result = await self._put(
                store_key, 0, value, self._reservation_lease
            )
            if result.succeeded:
                return StoreVerdict('granted', result.revision)
        except errors.StoreOutcomeUnknown:
            pass  # Read the key back to find the outcome.
        return await self._read_existing(store_key, value)

    async def promote(self, key: str, token: int, answer: bytes) -> None:
        """Replace a reservation by a stored result.

        :param key: idempotency key.
        :param token: fencing token of the grant.
        :param answer: answer to repeated requests.
        :raises citronrail.errors.Fenced: if the reservation has expired.
        :raises citronrail.errors.StoreError: if the outcome is unknown.
        """
        store_key = KEYS_PREFIX + key
        done = StoredReservation('', '', True, answer)
        result = await self._put(store_key, token, done, self._result_lease)
        if not result.succeeded:
            raise errors.Fenced(
                'the reservation has expired', step='reservation.promote'
            )

    async def release(self, key: str, token: int) -> bool:
        """Delete the reservation of a request that was not run.

        :param key: idempotency key.
        :param token: fencing token of the grant.
        :returns: False if the reservation had expired.
        """
        store_key = KEYS_PREFIX + key
        result = await self._store.txn(
            [ports.Compare(store_key, token)], [ports.Delete(store_key)]
        )
        return result.succeeded

    async def _put(
        self,
        store_key: str,
        revision: int,
        value: StoredReservation,
        shared_lease: _SharedLease,
    ) -> ports.TxnResult:
        """Write under the shared lease; retry once if it has expired."""
        lease_id = await shared_lease.current()
        compares = [ports.Compare(store_key, revision)]
        data = codec.encode(value)
        try:
            return await self._store.txn(
                compares, [ports.Put(store_key, data, lease_id)]
            )
        except errors.LeaseLost:
            shared_lease.reset()
            lease_id = await shared_lease.current()
            return await self._store.txn(
                compares, [ports.Put(store_key, data, lease_id)]
            )

    async def _read_existing(
        self, store_key: str, requested: StoredReservation
    ) -> StoreVerdict:
        item = await self._store.get(store_key)
        if item is None:
            raise errors.StoreUnavailable(
                'the key has just expired',
                step='reservation.reserve',
            )
        try:
            stored = codec.decode(item.value, StoredReservation)
        except errors.Undecodable as exc:
            raise errors.StoreError(
                str(exc), step='reservation.decode'
            ) from exc
        if stored.promoted:
            return StoreVerdict('done', answer=stored.answer)
        if stored.holder == requested.holder:
            return StoreVerdict('granted', item.revision)
        if stored.fingerprint != requested.fingerprint:
            return StoreVerdict('conflict')
        return StoreVerdict('in progress')
