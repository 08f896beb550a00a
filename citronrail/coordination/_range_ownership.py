"""Spreads the ranges over the entries by leases in the store."""

import contextlib
import dataclasses
import typing

import trio

from citronrail.coordination import _extension
from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _listener_calls
from citronrail.coordination import _metrics
from citronrail.coordination import _owned_ranges as ranges
from citronrail.coordination import _ownership_peers
from citronrail.coordination import _ownership_plan as plans
from citronrail.coordination import _ownership_view as views
from citronrail.coordination import _promises
from citronrail.coordination import _range_claims
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

MIN_POLL_S = 0.05  # bounds the reads while others change the ranges


@dataclasses.dataclass(frozen=True)
class OwnershipTiming:
    """Times in seconds.

    :param lease_ttl_s: time to live of the store lease.
    :param poll_interval_s: time between reads of entries and ranges.
    :param expiry_interval_s: time between looks at the deadlines, which only
        bounds how late listeners are told.
    :param rebalance_interval_s: time between planned releases.
    :param release_timeout_s: time that listeners have to hand over.
    """

    lease_ttl_s: float = _store_lease.LEASE_TTL_S
    poll_interval_s: float = 1.0
    expiry_interval_s: float = 0.25
    rebalance_interval_s: float = 3.0
    release_timeout_s: float = 5.0


class RangeOwnership:
    """Holds this entry's share of the ranges.

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
        self._me = claims.Member(hub.node_id, hub.boot_id)
        self._address = address
        self._timing = timing or OwnershipTiming()
        self._range_count = range_count
        self._view = views.OwnershipView()
        self._draining = False
        self._wake = trio.Event()
        self._joined = trio.Event()
        self._joined_lease_id = -1
        self._joined_at = _store_lease.NEVER
        self._read_at = _store_lease.NEVER
        self._released_at = _store_lease.NEVER
        self._calls = _listener_calls.ListenerCalls(range_count)
        self._lease = _store_lease.StoreLease(store, self._timing.lease_ttl_s)
        ledger = _extension.ExtensionLedger()
        self._held = ranges.HeldRanges(self._lease, ledger)
        self._claims = _range_claims.RangeClaims(
            store, self._me, self._lease, self._held
        )
        book = _promises.PromiseBook(trio.current_time())
        self._tracker = _takeover.TakeoverTracker(self._me, book)
        self._peers = _ownership_peers.OwnershipPeers(
            hub, self._lease, self._held, ledger, book, self._tracker
        )

    def owned(self) -> tuple[ranges.OwnedRange, ...]:
        """Return the ranges that are surely held now."""
        return self._held.owned(trio.current_time())

    def find(self, range_id: identifiers.RangeId) -> ranges.OwnedRange | None:
        """Return a range if it is surely held now.

        :param range_id: the range.
        :returns: the ownership with its present deadline, or None.
        """
        return self._held.find(range_id, trio.current_time())

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return who owned a range when the store was last read.

        :param range_id: the range.
        :returns: node id of the owner, which may have changed; None if
            nobody owned it.
        """
        if self.find(range_id) is not None:
            return self._me.node_id
        holder = self._view.holder_of(range_id)
        if holder is None or holder.owner == self._me:
            return None
        return holder.owner.node_id

    def entries(self) -> tuple[views.EntryMember, ...]:
        """Return the entries of the latest read of the store."""
        return self._view.entries

    def membership(self) -> views.MembershipState:
        """Return what is known of the entries and of the own lease."""
        return views.MembershipState(
            entries=self._view.entries,
            revision=self._view.revision,
            read_at=self._read_at,
            lease_holds=self._lease.holds and self._is_member(),
            joined_at=self._joined_at,
            last_contact=self._lease.last_contact,
            has_history=any(place.record for place in self._view.places),
        )

    def _is_member(self) -> bool:
        """Tell whether the membership key was written under this lease."""
        return self._joined_lease_id == self._lease.lease_id

    def add_listener(self, listener: ranges.OwnershipListener) -> None:
        """Tell a listener of changes; add it before ``run``."""
        self._calls.add(listener)

    async def joined(self) -> None:
        """Wait until this entry is a member and has read the ranges."""
        await self._joined.wait()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Hold ranges until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._calls.run)
            nursery.start_soon(self._keep_lease)
            nursery.start_soon(self._poll)
            nursery.start_soon(self._watch)
            nursery.start_soon(self._peers.run)
            nursery.start_soon(self._tell_of_ends)
            task_status.started()

    async def drain(self) -> None:
        """Hand all ranges over and leave the membership.

        A store that can't be reached only delays the others until the lease
        has expired.
        """
        self._draining = True
        with contextlib.suppress(errors.StoreError, errors.LeaseLost):
            await self._join()
        with contextlib.suppress(errors.StoreError):
            await self._read_view()
        await self._release_all()
        await self._lease.revoke()

    async def _release_all(self) -> None:
        live = [
            e.node_id
            for e in self._view.entries
            if not e.draining and e.node_id != self._me.node_id
        ]
        counts = dict.fromkeys(live, 0)
        for place in self._view.places:
            if place.holder and place.holder.owner.node_id in counts:
                counts[place.holder.owner.node_id] += 1
        async with trio.open_nursery() as nursery:
            for held in self._held.all():
                successor = claims.NOBODY
                if counts:
                    successor = plans.least_loaded(counts)
                    counts[successor] += 1
                nursery.start_soon(self._release, held.range_id, successor)

    async def _keep_lease(self) -> typing.NoReturn:
        while True:
            try:
                if not self._draining:
                    await self._lease.grant()
                    await self._join()
                    self._wake.set()
                    await self._lease.keep_alive()
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)
                await trio.sleep(self._timing.expiry_interval_s)
            except errors.LeaseLost:
                self._tell_lost_lease()
            await trio.sleep(self._timing.expiry_interval_s)

    async def _join(self) -> None:
        """Write the membership key under the present lease."""
        if not self._lease.holds:
            raise errors.LeaseLost('no lease to join with', step='entry.join')
        entry = views.EntryMember(
            self._me.node_id, self._me.boot_id, self._address, self._draining
        )
        put = ports.Put(
            views.entry_key(self._me.node_id),
            codec.encode(entry),
            self._lease.lease_id,
        )
        await _store_calls.bounded(self._store.txn([], [put]), 'entry.join')
        if self._joined_lease_id != put.lease_id:
            self._joined_lease_id = put.lease_id
            self._joined_at = trio.current_time()

    def _tell_lost_lease(self) -> None:
        now = trio.current_time()
        for held in self._held.all():
            owned = self._held.find(held.range_id, now)
            if owned is None:
                continue
            self._tell_keys_only(owned)

    def _tell_keys_only(self, owned: ranges.OwnedRange) -> None:
        observability.emit(
            events.RANGE_KEYS_ONLY,
            range_id=owned.range_id,
            members=len(self._held.members),
        )
        self._calls.queue(owned.range_id, lambda x: x.commits_lost(owned))

    async def _tell_of_ends(self) -> typing.NoReturn:
        while True:
            await trio.sleep(self._timing.expiry_interval_s)
            for held in self._held.ended(trio.current_time()):
                self._tell_lost(held.range_id, 'its deadline has passed')
            owned = self.owned()
            by_lease = sum(item.commits_allowed for item in owned)
            _metrics.RANGES_OWNED.labels('lease').set(by_lease)
            _metrics.RANGES_OWNED.labels('promises').set(len(owned) - by_lease)

    async def _watch(self) -> typing.NoReturn:
        """Look at the ranges early when something changes."""
        while True:
            start = self._view.revision + 1
            try:
                async with self._store.watch(
                    views.RANGES_PREFIX, start
                ) as changes:
                    async for _ in changes:
                        self._wake.set()
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)
            await trio.sleep(self._timing.poll_interval_s)

    async def _poll(self) -> typing.NoReturn:
        while True:
            with trio.move_on_after(self._timing.poll_interval_s):
                await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(MIN_POLL_S)
            try:
                if await self._read_view() and not self._draining:
                    await self._act()
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)

    async def _read_view(self) -> bool:
        """Read the store; False if an old state was read."""
        read_at = trio.current_time()
        view = await views.read_view(self._store, self._range_count)
        if view.revision < self._view.revision:
            return False
        self._view = view
        self._read_at = read_at
        for held in self._claims.drop_taken(view):
            self._tell_lost(held.range_id, 'the store shows no such holder')
        self._claims.know_members(view)
        return True

    async def _act(self) -> None:
        joined = any(e.member == self._me for e in self._view.entries)
        if not joined or not self._lease.holds:
            return
        self._joined.set()
        plan = plans.make_plan(self._view, self._me)
        wanted = set(plan.claim)
        for number, place in enumerate(self._view.places):
            range_id = identifiers.RangeId(number)
            if place.holder is not None and place.holder.owner != self._me:
                self._tracker.held(range_id)
                continue
            if place.holder is None and place.record is not None:
                self._tracker.free(range_id, place.record, trio.current_time())
            if self._claims.continues(range_id, place) or (
                range_id in wanted and await self._may_take(range_id, place)
            ):
                await self._claim(range_id)
        if await self._claims.update_records(self._view):
            self._wake.set()
        await self._rebalance(plan)

    async def _may_take(
        self, range_id: identifiers.RangeId, place: claims.Place
    ) -> bool:
        if place.record is None:
            return True
        decision = self._tracker.decide(
            range_id, place.record, trio.current_time()
        )
        if decision.ask:
            claim = messages.RangeClaim(range_id, place.record.fencing)
            await self._peers.ask_takeover(claim, decision.ask)
        if not decision.allowed:
            observability.emit(
                events.TAKEOVER_WAITS,
                range_id=range_id,
                reason=decision.reason,
            )
        return decision.allowed

    async def _claim(self, range_id: identifiers.RangeId) -> None:
        held = await self._claims.claim(range_id, self._view)
        if held is None:
            self._wake.set()
            return
        owned = self.find(range_id)
        if owned is not None:
            observability.emit(
                events.RANGE_ACQUIRED,
                range_id=range_id,
                fencing=owned.fencing,
            )
            self._calls.queue(range_id, lambda x: x.acquired(owned))

    async def _rebalance(self, plan: plans.OwnershipPlan) -> None:
        now = trio.current_time()
        pause_s = self._timing.rebalance_interval_s
        if plan.release is None or now < self._released_at + pause_s:
            return
        self._released_at = now
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
        told = self._calls.queue(
            range_id, lambda x: x.releasing(owned, successor)
        )
        with trio.move_on_after(self._timing.release_timeout_s):
            await told.wait()
        await self._claims.release(held, successor)
        if self._held.get(range_id) is held:
            self._held.drop(range_id)
            self._tell_lost(range_id, 'released')

    def _tell_lost(self, range_id: identifiers.RangeId, reason: str) -> None:
        kind = (
            events.RANGE_LOST
            if reason != 'released'
            else (events.RANGE_RELEASED)
        )
        observability.emit(kind, range_id=range_id, reason=reason)
        self._calls.queue(range_id, lambda x: x.lost(range_id))
