"""Sends the scheduler's orders to agents."""

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports
from citronrail.workflow import _book
from citronrail.workflow import _fleet
from citronrail.workflow import _job
from citronrail.workflow import _leadership
from citronrail.workflow import _operators
from citronrail.workflow import _orders

ASK_AGAIN_S = 2.0  # an agent that reports sends a list twice a second


class OrderSender:
    """Tells each agent what is due, and asks those that are silent.

    :param hub: connections to agents.
    :param book: jobs and workers.
    :param leadership: the leadership under which orders are given.
    :param operators: the operators' wishes in force.
    :param max_lease_s: longest lease that workers grant, in seconds.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        book: _book.Book,
        leadership: _leadership.Leadership,
        operators: _operators.OperatorView,
        max_lease_s: float,
    ) -> None:
        self._hub = hub
        self._book = book
        self._leadership = leadership
        self._operators = operators
        self._lease_s = min(max_lease_s, _orders.LEASE_S)
        self._outbox: list[tuple[identifiers.NodeId, object]] = []
        self._starting: list[_job.Attempt] = []
        self._ask_at = 0.0

    def ask(self, peer: ports.Peer) -> None:
        """Ask an agent for its report with the next orders."""
        ask = messages.WorkerOrders(fencing=self._leadership.fencing)
        self._outbox.append((peer.node_id, ask))

    def start(self, attempts: list[_job.Attempt]) -> None:
        """Order runs with the next orders; they must be committed by then."""
        self._starting += attempts

    async def hold_leases(self) -> None:
        """Keep extending leases while a commit waits for the store."""
        while True:
            await trio.sleep(_orders.RENEW_S / 2)
            await self.send(with_starts=False)

    def _ask_silent(self, now: float) -> None:
        """Ask agents again whose worker's list isn't known or is old.

        An order or a report may be lost with its connection, unnoticed.
        """
        if now < self._ask_at:
            return
        self._ask_at = now + ASK_AGAIN_S
        for peer in self._hub.peers('agent'):
            view = self._book.workers.get(peer.node_id)
            if view is None or now - view.listed_at > ASK_AGAIN_S:
                self.ask(peer)

    async def send(self, with_starts: bool = True) -> None:
        now = trio.current_time()
        self._ask_silent(now)
        outbox, self._outbox = self._outbox, []
        for node, message in outbox:
            await self._try_send(node, message)
        starting: list[_job.Attempt] = []
        if with_starts and self._leadership.holds:
            starting, self._starting = self._starting, []
        for view in list(self._book.workers.values()):
            if view.connected:
                own = [item for item in starting if item.node == view.node]
                await self._send_due(view, own, now)
        for attempt in starting:
            if not attempt.ordered:
                self._drop(attempt, now)

    def _may_start(
        self, view: _fleet.WorkerView, attempt: _job.Attempt, now: float
    ) -> bool:
        """Whether a committed run is still wanted on the worker."""
        return (
            not attempt.stop_reason
            and view.attempts.get(attempt.key) is attempt
            and view.is_life(attempt.worker_id, attempt.born_ms)
            and view.usable(now)
            and view.life.data_centre not in self._operators.evacuated
        )

    def _drop(self, attempt: _job.Attempt, now: float) -> None:
        """Give up a run that was committed and never ordered."""
        if attempt in attempt.task.attempts:
            self._book.void(attempt, 'no longer wanted, never ordered', now)

    async def _send_due(
        self,
        view: _fleet.WorkerView,
        starting: list[_job.Attempt],
        now: float,
    ) -> None:
        wanted = [
            item for item in starting if self._may_start(view, item, now)
        ]
        due = _orders.due_orders(
            view, wanted, self._leadership.fencing, self._lease_s, now
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
            self._book.void(attempt, 'the order was not sent', now)

    async def _try_send(
        self, node: identifiers.NodeId, message: object
    ) -> bool:
        try:
            await self._hub.send(node, message)
        except errors.PeerUnreachable:
            self._book.disconnected(node)
            return False
        return True
