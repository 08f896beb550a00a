"""Answers of agents, matched to the attempts that they belong to."""

import collections.abc

import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _metrics
from citronrail.routing import _verdicts

CREDIT_CHUNKS = 8  # bounds the memory of an answer to 8 chunks
CHUNK_BYTES = 64 * 1024

ExchangeId = tuple[identifiers.RequestId, int]


class Exchange:
    """One attempt of a request at one agent.

    :param request_id: the request.
    :param attempt: number of the attempt, from 1.
    :param peer: the agent, at the boot to which it was sent.
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
        self.verdict: _verdicts.Verdict = _verdicts.Lost('no answer yet')
        self.cancelled: outcomes.Outcome | None = None
        self.cancel_sent = False
        self.cancel_answered = trio.Event()
        self.sent_at = trio.current_time()
        self.chunks = 0
        self.started: _verdicts.Started | None = None
        self.is_feed = False
        self.closed = False  # its end is noted, nothing more is expected
        self._ended = False
        self._granted = CREDIT_CHUNKS
        self._taken = 0
        self._send, self._received = trio.open_memory_channel[
            _verdicts.Verdict | bytes
        ](CREDIT_CHUNKS + 4)

    @property
    def ended(self) -> bool:
        """Whether the last message of the attempt has arrived."""
        return self._ended

    async def receive(self) -> _verdicts.Verdict | bytes:
        """Wait for the next part of the answer.

        :returns: Started first, then chunks, then how it ended.
        """
        return await self._received.receive()

    def credit_due(self) -> int:
        """Note that a chunk was passed on.

        :returns: number of chunks to allow the agent, 0 for not yet.
        """
        self._taken += 1
        due = self._taken + CREDIT_CHUNKS - self._granted
        if due < CREDIT_CHUNKS // 2:
            return 0
        self._granted += due
        return due

    def fail(self, verdict: _verdicts.Verdict) -> None:
        """End the attempt, unless it has ended.

        :param verdict: how it ended.
        """
        if not self._ended:
            self._end(verdict)

    def offer(self, message: object, payload: bytes) -> str:
        """Take a message of the agent.

        :param message: a message with this attempt's number.
        :param payload: the data of a chunk.
        :returns: '' if it was taken, else why it was dropped.
        """
        if isinstance(message, messages.CancelReply):
            return self._offer_cancel_reply(message)
        if self._ended:
            return 'the attempt has ended'
        started = self.started is not None
        match message:
            case messages.ResponseStart(status=status, headers=headers):
                if started:
                    return 'the answer has begun'
                self.started = _verdicts.Started(status, headers)
                self.verdict = self.started
                self._send.send_nowait(self.started)
            case messages.ResponseWhole(status=status, headers=headers):
                if started:
                    return 'the answer has begun'
                self._offer_whole(status, headers, payload)
            case messages.RequestRefused(
                reason=reason, leaving=leaving, full=full
            ):
                if started:
                    return 'the answer has begun'
                self._end(_verdicts.Refused(reason, leaving, full))
            case messages.RequestFailed():
                self._end(
                    _verdicts.Failed(
                        message.reason, message.ended, message.timed_out
                    )
                )
            case messages.ResponseChunk(seq=seq):
                return self._offer_chunk(seq, payload, started)
            case messages.ResponseEnd(chunks=chunks):
                return self._offer_end(chunks)
        return ''

    def _offer_whole(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        self.started = _verdicts.Started(status, headers)
        self._send.send_nowait(self.started)
        if body:
            self.chunks += 1
            self._send.send_nowait(body)
        self._end(_verdicts.Complete(status))

    def _offer_chunk(self, seq: int, payload: bytes, started: bool) -> str:
        if not started or seq != self.chunks:
            return f'chunk {seq} is out of order'
        if self.chunks >= self._granted:
            self._end(_verdicts.Failed('more chunks than allowed', False))
            return 'more chunks than allowed'
        self.chunks += 1
        self._send.send_nowait(payload)
        return ''

    def _offer_end(self, chunks: int) -> str:
        if self.started is not None and chunks == self.chunks:
            self._end(_verdicts.Complete(self.started.status))
            return ''
        # The backend server answered wholly, only parts got lost.
        self._end(_verdicts.Failed('parts are missing', True))
        return 'parts of the answer are missing'

    def _offer_cancel_reply(self, message: messages.CancelReply) -> str:
        if self.cancelled is not None:
            return 'the cancellation is answered'
        self.cancelled = message.outcome
        self.cancel_answered.set()
        return ''

    def _end(self, verdict: _verdicts.Verdict) -> None:
        self._ended = True
        self.verdict = verdict
        self._send.send_nowait(verdict)


class ExchangeTable:
    """All attempts whose answers are awaited.

    :param hub: where the answers come from.
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
            hub.subscribe(kind, self._on_answer)

    def add(self, exchange: Exchange) -> None:
        """Await the answers to an attempt.

        :param exchange: an attempt that is about to be sent.
        """
        self._exchanges[(exchange.request_id, exchange.attempt)] = exchange

    def remove(self, exchange: Exchange) -> None:
        """Drop further answers to an attempt.

        :param exchange: the attempt.
        """
        self._exchanges.pop((exchange.request_id, exchange.attempt), None)

    def peer_gone(self, peer: ports.Peer) -> None:
        """End the attempts at an agent whose connection broke.

        :param peer: the agent.
        """
        for exchange in list(self._exchanges.values()):
            if exchange.peer.node_id == peer.node_id:
                exchange.fail(_verdicts.Lost('the connection broke'))

    def open(self) -> collections.abc.Iterable[Exchange]:
        """Return the attempts whose answers are awaited."""
        return tuple(self._exchanges.values())

    async def _on_answer(
        self, peer: ports.Peer, message: messages.ResponseEnd, payload: bytes
    ) -> None:
        key = (message.request_id, message.attempt)
        exchange = self._exchanges.get(key)
        if exchange is None:
            reason = 'not awaited'
        elif (exchange.peer.node_id, exchange.peer.boot_id) != (
            peer.node_id,
            peer.boot_id,
        ):
            reason = 'it was sent to another agent'
        else:
            reason = exchange.offer(message, payload)
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
