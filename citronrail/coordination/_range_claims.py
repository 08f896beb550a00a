"""Claims and releases of ranges, and their owner records."""

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
    """Writes this entry's ownership and member records.

    The members that must promise an extension always include those in the
    stored records, because an entry that takes a range over asks only one of
    the recorded members.

    :param store: store to write to.
    :param this_entry: identity of this process.
    :param lease: store lease of this process.
    :param held: table of held ranges.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        this_entry: claims.Member,
        lease: _store_lease.StoreLease,
        held: ranges.HeldRanges,
    ) -> None:
        self._store = store
        self._this_entry = this_entry
        self._lease = lease
        self._held = held
        self._last_fencing: dict[int, identifiers.FencingToken] = {}
        # Members in record writes that may still take effect.
        self._pending_members: frozenset[claims.Member] = frozenset()

    def update_required_members(self, view: views.OwnershipView) -> None:
        """Update the members that must promise an extension.

        :param view: the latest read of the store.
        """
        recorded = {
            member
            for held in self._held.all()
            if (record := view.range_states[held.range_id].record)
            for member in record.members
        }
        latest = {entry.member for entry in view.entries}
        required = recorded | latest | self._pending_members
        self._held.members = frozenset(required - {self._this_entry})

    def drop_superseded(
        self, view: views.OwnershipView
    ) -> list[ranges.HeldRange]:
        """Drop the held ranges that the store no longer assigns to this entry.

        :param view: the latest read of the store.
        :returns: the dropped ranges.
        """
        dropped = []
        for held in self._held.all():
            state = view.range_states[held.range_id]
            if view.revision < held.claim.guard.revision:
                continue
            same_claim = state.fencing == held.claim.fencing
            has_holder = state.holder is not None
            if same_claim and (
                has_holder or not self._held.commits_allowed(held)
            ):
                continue
            self._held.drop(held.range_id)
            dropped.append(held)
        return dropped

    def can_reclaim(
        self, range_id: identifiers.RangeId, state: claims.OwnershipState
    ) -> bool:
        """Return whether this process may reclaim a range without waiting.

        :param range_id: the range.
        :param state: stored state, held by this process or by none.
        :returns: True if this process was the last owner and its claim has to
            be renewed under the current lease.
        """
        held = self._held.get(range_id)
        if held is not None and self._held.commits_allowed(held):
            return False
        return state.holder is not None or self._is_last_owner(range_id, state)

    async def claim(
        self,
        range_id: identifiers.RangeId,
        view: views.OwnershipView,
    ) -> ranges.HeldRange | None:
        """Claim a range under the current lease.

        :param range_id: a range held by this process or by none.
        :param view: the latest read of the store.
        :returns: the held range, or None if another process claimed it first.
        :raises citronrail.errors.StoreError: if the outcome is unknown.
        """
        state = view.range_states[range_id]
        members = self._other_members(view)
        self._pending_members |= set(members)
        self.update_required_members(view)
        lease_id = self._lease.lease_id
        claim = await claims.claim(
            self._store, state, self._this_entry, lease_id, members
        )
        if claim is None:
            return None
        record = state.record
        held = ranges.HeldRange(
            range_id,
            claim,
            lease_id,
            record.owner.node_id if record else None,
            bool(record and record.released),
            self._is_last_owner(range_id, state),
        )
        self._held.put(held)
        self._last_fencing[range_id] = claim.fencing
        return held

    async def release(
        self, held: ranges.HeldRange, successor: identifiers.NodeId
    ) -> None:
        """Release a range; if that fails, the claim expires with its lease.

        :param held: the range.
        :param successor: intended next owner, or ''.
        """
        with contextlib.suppress(errors.StoreError):
            await claims.release(
                self._store,
                views.range_key(held.range_id),
                held.claim,
                self._this_entry,
                successor,
            )

    async def update_records(self, view: views.OwnershipView) -> bool:
        """Write the current members to the records of held ranges.

        :param view: the latest read of the store.
        :returns: whether a write was necessary.
        :raises citronrail.errors.StoreError: if the outcome is unknown.
        """
        members = self._other_members(view)
        outdated = [
            held
            for held in self._held.all()
            if self._held.commits_allowed(held)
            and (state := view.range_states[held.range_id]).record is not None
            and state.fencing == held.claim.fencing
            and state.record.members != members
        ]
        if not outdated:
            return False
        self._pending_members |= set(members)
        self.update_required_members(view)
        result = await _store_calls.with_timeout(
            self._store.txn(
                [held.claim.guard for held in outdated],
                [self._record_put(held, members) for held in outdated],
            ),
            'ownership.members',
        )
        if result.succeeded:
            self._pending_members = frozenset(members)
        return True

    def _record_put(
        self, held: ranges.HeldRange, members: tuple[claims.Member, ...]
    ) -> ports.Put:
        record = claims.OwnerRecord(
            self._this_entry, held.claim.fencing, members
        )
        key = views.range_key(held.range_id) + claims.RECORD_SUFFIX
        return ports.Put(key, codec.encode(record))

    def _other_members(
        self, view: views.OwnershipView
    ) -> tuple[claims.Member, ...]:
        return tuple(
            entry.member
            for entry in view.entries
            if entry.node_id != self._this_entry.node_id
        )

    def _is_last_owner(
        self, range_id: identifiers.RangeId, state: claims.OwnershipState
    ) -> bool:
        return (
            state.record is not None
            and state.record.owner == self._this_entry
            and not state.record.released
            and self._last_fencing.get(range_id) == state.record.fencing
        )
