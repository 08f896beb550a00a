"""Routes callers' requests to agents and relays the responses."""

import collections.abc
import contextlib
import dataclasses
import random

import trio

from citronrail.model import identifiers
from citronrail.model import outcome as outcomes
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _attempt_states
from citronrail.routing import _attempts
from citronrail.routing import _dispatch
from citronrail.routing import _exchanges
from citronrail.routing import _key_reservations
from citronrail.routing import _keys
from citronrail.routing import _load_tracker
from citronrail.routing import _metrics
from citronrail.routing import _problems
from citronrail.routing import _requests
from citronrail.routing import _response_relay

MAX_IN_PROGRESS = 4096  # limits memory; event streams included
DEFAULT_MAX_RUN_S = 30.0
_CLEANUP_INTERVAL_S = 5.0
_DRAIN_POLL_S = 0.02


class RequestRouter:
    """Routes callers' requests to agents and relays the responses.

    A non-idempotent request without an Idempotency-Key is sent once and
    retried only if it is known not to have run. A repetition by the caller
    itself cannot be recognised, so callers that retry must send a key;
    ``key_required_services`` makes the key mandatory for some services.

    :param hub: connections to agents and entries.
    :param keys: reserves idempotency and exclusive keys.
    :param agents: returns the views of all agents.
    :param cfg: returns the current settings.
    :param data_centre: data centre of this entry.
    :param rng: random number generator.
    :param key_required_services: services whose non-idempotent requests need
        a key.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        keys: _keys.KeyService,
        agents: _attempts.AgentViews,
        cfg: _attempts.CurrentSettings,
        *,
        data_centre: identifiers.DataCentreName,
        rng: random.Random,
        key_required_services: collections.abc.Collection[str] = (),
    ) -> None:
        self._keys = keys
        self._agents = agents
        self._cfg = cfg
        self._key_required_services = frozenset(key_required_services)
        self._dispatch = _dispatch.Dispatcher(hub)
        self._tracker = _load_tracker.LoadTracker(data_centre)
        self._attempts = _attempts.AttemptSender(
            self._dispatch, agents, cfg, self._tracker, rng
        )
        self._event_streams: set[_response_relay.EventStreamRelay] = set()
        self._in_progress = 0
        self._open: dict[identifiers.RequestId, _requests.OpenRequest] = {}
        self._progress_by_id: dict[
            identifiers.RequestId, _attempts.RequestProgress
        ] = {}
        self._draining = False
        self._nursery: trio.Nursery | None = None

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    def open_requests(self) -> tuple[_requests.OpenRequest, ...]:
        """Return the requests in progress, oldest first."""
        return tuple(
            self._with_attempt(open_request)
            for open_request in self._open.values()
        )

    def _with_attempt(
        self, open_request: _requests.OpenRequest
    ) -> _requests.OpenRequest:
        progress = self._progress_by_id.get(open_request.request_id)
        if progress is None or not progress.exchanges:
            return open_request
        latest = progress.exchanges[-1]
        return dataclasses.replace(
            open_request, worker=latest.peer.node_id, attempt=latest.attempt
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run background tasks until cancelled.

        These are the cleanup of agent state and the completion of requests
        whose callers have disconnected.

        :param task_status: started when requests are accepted.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                while True:
                    self._tracker.remove_absent(self._agents())
                    await trio.sleep(_CLEANUP_INTERVAL_S)
        finally:
            self._nursery = None

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress.

        Event streams are ended between two events. The caller has to set a
        time limit.
        """
        observability.emit(events.ROUTER_DRAINING, count=self._in_progress)
        self._draining = True
        for event_stream in self._event_streams:
            event_stream.end()
        while self._in_progress:
            await trio.sleep(_DRAIN_POLL_S)

    async def handle(
        self, req: _requests.CallerRequest, writer: _requests.ResponseWriter
    ) -> None:
        """Answer one request.

        If the response fails after it has started, this returns without
        calling ``finish()``, and the caller's connection must be aborted.

        :param req: the request.
        :param writer: writes the response to the caller.
        """
        started_at = trio.current_time()
        self._in_progress += 1
        self._open[req.request_id] = _requests.OpenRequest(
            req.request_id, req.service, started_at
        )
        _metrics.IN_PROGRESS.inc()
        try:
            problem = await self._answer(req, writer)
            if problem is not None:
                _metrics.REQUESTS.labels(problem.outcome.value).inc()
                await writer.problem(problem)
        finally:
            self._in_progress -= 1
            self._open.pop(req.request_id, None)
            self._progress_by_id.pop(req.request_id, None)
            _metrics.IN_PROGRESS.dec()
            elapsed_s = trio.current_time() - started_at
            _metrics.REQUEST_SECONDS.observe(elapsed_s)

    async def _answer(
        self, req: _requests.CallerRequest, writer: _requests.ResponseWriter
    ) -> _requests.Problem | None:
        """Answer a request; return a problem if there is no response."""
        try:
            opts = _requests.parse_options(req)
        except _requests.BadRequest as exc:
            return _problems.bad_request(str(exc))
        refusal = self._refusal_reason(req, opts)
        if refusal:
            return _problems.not_run(refusal)
        deadline = trio.current_time() + opts.timeout_s
        reservation = await self._keys.reserve(
            req, opts, deadline, self._max_run_s(req.service)
        )
        match reservation:
            case _key_reservations.NotGranted(problem):
                return problem
            case _key_reservations.Replayed(status, headers, body):
                await writer.start(status, headers, outcomes.Outcome.DONE)
                await writer.write(body)
                await writer.finish()
                return None
            case _key_reservations.Granted() if self._is_drained(req.service):
                # Checked after the reservation, so that stored responses are
                # still replayed.
                await self._keys.complete(
                    req, opts, outcomes.Outcome.NOT_RUN, ended=True
                )
                return _problems.not_run('the service is drained')
            case _key_reservations.Granted(start_before):
                return await self._run_granted(
                    _new_progress(req, opts, deadline, start_before), writer
                )

    def _refusal_reason(
        self, req: _requests.CallerRequest, opts: _requests.RequestOptions
    ) -> str:
        """Return why a request is not accepted, or ''."""
        if self._draining or self._nursery is None:
            return 'the entry is starting or leaving'
        if self._in_progress > MAX_IN_PROGRESS:
            return 'too many requests are in progress'
        key_required = req.service in self._key_required_services
        if key_required and not opts.idempotent and not opts.key:
            return 'the service demands an Idempotency-Key'
        return ''

    async def _run_granted(
        self,
        progress: _attempts.RequestProgress,
        writer: _requests.ResponseWriter,
    ) -> _requests.Problem | None:
        """Run a request whose keys are reserved."""
        self._progress_by_id[progress.req.request_id] = progress
        try:
            exchange = await self._attempts.send_until_started(progress)
            if exchange is not None:
                with contextlib.suppress(trio.TooSlowError):
                    await self._relay_response(progress, exchange, writer)
                return None
        finally:
            if not progress.completed:
                with trio.CancelScope(shield=True):
                    await self._finish_unanswered(progress)
        return _problems.after_attempts(
            progress.attempt_states, progress.no_retry_reason
        )

    async def _relay_response(
        self,
        progress: _attempts.RequestProgress,
        exchange: _exchanges.Exchange,
        writer: _requests.ResponseWriter,
    ) -> None:
        """Relay a response; finish it only if it is complete."""
        assert exchange.started is not None
        relay = _response_relay.ResponseRelay(self._dispatch, exchange, writer)
        if _requests.is_event_stream(exchange.started.headers):
            await self._relay_event_stream(progress, relay)
            return
        with trio.move_on_at(progress.deadline):
            if await relay.relay_body(progress):
                await self._complete(progress, relay.stored_response())
                await writer.finish()

    async def _relay_event_stream(
        self,
        progress: _attempts.RequestProgress,
        relay: _response_relay.ResponseRelay,
    ) -> None:
        """Relay an event stream until it ends or this entry is drained."""
        self._attempts.record_event_stream(relay.exchange)
        event_stream = _response_relay.EventStreamRelay(relay, self._draining)
        self._event_streams.add(event_stream)
        try:
            with trio.move_on_at(progress.finish_before):
                if await event_stream.relay():
                    await self._dispatch.cancel(relay.exchange)
                    await self._complete(progress, None)
                    await relay.writer.finish()
        finally:
            self._event_streams.discard(event_stream)

    async def _complete(
        self,
        progress: _attempts.RequestProgress,
        response: _key_reservations.StoredResponse | None,
    ) -> None:
        """Record a complete response before the caller receives its end.

        This is shielded from cancellation, because the caller may disconnect
        at any time.
        """
        with trio.CancelScope(shield=True):
            for exchange in progress.exchanges:
                self._attempts.record_end(exchange)
            await self._keys.complete(
                progress.req,
                progress.opts,
                outcomes.Outcome.DONE,
                ended=_attempt_states.certainly_ended(progress.attempt_states),
                response=response,
            )
            progress.completed = True
        _metrics.REQUESTS.labels('done').inc()

    async def _finish_unanswered(
        self, progress: _attempts.RequestProgress
    ) -> None:
        """Record the outcome of a request without a complete response."""
        has_keys = bool(progress.opts.key or progress.opts.exclusive)
        for exchange in progress.exchanges:
            # With a key, the caller can fetch the response by a retry.
            if not exchange.end_recorded and not progress.opts.key:
                await self._dispatch.cancel(exchange)
            if exchange.ended or not has_keys:
                self._attempts.record_end(exchange)
        if not has_keys:
            return
        has_open_attempts = any(
            not attempt.end_recorded for attempt in progress.exchanges
        )
        if has_open_attempts and self._nursery is not None:
            self._nursery.start_soon(self._await_run_ends, progress)
            return
        await self._complete_unanswered(progress)

    async def _complete_unanswered(
        self, progress: _attempts.RequestProgress
    ) -> None:
        await self._keys.complete(
            progress.req,
            progress.opts,
            _attempt_states.outcome_of(progress.attempt_states),
            ended=_attempt_states.certainly_ended(progress.attempt_states),
        )

    async def _await_run_ends(
        self, progress: _attempts.RequestProgress
    ) -> None:
        """Wait for the end of runs whose caller has left or been answered.

        The response to a request with a key is stored for the caller's next
        try, and an exclusive key is released once no run is in progress.
        """
        limit = progress.start_before + self._max_run_s(progress.req.service)
        response = None
        with trio.move_on_at(limit):
            for exchange in progress.exchanges:
                if not exchange.end_recorded:
                    relay = _response_relay.ResponseRelay(
                        self._dispatch,
                        exchange,
                        _response_relay.DiscardingWriter(),
                    )
                    await relay.relay_body(progress)
                    if isinstance(exchange.state, _attempt_states.Complete):
                        response = relay.stored_response()
        for exchange in progress.exchanges:
            if not exchange.ended:
                observability.emit(
                    events.EXCLUSIVE_RUN_OVERDUE,
                    cause=progress.req.request_id,
                    request=progress.req.request_id,
                )
            self._attempts.record_end(exchange)
        await self._keys.complete(
            progress.req,
            progress.opts,
            _attempt_states.outcome_of(progress.attempt_states),
            ended=_attempt_states.certainly_ended(progress.attempt_states),
            response=response,
        )

    def _is_drained(self, service: identifiers.ServiceName) -> bool:
        spec: specs.ServiceSpec | None = self._cfg().services.get(service)
        return spec is not None and spec.draining

    def _max_run_s(self, service: identifiers.ServiceName) -> float:
        spec: specs.ServiceSpec | None = self._cfg().services.get(service)
        return spec.max_run_s if spec else DEFAULT_MAX_RUN_S


def _new_progress(
    req: _requests.CallerRequest,
    opts: _requests.RequestOptions,
    deadline: float,
    start_before: float,
) -> _attempts.RequestProgress:
    finish_before = deadline
    if opts.open_ended:
        finish_before = trio.current_time() + _requests.EVENT_STREAM_TIMEOUT_S
    return _attempts.RequestProgress(
        req, opts, deadline, min(deadline, start_before), finish_before
    )
