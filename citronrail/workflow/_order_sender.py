"""Sends the scheduler's orders to agents."""

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports
from citronrail.workflow import _job
from citronrail.workflow import _leadership
from citronrail.workflow import _operator_view
from citronrail.workflow import _orders
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _worker_view

# Agents that report send a list twice a second.
REPORT_REQUEST_INTERVAL_S = 2.0
# With the longest argument and checkpoint of a task, these fit the longest
# message of a peer, 8 MiB.
MAX_STARTS_PER_MESSAGE = 100


class OrderSender:
    """Sends due orders to agents, and requests missing reports.

    :param hub: connections to agents.
    :param scheduler_state: jobs and workers.
    :param leadership: the leadership under which orders are sent.
    :param operators: the operators' current settings.
    :param max_lease_s: longest lease that workers grant, in seconds.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        scheduler_state: _scheduler_state.SchedulerState,
        leadership: _leadership.Leadership,
        operators: _operator_view.OperatorView,
        max_lease_s: float,
    ) -> None:
        self._hub = hub
        self._scheduler_state = scheduler_state
        self._leadership = leadership
        self._operators = operators
        self._lease_s = min(max_lease_s, _worker_view.WORKER_LEASE_S)
        self._pending_requests: list[tuple[identifiers.NodeId, object]] = []
        self._pending_starts: list[_job.Attempt] = []
        self._next_request_at = 0.0

    def request_report(self, peer: ports.Peer) -> None:
        """Queue a request for an agent's report."""
        request_report = messages.WorkerOrders(
            fencing=self._leadership.fencing
        )
        self._pending_requests.append((peer.node_id, request_report))

    def queue_starts(self, attempts: list[_job.Attempt]) -> None:
        """Queue runs to start; they must be committed before the next send."""
        self._pending_starts += attempts

    async def renew_leases(self) -> None:
        """Keep renewing leases while a commit waits for the store."""
        while True:
            await trio.sleep(_orders.LEASE_RENEW_INTERVAL_S / 2)
            await self.send(with_starts=False)

    def _request_missing_reports(self, now: float) -> None:
        """Request reports again from agents without a recent list.

        A request or a report may be lost with its connection without an
        error.
        """
        if now < self._next_request_at:
            return
        self._next_request_at = now + REPORT_REQUEST_INTERVAL_S
        for peer in self._hub.peers('agent'):
            view = self._scheduler_state.workers.get(peer.node_id)
            if (
                view is None
                or now - view.listed_at > REPORT_REQUEST_INTERVAL_S
            ):
                self.request_report(peer)

    async def send_requests(self) -> None:
        """Send the queued requests for reports."""
        outbox, self._pending_requests = self._pending_requests, []
        for node, message in outbox:
            await self._try_send(node, message)

    async def send(self, with_starts: bool = True) -> None:
        now = trio.current_time()
        self._request_missing_reports(now)
        await self.send_requests()
        starting: list[_job.Attempt] = []
        if with_starts and self._leadership.valid:
            starting, self._pending_starts = self._pending_starts, []
        starts_by_node: dict[str, list[_job.Attempt]] = {}
        for attempt in starting:
            starts_by_node.setdefault(attempt.node, []).append(attempt)
        for view in list(self._scheduler_state.workers.values()):
            if view.connected:
                worker_starts = starts_by_node.get(view.node, [])
                await self._send_due(view, worker_starts, now)
        for attempt in starting:
            if not attempt.ordered:
                self._discard_unordered(attempt, now)

    def _still_wanted(
        self, view: _worker_view.WorkerView, attempt: _job.Attempt, now: float
    ) -> bool:
        """Whether a committed run may still be started on its worker."""
        return (
            not attempt.stop_reason
            and view.attempts.get(attempt.key) is attempt
            and view.matches(attempt.worker_id, attempt.born_ms)
            and view.usable(now)
            and view.life.data_centre not in self._operators.evacuated
        )

    def _discard_unordered(self, attempt: _job.Attempt, now: float) -> None:
        """Discard a run that was committed but never ordered."""
        if attempt in attempt.task.attempts:
            self._scheduler_state.discard_run(
                attempt, 'no longer wanted, was never ordered', now
            )

    async def _send_due(
        self,
        view: _worker_view.WorkerView,
        starting: list[_job.Attempt],
        now: float,
    ) -> None:
        startable = [
            item for item in starting if self._still_wanted(view, item, now)
        ]
        if startable and _round.remaining_capacity(view).overcommitted:
            startable = []  # its capacity has shrunk during the commit
        first, rest = (
            startable[:MAX_STARTS_PER_MESSAGE],
            startable[MAX_STARTS_PER_MESSAGE:],
        )
        due = _orders.due_orders(
            view, first, self._leadership.fencing, self._lease_s, now
        )
        if due is None:
            return
        for attempt in due.starting:
            attempt.ordered = True
            attempt.order_sent_at = now
            attempt.order_number = due.orders.number
        if await self._try_send(identifiers.NodeId(view.node), due.orders):
            if rest:
                await self._send_due(view, rest, now)
            return
        for attempt in due.starting:
            self._scheduler_state.discard_run(
                attempt, 'the order was not sent', now
            )

    async def _try_send(
        self, node: identifiers.NodeId, message: object
    ) -> bool:
        try:
            await self._hub.send(node, message)
        except errors.PeerUnreachable:
            self._scheduler_state.mark_disconnected(node)
            return False
        return True
