"""At most once by reservations in the store, for comparison only.

This is the design of the paper "Failing fast: a solution to quickly detect
duplicate data using Redis in a synchronous flow": a request reserves its key
by set-if-absent with an expiry, the reservation's revision serves as fencing
token, and after the run the reservation is promoted to a lasting result. It
needs two or more store calls a request. citronrail keeps its keys in
:class:`citronrail.coordination.IdempotencyKeeper` instead; see
docs/design.md, section 7.
"""

import dataclasses

import msgspec
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


class _Leases:
    """Shares one lease among the keys of a time slot."""

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

    def forget(self) -> None:
        self._granted_at = float('-inf')


class StoreReservation:
    """Reserves keys in the store.

    :param store: store that keeps the keys.
    :param reservation_s: least time in seconds that a reservation lasts.
    :param lifetime_s: least time in seconds that a result is kept.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        reservation_s: float = 30.0,
        lifetime_s: float = 600.0,
    ) -> None:
        self._store = store
        self._reserved = _Leases(store, reservation_s)
        self._promoted = _Leases(store, lifetime_s)

    async def reserve(
        self, key: str, holder: str, fingerprint: str
    ) -> StoreVerdict:
        """Reserve a key if it is absent.

        :param key: idempotency key.
        :param holder: id of the request.
        :param fingerprint: digest of the request.
        :returns: the verdict; a lost answer is resolved by reading back.
        :raises citronrail.errors.StoreError: if nothing is known.
        """
        place = KEYS_PREFIX + key
        value = StoredReservation(holder, fingerprint)
        try:
            result = await self._put(place, 0, value, self._reserved)
            if result.succeeded:
                return StoreVerdict('granted', result.revision)
        except errors.StoreOutcomeUnknown:
            pass  # The key is read back.
        return await self._existing(place, value)

    async def promote(self, key: str, token: int, answer: bytes) -> None:
        """Replace a reservation by a lasting result.

        :param key: idempotency key.
        :param token: fencing token of the grant.
        :param answer: what repeated requests get.
        :raises citronrail.errors.Fenced: if the reservation has expired.
        :raises citronrail.errors.StoreError: if the outcome isn't known.
        """
        place = KEYS_PREFIX + key
        done = StoredReservation('', '', True, answer)
        result = await self._put(place, token, done, self._promoted)
        if not result.succeeded:
            raise errors.Fenced(
                'the reservation has expired', step='reservation.promote'
            )

    async def release(self, key: str, token: int) -> bool:
        """Drop the reservation of a request that surely was not run.

        :param key: idempotency key.
        :param token: fencing token of the grant.
        :returns: False if it had expired.
        """
        place = KEYS_PREFIX + key
        result = await self._store.txn(
            [ports.Compare(place, token)], [ports.Delete(place)]
        )
        return result.succeeded

    async def _put(
        self,
        place: str,
        revision: int,
        value: StoredReservation,
        leases: _Leases,
    ) -> ports.TxnResult:
        """Write under a shared lease; one that lapsed is replaced once."""
        lease_id = await leases.current()
        compares = [ports.Compare(place, revision)]
        data = codec.encode(value)
        try:
            return await self._store.txn(
                compares, [ports.Put(place, data, lease_id)]
            )
        except errors.LeaseLost:
            leases.forget()
            lease_id = await leases.current()
            return await self._store.txn(
                compares, [ports.Put(place, data, lease_id)]
            )

    async def _existing(
        self, place: str, wanted: StoredReservation
    ) -> StoreVerdict:
        item = await self._store.get(place)
        if item is None:
            raise errors.StoreUnavailable(
                'the key has just expired', step='reservation.reserve'
            )
        try:
            stored = codec.decode(item.value, StoredReservation)
        except msgspec.DecodeError as exc:
            raise errors.StoreError(
                str(exc), step='reservation.decode'
            ) from exc
        if stored.promoted:
            return StoreVerdict('done', answer=stored.answer)
        if stored.holder == wanted.holder:
            return StoreVerdict('granted', item.revision)
        if stored.fingerprint != wanted.fingerprint:
            return StoreVerdict('conflict')
        return StoreVerdict('in progress')
