"""The entry's part of the request path: from a caller and back."""

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
from citronrail.routing import _attempts
from citronrail.routing import _dispatch
from citronrail.routing import _exchanges
from citronrail.routing import _key_verdicts
from citronrail.routing import _keys
from citronrail.routing import _load_book
from citronrail.routing import _metrics
from citronrail.routing import _problems
from citronrail.routing import _relay as relays
from citronrail.routing import _requests
from citronrail.routing import _verdicts

MAX_IN_PROGRESS = 4096  # bounds the memory of an entry, feeds included
DEFAULT_MAX_RUN_S = 30.0
_TICK_S = 5.0
_DRAIN_POLL_S = 0.02


class RequestRouter:
    """Takes callers' requests to agents and the answers back.

    A non-idempotent request without an Idempotency-Key is sent once and
    retried only after a certain ``not run``. A caller that repeats it itself
    cannot be recognised, so callers that retry must send a key;
    ``demand_keys`` refuses such requests for chosen services.

    :param hub: connections to agents and entries.
    :param keys: reserves idempotency and exclusive keys.
    :param agents: returns what is known of all agents.
    :param cfg: returns the operators' configuration.
    :param data_centre: where this entry is.
    :param rng: source of chance.
    :param demand_keys: services whose non-idempotent requests need a key.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        keys: _keys.KeyService,
        agents: _attempts.Agents,
        cfg: _attempts.CurrentSettings,
        *,
        data_centre: identifiers.DataCentreName,
        rng: random.Random,
        demand_keys: collections.abc.Collection[str] = (),
    ) -> None:
        self._keys = keys
        self._agents = agents
        self._cfg = cfg
        self._demand_keys = frozenset(demand_keys)
        self._dispatch = _dispatch.Dispatch(hub)
        self._book = _load_book.LoadBook(data_centre)
        self._attempts = _attempts.Attempts(
            self._dispatch, agents, cfg, self._book, rng
        )
        self._feeds: set[relays.FeedRelay] = set()
        self._in_progress = 0
        self._open: dict[identifiers.RequestId, _requests.OpenRequest] = {}
        self._running: dict[identifiers.RequestId, _attempts.Progress] = {}
        self._draining = False
        self._nursery: trio.Nursery | None = None

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return self._in_progress

    def open_requests(self) -> tuple[_requests.OpenRequest, ...]:
        """Return the requests in progress, oldest first."""
        return tuple(
            self._with_attempt(open_) for open_ in self._open.values()
        )

    def _with_attempt(
        self, open_: _requests.OpenRequest
    ) -> _requests.OpenRequest:
        progress = self._running.get(open_.request_id)
        if progress is None or not progress.exchanges:
            return open_
        latest = progress.exchanges[-1]
        return dataclasses.replace(
            open_, worker=latest.peer.node_id, attempt=latest.attempt
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Watch over requests that outlive their callers, until cancelled.

        :param task_status: started when requests are accepted.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                while True:
                    self._book.forget_absent(self._agents())
                    await trio.sleep(_TICK_S)
        finally:
            self._nursery = None

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress.

        Feeds are ended between two events. The caller bounds the time.
        """
        observability.emit(events.ROUTER_DRAINING, count=self._in_progress)
        self._draining = True
        for feed in self._feeds:
            feed.end()
        while self._in_progress:
            await trio.sleep(_DRAIN_POLL_S)

    async def handle(
        self, req: _requests.CallerRequest, respond: _requests.Respond
    ) -> None:
        """Answer one request.

        If the answer broke off after it began, it returns without
        ``respond.finish()``, and the caller's connection must be broken off.

        :param req: the request.
        :param respond: the way back to the caller.
        """
        started_at = trio.current_time()
        self._in_progress += 1
        self._open[req.request_id] = _requests.OpenRequest(
            req.request_id, req.service, started_at
        )
        _metrics.IN_PROGRESS.inc()
        try:
            problem = await self._answer(req, respond)
            if problem is not None:
                _metrics.REQUESTS.labels(problem.outcome.value).inc()
                await respond.problem(problem)
        finally:
            self._in_progress -= 1
            self._open.pop(req.request_id, None)
            self._running.pop(req.request_id, None)
            _metrics.IN_PROGRESS.dec()
            taken = trio.current_time() - started_at
            _metrics.REQUEST_SECONDS.observe(taken)

    async def _answer(
        self, req: _requests.CallerRequest, respond: _requests.Respond
    ) -> _requests.Problem | None:
        """Answer a request; return a problem if there was no answer."""
        try:
            opts = _requests.options_of(req)
        except _requests.BadRequest as exc:
            return _problems.bad_request(str(exc))
        refusal = self._refusal(req, opts)
        if refusal:
            return _problems.not_run(refusal)
        deadline = trio.current_time() + opts.timeout_s
        reservation = await self._keys.reserve(
            req, opts, deadline, self._max_run_s(req.service)
        )
        match reservation:
            case _key_verdicts.NotGranted(problem):
                return problem
            case _key_verdicts.Replayed(status, headers, body):
                await respond.start(status, headers, outcomes.Outcome.DONE)
                await respond.write(body)
                await respond.finish()
                return None
            case _key_verdicts.Granted() if self._is_drained(req.service):
                # After the reservation, so that kept answers are replayed.
                await self._keys.complete(
                    req, opts, outcomes.Outcome.NOT_RUN, ended=True
                )
                return _problems.not_run('the service is drained')
            case _key_verdicts.Granted(start_before):
                return await self._run_granted(
                    _progress(req, opts, deadline, start_before), respond
                )

    def _refusal(
        self, req: _requests.CallerRequest, opts: _requests.RequestOptions
    ) -> str:
        """Return why a request is not accepted, or ''."""
        if self._draining or self._nursery is None:
            return 'the entry is starting or leaving'
        if self._in_progress > MAX_IN_PROGRESS:
            return 'too many requests are in progress'
        demanded = req.service in self._demand_keys
        if demanded and not opts.idempotent and not opts.key:
            return 'the service demands an Idempotency-Key'
        return ''

    async def _run_granted(
        self, progress: _attempts.Progress, respond: _requests.Respond
    ) -> _requests.Problem | None:
        """Run a request whose keys are reserved."""
        self._running[progress.req.request_id] = progress
        try:
            exchange = await self._attempts.until_started(progress)
            if exchange is not None:
                with contextlib.suppress(trio.TooSlowError):
                    await self._relay(progress, exchange, respond)
                return None
        finally:
            if not progress.completed:
                with trio.CancelScope(shield=True):
                    await self._settle(progress)
        return _problems.after_attempts(
            progress.verdicts, progress.stopped_because
        )

    async def _relay(
        self,
        progress: _attempts.Progress,
        exchange: _exchanges.Exchange,
        respond: _requests.Respond,
    ) -> None:
        """Pass an answer on; end it normally only if it is whole."""
        assert exchange.started is not None
        relay = relays.AnswerRelay(self._dispatch, exchange, respond)
        if _requests.is_feed(exchange.started.headers):
            await self._relay_feed(progress, relay)
            return
        with trio.move_on_at(progress.deadline):
            if await relay.all_but_end(progress):
                await self._complete(progress, relay.stored_answer())
                await respond.finish()

    async def _relay_feed(
        self, progress: _attempts.Progress, relay: relays.AnswerRelay
    ) -> None:
        """Pass a feed on until it ends or this entry leaves."""
        self._attempts.note_feed(relay.exchange)
        feed = relays.FeedRelay(relay, self._draining)
        self._feeds.add(feed)
        try:
            with trio.move_on_at(progress.finish_before):
                if await feed.relay():
                    await self._dispatch.cancel(relay.exchange)
                    await self._complete(progress, None)
                    await relay.respond.finish()
        finally:
            self._feeds.discard(feed)

    async def _complete(
        self,
        progress: _attempts.Progress,
        answer: _key_verdicts.StoredAnswer | None,
    ) -> None:
        """Note a whole answer, before the caller sees its end.

        Callers may go away at any moment, also while the end is noted.
        """
        with trio.CancelScope(shield=True):
            for exchange in progress.exchanges:
                self._attempts.note_end(exchange)
            await self._keys.complete(
                progress.req,
                progress.opts,
                outcomes.Outcome.DONE,
                ended=_verdicts.certainly_ended(progress.verdicts),
                answer=answer,
            )
            progress.completed = True
        _metrics.REQUESTS.labels('done').inc()

    async def _settle(self, progress: _attempts.Progress) -> None:
        """Note how a request without a whole answer ended."""
        has_keys = bool(progress.opts.key or progress.opts.exclusive)
        for exchange in progress.exchanges:
            # With a key the caller can come back for the answer.
            if not exchange.closed and not progress.opts.key:
                await self._dispatch.cancel(exchange)
            if exchange.ended or not has_keys:
                self._attempts.note_end(exchange)
        if not has_keys:
            return
        still_open = any(not one.closed for one in progress.exchanges)
        if still_open and self._nursery is not None:
            self._nursery.start_soon(self._await_end, progress)
            return
        await self._complete_unanswered(progress)

    async def _complete_unanswered(self, progress: _attempts.Progress) -> None:
        await self._keys.complete(
            progress.req,
            progress.opts,
            _verdicts.outcome_of(progress.verdicts),
            ended=_verdicts.certainly_ended(progress.verdicts),
        )

    async def _await_end(self, progress: _attempts.Progress) -> None:
        """Wait for the end of runs whose caller is gone or was answered.

        The answer of a request with a key is kept for the caller's next try,
        and an exclusive key is freed once no run is in progress.
        """
        limit = progress.start_before + self._max_run_s(progress.req.service)
        answer = None
        with trio.move_on_at(limit):
            for exchange in progress.exchanges:
                if not exchange.closed:
                    relay = relays.AnswerRelay(
                        self._dispatch, exchange, relays.Discard()
                    )
                    await relay.all_but_end(progress)
                    if isinstance(exchange.verdict, _verdicts.Complete):
                        answer = relay.stored_answer()
        for exchange in progress.exchanges:
            if not exchange.ended:
                observability.emit(
                    events.EXCLUSIVE_RUN_OVERDUE,
                    cause=progress.req.request_id,
                    request=progress.req.request_id,
                )
            self._attempts.note_end(exchange)
        await self._keys.complete(
            progress.req,
            progress.opts,
            _verdicts.outcome_of(progress.verdicts),
            ended=_verdicts.certainly_ended(progress.verdicts),
            answer=answer,
        )

    def _is_drained(self, service: identifiers.ServiceName) -> bool:
        spec: specs.ServiceSpec | None = self._cfg().services.get(service)
        return spec is not None and spec.draining

    def _max_run_s(self, service: identifiers.ServiceName) -> float:
        spec: specs.ServiceSpec | None = self._cfg().services.get(service)
        return spec.max_run_s if spec else DEFAULT_MAX_RUN_S


def _progress(
    req: _requests.CallerRequest,
    opts: _requests.RequestOptions,
    deadline: float,
    start_before: float,
) -> _attempts.Progress:
    finish_before = deadline
    if opts.open_ended:
        finish_before = trio.current_time() + _requests.FEED_TIMEOUT_S
    return _attempts.Progress(
        req, opts, deadline, min(deadline, start_before), finish_before
    )
