"""Leader election: one entry schedules at a time, by a lease in the store."""

import collections.abc
import itertools
import time

import trio

from citronrail import coordination
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import load_settings
from citronrail.model import messages
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _leadership
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _operator_view
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _takeover
from citronrail.workflow import _term

# Tolerates three failed renewals in a row; a successor starts within 2.5 s.
LEASE_TTL_S = 2.0
RETRY_S = 0.2
# Delay before an entry with a full core claims the leadership. Smaller entries
# wait longer, so that the largest entry becomes the scheduler.
CLAIM_DELAY_S = 0.05
# Time for another entry to claim the leadership that this one gave up.
GIVE_WAY_S = 3.0
# Between renewals of a lease whose local deadline has passed.
RESUME_RETRY_S = 0.1
# In turn. Short ones notice soon that the store is back after calls were lost
# in an outage; a slow store answers within the long one.
RESUME_TIMEOUTS_S = (0.4, 0.4, 1.0)
STORE_CALL_TIMEOUT_S = 1.0


class LeaderView:
    """Tracks the scheduling entry; a listener of the control prefix."""

    def __init__(self) -> None:
        self.leader: documents.LeaderRecord | None = None
        self.revision = 0
        # Revision of a record that names no leader; 0 if there is none. A
        # claim replaces it, as it would never be vacant otherwise.
        self.unreadable_revision = 0
        # Lease of the leader's key; 0 if it isn't known, since changes of a
        # key are reported without its lease.
        self.lease_id = 0
        self.changed = trio.Event()
        self.fleet = documents.FleetRecord()

    def on_listing(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Update the leader from a listing of the control prefix."""
        for item in items:
            if item.key == documents.FLEET_KEY:
                self._set_fleet(item.value)
        for item in items:
            if item.key == documents.LEADER_KEY:
                self._set_leader(item.value, item.revision, item.lease_id)
                return
        self._set_leader(None, self.revision)

    def on_events(self, changes: tuple[ports.WatchEvent, ...]) -> None:
        """Update the leader from changes of the control prefix."""
        for change in changes:
            if change.key == documents.LEADER_KEY:
                self._set_leader(change.value, change.revision)
            elif change.key == documents.FLEET_KEY and change.value:
                self._set_fleet(change.value)

    def _set_fleet(self, value: bytes) -> None:
        fleet = _scheduler_state.decode_item(
            documents.FLEET_KEY, value, documents.FleetRecord
        )
        if fleet is not None:
            self.fleet = fleet

    def _set_leader(
        self, value: bytes | None, revision: int, lease_id: int = 0
    ) -> None:
        if value is None:
            leader = None
        else:
            leader = _scheduler_state.decode_item(
                documents.LEADER_KEY, value, documents.LeaderRecord
            )
        if leader != self.leader and leader is not None:
            observability.emit(
                events.LEADER_KNOWN,
                node=leader.node_id,
                address=leader.address,
            )
        unreadable = value is not None and leader is None
        self.unreadable_revision = revision if unreadable else 0
        self.leader = leader
        self.revision = revision
        self.lease_id = lease_id
        self.changed.set()
        self.changed = trio.Event()


class Election:
    """Claims the leadership whenever it is vacant, and schedules as leader.

    :param store: the store.
    :param hub: connections to agents and entries.
    :param view: the leader as last seen in the store.
    :param operators: the operators' current settings.
    :param bounds: limits of the deployment.
    :param address: address of this entry's peer port.
    :param processor_share: processors of this entry.
    :param load: parts for hard load that are on.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        hub: ports.PeerHub,
        view: LeaderView,
        operators: _operator_view.OperatorView,
        bounds: workflows.Bounds,
        address: str,
        processor_share: float,
        *,
        load: load_settings.LoadSettings = load_settings.OFF,
    ) -> None:
        self._load_settings = load
        self._store = store
        self._hub = hub
        self._view = view
        self._operators = operators
        self._bounds = bounds
        self._record = documents.LeaderRecord(
            hub.node_id, hub.boot_id, address
        )
        self._claim_delay_s = CLAIM_DELAY_S / max(0.1, processor_share)
        self._lease = coordination.StoreLease(store, LEASE_TTL_S)
        self._no_claim_before = 0.0  # local time in seconds
        self._retiring = False
        self._stopping = False
        # Whether the store has just ended this entry's own leadership.
        self._vacated = False
        self._term_scope = trio.CancelScope()
        self.term: _term.Term | None = None
        hub.subscribe(messages.WorkerReport, self._on_report)
        hub.listen(self._on_connect, self._on_disconnect)

    @property
    def token(self) -> int | None:
        """Fencing token while this entry is the leader, otherwise None."""
        return None if self.term is None else self.term.fencing

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take part in elections until stopped."""
        task_status.started()
        while not self._stopping:
            await self._await_vacancy()
            if self._retiring:
                break
            with trio.CancelScope() as self._term_scope:
                guard = await self._claim()
                if guard is not None:
                    await self._run_term(guard)
            self.term = None
        await trio.sleep_forever()

    async def retire(self) -> None:
        """Take part in no further election; a current leadership continues.

        Otherwise entries that are stopped one after another would pass the
        leadership to one that is about to stop, too, or to none.
        """
        self._retiring = True

    async def drain(self) -> None:
        """Give up the leadership at once."""
        self._stopping = True
        self._term_scope.cancel()
        await self._lease.revoke()

    async def _await_vacancy(self) -> None:
        while True:
            changed = self._view.changed
            if self._view.leader is None and self._operators.config:
                await trio.sleep_until(
                    max(
                        self._no_claim_before,
                        trio.current_time() + self._claim_delay_s,
                    )
                )
                if self._view.leader is None:
                    return
                continue
            if (
                self._view.leader is not None
                and self._view.leader.boot_id == self._record.boot_id
            ):
                # An earlier claim of this process whose response was lost or
                # whose term has ended. Revoking the lease deletes it.
                await self._lease.revoke()
            if self._load_settings.fast_takeover:
                if self._vacated and self._operators.config:
                    self._vacated = False
                    return
                if await self._end_dead_claim():
                    return
            with trio.move_on_after(1.0):
                await changed.wait()

    async def _end_dead_claim(self) -> bool:
        """End the lease of a dead process at this entry's own address.

        :returns: whether the leadership may be claimed now.
        """
        view = self._view
        if (
            not self._operators.config
            or trio.current_time() < self._no_claim_before
            or not _takeover.holds_dead_claim(view.leader, self._record)
        ):
            return False
        lease_id = view.lease_id
        try:
            with trio.fail_after(STORE_CALL_TIMEOUT_S):
                if not lease_id:
                    lease_id = await self._read_dead_lease()
                if not lease_id:
                    return False
                # Leases are not shared and their IDs not reused, so that this
                # can't end a later leadership.
                await self._store.revoke_lease(lease_id)
        except (errors.CitronrailError, trio.TooSlowError) as exc:
            observability.emit(events.ELECTION_FAILED, reason=exc)
            await trio.sleep(RETRY_S)
            return False
        metrics.DEAD_CLAIMS_ENDED.inc()
        observability.emit(events.DEAD_CLAIM_ENDED, lease=lease_id)
        return True

    async def _read_dead_lease(self) -> int:
        """Return the lease of the leader key, 0 if its process may live."""
        item = await self._store.get(documents.LEADER_KEY)
        if item is None:
            return 0
        leader = _scheduler_state.decode_item(
            item.key, item.value, documents.LeaderRecord
        )
        if not _takeover.holds_dead_claim(leader, self._record):
            return 0
        return item.lease_id

    async def _claim(self) -> ports.Compare | None:
        """Try once to become the leader.

        :returns: a condition that holds while this entry is the leader, None
            if it didn't become the leader.
        """
        try:
            await self._lease.grant()
            result = await self._store.txn(
                [
                    ports.Compare(
                        documents.LEADER_KEY, self._view.unreadable_revision
                    )
                ],
                [
                    ports.Put(
                        documents.LEADER_KEY,
                        documents.encode(self._record),
                        self._lease.lease_id,
                    )
                ],
            )
        except errors.CitronrailError as exc:
            observability.emit(events.ELECTION_FAILED, reason=exc)
            await self._lease.revoke()
            await trio.sleep(RETRY_S)
            return None
        if not result.succeeded:
            await self._lease.revoke()
            await trio.sleep(RETRY_S)
            return None
        return ports.Compare(documents.LEADER_KEY, result.revision)

    async def _run_term(self, guard: ports.Compare) -> None:
        leadership = _leadership.Leadership(
            guard, lambda: self._lease.held_until
        )
        token = leadership.fencing
        metrics.LEADERSHIPS.inc()
        observability.emit(events.LEADER_ELECTED, token=token)
        self.term = _term.Term(
            self._store,
            self._hub,
            leadership,
            self._operators,
            self._bounds,
            self._view.fleet.shapes,
            time.time,
            load=self._load_settings,
        )
        reason = 'planned stop'
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew, leadership)
                nursery.start_soon(self._watch_successor, guard.revision)
                await self.term.run()
        except* errors.OutOfContact as group:
            reason = str(group.exceptions[0])
            self._no_claim_before = trio.current_time() + GIVE_WAY_S
        except* errors.CitronrailError as group:
            reason = str(group.exceptions[0])
        finally:
            observability.emit(events.LEADER_ENDED, token=token, reason=reason)
        self._vacated = self._load_settings.fast_takeover and self._lease.ended
        if not self._stopping and not self._vacated:
            await self._lease.revoke()

    async def _renew(self, leadership: _leadership.Leadership) -> None:
        """Renew the lease; the term itself checks whether it has ended."""
        while True:
            try:
                await self._lease.keep_alive()
            except errors.LeaseLost as exc:
                observability.emit(events.ELECTION_FAILED, reason=exc)
            if not self._load_settings.fast_takeover:
                return
            await self._resume(leadership)

    async def _resume(self, leadership: _leadership.Leadership) -> None:
        """Renew the lapsed lease until the leadership is valid again.

        :raises citronrail.errors.Fenced: if the store shows that it has ended,
            or if another entry could have taken over long ago.
        """
        lapsed_at = trio.current_time()
        claim = _takeover.Claim(leadership.fencing, self._lease.lease_id)
        for timeout_s in itertools.cycle(RESUME_TIMEOUTS_S):
            match await self._try_resume(claim, timeout_s):
                case _takeover.Verdict.RESUME:
                    break
                case _takeover.Verdict.END:
                    raise errors.Fenced(
                        'the store has ended the leadership',
                        step='workflow.resume',
                    )
            if trio.current_time() > leadership.extend_until:
                # Renewals that take effect unheard would keep others from
                # claiming the leadership.
                raise errors.Fenced(
                    'the leadership could not be resumed',
                    step='workflow.resume',
                )
            await trio.sleep(RESUME_RETRY_S)
        metrics.LEADERSHIPS_RESUMED.inc()
        observability.emit(
            events.LEADERSHIP_RESUMED,
            token=claim.revision,
            seconds=round(trio.current_time() - lapsed_at, 3),
        )
        if self.term is not None:
            self.term.wake()

    async def _try_resume(
        self, claim: _takeover.Claim, timeout_s: float
    ) -> _takeover.Verdict:
        try:
            with trio.fail_after(2 * timeout_s):
                deadline = await self._lease.renew_lapsed(timeout_s)
                item = await self._store.get(documents.LEADER_KEY)
        except errors.LeaseLost:
            return _takeover.Verdict.END
        except (errors.CitronrailError, trio.TooSlowError):
            return _takeover.Verdict.RENEW_AGAIN
        verdict = _takeover.judge_renewal(
            claim, item, deadline, trio.current_time()
        )
        if verdict is _takeover.Verdict.RESUME:
            self._lease.resume(deadline)
        return verdict

    async def _watch_successor(self, revision: int) -> None:
        """End the term once the store shows another leader or none."""
        while True:
            changed = self._view.changed
            # A listing without the key keeps the revision at which this
            # entry's own claim was seen.
            if self._view.revision > revision or (
                self._view.revision == revision and self._view.leader is None
            ):
                raise errors.Fenced(
                    'the store shows another leader or none',
                    step='workflow.term',
                )
            await changed.wait()

    # Messages

    async def _on_report(
        self, peer: ports.Peer, report: messages.WorkerReport, _: bytes
    ) -> None:
        if self.term is not None:
            self.term.on_report(peer, report)

    def _on_connect(self, peer: ports.Peer) -> None:
        if self.term is not None and peer.role == 'agent':
            self.term.on_agent_connected(peer)

    def _on_disconnect(self, peer: ports.Peer) -> None:
        if self.term is not None and peer.role == 'agent':
            self.term.on_agent_disconnected(peer)


Connect = collections.abc.Callable[[collections.abc.Iterable[str]], None]


async def connect_to_leader(
    view: LeaderView,
    connect: Connect,
    own: identifiers.NodeId | None = None,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Keep a connection to the scheduling entry.

    While there is none, the connection to the last one is kept.

    :param view: the leader as last seen in the store.
    :param connect: connects to the given addresses and closes all others.
    :param own: node ID of this process, if it may be the leader itself.
    """
    task_status.started()
    while True:
        changed = view.changed
        leader = view.leader
        if leader is not None:
            is_other = leader.node_id != own
            connect([leader.address] if is_other else [])
        await changed.wait()
