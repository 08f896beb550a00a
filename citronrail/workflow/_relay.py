"""Relays requests of callers to an entry that reaches the store.

Load answered: submissions, cancellations and reads of states at an entry that
doesn't reach the store while a peer does.
"""

import collections
import collections.abc
import dataclasses
import itertools

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _entry_ring
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _observed_store
from citronrail.workflow import _operator_view
from citronrail.workflow import _verdict

# The next peer is asked as well after this time without an answer. A peer
# answers within two round trips and one store call, about 0.1 s.
HEDGE_S = 0.25
MAX_PEERS_ASKED = 3
# Without an answer the caller should rather try another entry.
ANSWER_WAIT_S = 0.8
# A peer performs this many requests at a time and refuses others.
MAX_PERFORMED = 64
MAX_LEFT_S = 10.0
MAX_JOB_ID_LENGTH = 256
REQUESTS_REMEMBERED = 1024
KINDS = ('submit', 'cancel', 'state')

Verdict = _verdict.Verdict
_REFUSED = (Verdict.NOT_RUN, Verdict.UNKNOWN)


@dataclasses.dataclass(frozen=True)
class Answer:
    """Outcome of a request at peers; ``peer`` is '' if none decided it."""

    verdict: Verdict
    state: str = ''
    peer: str = ''


Perform = collections.abc.Callable[
    [messages.RelayRequest, float], collections.abc.Awaitable[Answer]
]
_Reply = tuple[identifiers.NodeId, messages.RelayReply]


def combine(
    unanswered: int, verdicts: collections.abc.Iterable[Verdict]
) -> Verdict:
    """Return the outcome of a request that no peer has decided.

    :param unanswered: peers that were asked and haven't answered.
    :param verdicts: answers of the others.
    """
    if unanswered or Verdict.UNKNOWN in verdicts:
        return Verdict.UNKNOWN
    return Verdict.NOT_RUN


def outcome(own: Verdict | None, certain: bool, relayed: Verdict) -> Verdict:
    """Return the outcome of a request from own calls and relays.

    :param own: outcome of this entry's calls, None without one.
    :param certain: whether none of its writes can still take effect.
    :param relayed: outcome at the peers, ``NOT_RUN`` if none was asked.
    """
    for verdict in (own, relayed):
        if verdict in (Verdict.DONE, Verdict.ABSENT):
            return verdict
    if not certain or Verdict.UNKNOWN in (own, relayed):
        return Verdict.UNKNOWN
    if Verdict.UNFIT in (own, relayed):
        return Verdict.UNFIT
    return Verdict.NOT_RUN


def serves_callers(
    operators: _operator_view.OperatorView, relay: 'Relay | None'
) -> bool:
    """Return whether an entry can carry out requests of callers.

    :param operators: the operators' settings.
    :param relay: the relay of this entry, None if it is off.
    """
    if relay is None:
        return operators.fresh
    if operators.config is None:
        return False
    return (operators.fresh and relay.store.reachable) or relay.available


def malformed(request: messages.RelayRequest) -> str:
    """Return why a request can't be performed, '' if it can.

    :param request: request of a peer.
    """
    if request.kind not in KINDS:
        return 'unknown kind'
    if not 0 < len(request.job_id) <= MAX_JOB_ID_LENGTH:
        return 'invalid job ID'
    if not 0 < request.left_s <= MAX_LEFT_S:
        return 'invalid time'
    return ''


class Relay:
    """Asks peers, and performs their requests.

    :param hub: connections to the other entries.
    :param ring: knows the peers that reach the store.
    :param store: this entry's store.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        ring: _entry_ring.EntryRing,
        store: _observed_store.ObservedStore,
    ) -> None:
        self.ring = ring
        self.store = store
        self._hub = hub
        self._perform: Perform | None = None
        self._nursery: trio.Nursery | None = None
        self._performing = 0
        self._ids = itertools.count(1)
        self._waiting: dict[
            int, tuple[identifiers.NodeId, trio.MemorySendChannel[_Reply]]
        ] = {}
        self._handled: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        hub.subscribe(messages.RelayRequest, self._on_request)
        hub.subscribe(messages.RelayReply, self._on_reply)

    def serve(self, perform: Perform) -> None:
        """Set the function that performs the requests of peers.

        :param perform: called with a request and a local deadline; it makes
            this entry's own store calls and no relay.
        """
        self._perform = perform

    @property
    def available(self) -> bool:
        """Whether a peer reaches the store."""
        return bool(self.ring.relay_peers())

    def reaches_store(self) -> bool:
        """Return whether this entry's store may answer a call now."""
        return self.store.reachable

    @property
    def retry_after_s(self) -> int:
        """Seconds after which a caller should try again, 0 for at once.

        An entry that hears of no other one is cut off itself: a retry reaches
        another entry, and need not wait for the end of an outage.
        """
        if self.ring.isolated:
            return 0
        return self.store.retry_after_s

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Perform the requests of peers until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._nursery = None

    async def ask(
        self, kind: str, job_id: str, record: bytes, deadline: float
    ) -> Answer:
        """Ask peers that reach the store until one of them has decided.

        :param kind: one of ``KINDS``.
        :param job_id: ID of the job.
        :param record: the job to store, b'' for other requests.
        :param deadline: local time until which answers are awaited.
        """
        deadline = min(deadline, trio.current_time() + ANSWER_WAIT_S)
        send, receive = trio.open_memory_channel[_Reply](MAX_PEERS_ASKED)
        asked: list[int] = []
        verdicts: list[Verdict] = []
        peers = list(self.ring.relay_peers()[:MAX_PEERS_ASKED])
        try:
            while trio.current_time() < deadline:
                if peers:
                    request = messages.RelayRequest(
                        next(self._ids),
                        kind,
                        job_id,
                        record,
                        deadline - trio.current_time(),
                    )
                    if await self._send(peers.pop(0), request, send):
                        asked.append(request.request_id)
                if len(asked) == len(verdicts):
                    if peers:
                        continue
                    break
                wait_until = deadline
                if peers:
                    wait_until = min(deadline, trio.current_time() + HEDGE_S)
                with trio.move_on_at(wait_until):
                    answer = _answer(*await receive.receive())
                    _record('asked', kind, job_id, answer)
                    verdicts.append(answer.verdict)
                    open_verdict = combine(
                        len(asked) - len(verdicts), verdicts
                    )
                    if answer.verdict is Verdict.UNFIT:
                        # Another peer may store the job nevertheless.
                        if open_verdict is Verdict.NOT_RUN:
                            return answer
                    elif answer.verdict not in _REFUSED:
                        return answer
            answer = Answer(combine(len(asked) - len(verdicts), verdicts))
            if len(asked) > len(verdicts):
                _record('asked', kind, job_id, answer)
            return answer
        finally:
            for request_id in asked:
                self._waiting.pop(request_id, None)

    async def _send(
        self,
        peer: identifiers.NodeId,
        request: messages.RelayRequest,
        send: trio.MemorySendChannel[_Reply],
    ) -> bool:
        """Send a request; False if it was certainly not sent."""
        self._waiting[request.request_id] = (peer, send)
        try:
            await self._hub.send(peer, request)
        except errors.PeerUnreachable:
            del self._waiting[request.request_id]
            return False
        except trio.Cancelled:
            del self._waiting[request.request_id]
            raise
        self.ring.asked(peer)
        return True

    async def _on_reply(
        self, peer: ports.Peer, reply: messages.RelayReply, _: bytes
    ) -> None:
        asked, send = self._waiting.get(reply.request_id, (None, None))
        if send is None or asked != peer.node_id:
            return
        del self._waiting[reply.request_id]
        self.ring.heard(peer.node_id)
        send.send_nowait((peer.node_id, reply))

    # Requests of peers

    async def _on_request(
        self, peer: ports.Peer, request: messages.RelayRequest, _: bytes
    ) -> None:
        key = (str(peer.boot_id), request.request_id)
        if key in self._handled:
            # A copy must not be performed after the first one was refused.
            return
        self._handled[key] = None
        if len(self._handled) > REQUESTS_REMEMBERED:
            self._handled.popitem(last=False)
        reason = self._refusal(peer, request)
        if reason:
            observability.emit(
                events.RELAY_REFUSED, peer=peer.node_id, reason=reason
            )
            await self._reply(peer, request, Answer(Verdict.NOT_RUN))
            return
        assert self._nursery is not None
        deadline = trio.current_time() + request.left_s
        self._performing += 1
        self._nursery.start_soon(
            self._perform_request, peer, request, deadline
        )

    def _refusal(
        self, peer: ports.Peer, request: messages.RelayRequest
    ) -> str:
        if peer.role != 'entry':
            return 'not an entry'
        if self._perform is None or self._nursery is None:
            return 'this entry is stopping'
        if self._performing >= MAX_PERFORMED:
            return 'too many relays'
        if not self.store.reachable:
            return 'this entry does not reach the store'
        return malformed(request)

    async def _perform_request(
        self, peer: ports.Peer, request: messages.RelayRequest, deadline: float
    ) -> None:
        assert self._perform is not None
        answer = Answer(Verdict.UNKNOWN)
        try:
            if trio.current_time() >= deadline:
                answer = Answer(Verdict.NOT_RUN)  # after a pause
            else:
                answer = await self._perform(request, deadline)
        except Exception as exc:  # noqa: BLE001
            # An error in one request must not end the others.
            observability.emit(
                events.RELAY_REFUSED, peer=peer.node_id, reason=repr(exc)
            )
        finally:
            self._performing -= 1
        await self._reply(peer, request, answer)

    async def _reply(
        self,
        peer: ports.Peer,
        request: messages.RelayRequest,
        answer: Answer,
    ) -> None:
        metrics.RELAYS.labels('performed', answer.verdict.value).inc()
        reply = messages.RelayReply(
            request.request_id, answer.verdict.value, answer.state
        )
        try:
            await self._hub.send(peer.node_id, reply)
        except errors.PeerUnreachable:
            return  # the outcome stays unknown to the peer


def _answer(peer: identifiers.NodeId, reply: messages.RelayReply) -> Answer:
    try:
        verdict = Verdict(reply.verdict)
    except ValueError:
        verdict = Verdict.UNKNOWN
    return Answer(verdict, reply.state, str(peer))


def _record(side: str, kind: str, job_id: str, answer: Answer) -> None:
    metrics.RELAYS.labels(side, answer.verdict.value).inc()
    observability.emit(
        events.REQUEST_RELAYED,
        request=kind,
        job=job_id,
        peer=answer.peer or 'silent peers',
        verdict=answer.verdict.value,
    )
