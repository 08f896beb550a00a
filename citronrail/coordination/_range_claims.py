"""Claims, releases and records of ranges in the store."""

import contextlib

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _owned_ranges as ranges
from citronrail.coordination import _ownership_view as views
from citronrail.coordination import _store_calls
from citronrail.coordination import _store_lease
from citronrail import errors
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail import ports


class RangeClaims:
    """Writes this entry's ownership and keeps the member list.

    The members that must promise an extension are always at least those in
    the records in the store: a taker asks only one of the latter.

    :param store: store to write to.
    :param me: this process.
    :param lease: its store lease.
    :param held: table of held ranges.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        me: claims.Member,
        lease: _store_lease.StoreLease,
        held: ranges.HeldRanges,
    ) -> None:
        self._store = store
        self._me = me
        self._lease = lease
        self._held = held
        self._last_fencing: dict[int, identifiers.FencingToken] = {}
        # Members in records whose write may still take effect.
        self._pending: frozenset[claims.Member] = frozenset()

    def know_members(self, view: views.OwnershipView) -> None:
        """Work out who must promise an extension.

        :param view: the latest read of the store.
        """
        recorded = {
            member
            for held in self._held.all()
            if (record := view.places[held.range_id].record)
            for member in record.members
        }
        latest = {entry.member for entry in view.entries}
        everyone = recorded | latest | self._pending
        self._held.members = frozenset(everyone - {self._me})

    def drop_taken(self, view: views.OwnershipView) -> list[ranges.Held]:
        """Drop the ranges that the store shows with another owner.

        :param view: the latest read of the store.
        :returns: the dropped ones.
        """
        dropped = []
        for held in self._held.all():
            place = view.places[held.range_id]
            if view.revision < held.claim.guard.revision:
                continue
            mine = place.fencing == held.claim.fencing
            present = place.holder is not None
            if mine and (present or not self._held.commits_allowed(held)):
                continue
            self._held.drop(held.range_id)
            dropped.append(held)
        return dropped

    def continues(
        self, range_id: identifiers.RangeId, place: claims.Place
    ) -> bool:
        """Tell whether a range needs a new claim by its last owner.

        :param range_id: the range.
        :param place: its place, held by this process or by nobody.
        :returns: True if this process may claim it without waiting.
        """
        held = self._held.get(range_id)
        if held is not None and self._held.commits_allowed(held):
            return False
        return place.holder is not None or self._is_last_owner(range_id, place)

    async def claim(
        self,
        range_id: identifiers.RangeId,
        view: views.OwnershipView,
    ) -> ranges.Held | None:
        """Claim a range under the present lease.

        :param range_id: a range held by this process or by nobody.
        :param view: the latest read of the store.
        :returns: the held range, or None if another claim came first.
        :raises citronrail.errors.StoreError: if the outcome isn't known.
        """
        place = view.places[range_id]
        members = self._others(view)
        self._pending |= set(members)
        self.know_members(view)
        lease_id = self._lease.lease_id
        claim = await claims.claim(
            self._store, place, self._me, lease_id, members
        )
        if claim is None:
            return None
        record = place.record
        held = ranges.Held(
            range_id,
            claim,
            lease_id,
            record.owner.node_id if record else None,
            bool(record and record.released),
            self._is_last_owner(range_id, place),
        )
        self._held.put(held)
        self._last_fencing[range_id] = claim.fencing
        return held

    async def release(
        self, held: ranges.Held, successor: identifiers.NodeId
    ) -> None:
        """Give a range up; if that fails, it ends with the lease.

        :param held: the range.
        :param successor: who should claim it next, or ''.
        """
        with contextlib.suppress(errors.StoreError):
            await claims.release(
                self._store,
                views.range_key(held.range_id),
                held.claim,
                self._me,
                successor,
            )

    async def update_records(self, view: views.OwnershipView) -> bool:
        """Write the present members to the records of held ranges.

        :param view: the latest read of the store.
        :returns: whether something was written.
        :raises citronrail.errors.StoreError: if the outcome isn't known.
        """
        members = self._others(view)
        outdated = [
            held
            for held in self._held.all()
            if self._held.commits_allowed(held)
            and (place := view.places[held.range_id]).record is not None
            and place.fencing == held.claim.fencing
            and place.record.members != members
        ]
        if not outdated:
            return False
        self._pending |= set(members)
        self.know_members(view)
        result = await _store_calls.bounded(
            self._store.txn(
                [held.claim.guard for held in outdated],
                [self._record_put(held, members) for held in outdated],
            ),
            'ownership.members',
        )
        if result.succeeded:
            self._pending = frozenset(members)
        return True

    def _record_put(
        self, held: ranges.Held, members: tuple[claims.Member, ...]
    ) -> ports.Put:
        record = claims.OwnerRecord(self._me, held.claim.fencing, members)
        key = views.range_key(held.range_id) + claims.RECORD_SUFFIX
        return ports.Put(key, codec.encode(record))

    def _others(self, view: views.OwnershipView) -> tuple[claims.Member, ...]:
        return tuple(
            entry.member
            for entry in view.entries
            if entry.node_id != self._me.node_id
        )

    def _is_last_owner(
        self, range_id: identifiers.RangeId, place: claims.Place
    ) -> bool:
        return (
            place.record is not None
            and place.record.owner == self._me
            and not place.record.released
            and self._last_fencing.get(range_id) == place.record.fencing
        )
