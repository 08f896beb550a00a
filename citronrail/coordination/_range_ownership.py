"""Distributed ownership of ranges, based on leases in the store."""

import contextlib
import dataclasses
import typing

import trio

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _granted_promises
from citronrail.coordination import _listener_dispatch
from citronrail.coordination import _metrics
from citronrail.coordination import _owned_ranges as ranges
from citronrail.coordination import _ownership_peers
from citronrail.coordination import _ownership_plan as plans
from citronrail.coordination import _ownership_view as views
from citronrail.coordination import _range_claims
from citronrail.coordination import _received_promises
from citronrail.coordination import _store_calls
from citronrail.coordination import _store_lease
from citronrail.coordination import _takeover
from citronrail import errors
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import ranges as model_ranges
from citronrail import observability
from citronrail.observability.catalogue import coordination as events
from citronrail import ports

MIN_POLL_S = 0.05  # limits reads while other entries change ranges


@dataclasses.dataclass(frozen=True)
class OwnershipTiming:
    """Intervals and timeouts, in seconds.

    :param lease_ttl_s: time to live of the store lease.
    :param poll_interval_s: interval between reads of entries and ranges.
    :param expiry_interval_s: interval between checks for expired ranges; it
        bounds only the delay of listener calls, not the ownership.
    :param rebalance_interval_s: least interval between planned releases.
    :param release_timeout_s: time limit for listeners to transfer state.
    """

    lease_ttl_s: float = _store_lease.LEASE_TTL_S
    poll_interval_s: float = 1.0
    expiry_interval_s: float = 0.25
    rebalance_interval_s: float = 3.0
    release_timeout_s: float = 5.0


class RangeOwnership:
    """Acquires and maintains this entry's share of the ranges.

    :param store: store that keeps entries and ranges.
    :param hub: connections to the other entries.
    :param address: this entry's peer address, ``tcp://IP:PORT``.
    :param timing: intervals.
    :param range_count: number of ranges, equal in all entries.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        hub: ports.PeerHub,
        address: str,
        timing: OwnershipTiming | None = None,
        range_count: int = model_ranges.RANGE_COUNT,
    ) -> None:
        self._store = store
        self._this_entry = claims.Member(hub.node_id, hub.boot_id)
        self._address = address
        self._timing = timing or OwnershipTiming()
        self._range_count = range_count
        self._view = views.OwnershipView()
        self._draining = False
        self._poll_requested = trio.Event()
        self._joined = trio.Event()
        self._joined_lease_id = -1
        self._joined_at = _store_lease.NEVER
        self._read_at = _store_lease.NEVER
        self._last_rebalance_at = _store_lease.NEVER
        self._dispatcher = _listener_dispatch.ListenerDispatcher(range_count)
        self._lease = _store_lease.StoreLease(store, self._timing.lease_ttl_s)
        received = _received_promises.ReceivedPromises()
        self._held = ranges.HeldRanges(self._lease, received)
        self._claims = _range_claims.RangeClaims(
            store, self._this_entry, self._lease, self._held
        )
        granted = _granted_promises.GrantedPromises(trio.current_time())
        self._tracker = _takeover.TakeoverTracker(self._this_entry, granted)
        self._peers = _ownership_peers.OwnershipPeers(
            hub, self._lease, self._held, received, granted, self._tracker
        )

    def owned(self) -> tuple[ranges.OwnedRange, ...]:
        """Return the ranges held now, by their local deadlines."""
        return self._held.owned(trio.current_time())

    def find(self, range_id: identifiers.RangeId) -> ranges.OwnedRange | None:
        """Return a range if it is held now, by its local deadline.

        :param range_id: the range.
        :returns: the ownership with its current deadline, or None.
        """
        return self._held.find(range_id, trio.current_time())

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the owner of a range as of the latest read of the store.

        :param range_id: the range.
        :returns: node id of the owner, which may have changed since; None if
            there was no owner.
        """
        if self.find(range_id) is not None:
            return self._this_entry.node_id
        holder = self._view.holder_of(range_id)
        if holder is None or holder.owner == self._this_entry:
            return None
        return holder.owner.node_id

    def entries(self) -> tuple[views.EntryMember, ...]:
        """Return the entries as of the latest read of the store."""
        return self._view.entries

    def membership(self) -> views.MembershipState:
        """Return the known entries and the state of this entry's lease."""
        return views.MembershipState(
            entries=self._view.entries,
            revision=self._view.revision,
            read_at=self._read_at,
            lease_holds=self._lease.holds and self._is_member(),
            joined_at=self._joined_at,
            last_contact=self._lease.last_contact,
            has_history=any(state.record for state in self._view.range_states),
        )

    def _is_member(self) -> bool:
        """Return whether the membership key is bound to this lease."""
        return self._joined_lease_id == self._lease.lease_id

    def add_listener(self, listener: ranges.OwnershipListener) -> None:
        """Add a listener of ownership changes, before ``run``."""
        self._dispatcher.add(listener)

    async def joined(self) -> None:
        """Wait until a read of the store lists this entry as a member."""
        await self._joined.wait()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Acquire and maintain ranges until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._dispatcher.run)
            nursery.start_soon(self._maintain_lease)
            nursery.start_soon(self._poll)
            nursery.start_soon(self._watch)
            nursery.start_soon(self._peers.run)
            nursery.start_soon(self._drop_expired_ranges)
            task_status.started()

    async def drain(self) -> None:
        """Release all ranges and leave the membership.

        If the store is unreachable, other entries can take the ranges over
        only after the lease has expired.
        """
        self._draining = True
        with contextlib.suppress(errors.StoreError, errors.LeaseLost):
            await self._write_membership()
        with contextlib.suppress(errors.StoreError):
            await self._read_view()
        await self._release_all()
        await self._lease.revoke()

    async def _release_all(self) -> None:
        live = [
            e.node_id
            for e in self._view.entries
            if not e.draining and e.node_id != self._this_entry.node_id
        ]
        counts = dict.fromkeys(live, 0)
        for state in self._view.range_states:
            if state.holder and state.holder.owner.node_id in counts:
                counts[state.holder.owner.node_id] += 1
        async with trio.open_nursery() as nursery:
            for held in self._held.all():
                successor = claims.NO_NODE
                if counts:
                    successor = plans.least_loaded(counts)
                    counts[successor] += 1
                nursery.start_soon(self._release, held.range_id, successor)

    async def _maintain_lease(self) -> typing.NoReturn:
        while True:
            try:
                if not self._draining:
                    await self._lease.grant()
                    await self._write_membership()
                    self._poll_requested.set()
                    await self._lease.keep_alive()
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)
                await trio.sleep(self._timing.expiry_interval_s)
            except errors.LeaseLost:
                self._notify_lease_lost()
            await trio.sleep(self._timing.expiry_interval_s)

    async def _write_membership(self) -> None:
        """Write the membership key under the current lease."""
        if not self._lease.holds:
            raise errors.LeaseLost(
                'no valid lease for the membership key', step='entry.join'
            )
        entry = views.EntryMember(
            self._this_entry.node_id,
            self._this_entry.boot_id,
            self._address,
            self._draining,
        )
        put = ports.Put(
            views.entry_key(self._this_entry.node_id),
            codec.encode(entry),
            self._lease.lease_id,
        )
        await _store_calls.with_timeout(
            self._store.txn([], [put]), 'entry.join'
        )
        if self._joined_lease_id != put.lease_id:
            self._joined_lease_id = put.lease_id
            self._joined_at = trio.current_time()

    def _notify_lease_lost(self) -> None:
        now = trio.current_time()
        for held in self._held.all():
            owned = self._held.find(held.range_id, now)
            if owned is None:
                continue
            self._notify_commits_lost(owned)

    def _notify_commits_lost(self, owned: ranges.OwnedRange) -> None:
        observability.emit(
            events.RANGE_KEYS_ONLY,
            range_id=owned.range_id,
            members=len(self._held.members),
        )
        self._dispatcher.enqueue(
            owned.range_id, lambda listener: listener.commits_lost(owned)
        )

    async def _drop_expired_ranges(self) -> typing.NoReturn:
        while True:
            await trio.sleep(self._timing.expiry_interval_s)
            for held in self._held.pop_expired(trio.current_time()):
                self._notify_lost(
                    held.range_id, 'the local deadline has passed'
                )
            owned = self.owned()
            by_lease = sum(item.commits_allowed for item in owned)
            _metrics.RANGES_OWNED.labels('lease').set(by_lease)
            _metrics.RANGES_OWNED.labels('promises').set(len(owned) - by_lease)

    async def _watch(self) -> typing.NoReturn:
        """Trigger a poll as soon as a range changes."""
        while True:
            start = self._view.revision + 1
            try:
                async with self._store.watch(
                    views.RANGES_PREFIX, start
                ) as changes:
                    async for _ in changes:
                        self._poll_requested.set()
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)
            await trio.sleep(self._timing.poll_interval_s)

    async def _poll(self) -> typing.NoReturn:
        while True:
            with trio.move_on_after(self._timing.poll_interval_s):
                await self._poll_requested.wait()
            self._poll_requested = trio.Event()
            await trio.sleep(MIN_POLL_S)
            try:
                if await self._read_view() and not self._draining:
                    await self._apply_plan()
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)

    async def _read_view(self) -> bool:
        """Read the store; return False after a stale read."""
        read_at = trio.current_time()
        view = await views.read_view(self._store, self._range_count)
        if view.revision < self._view.revision:
            return False
        self._view = view
        self._read_at = read_at
        for held in self._claims.drop_superseded(view):
            self._notify_lost(
                held.range_id, 'the store no longer lists this entry as holder'
            )
        self._claims.update_required_members(view)
        return True

    async def _apply_plan(self) -> None:
        joined = any(e.member == self._this_entry for e in self._view.entries)
        if not joined or not self._lease.holds:
            return
        self._joined.set()
        plan = plans.make_plan(self._view, self._this_entry)
        planned = set(plan.claim)
        for number, state in enumerate(self._view.range_states):
            range_id = identifiers.RangeId(number)
            if (
                state.holder is not None
                and state.holder.owner != self._this_entry
            ):
                self._tracker.mark_held(range_id)
                continue
            if state.holder is None and state.record is not None:
                self._tracker.mark_free(
                    range_id, state.record, trio.current_time()
                )
            if self._claims.can_reclaim(range_id, state) or (
                range_id in planned
                and await self._may_take_over(range_id, state)
            ):
                await self._claim(range_id)
        if await self._claims.update_records(self._view):
            self._poll_requested.set()
        await self._rebalance(plan)

    async def _may_take_over(
        self, range_id: identifiers.RangeId, state: claims.OwnershipState
    ) -> bool:
        if state.record is None:
            return True
        decision = self._tracker.decide(
            range_id, state.record, trio.current_time()
        )
        if decision.query_members:
            claim = messages.RangeClaim(range_id, state.record.fencing)
            await self._peers.query_takeover(claim, decision.query_members)
        if not decision.allowed:
            observability.emit(
                events.TAKEOVER_DELAYED,
                range_id=range_id,
                reason=decision.reason,
            )
        return decision.allowed

    async def _claim(self, range_id: identifiers.RangeId) -> None:
        held = await self._claims.claim(range_id, self._view)
        if held is None:
            self._poll_requested.set()
            return
        owned = self.find(range_id)
        if owned is not None:
            observability.emit(
                events.RANGE_ACQUIRED,
                range_id=range_id,
                fencing=owned.fencing,
            )
            self._dispatcher.enqueue(
                range_id, lambda listener: listener.acquired(owned)
            )

    async def _rebalance(self, plan: plans.OwnershipPlan) -> None:
        now = trio.current_time()
        interval_s = self._timing.rebalance_interval_s
        if plan.release is None or now < self._last_rebalance_at + interval_s:
            return
        self._last_rebalance_at = now
        await self._release(plan.release, plan.successor)

    async def _release(
        self, range_id: identifiers.RangeId, successor: identifiers.NodeId
    ) -> None:
        owned = self.find(range_id)
        held = self._held.get(range_id)
        if owned is None or held is None:
            return
        observability.emit(
            events.RANGE_RELEASING, range_id=range_id, successor=successor
        )
        notified = self._dispatcher.enqueue(
            range_id, lambda listener: listener.releasing(owned, successor)
        )
        with trio.move_on_after(self._timing.release_timeout_s):
            await notified.wait()
        await self._claims.release(held, successor)
        if self._held.get(range_id) is held:
            self._held.drop(range_id)
            self._notify_lost(range_id, 'released')

    def _notify_lost(self, range_id: identifiers.RangeId, reason: str) -> None:
        event = (
            events.RANGE_LOST
            if reason != 'released'
            else (events.RANGE_RELEASED)
        )
        observability.emit(event, range_id=range_id, reason=reason)
        self._dispatcher.enqueue(
            range_id, lambda listener: listener.lost(range_id)
        )
