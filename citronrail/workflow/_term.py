"""Work of the scheduling entry during one leadership."""

import collections.abc
import dataclasses
import time

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import load_settings
from citronrail.model import messages
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _admission
from citronrail.workflow import _commit_chain
from citronrail.workflow import _documents as documents
from citronrail.workflow import _idle_jobs
from citronrail.workflow import _inbox
from citronrail.workflow import _interference
from citronrail.workflow import _job_loader
from citronrail.workflow import _leadership
from citronrail.workflow import _load_stops
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _operator_view
from citronrail.workflow import _order_sender
from citronrail.workflow import _prefix_follower
from citronrail.workflow import _queue_summary
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _run_supervisor
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_size
from citronrail.workflow import _state_writer
from citronrail.workflow import _worker_view
from citronrail.workflow.overload import _job_order
from citronrail.workflow.overload import _run_times

TICK_S = 0.25
COMMIT_INTERVAL_S = 0.03
LOAD_RETRY_S = 0.2
# Between attempts of a commit, with fast takeover.
FAST_COMMIT_RETRY_S = 0.1
# A leader that has heard of no worker for this long gives way; longer than
# hosts that lost power together take to return.
NO_CONTACT_S = 10.0
LEASES_LEFT_INTERVAL_S = 1.0  # between writes for workers that are silent
STATE_SIZE_INTERVAL_S = 2.0  # between messages on the size of the state
BACKLOG_INTERVAL_S = 0.5  # between summaries of the backlog
MAX_SUMMARY_BYTES = 2048


class Term:
    """Loads all jobs, then schedules until the leadership ends.

    :param store: the store.
    :param hub: connections to agents and entries.
    :param leadership: the leadership.
    :param operators: the operators' current settings.
    :param bounds: limits of the deployment.
    :param shapes: worker shapes that are stored already.
    :param unix_clock: returns Unix time in seconds.
    :param load: parts for hard load that are on.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        hub: ports.PeerHub,
        leadership: _leadership.Leadership,
        operators: _operator_view.OperatorView,
        bounds: workflows.Bounds,
        shapes: _admission.Shapes = (),
        unix_clock: _state_writer.UnixClock = time.time,
        *,
        load: load_settings.LoadSettings = load_settings.OFF,
    ) -> None:
        self._load_settings = load
        self._store = store
        self._hub = hub
        self._leadership = leadership
        self._operators = operators
        self._bounds = bounds
        self._unix_clock = unix_clock
        self.scheduler_state = _scheduler_state.SchedulerState(
            self._queue_named
        )
        self._loader = _job_loader.JobLoader(
            self.scheduler_state,
            _state_size.loaded_limit_bytes(bounds.memory_bytes),
            unix_clock,
        )
        self.state_size: messages.StateSize | None = None
        # Of processes that can hold less than this one, by boot ID.
        self._state_limits: dict[identifiers.BootId, int] = {}
        self._fast = load.fast_takeover
        self._chain = _commit_chain.CommitChain(
            store,
            leadership.guard,
            f'{hub.boot_id}/{leadership.fencing}',
            await_permission=leadership.await_valid if self._fast else None,
            max_retry_s=(
                FAST_COMMIT_RETRY_S
                if self._fast
                else _commit_chain.MAX_RETRY_S
            ),
        )
        self._run_times: _run_times.RunTimes | None = None
        self._job_order: _job_order.JobOrder | None = None
        if load.cost_order or load.admission:
            self._run_times = _run_times.RunTimes()
            self._job_order = _job_order.JobOrder(
                self._run_times, reorders=load.cost_order
            )
        self.backlog_summary: messages.BacklogSummary | None = None
        self._reports = _reports.Reports(
            self.scheduler_state,
            bounds,
            leadership.fencing,
            self._run_times,
            observes_steps=load.observed_run_times,
        )
        self._factors = _interference.PairFactors()
        self._idle_jobs = _idle_jobs.IdleJobs()
        self._run_supervisor = _run_supervisor.RunSupervisor(
            self.scheduler_state,
            self._factors,
            load=load,
            bounds=bounds,
            evacuated=lambda: operators.evacuated,
        )
        self._queue_summaries = _queue_summary.QueueSummaries(
            self.scheduler_state.stopped_runs
        )
        self._load_stops = _load_stops.LoadStops(
            self.scheduler_state, load, bounds
        )
        self._wake = trio.Event()
        self._loaded = trio.Event()
        self._requests_due = trio.Event()
        # Items of the inbox that arrived before the progress was applied.
        self._progress_applied = False
        self._early_items: list[tuple[str, bytes, int]] = []
        # Reports that arrived before the jobs were loaded, with local times.
        self._early_reports: list[
            tuple[identifiers.NodeId, messages.WorkerReport, float]
        ] = []
        self._writer = _state_writer.StateWriter(
            self.scheduler_state,
            self._factors,
            bounds,
            shapes,
            unix_clock,
            self._run_times,
        )
        self._writer.keep_cancels_of(self._loader.unloaded.__contains__)
        self._sender = _order_sender.OrderSender(
            hub,
            self.scheduler_state,
            leadership,
            operators,
            bounds.max_lease_s,
        )
        self.loaded = False
        self._has_stored_fleet = bool(shapes)
        self._contact_lost_at = float('inf')  # unless a list arrives before
        self._next_leases_left_at = float('inf')

    def _queue_named(self, name: str) -> workflows.Queue | None:
        config = self._operators.config
        return config.queue_named(name) if config else None

    @property
    def fencing(self) -> int:
        """Fencing token of this leadership."""
        return self._leadership.fencing

    # Events and messages

    def on_listing(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Add all stored jobs and cancellations."""
        self._apply_items(
            [(item.key, item.value, item.revision) for item in items]
        )
        self._loaded.set()
        self.wake()

    def on_events(self, changes: tuple[ports.WatchEvent, ...]) -> None:
        """Add newly stored jobs and cancellations."""
        self._apply_items(
            [
                (change.key, change.value, change.revision)
                for change in changes
                if change.value is not None
            ]
        )
        if changes:
            self.wake()

    def _apply_items(self, items: list[tuple[str, bytes, int]]) -> None:
        """Add jobs, and then apply cancellations.

        Jobs with progress are first, then those that take least memory.
        """
        if not self._progress_applied:
            self._early_items += items
            return
        for key, value, revision in sorted(items, key=self._load_order):
            if key.startswith(documents.CANCEL_PREFIX):
                job_id = key.removeprefix(documents.CANCEL_PREFIX)
                self._cancel_job(job_id, revision)
            else:
                self._add_job(key.removeprefix(documents.JOB_PREFIX), value)

    def _load_order(
        self, item: tuple[str, bytes, int]
    ) -> tuple[bool, bool, int]:
        key, value, _ = item
        is_job = key.startswith(documents.JOB_PREFIX)
        job_id = key.removeprefix(documents.JOB_PREFIX)
        has_progress = self.scheduler_state.has_stored_progress(job_id)
        return (not is_job, not has_progress, len(value))

    def on_state_limit(self, peer: ports.Peer, limit: int) -> None:
        """Accept how much another entry can hold, which may lead next."""
        self._state_limits[peer.boot_id] = limit

    def on_job_cancelled(self, job_id: str) -> None:
        """Cancel a job whose cancellation an entry has stored."""
        if self.loaded:
            self._cancel_job(job_id)
            self.wake()

    def _cancel_job(self, job_id: str, revision: int = 0) -> None:
        self.scheduler_state.cancel_job(
            job_id, trio.current_time(), self._unix_clock(), revision
        )

    def on_job_accepted(self, job_id: str, value: bytes) -> None:
        """Add a job that an entry has stored."""
        if self.loaded:
            self._add_job(job_id, value)

    def _add_job(self, job_id: str, value: bytes) -> None:
        if self._writer.was_deleted(job_id):
            return  # the inbox shows whether it was accepted again
        if self._loader.add(job_id, value):
            self.wake()

    def on_agent_connected(self, peer: ports.Peer) -> None:
        """Request the report of a connected agent."""
        self._sender.request_report(peer)
        self._requests_due.set()
        self.wake()

    def on_agent_disconnected(self, peer: ports.Peer) -> None:
        """Mark the worker of an unreachable agent as disconnected."""
        self.scheduler_state.mark_disconnected(peer.node_id)

    def on_report(
        self, peer: ports.Peer, report: messages.WorkerReport
    ) -> None:
        """Apply an agent's report."""
        if report.clock_ms:
            self._contact_lost_at = trio.current_time() + NO_CONTACT_S
        if self._fast and not self.loaded:
            # Runs of unknown jobs would be stopped.
            self._early_reports.append(
                (peer.node_id, report, trio.current_time())
            )
            return
        self._reports.take(
            peer.node_id,
            report,
            trio.current_time(),
            self._unix_clock(),
        )
        self.wake()

    def wake(self) -> None:
        """Start the next round early."""
        self._wake.set()

    def committed_state(self, job_id: str) -> str:
        """Return the committed state of a job, '' if it isn't known.

        It isn't known once the lease may have ended, since a successor may
        have committed a later state.
        """
        if not self.loaded or not self._leadership.valid:
            return ''
        if job_id in self._loader.unloaded:
            return documents.JobStatus.QUEUED.value
        job = self.scheduler_state.jobs.get(job_id)
        if job is None:
            return ''
        return job.committed_status.value

    def pending_count(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no run has begun.

        A run that was assigned may still be refused by its worker.

        :returns: -1 if it isn't known.
        """
        if not self.loaded or not self._leadership.valid:
            return -1
        return self._loader.pending_count(queue) + sum(
            1
            for job in self.scheduler_state.jobs.values()
            if job.open and not job.begun and job.record.queue == queue
        )

    # Scheduling

    async def run(self) -> None:
        """Schedule until the leadership ends.

        :raises citronrail.errors.Fenced: once it has ended.
        """
        async with trio.open_nursery() as nursery:
            if self._fast:
                # The agents list their workers' runs during the loading.
                for peer in self._hub.peers('agent'):
                    self.on_agent_connected(peer)
                nursery.start_soon(self._send_requests)
            await self._load(nursery)
            if not self._fast:
                for peer in self._hub.peers('agent'):
                    self.on_agent_connected(peer)
            self._contact_lost_at = trio.current_time() + NO_CONTACT_S
            # Most agents report within the first interval.
            self._next_leases_left_at = (
                trio.current_time() + LEASES_LEFT_INTERVAL_S
            )
            nursery.start_soon(self._send_state_size)
            nursery.start_soon(self._load_more)
            if self._load_settings.admission:
                nursery.start_soon(self._send_backlog)
            while True:
                self._check_contact()
                await self._run_round()

    async def _send_requests(self) -> None:
        """Request the reports of connected agents without delay."""
        while True:
            await self._requests_due.wait()
            self._requests_due = trio.Event()
            if self._leadership.valid:
                await self._sender.send_requests()

    def _check_contact(self) -> None:
        """End the term if this entry reaches the store, but no agent.

        Another entry may reach them. Where no worker was ever seen, there is
        nothing to hand over.

        :raises citronrail.errors.OutOfContact: if no list has arrived.
        """
        if trio.current_time() <= self._contact_lost_at:
            return
        has_fleet = (
            self._has_stored_fleet
            or self.scheduler_state.workers
            or self._hub.peers('agent')
        )
        if has_fleet:
            raise errors.OutOfContact(
                'no list of a worker has arrived', step='workflow.term'
            )

    async def _load(self, nursery: trio.Nursery) -> None:
        began_at = trio.current_time()
        self._writer.follow_commits(lambda: self._chain.revision)
        if self._fast:
            nursery.start_soon(self._follow_inbox)
        self.scheduler_state.inherited_end_at = (
            began_at
            + _leadership.EXTEND_AFTER_LOSS_S
            + _worker_view.longest_lease_s(self._bounds.max_lease_s)
        )
        while True:
            try:
                listing, stored_factors = await self._read_stored()
                break
            except errors.StoreError as exc:
                observability.emit(events.ELECTION_FAILED, reason=exc)
            self._check_loading()
            await trio.sleep(LOAD_RETRY_S)
        if stored_factors is not None:
            factors = _scheduler_state.decode_item(
                stored_factors.key,
                stored_factors.value,
                _run_times.LearnedState,
            )
            if factors is not None:
                self._factors.restore(factors, began_at)
                if self._run_times is not None:
                    self._run_times.restore(factors.run_times)
        self.scheduler_state.restore_progress(listing.items)
        self._apply_early_items()
        if not self._fast:
            nursery.start_soon(self._follow_inbox)
        await self._loaded.wait()
        while not await self._loader.load_begun(self._store):
            self._check_loading()
            await trio.sleep(LOAD_RETRY_S)
        self.loaded = True
        self._take_early_reports()
        observability.emit(
            events.LEADER_LOADED,
            token=self._leadership.fencing,
            jobs=len(self.scheduler_state.jobs),
            open=sum(job.open for job in self.scheduler_state.jobs.values()),
            attempts=sum(
                map(len, self.scheduler_state.inherited_runs.values())
            ),
            seconds=round(trio.current_time() - began_at, 3),
        )

    def _check_loading(self) -> None:
        """End the term if its lease has ended during the loading.

        :raises citronrail.errors.Fenced: if it has.
        """
        if not self._leadership.valid:
            raise errors.Fenced(
                'the lease ended before the jobs were loaded',
                step='workflow.load',
            )

    async def _read_stored(
        self,
    ) -> tuple[ports.Listing, ports.KeyValue | None]:
        """Read the last commit, the progress of jobs and the factors.

        Commits of earlier leaders can't take effect any more, so that these
        don't change. They may therefore be read in any order.

        :raises citronrail.errors.StoreError: if the store can't be read.
        """
        if not self._fast:
            await self._chain.open()
            listing = await self._store.list(documents.PROGRESS_PREFIX)
            return listing, await self._store.get(documents.FACTORS_KEY)
        factors: list[ports.KeyValue | None] = []

        async def read_factors() -> None:
            factors.append(await self._store.get(documents.FACTORS_KEY))

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._chain.open)
                nursery.start_soon(read_factors)
                listing = await self._store.list(documents.PROGRESS_PREFIX)
        except* errors.StoreError as group:
            raise errors.StoreUnavailable(
                f'the jobs could not be read: {group.exceptions[0]}',
                step='workflow.load',
            ) from None
        return listing, factors[0]

    async def _follow_inbox(self) -> None:
        inbox = _inbox.Inbox(self, self._writer, self._loader)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inbox.reconcile, self._store)
            await _prefix_follower.follow(
                self._store,
                documents.INBOX_PREFIX,
                inbox,
                max_retry_s=(
                    _prefix_follower.FAST_MAX_RETRY_S
                    if self._fast
                    else _prefix_follower.MAX_RETRY_S
                ),
                new_filter=inbox.new_filter,
            )

    def _apply_early_items(self) -> None:
        self._progress_applied = True
        items, self._early_items = self._early_items, []
        self._apply_items(items)

    def _take_early_reports(self) -> None:
        reports, self._early_reports = self._early_reports, []
        for node, report, arrived_at in reports:
            self._reports.take(node, report, arrived_at, self._unix_clock())

    async def _run_round(self) -> None:
        """Place tasks, commit the new state, and send the orders."""
        with trio.move_on_after(TICK_S):
            await self._wake.wait()
        self._wake = trio.Event()
        now = trio.current_time()
        with metrics.ROUND_SECONDS.time():
            await self._work(now)
        await trio.sleep(COMMIT_INTERVAL_S)

    async def _work(self, now: float) -> None:
        if self._leadership.valid:
            self._reports.expire_leases(now)
            self._update_leases_left(now)
            self._run_supervisor.run(now)
            self._load_stops.fit_shrunk_workers(now)
            self._place(now)
            await self._commit()
        elif now > self._leadership.extend_until:
            raise errors.Fenced('the lease has ended', step='workflow.term')
        if self._fast and trio.current_time() > self._leadership.extend_until:
            # This process was suspended, or its commit took too long.
            raise errors.Fenced('the lease has ended', step='workflow.term')
        await self._sender.send()

    def _update_leases_left(self, now: float) -> None:
        if now >= self._next_leases_left_at:
            self._next_leases_left_at = now + LEASES_LEFT_INTERVAL_S
            self.scheduler_state.update_leases_left(now)

    def _place(self, now: float) -> None:
        policy = _round.Policy(
            self._queue_named,
            self._operators.evacuated,
            self._factors,
            self._load_settings.fit_best_effort,
            self._job_order,
            self._idle_jobs,
        )
        placed = _round.place(
            self.scheduler_state, policy, now, self._unix_clock()
        )
        self._sender.queue_starts(placed)
        metrics.RUNS_ASSIGNED.inc(len(placed))
        for attempt in placed:
            observability.emit(
                events.RUN_ASSIGNED,
                task=attempt.task.name,
                run=attempt.number,
                worker=attempt.worker_id,
                reason=_round.requirements(attempt.task.stage.spec),
            )
        if len(placed) >= _round.MAX_STARTS_PER_ROUND:
            self.wake()
        else:
            self._load_stops.preempt(policy, now, self._unix_clock())
        if self._queue_summaries.due(now):
            self._log_queues(policy, now)

    def _log_queues(self, policy: _round.Policy, now: float) -> None:
        by_service = _round.candidates_by_service(
            self.scheduler_state.workers.values(),
            policy.evacuated,
            now,
            fit_best_effort=policy.fit_best_effort,
        )
        self._queue_summaries.log(
            self.scheduler_state.jobs.values(),
            policy.service_of,
            by_service,
            policy.factors,
            now,
            self._unix_clock(),
        )

    async def _load_more(self) -> None:
        """Load jobs that were left out once there is memory for them."""
        while True:
            await trio.sleep(_job_loader.INTERVAL_S)
            if not self._loader.unloaded or not self._leadership.valid:
                continue
            if await self._loader.load_more(self._store):
                self.wake()

    async def _send_state_size(self) -> None:
        """Send the entries the memory that the jobs take, and the limit."""
        while True:
            peers = self._hub.peers('entry')
            self._update_state_size(peers)
            for peer in peers:
                try:
                    await self._hub.send(peer.node_id, self.state_size)
                except errors.PeerUnreachable:
                    continue  # it gets the next one
            await trio.sleep(STATE_SIZE_INTERVAL_S)

    def _update_state_size(
        self, peers: collections.abc.Collection[ports.Peer]
    ) -> None:
        connected = {peer.boot_id for peer in peers}
        limits = [
            limit
            for boot_id, limit in self._state_limits.items()
            if boot_id in connected
        ]
        own_limit = _state_size.limit_bytes(self._bounds.memory_bytes)
        limit = min(filter(None, (own_limit, *limits)), default=0)
        metrics.STATE_LIMIT_BYTES.set(limit)
        self.state_size = messages.StateSize(
            self._leadership.fencing,
            self._loader.measure(),
            limit,
            1 + len(connected),
        )

    async def _send_backlog(self) -> None:
        """Send the backlog to the entries while there is one."""
        while True:
            await trio.sleep(BACKLOG_INTERVAL_S)
            if not self._leadership.valid or not self._update_summary():
                continue
            for peer in self._hub.peers('entry'):
                try:
                    await self._hub.send(peer.node_id, self.backlog_summary)
                except errors.PeerUnreachable:
                    continue  # it admits everything without a summary

    def _update_summary(self) -> bool:
        """Make a new summary; return whether it has to be sent."""
        order, last = self._job_order, self.backlog_summary
        if order is None:
            return False
        services = order.backlog
        if not services and (last is None or not last.services):
            return False
        age_s = trio.current_time() - order.backlog_at
        summary = messages.BacklogSummary(
            last.version + 1 if last else 1,
            self._leadership.fencing,
            self._unix_clock() - age_s,
            services,
            1 + len(self._hub.peers('entry')),
        )
        while len(messages.pack(summary)) > MAX_SUMMARY_BYTES:
            smallest = min(summary.services, key=_backlog_s)
            summary = dataclasses.replace(
                summary,
                services=tuple(
                    item for item in summary.services if item is not smallest
                ),
            )
        self.backlog_summary = summary
        return True

    async def _commit(self) -> None:
        writes = self._writer.due_writes()
        if not writes:
            return
        jobs = list(self.scheduler_state.dirty)
        self.scheduler_state.dirty.clear()
        states = [(job, job.status) for job in jobs]
        applied = [
            (view, view.applied)
            for view in self.scheduler_state.workers.values()
        ]
        withdrawn = [
            view
            for view in self.scheduler_state.workers.values()
            if not view.may_extend_leases
        ]
        with trio.CancelScope() as scope:
            # After this time a successor may have taken over the workers, so
            # retrying the commit is pointless.
            scope.deadline = self._leadership.extend_until
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sender.renew_leases)
                with metrics.COMMIT_SECONDS.time():
                    refused = await self._chain.commit(writes)
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise errors.Fenced(
                'the lease ended during a commit', step='workflow.commit'
            )
        not_stored = self._writer.on_refused(refused)
        for job, status in states:
            if job not in not_stored:
                job.committed_status = status
        if refused:
            return  # ends of these jobs are acknowledged by a later commit
        for view, number in applied:
            view.acknowledged = max(view.acknowledged, number)
        for view in withdrawn:
            view.may_extend_leases = True


def _backlog_s(backlog: messages.ServiceBacklog) -> float:
    """Return the time that a service needs for the work that waits."""
    core_s = max((row.core_s for row in backlog.ahead), default=0.0)
    return core_s / max(backlog.cores, 0.001)
