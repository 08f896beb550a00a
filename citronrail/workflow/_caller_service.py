"""Service for callers: submits, cancels and shows jobs at any entry."""

import collections
import collections.abc
import contextlib
import dataclasses
import itertools
import time

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import load_settings
from citronrail.model import messages
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _admission
from citronrail.workflow import _documents as documents
from citronrail.workflow import _election
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _relay
from citronrail.workflow import _request_attempts
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_room
from citronrail.workflow import _state_size
from citronrail.workflow import _store_requests
from citronrail.workflow import _term
from citronrail.workflow import _verdict
from citronrail.workflow.overload import _admission as load_admission
from citronrail.workflow.overload import _backlog_view

LEADER_REPLY_TIMEOUT_S = 0.4
# The number of waiting jobs is only known by the scheduling entry.
MAX_PENDING_WAIT_S = 2 * LEADER_REPLY_TIMEOUT_S
# A job that fits no worker may be submitted again after the fleet has changed.
UNFIT_RETRY_AFTER_S = 60
# For the read before a rejection; a slow store answers after 344 ms. Without
# an answer there is time left to store the job.
REJECTION_READ_TIMEOUT_S = 0.5
# A store call without a response may still be carried out. Its job is not
# rejected for this long, which exceeds the five attempts of 3 s of a caller.
UNSETTLED_S = 60.0
# A request is relayed as well after this time without an answer.
RELAY_DELAY_S = 0.4
GIVE_UP_CHECK_S = 0.05
# Answers are due this long before the caller gives up; less isn't reported.
LATE_S = 0.1
NO_BOUNDS = workflows.Bounds()
Reply = _verdict.Reply
Verdict = _verdict.Verdict
OwnCalls = collections.abc.Callable[
    [_request_attempts.Attempt], collections.abc.Awaitable[Reply]
]


class CallerService:
    """Submits, cancels and shows jobs.

    A job is accepted by storing it, which any entry can do without the
    scheduling entry.

    :param store: the store.
    :param hub: connections to the other entries.
    :param election: provides the term if this entry is the scheduling entry.
    :param view: the leader as last seen in the store.
    :param load: parts for hard load that are on.
    :param relay: asks peers that reach the store; used if ``load.relay``.
    :param bounds: limits of the deployment.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        hub: ports.PeerHub,
        election: _election.Election,
        view: _election.LeaderView,
        *,
        load: load_settings.LoadSettings = load_settings.OFF,
        relay: _relay.Relay | None = None,
        bounds: workflows.Bounds = NO_BOUNDS,
    ) -> None:
        self._load_settings = load
        self._max_value_bytes = bounds.max_value_bytes
        self._state_room = _state_room.StateRoom(
            _state_size.limit_bytes(bounds.memory_bytes)
        )
        self._relay = relay if load.relay else None
        if self._relay is not None:
            self._relay.serve(self._perform)
        self._requests = _store_requests.StoreRequests(
            store,
            None if self._relay is None else self._relay.reaches_store,
        )
        self._hub = hub
        self._election = election
        self._view = view
        self._ids = itertools.count(1)
        self._sent = _request_attempts.SentSubmissions()
        self._pending_queries: dict[
            int, trio.MemorySendChannel[messages.JobStateReply]
        ] = {}
        self._backlog = _backlog_view.BacklogView()
        # Local end of the time in which an unanswered store call may still
        # store a job, by job ID.
        self._unsettled: dict[str, float] = {}
        hub.subscribe(messages.StateSize, self._on_state_size)
        hub.subscribe(messages.StateLimit, self._on_state_limit)
        if load.admission:
            hub.subscribe(messages.BacklogSummary, self._on_backlog)
        hub.subscribe(messages.JobStateQuery, self._on_query)
        hub.subscribe(messages.JobStateReply, self._on_reply)
        hub.subscribe(messages.JobAccepted, self._on_accepted)
        hub.subscribe(messages.JobCancelled, self._on_cancelled)

    async def submit(
        self,
        queue: workflows.Queue,
        job_id: str,
        spec: workflows.WorkflowSpec,
        deadline: float,
    ) -> Reply:
        """Store a job. This is idempotent.

        :param queue: the queue that it was submitted to.
        :param job_id: ID chosen by the caller.
        :param spec: the job.
        :param deadline: local time until which the caller waits.
        """
        job = documents.JobRecord(
            job_id,
            queue.name,
            queue.service,
            time.time(),
            spec,
            queue.max_attempts,
            self._requests.seen_revision,
        )
        began_at = trio.current_time()
        record = documents.encode(job)
        if len(record) > self._max_value_bytes:
            observability.emit(
                events.JOB_REJECTED,
                job=job_id,
                queue=queue.name,
                reason=f'its record of {len(record)} bytes is too large',
            )
            _record_request('submit', Verdict.TOO_LARGE, began_at)
            return Reply(Verdict.TOO_LARGE)
        retry_after_s = await self._overload_retry_s(
            queue, job_id, spec, deadline
        )
        if retry_after_s:
            _record_request('submit', Verdict.OVERLOADED, began_at)
            return Reply(Verdict.OVERLOADED, retry_after_s=retry_after_s)
        size = _state_size.job_bytes(spec, len(record))
        if await self._lacks_memory(job, size, deadline):
            _record_request('submit', Verdict.NO_MEMORY, began_at)
            return Reply(
                Verdict.NO_MEMORY, retry_after_s=_state_room.RETRY_AFTER_S
            )
        self._state_room.on_accepted(job_id, size, trio.current_time())
        was_unsettled = job_id in self._unsettled
        self._mark_unsettled(job_id)
        reply = await self._submit(job, record, deadline)
        if reply.verdict is Verdict.DONE or (
            reply.verdict in (Verdict.NOT_RUN, Verdict.UNFIT)
            and not was_unsettled
        ):
            self._unsettled.pop(job_id, None)
            if reply.verdict is not Verdict.DONE:
                self._state_room.on_not_stored(job_id)
        _record_request('submit', reply.verdict, began_at)
        _report_late('submit', job_id, deadline)
        return reply

    async def _submit(
        self, job: documents.JobRecord, record: bytes, deadline: float
    ) -> Reply:
        """Store a job by own store calls or by a relay, and report it."""

        async def own(attempt: _request_attempts.Attempt) -> Reply:
            return await self._submit_alone(attempt, job, record, deadline)

        relayed = False
        if self._relay is None:
            reply = await own(_request_attempts.Attempt())
        else:
            with self._sent.in_progress(job.job_id):
                reply, relayed = await self._own_or_relay(
                    self._relay, own, 'submit', job.job_id, record, deadline
                )
            reply = self._settled(job.job_id, reply)
        if not relayed and reply.verdict is not Verdict.UNFIT:
            await self._finish_submission(job, record, reply.verdict)
        return reply

    def _settled(self, job_id: str, reply: Reply) -> Reply:
        """Return the reply with regard to all attempts of this entry."""
        verdict = self._sent.settle(job_id, reply.verdict)
        return dataclasses.replace(reply, verdict=verdict)

    async def _finish_submission(
        self, job: documents.JobRecord, record: bytes, outcome: Verdict
    ) -> None:
        match outcome:
            case Verdict.DONE:
                await self._report_accepted(job, record)
            case Verdict.NOT_RUN:
                observability.emit(
                    events.JOB_REJECTED,
                    job=job.job_id,
                    queue=job.queue,
                    reason='the store is not available',
                )
            case _:
                observability.emit(
                    events.JOB_OUTCOME_UNKNOWN,
                    job=job.job_id,
                    reason='no response from the store',
                )

    async def _report_accepted(
        self, job: documents.JobRecord, record: bytes
    ) -> None:
        observability.emit(
            events.JOB_ACCEPTED,
            job=job.job_id,
            queue=job.queue,
            tasks=sum(step.task_count for step in job.spec.steps),
        )
        await self._notify_leader(messages.JobAccepted(job.job_id, record))

    async def _submit_alone(
        self,
        attempt: _request_attempts.Attempt,
        job: documents.JobRecord,
        record: bytes,
        deadline: float,
    ) -> Reply:
        """Store a job with this entry's own calls only."""
        if await self._is_unfit(attempt, job, deadline):
            return Reply(Verdict.UNFIT, retry_after_s=UNFIT_RETRY_AFTER_S)
        return Reply(
            await self._requests.create_job(job, record, deadline, attempt)
        )

    async def _is_unfit(
        self,
        attempt: _request_attempts.Attempt,
        job: documents.JobRecord,
        deadline: float,
    ) -> bool:
        """Whether no worker can run a job that has not been accepted yet."""
        step = _admission.unfit_step(
            job.spec, job.service, self._view.fleet.shapes
        )
        if step is None:
            return False
        # It may have been accepted while a worker that fits was known.
        verdict = await self._requests.exists(job.job_id, deadline, attempt)
        if verdict is not Verdict.ABSENT:
            return False
        observability.emit(
            events.JOB_REJECTED,
            job=job.job_id,
            queue=job.queue,
            reason=f'tasks of step {step} fit no worker of {job.service}',
        )
        return True

    def _mark_unsettled(self, job_id: str) -> None:
        """Record that a store call for a job is without a response."""
        now = trio.current_time()
        # In the order of their ends, so that expired ones are first.
        self._unsettled.pop(job_id, None)
        self._unsettled[job_id] = now + UNSETTLED_S
        while self._unsettled[first := next(iter(self._unsettled))] <= now:
            del self._unsettled[first]

    async def _overload_retry_s(
        self,
        queue: workflows.Queue,
        job_id: str,
        spec: workflows.WorkflowSpec,
        deadline: float,
    ) -> int:
        """Return when to submit a job again that is rejected for overload.

        :returns: seconds; 0 if the job is to be stored.
        """
        if not self._load_settings.admission:
            return 0
        now = trio.current_time()
        term = self._election.term
        if term is not None and term.backlog_summary is not None:
            self._backlog.take(term.backlog_summary, now)
        job = load_admission.job_of(queue, job_id, spec)
        if self._backlog.decide(job, now, time.time()) is None:
            self._backlog.on_admitted(job_id)
            return 0
        if not await self._is_certainly_new(job_id, deadline):
            return 0
        # The summary may have aged during the read.
        now = trio.current_time()
        rejection = self._backlog.decide(job, now, time.time())
        if rejection is None:
            return 0
        self._backlog.on_rejected(job_id, rejection, now)
        retry_after_s = load_admission.retry_after_s(rejection.retry_in_s)
        observability.emit(
            events.JOB_REJECTED_FOR_OVERLOAD,
            job=job_id,
            queue=queue.name,
            backlog=round(rejection.ahead_core_s),
            rate=round(rejection.cores, 1),
            seconds=retry_after_s,
        )
        return retry_after_s

    async def _lacks_memory(
        self, job: documents.JobRecord, size: int, deadline: float
    ) -> bool:
        """Whether the entries have no memory for a job that is new."""
        term = self._election.term
        if term is not None and term.state_size is not None:
            self._state_room.take(term.state_size, trio.current_time())
        if self._state_room.admits(job.job_id, size):
            return False
        if not await self._is_certainly_new(job.job_id, deadline):
            return False
        observability.emit(
            events.JOB_REJECTED,
            job=job.job_id,
            queue=job.queue,
            reason=f'the entries have no memory for {size} bytes more',
        )
        return True

    async def _is_certainly_new(self, job_id: str, deadline: float) -> bool:
        """Whether a job is not accepted, and no earlier call may store it."""
        if self._is_unsettled(job_id):
            return False
        attempt = _request_attempts.Attempt(bounded=True, alone=True)
        read_until = min(
            deadline, trio.current_time() + REJECTION_READ_TIMEOUT_S
        )
        found = await self._requests.exists(job_id, read_until, attempt)
        return found is Verdict.ABSENT and not self._is_unsettled(job_id)

    def _is_unsettled(self, job_id: str) -> bool:
        return self._unsettled.get(job_id, 0.0) > trio.current_time()

    async def cancel(self, job_id: str, deadline: float) -> Reply:
        """Cancel a job; the request is durable once this returns ``DONE``.

        :param job_id: ID of the job.
        :param deadline: local time until which the caller waits.
        """
        began_at = trio.current_time()

        async def own(attempt: _request_attempts.Attempt) -> Reply:
            return await self._cancel_alone(attempt, job_id, deadline)

        if self._relay is None:
            reply = await own(_request_attempts.Attempt())
        else:
            reply, _ = await self._own_or_relay(
                self._relay, own, 'cancel', job_id, b'', deadline
            )
        outcome = reply.verdict
        _record_request('cancel', outcome, began_at)
        _report_late('cancel', job_id, deadline)
        observability.emit(events.JOB_CANCEL, job=job_id, result=outcome.value)
        return reply

    async def _cancel_alone(
        self, attempt: _request_attempts.Attempt, job_id: str, deadline: float
    ) -> Reply:
        """Store a cancellation with this entry's own calls only.

        Also that of a job which is not stored: a write of its submission that
        got no answer may take effect seconds later.
        """
        found = await self._requests.exists(job_id, deadline, attempt)
        if found not in (Verdict.DONE, Verdict.ABSENT):
            return Reply(found)
        key = documents.CANCEL_PREFIX + job_id
        stored = await self._requests.create(key, b'1', deadline, attempt)
        if stored is not Verdict.DONE:
            return Reply(stored)
        if found is Verdict.DONE:
            await self._notify_leader(messages.JobCancelled(job_id))
        return Reply(found)

    async def state(self, job_id: str, deadline: float) -> Reply:
        """Return the state of a job.

        :param job_id: ID of the job.
        :param deadline: local time until which the caller waits.
        """
        began_at = trio.current_time()
        reply = await self._state(job_id, deadline)
        _record_request('state', reply.verdict, began_at)
        _report_late('state', job_id, deadline)
        if reply.verdict not in (Verdict.DONE, Verdict.ABSENT):
            leader = self._view.leader
            metrics.STATES_NOT_SHOWN.labels(reply.verdict.value).inc()
            observability.emit(
                events.STATE_NOT_SHOWN,
                job=job_id,
                seconds=round(trio.current_time() - began_at, 3),
                result=reply.verdict.value,
                leader='not known' if leader is None else leader.node_id,
            )
        return reply

    async def _state(self, job_id: str, deadline: float) -> Reply:
        leader = self._leader_peer()
        if (
            self._relay is None
            or leader is None
            or not self._relay.ring.is_silent(leader)
        ):
            shown = await self._query_leader(deadline, job_id=job_id)
            if shown.state:
                return Reply(Verdict.DONE, shown.state)
        if self._relay is None:
            found = await self._requests.stored_state(job_id, deadline)
            _report_absent(job_id, found.verdict, 'store')
            return found

        async def own(attempt: _request_attempts.Attempt) -> Reply:
            return await self._requests.stored_state(job_id, deadline, attempt)

        reply, relayed = await self._own_or_relay(
            self._relay, own, 'state', job_id, b'', deadline
        )
        _report_absent(job_id, reply.verdict, 'peer' if relayed else 'store')
        return reply

    async def pending(self, queue: workflows.Queue) -> Reply:
        """Return the number of jobs of a queue that have not started."""
        deadline = trio.current_time() + MAX_PENDING_WAIT_S
        shown = await self._query_leader(deadline, queue=queue.name)
        count = shown.pending
        if count < 0:
            return Reply(Verdict.NOT_RUN)
        return Reply(Verdict.DONE, pending=count)

    # Relay

    async def _own_or_relay(
        self,
        relay: _relay.Relay,
        own: OwnCalls,
        kind: str,
        job_id: str,
        record: bytes,
        deadline: float,
    ) -> tuple[Reply, bool]:
        """Carry out a request by own store calls, by a peer, or by both.

        :returns: the reply, and whether a peer has carried it out.
        """
        deadline = min(
            deadline, trio.current_time() + _store_requests.STORE_TIMEOUT_S
        )
        attempt = _request_attempts.Attempt(bounded=True)
        answer = _relay.Answer(Verdict.NOT_RUN)
        asking = False
        if not relay.store.reachable:
            answer = await relay.ask(kind, job_id, record, deadline)
            return self._combined(relay, attempt, answer)
        async with trio.open_nursery() as nursery:

            async def run_own() -> None:
                reply = await own(attempt)
                attempt.reply = reply
                attempt.trouble.set()
                if reply.verdict in (Verdict.DONE, Verdict.ABSENT) or (
                    # A peer that was asked may store the job nevertheless.
                    reply.verdict is Verdict.UNFIT and not asking
                ):
                    nursery.cancel_scope.cancel()

            nursery.start_soon(run_own)
            with trio.move_on_after(RELAY_DELAY_S):
                await attempt.trouble.wait()
            asking = True
            answer = await relay.ask(kind, job_id, record, deadline)
            if answer.peer:
                nursery.cancel_scope.cancel()
            attempt.alone = True
            while attempt.reply is None and relay.store.reachable:
                await trio.sleep(GIVE_UP_CHECK_S)
            nursery.cancel_scope.cancel()
        return self._combined(relay, attempt, answer)

    def _combined(
        self,
        relay: _relay.Relay,
        attempt: _request_attempts.Attempt,
        answer: _relay.Answer,
    ) -> tuple[Reply, bool]:
        reply = attempt.reply
        own = None if reply is None else reply.verdict
        verdict = _relay.outcome(own, attempt.certain, answer.verdict)
        if reply is not None and verdict is own is not Verdict.NOT_RUN:
            return reply, False
        if verdict is Verdict.UNFIT:
            return Reply(verdict, retry_after_s=UNFIT_RETRY_AFTER_S), True
        return (
            Reply(
                verdict,
                answer.state,
                retry_after_s=relay.retry_after_s,
            ),
            verdict in (Verdict.DONE, Verdict.ABSENT),
        )

    async def _perform(
        self, request: messages.RelayRequest, deadline: float
    ) -> _relay.Answer:
        """Carry out a peer's request with this entry's own store calls."""
        deadline = min(
            deadline, trio.current_time() + _store_requests.STORE_TIMEOUT_S
        )
        attempt = _request_attempts.Attempt(
            bounded=True, alone=True, min_tries=_request_attempts.PEER_TRIES
        )
        match request.kind:
            case 'submit':
                reply = await self._perform_submission(
                    attempt, request, deadline
                )
            case 'cancel':
                reply = await self._cancel_alone(
                    attempt, request.job_id, deadline
                )
            case _:
                reply = await self._requests.stored_state(
                    request.job_id, deadline, attempt
                )
        return _relay.Answer(reply.verdict, reply.state)

    async def _perform_submission(
        self,
        attempt: _request_attempts.Attempt,
        request: messages.RelayRequest,
        deadline: float,
    ) -> Reply:
        job_id = request.job_id
        job = _scheduler_state.decode_item(
            documents.JOB_PREFIX + job_id, request.record, documents.JobRecord
        )
        if job is None or job.job_id != job_id:
            return Reply(Verdict.NOT_RUN)
        with self._sent.in_progress(job_id):
            reply = await self._submit_alone(
                attempt, job, request.record, deadline
            )
        reply = self._settled(job_id, reply)
        if reply.verdict is Verdict.DONE:
            await self._report_accepted(job, request.record)
        return reply

    # Scheduling entry

    def _leader_peer(self) -> identifiers.NodeId | None:
        leader = self._view.leader
        return None if leader is None else identifiers.NodeId(leader.node_id)

    async def _query_leader(
        self, deadline: float, job_id: str = '', queue: str = ''
    ) -> messages.JobStateReply:
        """Query the scheduling entry; returns an empty reply on failure.

        Half of the time until the deadline is left for the store.
        """
        empty = messages.JobStateReply(0)
        term = self._election.term
        if term is not None:
            return _state_reply(term, messages.JobStateQuery(0, job_id, queue))
        leader = self._leader_peer()
        if leader is None:
            return empty
        query = messages.JobStateQuery(next(self._ids), job_id, queue)
        send, receive = trio.open_memory_channel[messages.JobStateReply](1)
        self._pending_queries[query.query_id] = send
        wait_s = min(
            LEADER_REPLY_TIMEOUT_S, (deadline - trio.current_time()) / 2
        )
        try:
            with trio.move_on_after(max(0.0, wait_s)):
                await self._hub.send(leader, query)
                return await receive.receive()
        except errors.PeerUnreachable:
            return empty
        finally:
            del self._pending_queries[query.query_id]
        return empty

    async def _notify_leader(self, message: object) -> None:
        """Notify the scheduling entry before its watch of the store does."""
        term = self._election.term
        if term is not None:
            _deliver(term, message)
            return
        leader = self._leader_peer()
        if leader is None:
            return
        try:
            await self._hub.send(leader, message)
        except errors.PeerUnreachable:
            return  # the scheduling entry learns of it from its watch

    async def _on_query(
        self, peer: ports.Peer, query: messages.JobStateQuery, _: bytes
    ) -> None:
        term = self._election.term
        if term is None:
            reply = messages.JobStateReply(query.query_id)
        else:
            reply = _state_reply(term, query)
        try:
            await self._hub.send(peer.node_id, reply)
        except errors.PeerUnreachable:
            return  # the querying entry reads the store instead

    async def _on_reply(
        self, peer: ports.Peer, reply: messages.JobStateReply, _: bytes
    ) -> None:
        del peer
        waiting = self._pending_queries.get(reply.query_id)
        if waiting is not None:
            waiting.send_nowait(reply)

    async def _on_backlog(
        self, peer: ports.Peer, summary: messages.BacklogSummary, _: bytes
    ) -> None:
        del peer
        self._backlog.take(summary, trio.current_time())

    async def _on_state_size(
        self, peer: ports.Peer, size: messages.StateSize, _: bytes
    ) -> None:
        self._state_room.take(size, trio.current_time())
        own_limit = self._state_room.limit
        if own_limit and not 0 < size.limit <= own_limit:
            with contextlib.suppress(errors.PeerUnreachable):
                await self._hub.send(
                    peer.node_id, messages.StateLimit(own_limit)
                )

    async def _on_state_limit(
        self, peer: ports.Peer, message: messages.StateLimit, _: bytes
    ) -> None:
        if self._election.term is not None:
            self._election.term.on_state_limit(peer, message.limit)

    async def _on_accepted(
        self, peer: ports.Peer, message: messages.JobAccepted, _: bytes
    ) -> None:
        del peer
        if self._election.term is not None:
            _deliver(self._election.term, message)

    async def _on_cancelled(
        self, peer: ports.Peer, message: messages.JobCancelled, _: bytes
    ) -> None:
        del peer
        if self._election.term is not None:
            _deliver(self._election.term, message)


def _record_request(kind: str, verdict: Verdict, began_at: float) -> None:
    metrics.REQUESTS.labels(kind, verdict.value).inc()
    metrics.REQUEST_SECONDS.labels(kind).observe(
        trio.current_time() - began_at
    )


def _report_late(kind: str, job_id: str, deadline: float) -> None:
    late_s = trio.current_time() - deadline
    if late_s > LATE_S:
        metrics.REQUESTS_LATE.labels(kind).inc()
        observability.emit(
            events.REQUEST_LATE,
            request=kind,
            job=job_id,
            seconds=round(late_s, 3),
        )


def _report_absent(job_id: str, verdict: Verdict, source: str) -> None:
    if verdict is Verdict.ABSENT:
        metrics.JOBS_ABSENT.labels(source).inc()
        observability.emit(events.JOB_ABSENT, job=job_id, source=source)


def _state_reply(
    term: _term.Term, query: messages.JobStateQuery
) -> messages.JobStateReply:
    if query.job_id:
        return messages.JobStateReply(
            query.query_id, term.committed_state(query.job_id)
        )
    return messages.JobStateReply(
        query.query_id, pending=term.pending_count(query.queue)
    )


def _deliver(term: _term.Term, message: object) -> None:
    match message:
        case messages.JobAccepted(job_id, record):
            term.on_job_accepted(job_id, record)
        case messages.JobCancelled(job_id):
            term.on_job_cancelled(job_id)
