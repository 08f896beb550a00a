"""The work of the scheduling entry during one leadership."""

import collections.abc
import time

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _book
from citronrail.workflow import _commit_chain
from citronrail.workflow import _documents as documents
from citronrail.workflow import _fleet
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _operators
from citronrail.workflow import _orders
from citronrail.workflow import _prefix_follower
from citronrail.workflow import _round
from citronrail.workflow import _upkeep

TICK_S = 0.25
COMMIT_INTERVAL_S = 0.03
LOAD_RETRY_S = 0.2
KEEP_LEARNED_S = 2.0  # between copies of what was learned
ASK_AGAIN_S = 2.0  # an agent that reports sends a list twice a second
# After its store lease has ended, a scheduler extends leases of workers for
# at most this long; its successor waits as long for workers that it can't
# reach.
HOLD_AFTER_LOSS_S = 8.0
FORGET_AFTER = 1.5  # times the time for which ended jobs must be kept
UnixClock = collections.abc.Callable[[], float]


class Leadership:
    """One leadership of this entry.

    :param guard: condition that fails once it has ended.
    :param held_until: local time until which it certainly lasts; in the past
        once it is lost.
    """

    def __init__(
        self,
        guard: ports.Compare,
        held_until: collections.abc.Callable[[], float],
    ) -> None:
        self.guard = guard
        self._held_until = held_until
        self._last_held_until = held_until()

    @property
    def fencing(self) -> int:
        """Token that workers compare; higher for each leadership."""
        return self.guard.revision

    @property
    def ended_at(self) -> float:
        """Local time until which it lasted, as far as is known."""
        self._last_held_until = max(self._last_held_until, self._held_until())
        return self._last_held_until

    @property
    def holds(self) -> bool:
        """Whether it certainly lasts now."""
        return trio.current_time() < min(self.ended_at, self._held_until())


class Term:
    """Loads all jobs, then schedules until the leadership ends.

    :param store: the store.
    :param hub: connections to agents and entries.
    :param leadership: the leadership.
    :param operators: the operators' wishes in force.
    :param bounds: limits of the deployment.
    :param unix_clock: Unix time in seconds.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        hub: ports.PeerHub,
        leadership: Leadership,
        operators: _operators.OperatorView,
        bounds: workflows.Bounds,
        unix_clock: UnixClock = time.time,
    ) -> None:
        self._store = store
        self._hub = hub
        self._leadership = leadership
        self._operators = operators
        self._bounds = bounds
        self._unix_clock = unix_clock
        self.book = _book.Book(self._queue_named, bounds)
        self._chain = _commit_chain.CommitChain(
            store, leadership.guard, f'{hub.boot_id}/{leadership.fencing}'
        )
        self._factors = _interference.PairFactors()
        self._upkeep = _upkeep.Upkeep(self.book, self._factors)
        self._wake = trio.Event()
        self._loaded = trio.Event()
        self._outbox: list[tuple[identifiers.NodeId, object]] = []
        self._starting: list[_job.Attempt] = []
        self._lease_s = min(bounds.max_lease_s, _orders.LEASE_S)
        self._forget_at = 0.0
        self._ask_at = 0.0
        self._learned_at = 0.0
        self.loaded = False

    def _queue_named(self, name: str) -> workflows.Queue | None:
        config = self._operators.config
        return config.queue_named(name) if config else None

    # What arrives

    def on_listing(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Take all accepted jobs and cancellations."""
        for item in items:
            self._take_item(item.key, item.value)
        self._loaded.set()
        self.wake()

    def on_events(self, changes: tuple[ports.WatchEvent, ...]) -> None:
        """Take new jobs and cancellations."""
        for change in changes:
            if change.value is not None:
                self._take_item(change.key, change.value)
        if changes:
            self.wake()

    def _take_item(self, key: str, value: bytes) -> None:
        if key.startswith(documents.CANCEL_PREFIX):
            job_id = key.removeprefix(documents.CANCEL_PREFIX)
            self.book.cancel_job(job_id, self._unix_clock())
        else:
            self._take_job(key.removeprefix(documents.JOB_PREFIX), value)

    def take_cancel(self, job_id: str) -> None:
        """Take a cancellation that another entry has stored."""
        if self.loaded:
            self.book.cancel_job(job_id, self._unix_clock())
            self.wake()

    def take_job(self, job_id: str, value: bytes) -> None:
        """Take a job that another entry has stored."""
        if self.loaded:
            self._take_job(job_id, value)

    def _take_job(self, job_id: str, value: bytes) -> None:
        if job_id in self.book.jobs:
            return
        key = documents.JOB_PREFIX + job_id
        record = _book.decode_item(key, value, documents.JobRecord)
        if record is not None:
            self.book.add_job(record, trio.current_time(), self._unix_clock())
            self.wake()

    def on_agent(self, peer: ports.Peer) -> None:
        """Ask a connected agent for its report."""
        ask = messages.WorkerOrders(fencing=self._leadership.fencing)
        self._outbox.append((peer.node_id, ask))
        self.wake()

    def on_agent_gone(self, peer: ports.Peer) -> None:
        """Note that an agent is no longer reached."""
        self.book.disconnected(peer.node_id)

    def on_report(
        self, peer: ports.Peer, report: messages.WorkerReport
    ) -> None:
        """Take an agent's report."""
        self.book.take_report(
            peer.node_id,
            report,
            self._leadership.fencing,
            trio.current_time(),
            self._unix_clock(),
        )
        self.wake()

    def wake(self) -> None:
        """Have the next round begin."""
        self._wake.set()

    def state_of(self, job_id: str) -> str:
        """Return the committed state of a job, '' if it isn't known."""
        job = self.book.jobs.get(job_id)
        if job is None or not self.loaded:
            return ''
        return job.shown.value

    def pending_in(self, queue: str) -> int:
        """Return how many jobs of a queue wait for their first start."""
        if not self.loaded:
            return -1
        return sum(
            1
            for job in self.book.jobs.values()
            if job.open and not job.started and job.record.queue == queue
        )

    # The work

    async def run(self) -> None:
        """Schedule until the leadership has ended.

        :raises citronrail.errors.Fenced: when it has.
        """
        async with trio.open_nursery() as nursery:
            await self._load(nursery)
            for peer in self._hub.peers('agent'):
                self.on_agent(peer)
            while True:
                await self._step()

    async def _load(self, nursery: trio.Nursery) -> None:
        began_at = trio.current_time()
        self.book.unseen_end_at = (
            began_at
            + HOLD_AFTER_LOSS_S
            + self._bounds.max_lease_s * (1.0 + _fleet.SLOW_CLOCK)
        )
        while True:
            try:
                await self._chain.open()
                listing = await self._store.list(documents.PROGRESS_PREFIX)
                learned = await self._store.get(documents.FACTORS_KEY)
                break
            except errors.StoreError as exc:
                observability.emit(events.ELECTION_FAILED, reason=exc)
            if not self._leadership.holds:
                raise errors.Fenced(
                    'the lease ended before the jobs were loaded',
                    step='workflow.load',
                )
            await trio.sleep(LOAD_RETRY_S)
        if learned is not None:
            factors = _book.decode_item(
                learned.key, learned.value, _interference.LearnedFactors
            )
            if factors is not None:
                self._factors.adopt(factors)
        for item in listing.items:
            progress = _book.decode_item(
                item.key, item.value, documents.ProgressRecord
            )
            if progress is not None:
                job_id = item.key.removeprefix(documents.PROGRESS_PREFIX)
                self.book.progress[job_id] = progress
        nursery.start_soon(
            _prefix_follower.follow,
            self._store,
            documents.INBOX_PREFIX,
            self,
        )
        await self._loaded.wait()
        self.loaded = True
        observability.emit(
            events.LEADER_LOADED,
            token=self._leadership.fencing,
            jobs=len(self.book.jobs),
            open=sum(job.open for job in self.book.jobs.values()),
            attempts=sum(map(len, self.book.unseen.values())),
            seconds=round(trio.current_time() - began_at, 3),
        )

    async def _step(self) -> None:
        """Decide, commit what was decided, and send the orders."""
        with trio.move_on_after(TICK_S):
            await self._wake.wait()
        self._wake = trio.Event()
        now = trio.current_time()
        if self._leadership.holds:
            self.book.expire(now)
            self._upkeep.run(now)
            self._place(now)
            await self._commit()
        elif now > self._leadership.ended_at + HOLD_AFTER_LOSS_S:
            raise errors.Fenced('the lease has ended', step='workflow.term')
        await self._send_orders()
        await trio.sleep(COMMIT_INTERVAL_S)

    def _place(self, now: float) -> None:
        policy = _round.Policy(
            self._queue_named, self._operators.evacuated, self._factors
        )
        placed = _round.place(self.book, policy, now, self._unix_clock())
        self._starting += placed
        metrics.RUNS_ASSIGNED.inc(len(placed))
        for attempt in placed:
            observability.emit(
                events.RUN_ASSIGNED,
                task=attempt.task.name,
                run=attempt.number,
                worker=attempt.worker_id,
                reason=_round.requirements(attempt.task.stage.spec),
            )
        if len(placed) >= _round.MAX_STARTS:
            self.wake()

    async def _commit(self) -> None:
        writes = self._writes()
        if not writes:
            return
        jobs = list(self.book.dirty)
        self.book.dirty.clear()
        states = [(job, job.status) for job in jobs]
        applied = [(view, view.applied) for view in self.book.workers.values()]
        with trio.CancelScope() as scope:
            # Commits are tried again until the successor has surely begun.
            scope.deadline = self._leadership.ended_at + HOLD_AFTER_LOSS_S
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._hold_leases)
                with metrics.COMMIT_SECONDS.time():
                    await self._chain.commit(writes)
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise errors.Fenced(
                'the lease ended during a commit', step='workflow.commit'
            )
        for job, status in states:
            job.shown = status
        for view, number in applied:
            view.acknowledged = max(view.acknowledged, number)

    def _writes(self) -> list[ports.Put | ports.Delete]:
        writes: list[ports.Put | ports.Delete] = [
            ports.Put(
                documents.PROGRESS_PREFIX + job.job_id,
                documents.encode(job.progress()),
            )
            for job in self.book.dirty
        ]
        writes += self._forgettable()
        writes += self._learned(bool(writes))
        acknowledges = any(
            view.applied > view.acknowledged
            for view in self.book.workers.values()
        )
        if acknowledges and not writes:
            # Ends of unknown jobs change nothing that would be stored.
            for view in self.book.workers.values():
                view.acknowledged = view.applied
        return writes

    def _learned(self, others: bool) -> list[ports.Put]:
        """Return what a successor should know, beside other writes."""
        now = trio.current_time()
        if now < self._learned_at or not others:
            return []
        self._learned_at = now + KEEP_LEARNED_S
        return [
            ports.Put(
                documents.FACTORS_KEY,
                documents.encode(self._factors.export()),
            )
        ]

    def _forgettable(self) -> list[ports.Delete]:
        """Return deletions of jobs that ended long ago."""
        now = trio.current_time()
        if now < self._forget_at:
            return []
        self._forget_at = now + 5.0
        before = self._unix_clock() - FORGET_AFTER * self._bounds.keep_ended_s
        deletes = []
        for job in list(self.book.jobs.values()):
            if not job.ended_at or job.ended_at > before:
                continue
            if any(True for _ in job.attempts()):
                continue
            del self.book.jobs[job.job_id]
            self.book.dirty.discard(job)
            deletes += [
                ports.Delete(prefix + job.job_id)
                for prefix in (
                    documents.PROGRESS_PREFIX,
                    documents.JOB_PREFIX,
                    documents.CANCEL_PREFIX,
                )
            ]
        return deletes

    async def _hold_leases(self) -> None:
        """Keep extending leases while a commit waits for the store."""
        while True:
            await trio.sleep(_orders.RENEW_S / 2)
            await self._send_orders(with_starts=False)

    def _ask_silent(self, now: float) -> None:
        """Ask agents again whose worker's list isn't known or is old.

        An order or a report may be lost with its connection, unnoticed.
        """
        if now < self._ask_at:
            return
        self._ask_at = now + ASK_AGAIN_S
        for peer in self._hub.peers('agent'):
            view = self.book.workers.get(peer.node_id)
            if view is None or now - view.listed_at > ASK_AGAIN_S:
                self.on_agent(peer)

    async def _send_orders(self, with_starts: bool = True) -> None:
        now = trio.current_time()
        self._ask_silent(now)
        outbox, self._outbox = self._outbox, []
        for node, message in outbox:
            await self._try_send(node, message)
        by_node: dict[str, list[_job.Attempt]] = {}
        if with_starts and self._leadership.holds:
            starting, self._starting = self._starting, []
            for attempt in starting:
                if self._may_start(attempt, now):
                    by_node.setdefault(attempt.node, []).append(attempt)
        for view in list(self.book.workers.values()):
            if view.connected:
                await self._send_due(view, by_node.get(view.node, []), now)

    def _may_start(self, attempt: _job.Attempt, now: float) -> bool:
        """Whether a committed run is still wanted; if not, it is dropped."""
        view = self.book.workers.get(attempt.node)
        wanted = (
            not attempt.stop_reason
            and attempt in attempt.task.attempts
            and view is not None
            and view.is_life(attempt.worker_id, attempt.born_ms)
            and view.usable(now)
            and view.life.data_centre not in self._operators.evacuated
        )
        if not wanted:
            self.book.void(attempt, 'no longer wanted, never ordered', now)
        return wanted

    async def _send_due(
        self,
        view: _fleet.WorkerView,
        starting: list[_job.Attempt],
        now: float,
    ) -> None:
        due = _orders.due_orders(
            view, starting, self._leadership.fencing, self._lease_s, now
        )
        if due is None:
            return
        for attempt in due.starting:
            attempt.ordered = True
            attempt.order_sent_at = now
            attempt.missing_since = now
        if await self._try_send(identifiers.NodeId(view.node), due.orders):
            return
        for attempt in due.starting:
            self.book.void(attempt, 'the order was not sent', now)

    async def _try_send(
        self, node: identifiers.NodeId, message: object
    ) -> bool:
        try:
            await self._hub.send(node, message)
        except errors.PeerUnreachable:
            self.book.disconnected(node)
            return False
        return True
