"""Sending attempts to agents and waiting for what they say."""

import collections.abc
import contextlib

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _exchanges
from citronrail.routing import _metrics
from citronrail.routing import _requests
from citronrail.routing import _verdicts

MAX_QUEUE_S = 10.0  # an agent starts a request within this time or refuses
CANCEL_WAIT_S = 0.25  # an agent that lives answers a cancellation sooner
CANCEL_KEPT_S = 60.0  # longer than a message can be held up on its way
_CREDIT_PAUSE_S = 0.02

# Headers that speak to citronrail and mean nothing to a backend server.
_OWN_HEADERS = frozenset(('citronrail-timeout-ms',))


class Dispatch:
    """Sends attempts and cancellations, and grants credit.

    :param hub: connections to agents.
    """

    def __init__(self, hub: ports.PeerHub) -> None:
        self._hub = hub
        self._exchanges = _exchanges.ExchangeTable(hub)
        hub.listen(lambda _: None, self._exchanges.peer_gone)

    async def send(
        self,
        req: _requests.CallerRequest,
        attempt: int,
        agent: identifiers.NodeId,
        start_before: float,
        finish_before: float,
    ) -> _exchanges.Exchange | _verdicts.NotSent:
        """Send an attempt.

        :param req: the request.
        :param attempt: number of the attempt.
        :param agent: node id of the receiver.
        :param start_before: local time after which it must not start.
        :param finish_before: local time at which it is of no use any more.
        :returns: the exchange to watch, or why nothing was sent.
        """
        peer = self._hub.find_peer(agent)
        if peer is None:
            return _verdicts.NotSent('not connected')
        exchange = _exchanges.Exchange(req.request_id, attempt, peer)
        latest = min(start_before, trio.current_time() + MAX_QUEUE_S)
        self._exchanges.add(exchange)
        try:
            message = messages.RunRequest(
                req.request_id,
                attempt,
                req.service,
                req.method,
                req.target,
                tuple(
                    (name, value)
                    for name, value in req.headers
                    if name not in _OWN_HEADERS
                ),
                self._hub.to_peer_clock(agent, latest),
                self._hub.to_peer_clock(agent, finish_before),
                _exchanges.CREDIT_CHUNKS,
            )
            await self._hub.send(agent, message, req.body)
        except errors.PeerUnreachable as exc:
            self._exchanges.remove(exchange)
            return _verdicts.NotSent(exc.message)
        except trio.Cancelled:
            # The hub hands over as its last step, so nothing was sent.
            self._exchanges.remove(exchange)
            raise
        _metrics.SENDS.labels('first' if attempt == 1 else 'extra').inc()
        return exchange

    async def first_answer(
        self, exchange: _exchanges.Exchange, until: float
    ) -> None:
        """Wait until an attempt starts to be answered, or ends.

        :param exchange: the attempt; it knows what became of it.
        :param until: local time in seconds; then it is cancelled.
        """
        with trio.move_on_at(until) as scope:
            await exchange.receive()
        if scope.cancelled_caught:
            await self.cancel(exchange, timed_out=True)

    async def cancel(
        self, exchange: _exchanges.Exchange, *, timed_out: bool = False
    ) -> None:
        """Cancel an attempt and wait briefly for the agent's answer.

        Its verdict becomes ``Cancelled`` only if the agent has recorded the
        cancellation before a start.

        :param exchange: the attempt; its late answers are still matched
            until :meth:`release`.
        :param timed_out: whether the caller's time is over.
        """
        if exchange.ended:
            return
        agent = exchange.peer.node_id
        if not exchange.cancel_sent:
            exchange.cancel_sent = True
            with trio.CancelScope(shield=True):
                with trio.move_on_after(CANCEL_WAIT_S):
                    await self._ask_to_cancel(exchange, agent)
        if exchange.cancelled is outcomes.Outcome.NOT_RUN:
            exchange.fail(_verdicts.Cancelled())
        observability.emit(
            events.REQUEST_CANCELLED,
            cause=exchange.request_id,
            request=f'{exchange.request_id}#{exchange.attempt}',
            peer=agent,
            outcome=exchange.cancelled or 'no answer',
        )
        if isinstance(exchange.verdict, _verdicts.Lost):
            reason = 'cancelled while running'
            if exchange.cancelled is None:
                reason = 'the agent gave no answer'
            exchange.verdict = _verdicts.Lost(reason, timed_out)

    async def grant(self, exchange: _exchanges.Exchange) -> None:
        """Note that a chunk was passed on, and allow more when due.

        :param exchange: the attempt that the chunk belongs to.
        """
        due = exchange.credit_due()
        if not due or exchange.ended:
            return
        credit = messages.Credit(exchange.request_id, exchange.attempt, due)
        # A lost credit would stall the answer, so a full queue is waited for.
        while not exchange.ended:
            try:
                await self._hub.send(exchange.peer.node_id, credit)
            except errors.PeerUnreachable:
                await trio.sleep(_CREDIT_PAUSE_S)
            else:
                return

    def release(self, exchange: _exchanges.Exchange) -> None:
        """Drop further answers to an attempt.

        :param exchange: the attempt.
        """
        self._exchanges.remove(exchange)

    async def race(
        self,
        first: _exchanges.Exchange,
        until: float,
        hedge_after_s: float | None,
        hedge: collections.abc.Callable[
            [], collections.abc.Awaitable[_exchanges.Exchange | None]
        ],
    ) -> _exchanges.Exchange:
        """Wait for the first answer, from a second agent too if slow.

        :param first: the attempt that was sent.
        :param until: local time in seconds at which attempts are cancelled.
        :param hedge_after_s: when to send the second one; None for never.
        :param hedge: sends the second attempt.
        :returns: the attempt that began to be answered, or the last one to
            end without an answer.
        """
        if hedge_after_s is None:
            await self.first_answer(first, until)
            return first
        send, results = trio.open_memory_channel[_exchanges.Exchange](2)

        async def watch(exchange: _exchanges.Exchange) -> None:
            await self.first_answer(exchange, until)
            send.send_nowait(exchange)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, first)
            started = [first]
            last = None
            with trio.move_on_after(hedge_after_s):
                last = await results.receive()
            if last is None:
                second = await hedge()
                if second is not None:
                    started.append(second)
                    nursery.start_soon(watch, second)
            else:
                started.remove(last)
            while last is None or (started and last.started is None):
                last = await results.receive()
                started.remove(last)
            nursery.cancel_scope.cancel()
        return last

    async def _ask_to_cancel(
        self, exchange: _exchanges.Exchange, agent: identifiers.NodeId
    ) -> None:
        with contextlib.suppress(errors.PeerUnreachable):
            forget_after = self._hub.to_peer_clock(
                agent, trio.current_time() + CANCEL_KEPT_S
            )
            await self._hub.send(
                agent,
                messages.CancelRequest(
                    exchange.request_id, exchange.attempt, forget_after
                ),
            )
            await exchange.cancel_answered.wait()
