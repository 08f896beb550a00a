"""Matches messages from agents to the attempts that they belong to."""

import collections.abc

import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _attempt_states
from citronrail.routing import _metrics

CREDIT_CHUNKS = 8  # limit of the buffered chunks of a response
CHUNK_BYTES = 64 * 1024

ExchangeId = tuple[identifiers.RequestId, int]


class Exchange:
    """The message exchange of one attempt of a request at one agent.

    :param request_id: the request.
    :param attempt: number of the attempt, starting at 1.
    :param peer: the agent, with the boot id to which it was sent.
    """

    def __init__(
        self,
        request_id: identifiers.RequestId,
        attempt: int,
        peer: ports.Peer,
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.peer = peer
        self.state: _attempt_states.AttemptState = _attempt_states.Lost(
            'no answer yet'
        )
        self.cancel_outcome: outcomes.Outcome | None = None
        self.cancel_sent = False
        self.cancel_confirmed = trio.Event()
        self.sent_at = trio.current_time()
        self._chunks_received = 0
        self.started: _attempt_states.Started | None = None
        self.is_event_stream = False
        self.end_recorded = False  # if set, no message is expected
        self._ended = False
        self._credit_granted = CREDIT_CHUNKS
        self._chunks_consumed = 0
        self._send_channel, self._receive_channel = trio.open_memory_channel[
            _attempt_states.AttemptState | bytes
        ](CREDIT_CHUNKS + 4)

    @property
    def ended(self) -> bool:
        """Whether the final message of the attempt has arrived."""
        return self._ended

    async def receive(self) -> _attempt_states.AttemptState | bytes:
        """Wait for the next part of the response.

        :returns: Started first, then chunks, then the final state.
        """
        return await self._receive_channel.receive()

    def take_due_credit(self) -> int:
        """Record that a chunk was consumed.

        :returns: credit to grant to the agent in chunks, 0 if none is due.
        """
        self._chunks_consumed += 1
        due = self._chunks_consumed + CREDIT_CHUNKS - self._credit_granted
        if due < CREDIT_CHUNKS // 2:
            return 0
        self._credit_granted += due
        return due

    def fail(self, state: _attempt_states.AttemptState) -> None:
        """End the attempt unless it has already ended.

        :param state: its final state.
        """
        if not self._ended:
            self._end(state)

    def handle_message(self, message: object, payload: bytes) -> str:
        """Process a message from the agent.

        :param message: a message with this attempt's number.
        :param payload: the binary payload of the message.
        :returns: '' if it was accepted, else why it was dropped.
        """
        if isinstance(message, messages.CancelReply):
            return self._handle_cancel_reply(message)
        if self._ended:
            return 'the attempt has ended'
        started = self.started is not None
        match message:
            case messages.ResponseStart(status=status, headers=headers):
                if started:
                    return 'the response has already started'
                self.started = _attempt_states.Started(status, headers)
                self.state = self.started
                self._send_channel.send_nowait(self.started)
            case messages.ResponseWhole(status=status, headers=headers):
                if started:
                    return 'the response has already started'
                self._handle_whole_response(status, headers, payload)
            case messages.RequestRefused(
                reason=reason, leaving=leaving, full=full
            ):
                if started:
                    return 'the response has already started'
                self._end(_attempt_states.Refused(reason, leaving, full))
            case messages.RequestFailed():
                self._end(
                    _attempt_states.Failed(
                        message.reason, message.ended, message.timed_out
                    )
                )
            case messages.ResponseChunk(seq=seq):
                return self._handle_chunk(seq, payload, started)
            case messages.ResponseEnd(chunks=chunks):
                return self._handle_end(chunks)
        return ''

    def _handle_whole_response(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        self.started = _attempt_states.Started(status, headers)
        self._send_channel.send_nowait(self.started)
        if body:
            self._chunks_received += 1
            self._send_channel.send_nowait(body)
        self._end(_attempt_states.Complete(status))

    def _handle_chunk(self, seq: int, payload: bytes, started: bool) -> str:
        if not started or seq != self._chunks_received:
            return f'chunk {seq} is out of order'
        if self._chunks_received >= self._credit_granted:
            self._end(
                _attempt_states.Failed('more chunks than allowed', False)
            )
            return 'more chunks than credited'
        self._chunks_received += 1
        self._send_channel.send_nowait(payload)
        return ''

    def _handle_end(self, chunks: int) -> str:
        if self.started is not None and chunks == self._chunks_received:
            self._end(_attempt_states.Complete(self.started.status))
            return ''
        # The backend server finished its response; only messages were lost.
        self._end(_attempt_states.Failed('parts are missing', True))
        return 'chunks of the response are missing'

    def _handle_cancel_reply(self, message: messages.CancelReply) -> str:
        if self.cancel_outcome is not None:
            return 'the cancellation was already confirmed'
        self.cancel_outcome = message.outcome
        self.cancel_confirmed.set()
        return ''

    def _end(self, state: _attempt_states.AttemptState) -> None:
        self._ended = True
        self.state = state
        self._send_channel.send_nowait(state)


class ExchangeTable:
    """All attempts that await messages from agents.

    :param hub: connections to agents.
    """

    def __init__(self, hub: ports.PeerHub) -> None:
        self._exchanges: dict[ExchangeId, Exchange] = {}
        for kind in (
            messages.ResponseStart,
            messages.ResponseChunk,
            messages.ResponseEnd,
            messages.ResponseWhole,
            messages.RequestRefused,
            messages.RequestFailed,
            messages.CancelReply,
        ):
            hub.subscribe(kind, self._on_message)

    def add(self, exchange: Exchange) -> None:
        """Register an attempt, so that messages for it are accepted.

        :param exchange: an attempt that is about to be sent.
        """
        self._exchanges[(exchange.request_id, exchange.attempt)] = exchange

    def remove(self, exchange: Exchange) -> None:
        """Unregister an attempt; later messages for it are dropped.

        :param exchange: the attempt.
        """
        self._exchanges.pop((exchange.request_id, exchange.attempt), None)

    def on_disconnect(self, peer: ports.Peer) -> None:
        """Mark the attempts at a disconnected agent as lost.

        :param peer: the agent.
        """
        for exchange in list(self._exchanges.values()):
            if exchange.peer.node_id == peer.node_id:
                exchange.fail(_attempt_states.Lost('the connection broke'))

    def open(self) -> collections.abc.Iterable[Exchange]:
        """Return the registered attempts."""
        return tuple(self._exchanges.values())

    async def _on_message(
        self, peer: ports.Peer, message: messages.ResponseEnd, payload: bytes
    ) -> None:
        key = (message.request_id, message.attempt)
        exchange = self._exchanges.get(key)
        if exchange is None:
            reason = 'no such attempt'
        elif (exchange.peer.node_id, exchange.peer.boot_id) != (
            peer.node_id,
            peer.boot_id,
        ):
            reason = 'the attempt was sent to another agent'
        else:
            reason = exchange.handle_message(message, payload)
        if reason:
            kind = type(message).__name__
            _metrics.ANSWERS_DROPPED.labels(kind).inc()
            observability.emit(
                events.ANSWER_DROPPED,
                cause=message.request_id,
                message=kind,
                peer=peer.node_id,
                request=f'{message.request_id}#{message.attempt}',
                reason=reason,
            )
