"""Runs tasks on a host on behalf of the owners of job shards."""

import dataclasses
import functools

import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.ports import peers
from citronrail.ports import worker as workers
from citronrail.scheduling import _interfaces
from citronrail.scheduling import _local_tasks
from citronrail.scheduling import _metrics
from citronrail.scheduling import _runner_requests
from citronrail.scheduling import _start_guard
from citronrail.scheduling import _task_starter
from citronrail.scheduling import _task_table
from citronrail.scheduling import _worker_link

# Listing 20 tasks every 0.5 s takes 0.9% of a core, every second 0.6%. Stops,
# queries and undecided starts request a list at once.
POLL_INTERVAL_S = 1.0
REBUILD_POLL_INTERVAL_S = 0.5
ACTION_INTERVAL_S = 0.25
LEASE_RENEWAL_INTERVAL_S = 2.5  # a lease survives three lost renewals
ACK_VALIDITY_S = 10.0
USAGE_REPORT_INTERVAL_S = 5.0
DRAIN_TIMEOUT_S = 5.0


class TaskRunner:
    """Starts tasks at the worker, renews their leases and reports their end.

    :param hub: connections to the entries.
    :param worker: port to the worker on this host.
    :param ledger: capacity ledger of this host; it has no other writer.
    :param permits: settings and permits received from entries.
    :param data_centre: data centre of the host.
    """

    def __init__(
        self,
        hub: peers.PeerHub,
        worker: workers.Worker,
        ledger: _interfaces.Ledger,
        permits: _interfaces.PermitView,
        data_centre: identifiers.DataCentreName,
    ) -> None:
        self._hub = hub
        self._link = _worker_link.WorkerLink(worker)
        self._ledger = ledger
        self._permits = permits
        self._guard = _start_guard.StartGuard(hub.node_id, data_centre)
        self._requests = _runner_requests.OwnerRequests()
        self._table = _task_table.TaskTable(
            ledger, self._guard, self._requests
        )
        self._starter = _task_starter.TaskStarter(
            hub, self._link, self._table, self._guard, permits
        )
        self._nursery: trio.Nursery | None = None
        self._poll_requested = trio.Event()
        self._action_requested = trio.Event()
        for kind, handler in (
            (messages.StartTask, self._on_start),
            (messages.StopTask, self._on_stop),
            (messages.TaskQuery, self._on_query),
            (messages.ThrottleTask, self._on_throttle),
            (messages.TaskReportAck, self._on_ack),
        ):
            hub.subscribe(kind, handler)

    @property
    def ready(self) -> bool:
        """Whether tasks may start: the ledger is rebuilt, no drain began."""
        return self._table.rebuilt and not self._starter.draining

    def running_tasks(self) -> tuple[messages.RunningTask, ...]:
        """Return the attempts to list in the agent's :class:`Hello`.

        Attempts that have ended, but whose report is not acknowledged, are
        listed with the state ``ended``.
        """
        return self._table.hello_tasks()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled; ready once the ledger is rebuilt."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._renew_loop)
            await self._rebuild_ledger()
            nursery.start_soon(self._poll_loop)
            nursery.start_soon(self._action_loop)
            nursery.start_soon(self._report_loop)
            nursery.start_soon(self._usage_loop)
            task_status.started()

    async def drain(self) -> None:
        """Stop starting tasks and wait briefly for outstanding reports.

        Running tasks continue under their worker leases and are adopted by
        the successor of this process.
        """
        self._starter.draining = True
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            while len(self._table.reports) or self._table.any_starting():
                await trio.sleep(ACTION_INTERVAL_S)

    async def _rebuild_ledger(self) -> None:
        """Rebuild the ledger from the worker's list before any admission.

        A start call of an earlier boot of this agent may still be in flight;
        the worker refuses it after at most START_TIMEOUT_S. The list is
        therefore read until a reading is that much later, on the worker's
        clock, than the first.
        """
        first: workers.WorkerTasks | None = None
        while True:
            requested_at = trio.current_time()
            listing = await self._link.tasks()
            if listing is not None:
                self._table.apply_listing(listing, requested_at)
                if first is None or first.boot_id != listing.boot_id:
                    first = listing
                if listing.clock > first.clock + _task_starter.START_TIMEOUT_S:
                    break
            await trio.sleep(REBUILD_POLL_INTERVAL_S)
        self._table.finish_rebuild()

    # Messages of owners

    async def _on_start(
        self, peer: peers.Peer, start: messages.StartTask, _: bytes
    ) -> None:
        if await self._starter.accept(peer.node_id, start) and self._nursery:
            self._nursery.start_soon(self._start, start)

    async def _start(self, start: messages.StartTask) -> None:
        if not await self._starter.start(start):
            self._poll_requested.set()

    async def _on_stop(
        self, peer: peers.Peer, stop: messages.StopTask, _: bytes
    ) -> None:
        if self._guard.is_fenced(stop.range_id, stop.fencing):
            return
        now = trio.current_time()
        for attempt in stop.attempts:
            self._guard.record(attempt, now)
            if attempt in self._table.tasks:
                self._requests.stop(attempt, stop.checkpoint)
            elif attempt in self._table.reports:
                self._table.resend_now(attempt)
            else:
                self._requests.add_query(
                    peer.node_id, (attempt,), stop.range_id, now, report=True
                )
                self._poll_requested.set()
        self._action_requested.set()

    async def _on_query(
        self, peer: peers.Peer, query: messages.TaskQuery, _: bytes
    ) -> None:
        if self._guard.is_fenced(query.range_id, query.fencing):
            return
        now = trio.current_time()
        for attempt in query.attempts:
            self._guard.record(attempt, now)
        self._requests.add_query(
            peer.node_id, query.attempts, query.range_id, now, report=False
        )
        self._poll_requested.set()

    async def _on_throttle(
        self, peer: peers.Peer, throttle: messages.ThrottleTask, _: bytes
    ) -> None:
        del peer
        if self._guard.is_fenced(throttle.range_id, throttle.fencing):
            return
        if throttle.attempt in self._table.tasks:
            self._requests.throttle(throttle.attempt, throttle.share)
            self._action_requested.set()

    async def _on_ack(
        self, peer: peers.Peer, ack: messages.TaskReportAck, _: bytes
    ) -> None:
        del peer
        self._table.reports.acknowledge(ack.attempts)
        self._action_requested.set()

    # Polling the worker

    async def _poll_loop(self) -> None:
        while True:
            with trio.move_on_after(POLL_INTERVAL_S):
                await self._poll_requested.wait()
            self._poll_requested = trio.Event()
            requested_at = trio.current_time()
            listing = await self._link.tasks()
            if listing is None:
                await trio.sleep(POLL_INTERVAL_S)
                continue
            await self._starter.resolve_starts(
                self._table.apply_listing(listing, requested_at)
            )
            await self._answer_queries(requested_at)
            self._guard.prune(
                requested_at, {a.task for a in self._table.tasks}
            )

    async def _answer_queries(self, requested_at: float) -> None:
        """Answer queries that arrived before the list was requested."""
        for query in self._requests.take_answerable(requested_at):
            absent = tuple(
                attempt
                for attempt in query.attempts
                if not self._table.is_known(attempt)
            )
            for attempt in query.attempts:
                self._table.resend_now(attempt)
            if query.report:
                await self._report_absent(query, absent)
            else:
                await self._reply(query, absent)

    async def _report_absent(
        self,
        query: _runner_requests.Query,
        absent: tuple[specs.AttemptId, ...],
    ) -> None:
        for attempt in absent:
            report = _local_tasks.lost_report(
                attempt, query.range_id, 'not on this host'
            )
            await _task_starter.send_best_effort(self._hub, query.peer, report)

    async def _reply(
        self,
        query: _runner_requests.Query,
        absent: tuple[specs.AttemptId, ...],
    ) -> None:
        tasks = self._table.tasks
        running = tuple(
            attempt
            for attempt in query.attempts
            if attempt in tasks
            and tasks[attempt].state is _local_tasks.LocalState.RUNNING
        )
        throttled = tuple(
            attempt
            for attempt in running
            if tasks[attempt].worker_state == 'throttled'
        )
        reply = messages.TaskQueryReply(
            query.range_id, running, absent, throttled
        )
        await _task_starter.send_best_effort(self._hub, query.peer, reply)

    # Periodic work

    async def _report_loop(self) -> None:
        while True:
            with trio.move_on_after(ACTION_INTERVAL_S):
                await self._table.reports_changed.wait()
            self._table.reports_changed = trio.Event()
            for report in self._table.reports.take_due(trio.current_time()):
                owner = self._permits.owner_of(report.range_id)
                if owner is not None:
                    await _task_starter.send_best_effort(
                        self._hub, owner, report
                    )
            _metrics.UNACKNOWLEDGED_REPORTS.set(len(self._table.reports))

    async def _action_loop(self) -> None:
        while True:
            with trio.move_on_after(ACTION_INTERVAL_S):
                await self._action_requested.wait()
            self._action_requested = trio.Event()
            await self._forget_acknowledged()
            if await self._requests.execute_due(self._link):
                self._poll_requested.set()

    async def _forget_acknowledged(self) -> None:
        attempts = self._table.reports.to_forget()
        if attempts and await self._link.try_call(
            'forget', functools.partial(self._link.port.forget, attempts)
        ):
            self._table.reports.confirm_forgotten(attempts)

    async def _renew_loop(self) -> None:
        renewal_suspended = False
        while True:
            await trio.sleep(LEASE_RENEWAL_INTERVAL_S)
            now = trio.current_time()
            acknowledged = now - self._permits.last_ack_at < ACK_VALIDITY_S
            if not acknowledged and not renewal_suspended:
                observability.emit(catalogue.LEASE_RENEWAL_SUSPENDED)
            renewal_suspended = not acknowledged
            if acknowledged and self._table.tasks:
                await self._renew(now)

    async def _renew(self, now: float) -> None:
        clock = self._link.clock
        if clock is None:
            return
        call = functools.partial(
            self._link.port.renew,
            tuple(self._table.tasks),
            clock.to_worker(now + _task_starter.WORKER_LEASE_S),
        )
        await self._link.try_call('renew', call)

    async def _usage_loop(self) -> None:
        while True:
            await trio.sleep(USAGE_REPORT_INTERVAL_S)
            usage = await self._measure_usage()
            report = messages.UsageReport(
                self._hub.boot_id,
                trio.current_time(),
                usage,
                self._table.reserved_by_team(),
            )
            for peer in self._hub.peers('entry'):
                await _task_starter.send_best_effort(
                    self._hub, peer.node_id, report
                )

    async def _measure_usage(self) -> tuple[messages.TaskUsage, ...]:
        """Return the worker's measurements, with times on the local clock.

        The reservation of a task is raised to its measured memory usage.
        """
        measured: list[messages.TaskUsage] = []

        async def collect() -> None:
            measured.extend(await self._link.port.usage())

        await self._link.try_call('usage', collect)
        clock = self._link.clock
        if clock is None:
            return ()
        for item in measured:
            self._ledger.observe(item.attempt, item.usage)
        return tuple(
            dataclasses.replace(
                item, measured_at=clock.to_local(item.measured_at)
            )
            for item in measured
        )
