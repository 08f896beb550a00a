"""Sends attempts and cancellations to agents and awaits their replies."""

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
from citronrail.routing import _attempt_states
from citronrail.routing import _exchanges
from citronrail.routing import _metrics
from citronrail.routing import _requests

MAX_QUEUE_S = 10.0  # longest time that a request may queue at an agent
CANCEL_REPLY_TIMEOUT_S = 0.25  # a live agent confirms a cancellation sooner
CANCEL_RETENTION_S = 60.0  # exceeds the longest delay of a message in transit
_FULL_QUEUE_PAUSE_S = 0.02

# Headers for citronrail only, which are not forwarded to backend servers.
_CONTROL_HEADERS = frozenset(('citronrail-timeout-ms',))


class Dispatcher:
    """Sends attempts, cancellations and flow control credit.

    :param hub: connections to agents.
    """

    def __init__(self, hub: ports.PeerHub) -> None:
        self._hub = hub
        self._exchanges = _exchanges.ExchangeTable(hub)
        hub.listen(lambda _: None, self._exchanges.on_disconnect)

    async def send(
        self,
        req: _requests.CallerRequest,
        attempt: int,
        agent: identifiers.NodeId,
        start_before: float,
        finish_before: float,
    ) -> _exchanges.Exchange | _attempt_states.NotSent:
        """Send an attempt.

        :param req: the request.
        :param attempt: number of the attempt.
        :param agent: node id of the target agent.
        :param start_before: local time after which it must not start.
        :param finish_before: local time by which the response must end.
        :returns: the exchange, or the reason why nothing was sent.
        """
        peer = self._hub.find_peer(agent)
        if peer is None:
            return _attempt_states.NotSent('not connected')
        exchange = _exchanges.Exchange(req.request_id, attempt, peer)
        latest_start = min(start_before, trio.current_time() + MAX_QUEUE_S)
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
                    if name not in _CONTROL_HEADERS
                ),
                self._hub.to_peer_clock(agent, latest_start),
                self._hub.to_peer_clock(agent, finish_before),
                _exchanges.CREDIT_CHUNKS,
            )
            await self._hub.send(agent, message, req.body)
        except errors.PeerUnreachable as exc:
            self._exchanges.remove(exchange)
            return _attempt_states.NotSent(exc.message)
        except trio.Cancelled:
            # Sending is the last step of the hub, so nothing was sent.
            self._exchanges.remove(exchange)
            raise
        _metrics.SENDS.labels('first' if attempt == 1 else 'extra').inc()
        return exchange

    async def await_response_start(
        self, exchange: _exchanges.Exchange, until: float
    ) -> None:
        """Wait until the response of an attempt starts or the attempt ends.

        :param exchange: the attempt, whose state is updated.
        :param until: local time in seconds at which it is cancelled.
        """
        with trio.move_on_at(until) as scope:
            await exchange.receive()
        if scope.cancelled_caught:
            await self.cancel(exchange, timed_out=True)

    async def cancel(
        self, exchange: _exchanges.Exchange, *, timed_out: bool = False
    ) -> None:
        """Cancel an attempt and wait briefly for the agent's confirmation.

        Its state becomes ``Cancelled`` only if the agent recorded the
        cancellation before the run started.

        :param exchange: the attempt; late messages for it are accepted until
            :meth:`release`.
        :param timed_out: whether the deadline of the request has passed.
        """
        if exchange.ended:
            return
        agent = exchange.peer.node_id
        if not exchange.cancel_sent:
            exchange.cancel_sent = True
            with trio.CancelScope(shield=True):
                with trio.move_on_after(CANCEL_REPLY_TIMEOUT_S):
                    await self._request_cancellation(exchange, agent)
        if exchange.cancel_outcome is outcomes.Outcome.NOT_RUN:
            exchange.fail(_attempt_states.Cancelled())
        observability.emit(
            events.REQUEST_CANCELLED,
            cause=exchange.request_id,
            request=f'{exchange.request_id}#{exchange.attempt}',
            peer=agent,
            outcome=exchange.cancel_outcome or 'no answer',
        )
        if isinstance(exchange.state, _attempt_states.Lost):
            reason = 'cancelled while running'
            if exchange.cancel_outcome is None:
                reason = 'the agent gave no answer'
            exchange.state = _attempt_states.Lost(reason, timed_out)

    async def grant_credit(self, exchange: _exchanges.Exchange) -> None:
        """Record that a chunk was consumed, and grant credit when it is due.

        :param exchange: the attempt that the chunk belongs to.
        """
        due = exchange.take_due_credit()
        if not due or exchange.ended:
            return
        credit = messages.Credit(exchange.request_id, exchange.attempt, due)
        # A lost credit message would stall the response, so sending is retried
        # while the send queue is full.
        while not exchange.ended:
            try:
                await self._hub.send(exchange.peer.node_id, credit)
            except errors.PeerUnreachable:
                await trio.sleep(_FULL_QUEUE_PAUSE_S)
            else:
                return

    def release(self, exchange: _exchanges.Exchange) -> None:
        """Unregister an attempt; later messages for it are dropped.

        :param exchange: the attempt.
        """
        self._exchanges.remove(exchange)

    async def await_first_response(
        self,
        first: _exchanges.Exchange,
        until: float,
        hedge_after_s: float | None,
        hedge: collections.abc.Callable[
            [], collections.abc.Awaitable[_exchanges.Exchange | None]
        ],
    ) -> _exchanges.Exchange:
        """Wait for the first response, with a hedged attempt if it is slow.

        :param first: the attempt that was sent.
        :param until: local time in seconds at which attempts are cancelled.
        :param hedge_after_s: delay of the hedged attempt; None for no hedge.
        :param hedge: sends the hedged attempt.
        :returns: the attempt whose response started first, or the last one
            to end without a response.
        """
        if hedge_after_s is None:
            await self.await_response_start(first, until)
            return first
        send, results = trio.open_memory_channel[_exchanges.Exchange](2)

        async def watch(exchange: _exchanges.Exchange) -> None:
            await self.await_response_start(exchange, until)
            send.send_nowait(exchange)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, first)
            pending = [first]
            last = None
            with trio.move_on_after(hedge_after_s):
                last = await results.receive()
            if last is None:
                second = await hedge()
                if second is not None:
                    pending.append(second)
                    nursery.start_soon(watch, second)
            else:
                pending.remove(last)
            while last is None or (pending and last.started is None):
                last = await results.receive()
                pending.remove(last)
            nursery.cancel_scope.cancel()
        return last

    async def _request_cancellation(
        self, exchange: _exchanges.Exchange, agent: identifiers.NodeId
    ) -> None:
        with contextlib.suppress(errors.PeerUnreachable):
            forget_after = self._hub.to_peer_clock(
                agent, trio.current_time() + CANCEL_RETENTION_S
            )
            await self._hub.send(
                agent,
                messages.CancelRequest(
                    exchange.request_id, exchange.attempt, forget_after
                ),
            )
            await exchange.cancel_confirmed.wait()
