"""Agent: carries out the scheduler's orders on the worker of this host."""

import dataclasses

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _agent_lease
from citronrail.workflow import _incarnation_checks
from citronrail.workflow import _order_numbers
from citronrail.workflow import _report_flow

# Long-poll timeouts: how long a list call waits for a run to end.
LIST_WAIT_MS = 500  # while tasks run
IDLE_WAIT_MS = 1500
RELIST_PAUSE_S = 0.12  # delay if all listed ends have been reported already
RETRY_S = 0.2
# The worker refuses a start that arrives later than this, so that delayed
# orders aren't carried out.
START_VALIDITY_S = 1.5
MAX_CONCURRENT_STARTS = 6


@dataclasses.dataclass
class _Pending:
    """Refused starts and confirmed stops to include in the next report."""

    refused: list[messages.RefusedStart]
    stopped: list[messages.TaskRun]


@dataclasses.dataclass(frozen=True)
class _Permission:
    """Permission of the scheduler to start a run on a worker.

    ``start_until`` is the local time at which it ends. ``received`` keeps
    track of the orders, ``number`` is that of the order with the start.
    """

    worker_id: str
    born_ms: int
    fencing: int
    start_until: float
    received: _order_numbers.OrdersReceived
    number: int


class WorkerAgent:
    """Lists and reports the worker's runs, and carries out orders.

    Orders with a fencing token below the highest one seen are dropped.

    :param worker: the worker.
    :param hub: connection to the scheduling entry.
    :param max_lease_s: longest lease that the worker grants, in seconds.
    """

    def __init__(
        self,
        worker: ports.TaskWorker,
        hub: ports.PeerHub,
        max_lease_s: float,
    ) -> None:
        self._worker = worker
        self._hub = hub
        self._life: messages.WorkerLife | None = None
        self._lease = _agent_lease.AgentLease(max_lease_s)
        self._fencing = 0
        self._received = _order_numbers.OrdersReceived()
        self._flow = _report_flow.ReportFlow()
        self._confirmed_token = 0  # token that the worker has confirmed
        self._incarnations = 0  # confirmed ones, with the current one
        self._scheduler: identifiers.NodeId | None = None
        self._acknowledged = 0
        self._busy = False
        self._reported_end = 0
        self._pending = _Pending([], [])
        self._list_scope = trio.CancelScope()
        self._wake = trio.Event()
        self._limit = trio.CapacityLimiter(MAX_CONCURRENT_STARTS)
        self._nursery: trio.Nursery | None = None
        self._report_scheduled = False
        self._unreachable = False
        self._stopping: set[tuple[str, int]] = set()
        self._checks = _incarnation_checks.IncarnationChecks(
            worker,
            lambda: self._fencing,
            lambda: self._life,
            self._begin_incarnation,
        )
        hub.subscribe(messages.WorkerOrders, self._on_orders)

    # Announcements

    @property
    def life(self) -> messages.WorkerLife | None:
        """The worker's current incarnation, None before it is confirmed."""
        return self._life

    def announce(self, life: messages.WorkerLife) -> None:
        """Handle an announcement, which may come from another writer.

        A new incarnation ends what is believed of the runs of the one before,
        so that it counts only once the worker itself has confirmed it.

        :param life: the announced incarnation.
        """
        if self._is_current(life.worker_id, life.born_ms):
            self._set_life(life)
        else:
            self._checks.add(life)

    def _begin_incarnation(self, life: messages.WorkerLife) -> None:
        """Take up a confirmed incarnation; a list may have shown it before."""
        if not self._is_current(life.worker_id, life.born_ms):
            self._incarnations += 1
            if self._life is not None:
                self._reset_for_new_incarnation()
        self._set_life(life)

    def _begin_unannounced(
        self, life: messages.WorkerLife, born_ms: int
    ) -> None:
        """Take up an incarnation with the same ID that a list has shown.

        State, capacity and labels are those of the one before, which may have
        been draining or of another kind. They follow with its announcement.

        :param life: the incarnation before.
        :param born_ms: time of birth of the present one.
        """
        self._begin_incarnation(
            dataclasses.replace(
                life, born_ms=born_ms, state='starting', drain_left_s=0.0
            )
        )

    def _set_life(self, life: messages.WorkerLife) -> None:
        if life != self._life:
            self._log(life)
            self._life = life
            self._wake.set()
            self._schedule_report()

    def leave(self, worker_id: str) -> None:
        """Start nothing on a worker that has said that it ends.

        The message names no incarnation. It may be a late one of an earlier
        incarnation, so that the next announcement of the worker overrides it.

        :param worker_id: ID of the worker.
        """
        self._checks.remove(worker_id)
        life = self._life
        if (
            life is not None
            and life.worker_id == worker_id
            and life.state != 'draining'
        ):
            self._set_life(dataclasses.replace(life, state='leaving'))

    def _log(self, life: messages.WorkerLife) -> None:
        old = self._life
        if old is None or (old.born_ms, old.state) != (
            life.born_ms,
            life.state,
        ):
            observability.emit(
                events.WORKER_LIFE,
                worker=life.worker_id,
                born=life.born_ms,
                node=self._hub.node_id,
                state=life.state,
            )

    def _is_current(self, worker_id: str, born_ms: int) -> bool:
        life = self._life
        return (
            life is not None
            and life.worker_id == worker_id
            and life.born_ms == born_ms
        )

    def _reset_for_new_incarnation(self) -> None:
        self._lease.reset()
        self._received = _order_numbers.OrdersReceived(self._fencing)
        self._confirmed_token = 0
        self._acknowledged = 0
        self._reported_end = 0
        self._pending = _Pending([], [])
        self._list_scope.cancel()
        self._flow.skip_wait()

    # List of runs

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """List runs and report them until cancelled."""
        self._lease.begin()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._checks.run)
            task_status.started()
            while True:
                confirmed = await self._flow.wait()
                await self._list_once(may_wait=confirmed)

    async def _list_once(self, *, may_wait: bool) -> None:
        """List and report the runs.

        :param may_wait: whether the list may wait for a run to end; not after
            a wait for a confirmation that has not come, since the scheduler's
            last list would get too old.
        """
        life = self._life
        if life is None or not self._fencing:
            with trio.move_on_after(1.0):
                await self._wake.wait()
            self._wake = trio.Event()
            return
        fencing = self._fencing
        settled = self._received.settled
        stopped = tuple(self._pending.stopped)
        order = ports.LeaseOrder(
            fencing,
            self._acknowledged,
            self._lease.until_ms,
            LIST_WAIT_MS if self._busy else IDLE_WAIT_MS,
        )
        if (
            self._confirmed_token != fencing
            or self._pending.refused
            or stopped
            or not may_wait
        ):
            order = dataclasses.replace(order, wait_ms=0)
        if self._unreachable:
            # A new incarnation may answer, whose clock and count of ends start
            # from zero.
            order = ports.LeaseOrder(fencing, acknowledged=0)
        self._lease.note_sent(order.lease_until_ms)
        self._record_lease_call(
            order
        )  # it may take effect at any time until it ends
        worker_list = None
        with trio.CancelScope() as self._list_scope:
            try:
                worker_list = await self._worker.list_runs(life, order)
            except errors.CitronrailError as exc:
                if not isinstance(exc, errors.WorkerRefused):
                    self._record_lease_call(order)
                self._set_unreachable(life, exc)
                await self._report(None, ())
                await trio.sleep(RETRY_S)
                return
        self._record_lease_call(order)
        if worker_list is None or not self._is_current(
            life.worker_id, life.born_ms
        ):
            return
        self._unreachable = False
        if worker_list.born_ms and worker_list.born_ms != life.born_ms:
            # The current incarnation had been confirmed before the call, so
            # this is a later one even if its time of birth is earlier.
            self._begin_unannounced(life, worker_list.born_ms)
            return
        self._confirmed_token = fencing
        self._lease.read_clock(worker_list.clock_ms)
        self._busy = bool(worker_list.running)
        await self._report(worker_list, stopped, settled)
        newest = max((end.number for end in worker_list.ended), default=0)
        if worker_list.ended and newest <= self._reported_end:
            await trio.sleep(RELIST_PAUSE_S)
        self._reported_end = max(self._reported_end, newest)

    def _record_lease_call(self, order: ports.LeaseOrder) -> None:
        """Record a call that may have extended a lease on the worker."""
        if order.lease_until_ms:
            self._lease.note_call()

    def _set_unreachable(
        self, life: messages.WorkerLife, exc: errors.CitronrailError
    ) -> None:
        if not self._unreachable:
            observability.emit(
                events.WORKER_UNREACHABLE, worker=life.worker_id, reason=exc
            )
        self._unreachable = True

    def _schedule_report(self) -> None:
        """Report soon without a list; one report serves several reasons."""
        if self._nursery is not None and not self._report_scheduled:
            self._report_scheduled = True
            self._nursery.start_soon(self._report_without_list)

    async def _report_without_list(self) -> None:
        self._report_scheduled = False
        await self._report(None, ())

    async def _report(
        self,
        worker_list: ports.WorkerList | None,
        stopped: tuple[messages.TaskRun, ...],
        settled: int = 0,
    ) -> None:
        """Send a report to the scheduling entry.

        :param worker_list: the worker's list, None if it is unknown.
        :param stopped: stops that were confirmed before the list was made.
        :param settled: number up to which orders were carried out before.
        """
        scheduler = self._scheduler
        if scheduler is None:
            return
        refused = tuple(self._pending.refused)
        report = messages.WorkerReport(
            fencing=self._confirmed_token if worker_list else 0,
            life=self._life,
            clock_ms=worker_list.clock_ms if worker_list else 0,
            running=worker_list.running if worker_list else (),
            ended=worker_list.ended if worker_list else (),
            refused=refused,
            stopped=stopped,
            token=self._fencing,
            lease_until_ms=self._lease.until_ms,
            lease_left_s=self._lease.left_s(),
            unreachable=self._unreachable,
            received=self._received.last,
            settled=settled,
            number=self._flow.next_number,
            has_more_ends=bool(worker_list and worker_list.has_more_ends),
            incarnations=self._incarnations,
        )
        try:
            await self._hub.send(scheduler, report)
        except errors.PeerUnreachable:
            return  # the next scheduling entry asks for a report
        self._flow.note_sent()
        self._pending.refused = [
            item for item in self._pending.refused if item not in refused
        ]
        self._pending.stopped = [
            item for item in self._pending.stopped if item not in stopped
        ]

    # Orders

    async def _on_orders(
        self, peer: ports.Peer, orders: messages.WorkerOrders, _: bytes
    ) -> None:
        if orders.fencing < self._fencing:
            observability.emit(
                events.ORDERS_REFUSED,
                peer=peer.node_id,
                token=orders.fencing,
                reason=f'token {self._fencing} was seen before',
            )
            return
        assert self._nursery is not None
        if orders.fencing > self._fencing or peer.node_id != self._scheduler:
            if orders.fencing > self._fencing:
                self._received = _order_numbers.OrdersReceived(orders.fencing)
                self._flow.reset()
            self._fencing = orders.fencing
            self._scheduler = peer.node_id
            self._checks.wake()
            self._wake.set()
            self._list_scope.cancel()
            self._schedule_report()
        self._flow.confirm(orders.reports)
        if not self._is_current(orders.worker_id, orders.born_ms):
            self._refuse_starts(orders.starts, 'another life')
            return
        leaving = self._life is not None and self._life.state != 'ready'
        self._received.receive(
            orders.number, 0 if leaving else len(orders.starts)
        )
        self._acknowledged = max(self._acknowledged, orders.acknowledged)
        self._lease.extend(orders.lease_until_ms)
        for stop in orders.stops:
            self._nursery.start_soon(self._stop, stop)
        starting = {(item.task, item.run) for item in orders.starts}
        first_paces = {}
        for pace in orders.paces:
            if (pace.task, pace.run) in starting:
                first_paces[pace.task, pace.run] = pace
            else:
                self._nursery.start_soon(self._set_pace, pace)
        if leaving:
            self._refuse_starts(orders.starts, 'leaving')
            return
        start_until = trio.current_time() + START_VALIDITY_S
        for start in orders.starts:
            self._busy = True
            self._nursery.start_soon(
                self._carry_out_start,
                start,
                _Permission(
                    orders.worker_id,
                    orders.born_ms,
                    orders.fencing,
                    start_until,
                    self._received,
                    orders.number,
                ),
                first_paces.get((start.task, start.run)),
            )
        if self._lease.runs_out():
            self._list_scope.cancel()
            self._flow.skip_wait()

    def _refuse_starts(
        self, starts: tuple[messages.StartOrder, ...], reason: str
    ) -> None:
        if not starts:
            return
        self._pending.refused += [
            messages.RefusedStart(item.task, item.run, reason)
            for item in starts
        ]
        self._schedule_report()

    async def _carry_out_start(
        self,
        order: messages.StartOrder,
        permission: _Permission,
        pace: messages.PaceOrder | None,
    ) -> None:
        """Start a run and set its pace.

        :param order: the run.
        :param permission: permission to start it.
        :param pace: first pace of the run, None for full pace.
        """
        started = await self._start(order, permission)
        permission.received.finish_start(permission.number)
        if pace is not None and started:
            await self._set_pace(pace)

    async def _start(
        self, order: messages.StartOrder, permission: _Permission
    ) -> bool:
        """Start a run, unless its permission has ended meanwhile.

        :param order: the run.
        :param permission: checked again right before the call, as the order
            may have waited here or this process may have been suspended.
        :returns: whether it may have been started.
        """
        async with self._limit:
            life = self._life
            reason = self._why_ended(permission)
            if life is None or reason:
                self._refuse_starts((order,), reason)
                return False
            self._lease.note_call()
            result = await self._worker.start(
                life,
                order,
                self._lease.start_until_ms(permission.start_until),
                permission.fencing,
            )
        self._lease.note_call()
        match result.verdict:
            case ports.StartVerdict.REFUSED:
                self._refuse_starts((order,), result.reason)
            case ports.StartVerdict.UNKNOWN:
                observability.emit(
                    events.START_UNANSWERED,
                    task=order.task,
                    run=order.run,
                    reason=result.reason,
                )
        return result.verdict != ports.StartVerdict.REFUSED

    def _why_ended(self, permission: _Permission) -> str:
        """Return why a start is no longer permitted, '' if it still is."""
        if not self._is_current(permission.worker_id, permission.born_ms):
            return 'another life'
        if permission.fencing != self._fencing:
            return 'fence'
        if trio.current_time() > permission.start_until:
            return 'late'
        return ''

    async def _stop(self, run: messages.TaskRun) -> None:
        """Stop a run; if this fails, the scheduler repeats the order."""
        life = self._life
        key = (run.task, run.run)
        if life is None or key in self._stopping:
            return
        self._stopping.add(key)
        try:
            await self._worker.stop(life, run, self._fencing)
        except errors.CitronrailError as exc:
            observability.emit(
                events.WORKER_UNREACHABLE, worker=life.worker_id, reason=exc
            )
            return
        finally:
            self._stopping.discard(key)
        if self._is_current(life.worker_id, life.born_ms):
            self._pending.stopped.append(run)
            if not self._busy:
                self._list_scope.cancel()

    async def _set_pace(self, order: messages.PaceOrder) -> None:
        life = self._life
        if life is None:
            return
        try:
            await self._worker.pace(life, order, self._fencing)
        except errors.CitronrailError as exc:
            observability.emit(
                events.WORKER_UNREACHABLE, worker=life.worker_id, reason=exc
            )
