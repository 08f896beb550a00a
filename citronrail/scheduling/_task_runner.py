"""Agent side of running tasks."""

import dataclasses
import functools

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import resources
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.ports import peers
from citronrail.ports import worker as workers
from citronrail.scheduling import _interfaces
from citronrail.scheduling import _local_tasks
from citronrail.scheduling import _metrics
from citronrail.scheduling import _report_queue
from citronrail.scheduling import _runner_requests
from citronrail.scheduling import _start_guard
from citronrail.scheduling import _worker_link

LocalState = _local_tasks.LocalState

POLL_S = 0.5
ACT_S = 0.25
RENEW_S = 2.5  # a lease survives three lost renewals
LEASE_S = 10.0
ACK_VALID_S = 10.0
USAGE_S = 5.0
START_WINDOW_S = 2.0  # the worker gets at most this long to begin a start
DRAIN_S = 5.0


class TaskRunner:
    """Starts tasks at the worker, keeps their leases and reports their end.

    :param hub: connections to the entries.
    :param worker: port to the worker on this host.
    :param ledger: capacity ledger of this host; nobody else writes it.
    :param permits: what entries have told this agent.
    :param data_centre: where the host stands.
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
        self._tasks: dict[specs.AttemptId, _local_tasks.LocalTask] = {}
        self._reports = _report_queue.ReportQueue()
        self._requests = _runner_requests.Requests()
        self._nursery: trio.Nursery | None = None
        self._poll_now = trio.Event()
        self._act_now = trio.Event()
        self._report_now = trio.Event()
        self._rebuilt = False
        self._leaving = False
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
        """Whether the ledger is rebuilt, so that tasks may start."""
        return self._rebuilt and not self._leaving

    def running_tasks(self) -> tuple[messages.RunningTask, ...]:
        """Return the attempts for the agent's :class:`Hello`.

        Attempts that ended and whose report is not acknowledged are listed
        with the state ``ended``.
        """
        ended = tuple(
            messages.RunningTask(
                report.attempt,
                report.range_id,
                _runner_requests.NO_SPEC,
                'ended',
                0.0,
            )
            for report in self._reports.reports()
        )
        return ended + tuple(t.as_running() for t in self._tasks.values())

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled; ready once the ledger is rebuilt."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._renew_loop)
            await self._rebuild()
            nursery.start_soon(self._poll_loop)
            nursery.start_soon(self._act_loop)
            nursery.start_soon(self._report_loop)
            nursery.start_soon(self._usage_loop)
            task_status.started()

    async def drain(self) -> None:
        """Start nothing more; wait a while for reports to be committed.

        Running tasks go on under their worker leases for a successor of this
        process to adopt.
        """
        self._leaving = True
        with trio.move_on_after(DRAIN_S):
            while len(self._reports) or self._starting():
                await trio.sleep(ACT_S)

    def _starting(self) -> bool:
        return any(
            task.state is not LocalState.RUNNING
            for task in self._tasks.values()
        )

    # Rebuilding after a restart

    async def _rebuild(self) -> None:
        """Take in the worker's list before the first admission.

        A start call of this agent's earlier boot may still be on its way to
        the worker, which refuses it after at most START_WINDOW_S. The list is
        therefore read twice, that long apart on the worker's clock.
        """
        first = await self._first_listing()
        self._take_in(first, trio.current_time())
        listing = first
        while listing.clock <= first.clock + START_WINDOW_S:
            await trio.sleep(POLL_S)
            asked_at = trio.current_time()
            answer = await self._link.tasks()
            if answer is None:
                continue
            listing = answer
            if listing.boot_id != first.boot_id:
                first = listing
            self._take_in(listing, asked_at)
        self._rebuild_ledger()
        self._rebuilt = True
        observability.emit(catalogue.LEDGER_REBUILT, tasks=len(self._tasks))

    async def _first_listing(self) -> workers.WorkerTasks:
        while True:
            listing = await self._link.tasks()
            if listing is not None:
                return listing
            await trio.sleep(POLL_S)

    def _rebuild_ledger(self) -> None:
        self._ledger.rebuild(
            tuple(task.as_running() for task in self._tasks.values())
        )

    # Starting

    async def _on_start(
        self, peer: peers.Peer, start: messages.StartTask, _: bytes
    ) -> None:
        now = trio.current_time()
        if self._guard.fenced(start.range_id, start.fencing):
            return
        if self._guard.seen(start.attempt):
            # A doubled message. What it led to is told by the first one's
            # reply, by a report, or on a query.
            return
        self._guard.note(start.attempt, now)
        reason = self._refusal(start, now)
        if reason:
            await self._refuse(peer.node_id, start.attempt, reason)
            return
        self._tasks[start.attempt] = _local_tasks.LocalTask(
            start.attempt,
            start.range_id,
            start.spec,
            LocalState.STARTING,
            now,
            owner=peer.node_id,
        )
        if self._nursery is not None:
            self._nursery.start_soon(self._start, start)

    def _refusal(self, start: messages.StartTask, now: float) -> str:
        if self._leaving:
            return 'agent is leaving'
        if not self._rebuilt:
            return 'agent is still reading the list of its worker'
        if not self._link.answers(now):
            return 'worker does not answer'
        reason = self._guard.refusal(start, self._permits, now)
        if reason:
            return reason
        admission = self._ledger.admit(start.attempt, start.spec.resources)
        return '' if admission.accepted else admission.reason

    async def _start(self, start: messages.StartTask) -> None:
        task = self._tasks[start.attempt]
        clock = self._link.clock
        assert clock is not None
        now = trio.current_time()
        latest = min(
            start.start_before,
            self._permits.permit_until,
            now + START_WINDOW_S,
        )
        task = dataclasses.replace(task, start_before=clock.to_worker(latest))
        self._tasks[start.attempt] = task
        try:
            await self._link.start(
                lambda: self._link.port.start(
                    start.attempt,
                    start.range_id,
                    start.spec,
                    task.start_before,
                    clock.to_worker(now + LEASE_S),
                )
            )
        except errors.WorkerRefused as exc:
            if self._is_starting(start.attempt):
                await self._never_ran(task, exc.message)
        except errors.CitronrailError as exc:
            observability.emit(
                catalogue.TASK_START_UNKNOWN,
                attempt=start.attempt,
                reason=exc.message,
            )
            if self._is_starting(start.attempt):
                self._set_state(task, LocalState.UNKNOWN)
                self._poll_now.set()
        else:
            if self._is_starting(start.attempt):
                await self._confirm(task)

    def _is_starting(self, attempt: specs.AttemptId) -> bool:
        """Tell whether a poll has not settled the start meanwhile."""
        task = self._tasks.get(attempt)
        return task is not None and task.state is LocalState.STARTING

    def _set_state(
        self, task: _local_tasks.LocalTask, state: LocalState
    ) -> None:
        self._tasks[task.attempt] = dataclasses.replace(
            task, state=state, since=trio.current_time()
        )

    async def _confirm(self, task: _local_tasks.LocalTask) -> None:
        self._set_state(task, LocalState.RUNNING)
        _metrics.STARTS.labels('started').inc()
        observability.emit(catalogue.TASK_STARTED, attempt=task.attempt)
        await self._reply(task.owner, task.attempt, outcomes.Outcome.DONE, '')

    async def _never_ran(
        self, task: _local_tasks.LocalTask, reason: str
    ) -> None:
        self._tasks.pop(task.attempt, None)
        self._ledger.release(task.attempt)
        await self._refuse(task.owner, task.attempt, reason)

    async def _refuse(
        self, owner: identifiers.NodeId, attempt: specs.AttemptId, reason: str
    ) -> None:
        _metrics.STARTS.labels('refused').inc()
        observability.emit(
            catalogue.TASK_REFUSED, attempt=attempt, reason=reason
        )
        await self._reply(owner, attempt, outcomes.Outcome.NOT_RUN, reason)

    async def _reply(
        self,
        owner: identifiers.NodeId,
        attempt: specs.AttemptId,
        outcome: outcomes.Outcome,
        reason: str,
    ) -> None:
        if owner:
            await self._send(
                owner, messages.StartReply(attempt, outcome, reason)
            )

    async def _send(self, peer: identifiers.NodeId, message: object) -> bool:
        try:
            await self._hub.send(peer, message)
        except errors.PeerUnreachable:
            return False  # the owner asks again, or gets the report later
        return True

    # Requests of the owner about attempts

    async def _on_stop(
        self, peer: peers.Peer, stop: messages.StopTask, _: bytes
    ) -> None:
        if self._guard.fenced(stop.range_id, stop.fencing):
            return
        now = trio.current_time()
        for attempt in stop.attempts:
            self._guard.note(attempt, now)
            if attempt in self._tasks:
                self._requests.stop(attempt, stop.checkpoint)
            elif attempt in self._reports:
                self._reports.hurry(attempt, now)
                self._report_now.set()
            else:
                self._requests.ask(
                    peer.node_id, (attempt,), stop.range_id, now, report=True
                )
                self._poll_now.set()
        self._act_now.set()

    async def _on_query(
        self, peer: peers.Peer, query: messages.TaskQuery, _: bytes
    ) -> None:
        if self._guard.fenced(query.range_id, query.fencing):
            return
        now = trio.current_time()
        for attempt in query.attempts:
            self._guard.note(attempt, now)
        self._requests.ask(
            peer.node_id, query.attempts, query.range_id, now, report=False
        )
        self._poll_now.set()

    async def _on_throttle(
        self, peer: peers.Peer, throttle: messages.ThrottleTask, _: bytes
    ) -> None:
        del peer
        if self._guard.fenced(throttle.range_id, throttle.fencing):
            return
        if throttle.attempt in self._tasks:
            self._requests.throttle(throttle.attempt, throttle.share)
            self._act_now.set()

    async def _on_ack(
        self, peer: peers.Peer, ack: messages.TaskReportAck, _: bytes
    ) -> None:
        del peer
        self._reports.acknowledge(ack.attempts)
        self._act_now.set()

    # Following the worker

    async def _poll_loop(self) -> None:
        while True:
            with trio.move_on_after(POLL_S):
                await self._poll_now.wait()
            self._poll_now = trio.Event()
            asked_at = trio.current_time()
            listing = await self._link.tasks()
            if listing is None:
                await trio.sleep(POLL_S)
                continue
            await self._settle(self._take_in(listing, asked_at))
            await self._answer(asked_at)
            self._guard.forget_old(asked_at, {a.task for a in self._tasks})

    def _take_in(
        self, listing: workers.WorkerTasks, asked_at: float
    ) -> tuple[_local_tasks.Finding, ...]:
        """Apply what a list says; return findings that need a reply."""
        replies: list[_local_tasks.Finding] = []
        adopted = False
        for finding in _local_tasks.compare(self._tasks, listing, asked_at):
            match finding:
                case _local_tasks.Runs(running):
                    if running.attempt in self._tasks:
                        replies.append(finding)
                    else:
                        self._adopt(running)
                        adopted = True
                case _local_tasks.Ended(ended):
                    self._ended(_local_tasks.ended_report(ended))
                case _local_tasks.Lost(task):
                    self._ended(
                        _local_tasks.lost_report(
                            task.attempt,
                            task.range_id,
                            'the worker does not know it any more',
                        )
                    )
                case _local_tasks.NeverRan():
                    replies.append(finding)
        if adopted and self._rebuilt:
            self._rebuild_ledger()
        return tuple(replies)

    def _adopt(self, running: messages.RunningTask) -> None:
        now = trio.current_time()
        self._guard.note(running.attempt, now)
        self._tasks[running.attempt] = _local_tasks.LocalTask(
            running.attempt,
            running.range_id,
            running.spec,
            LocalState.RUNNING,
            now,
            worker_state=running.state,
        )
        observability.emit(catalogue.TASK_ADOPTED, attempt=running.attempt)

    def _ended(self, report: messages.TaskReport) -> None:
        now = trio.current_time()
        self._guard.note(report.attempt, now)
        if not self._reports.add(report, now):
            return
        self._tasks.pop(report.attempt, None)
        self._requests.drop(report.attempt)
        self._ledger.release(report.attempt)
        observability.emit(
            catalogue.TASK_ENDED, attempt=report.attempt, state=report.state
        )
        self._report_now.set()

    async def _settle(
        self, findings: tuple[_local_tasks.Finding, ...]
    ) -> None:
        for finding in findings:
            match finding:
                case _local_tasks.Runs(running):
                    task = self._tasks.get(running.attempt)
                    if task and task.state is not LocalState.RUNNING:
                        await self._confirm(task)
                case _local_tasks.NeverRan(task) if (
                    task.attempt in self._tasks
                ):
                    await self._never_ran(task, 'the worker did not start it')
                case _:
                    pass

    async def _answer(self, asked_at: float) -> None:
        """Answer queries that came before the list was asked for."""
        now = trio.current_time()
        for query in self._requests.answerable(asked_at):
            absent = tuple(
                attempt
                for attempt in query.attempts
                if attempt not in self._tasks and attempt not in self._reports
            )
            for attempt in query.attempts:
                self._reports.hurry(attempt, now)
            if query.report:
                for attempt in absent:
                    report = _local_tasks.lost_report(
                        attempt, query.range_id, 'not on this host'
                    )
                    await self._send(query.peer, report)
                continue
            running = tuple(
                attempt
                for attempt in query.attempts
                if attempt in self._tasks
                and self._tasks[attempt].state is LocalState.RUNNING
            )
            await self._send(
                query.peer,
                messages.TaskQueryReply(query.range_id, running, absent),
            )
        self._report_now.set()

    # Regular work

    async def _report_loop(self) -> None:
        while True:
            with trio.move_on_after(ACT_S):
                await self._report_now.wait()
            self._report_now = trio.Event()
            for report in self._reports.due(trio.current_time()):
                owner = self._permits.owner_of(report.range_id)
                if owner is not None:
                    await self._send(owner, report)
            _metrics.REPORTS_KEPT.set(len(self._reports))

    async def _act_loop(self) -> None:
        while True:
            with trio.move_on_after(ACT_S):
                await self._act_now.wait()
            self._act_now = trio.Event()
            await self._forget()
            if await self._requests.carry_out(self._link):
                self._poll_now.set()

    async def _forget(self) -> None:
        attempts = self._reports.to_forget()
        if attempts and await self._link.attempt(
            'forget', functools.partial(self._link.port.forget, attempts)
        ):
            self._reports.forgotten(attempts)

    async def _renew_loop(self) -> None:
        held_back = False
        while True:
            await trio.sleep(RENEW_S)
            now = trio.current_time()
            acknowledged = now - self._permits.last_ack_at < ACK_VALID_S
            if not acknowledged and not held_back:
                observability.emit(catalogue.LEASES_HELD_BACK)
            held_back = not acknowledged
            if acknowledged and self._tasks:
                await self._renew(now)

    async def _renew(self, now: float) -> None:
        clock = self._link.clock
        if clock is None:
            return
        attempts = tuple(self._tasks)
        lease_until = clock.to_worker(now + LEASE_S)
        await self._link.attempt(
            'renew', lambda: self._link.port.renew(attempts, lease_until)
        )

    async def _usage_loop(self) -> None:
        while True:
            await trio.sleep(USAGE_S)
            usage: list[messages.TaskUsage] = []

            async def collect(into: list[messages.TaskUsage] = usage) -> None:
                into.extend(await self._link.port.usage())

            await self._link.attempt('usage', collect)
            clock = self._link.clock
            if clock is None:
                continue
            report = messages.UsageReport(
                self._hub.boot_id,
                trio.current_time(),
                tuple(
                    dataclasses.replace(
                        item, measured_at=clock.to_local(item.measured_at)
                    )
                    for item in usage
                ),
                self._reserved(),
            )
            for peer in self._hub.peers('entry'):
                await self._send(peer.node_id, report)

    def _reserved(self) -> tuple[messages.TeamReservation, ...]:
        by_team: dict[identifiers.TeamName, resources.Resources] = {}
        for task in self._tasks.values():
            before = by_team.get(task.spec.team, resources.Resources())
            by_team[task.spec.team] = before + task.spec.resources
        return tuple(
            messages.TeamReservation(team, amount)
            for team, amount in by_team.items()
        )
