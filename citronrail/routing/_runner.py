"""The agent's part of the request path: running callers' requests."""

import collections.abc
import contextlib
import dataclasses

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _answer_stream
from citronrail.routing import _backends
from citronrail.routing import _entry_news
from citronrail.routing import _latency
from citronrail.routing import _metrics
from citronrail.routing import _requests
from citronrail.routing import _runs
from citronrail.routing import _slots

DEFAULT_MAX_RUN_S = 30.0
_TICK_S = 0.25
_DRAIN_POLL_S = 0.02
_FULL = 'no connection is free'
_CANCELLED = 'it was cancelled'
_LEAVING = 'the agent is leaving'
_NO_BACKEND = 'no backend server is available'
_TOO_LATE = 'it arrived too late'
_NOT_RUNNING = 'the agent is starting or stopping'

MaxRun = collections.abc.Callable[[identifiers.ServiceName], float]


@dataclasses.dataclass(frozen=True)
class RunnerLimits:
    """What the backend servers beside this agent accept together.

    A feed of events keeps its connection but no slot.
    """

    slots: int = 8
    connections: int = 64


class RequestRunner:
    """Runs requests on the backend servers beside this agent.

    :param hub: connections to entries.
    :param backend_server: sends requests to backend servers.
    :param limits: slots and connections.
    :param max_run_s: longest time that a service works on one request.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        backend_server: ports.BackendServer,
        *,
        limits: RunnerLimits | None = None,
        max_run_s: MaxRun = lambda _: DEFAULT_MAX_RUN_S,
    ) -> None:
        self._hub = hub
        self._backend_server = backend_server
        self._limits = limits or RunnerLimits()
        self._max_run_s = max_run_s
        self._backends = _backends.BackendTable(self._backends_changed)
        self._slots = _slots.SlotQueue(self._limits.slots)
        self._runs = _runs.RunTable()
        self._open: dict[_runs.RunId, _runs.Run] = {}
        self._latencies = _latency.LatencyBook()
        self._leaving = False
        self._nursery: trio.Nursery | None = None
        hub.subscribe(messages.RunRequest, self._on_run)
        hub.subscribe(messages.CancelRequest, self._on_cancel)
        hub.subscribe(messages.Credit, self._on_credit)
        hub.listen(lambda _: None, self._on_disconnect)

    @property
    def leaving(self) -> bool:
        """Whether new requests are refused for good."""
        return self._leaving

    def announce(
        self,
        service: identifiers.ServiceName,
        address: str,
        incarnation: int,
        leaving: bool = False,
    ) -> None:
        """Note an announcement of a backend server.

        :param service: the service it belongs to.
        :param address: ``http://IP:PORT``.
        :param incarnation: rises with each start of the backend server.
        :param leaving: whether it accepts no new requests.
        :raises citronrail.errors.CommandRefused: if it is outdated.
        """
        now = trio.current_time()
        self._backends.announce(service, address, incarnation, leaving, now)
        if leaving:
            self._end_feeds(service, address)

    def withdraw(self, service: identifiers.ServiceName, address: str) -> None:
        """Forget a backend server that is gone.

        :param service: the service it belongs to.
        :param address: ``http://IP:PORT``.
        """
        self._backends.withdraw(service, address)

    def backends(self) -> tuple[messages.BackendState, ...]:
        """Return the backend servers as entries are told of them."""
        return self._backends.states()

    def load(self) -> messages.AgentLoad:
        """Return the load of now."""
        return messages.AgentLoad(
            slots_used=self._slots.used,
            connections_used=len(self._open),
            queued=self._slots.queued,
            latency_ms=self._latencies.ms(
                _latency.ALL_SERVICES, trio.current_time()
            ),
            slots=self._limits.slots,
            connections=self._limits.connections,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Carry out requests until cancelled.

        :param task_status: started when requests are accepted.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                while True:
                    now = trio.current_time()
                    self._backends.drop_lapsed(now)
                    self._runs.prune(now)
                    _metrics.SLOTS_USED.set(self._slots.used)
                    _metrics.QUEUED.set(self._slots.queued)
                    await trio.sleep(_TICK_S)
        finally:
            self._nursery = None

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress.

        Feeds are ended between two events. The caller bounds the time.
        """
        observability.emit(events.RUNNER_DRAINING, count=len(self._open))
        self._leaving = True
        await self._push_backends()
        for run in self._open.values():
            run.end_feed()
        while self._open:
            await trio.sleep(_DRAIN_POLL_S)

    # Messages of entries

    async def _on_run(
        self, peer: ports.Peer, message: messages.RunRequest, body: bytes
    ) -> None:
        run_id = _runs.run_id(peer, message)
        known = self._runs.find(run_id)
        if known is not None and known.state is not _runs.RunState.CANCELLED:
            # A refusal would be taken for the answer to the first copy.
            observability.emit(
                events.DUPLICATE_RUN_DROPPED,
                cause=message.request_id,
                request=f'{message.request_id}#{message.attempt}',
                peer=peer.node_id,
            )
            return
        now = trio.current_time()
        run = _runs.Run(
            run_id,
            _runs.RunState.QUEUED,
            message.start_before + _runs.FORGET_S,
            exclusive=_is_exclusive(message),
            credit=message.credit,
        )
        reason = self._refusal(message, now)
        if known is not None:
            reason = _CANCELLED
            run.forget_at = max(run.forget_at, known.forget_at)
        self._runs.add(run)
        if reason or self._nursery is None:
            leaving = reason in (_LEAVING, _NO_BACKEND)
            await self._refuse(run, reason or _NOT_RUNNING, leaving=leaving)
            return
        self._open[run_id] = run
        self._nursery.start_soon(self._carry_out, run, message, body)

    async def _on_cancel(
        self, peer: ports.Peer, message: messages.CancelRequest, _: bytes
    ) -> None:
        run_id = _runs.run_id(peer, message)
        run = self._runs.find(run_id)
        if run is None:
            run = _runs.Run(run_id, _runs.RunState.CANCELLED, 0.0)
            self._runs.add(run)
        run.forget_at = max(run.forget_at, message.forget_after)
        outcome = outcomes.Outcome.NOT_RUN
        match run.state:
            case _runs.RunState.QUEUED:
                run.state = _runs.RunState.CANCELLED
                run.scope.cancel()
            case _runs.RunState.STARTED:
                outcome = outcomes.Outcome.UNKNOWN
                run.abandon()
            case _runs.RunState.ENDED:
                outcome = outcomes.Outcome.UNKNOWN
        await self._hub.send(
            peer.node_id,
            messages.CancelReply(message.request_id, message.attempt, outcome),
        )

    async def _on_credit(
        self, peer: ports.Peer, message: messages.Credit, _: bytes
    ) -> None:
        run_id = _runs.RunId(
            peer.node_id, peer.boot_id, message.request_id, message.attempt
        )
        run = self._open.get(run_id)
        if run is not None:
            run.give_credit(message.chunks)

    def _on_disconnect(self, peer: ports.Peer) -> None:
        """Give up runs whose entry is gone, to free their slots."""
        for run in self._runs.of_entry(peer):
            if run.state is _runs.RunState.QUEUED:
                run.state = _runs.RunState.CANCELLED
                run.scope.cancel()
            elif run.state is _runs.RunState.STARTED:
                run.abandon()

    # Runs

    def _refusal(self, message: messages.RunRequest, now: float) -> str:
        """Return why a request can't be accepted, or ''."""
        if self._leaving:
            return _LEAVING
        if len(self._open) >= self._limits.connections:
            return _FULL
        start_before = self._latest_start(message)
        wait_s = self._expected_wait_s(message.service, start_before)
        if now + wait_s > start_before:
            return _TOO_LATE
        if self._backends.choose(message.service, now) is None:
            return _NO_BACKEND
        return ''

    def _latest_start(self, message: messages.RunRequest) -> float:
        """Return the local time after which a run would not end in time.

        A run that starts just before its deadline wastes a slot and leaves
        the caller with an unknown outcome.
        """
        needed_s = self._needed_s(message.service)
        return min(message.start_before, message.finish_before - needed_s)

    def _needed_s(self, service: identifiers.ServiceName) -> float:
        return self._latencies.ms(service, trio.current_time()) / 1000

    def _expected_wait_s(
        self, service: identifiers.ServiceName, start_before: float
    ) -> float:
        if self._slots.used < self._slots.slots:
            return 0.0
        turns = (self._slots.ahead_of(start_before) + 1) / self._slots.slots
        return turns * self._needed_s(service)

    async def _refuse(
        self, run: _runs.Run, reason: str, *, leaving: bool = False
    ) -> None:
        run.state = _runs.RunState.REFUSED
        _metrics.RUNS.labels('refused').inc()
        ident = run.run_id
        await self._answer(
            run,
            messages.RequestRefused(
                ident.request_id,
                ident.attempt,
                reason,
                leaving=leaving,
                full=reason in (_FULL, _TOO_LATE, _CANCELLED),
            ),
        )

    async def _answer(self, run: _runs.Run, message: object) -> None:
        with contextlib.suppress(errors.PeerUnreachable):
            await self._hub.send(run.run_id.entry, message)

    async def _carry_out(
        self, run: _runs.Run, message: messages.RunRequest, body: bytes
    ) -> None:
        try:
            with run.scope:
                slot = await self._slots.acquire(self._latest_start(message))
                if slot is None:
                    await self._refuse(run, _TOO_LATE)
                    return
                try:
                    await self._start(run, message, body, slot)
                finally:
                    slot.release()
        finally:
            self._open.pop(run.run_id, None)
            if run.state is _runs.RunState.STARTED:
                run.state = _runs.RunState.ENDED
            run.forget_at = max(
                run.forget_at, trio.current_time() + _runs.FORGET_S
            )

    async def _start(
        self,
        run: _runs.Run,
        message: messages.RunRequest,
        body: bytes,
        slot: _slots.Slot,
    ) -> None:
        if run.state is not _runs.RunState.QUEUED:
            return  # the cancellation was answered with `not run`
        now = trio.current_time()
        backend = self._backends.choose(message.service, now)
        if now > self._latest_start(message):
            await self._refuse(run, _TOO_LATE)
            return
        if backend is None or self._leaving:
            await self._refuse(run, _NO_BACKEND, leaving=True)
            return
        # Nothing may be awaited between these checks and the change of state.
        run.state = _runs.RunState.STARTED
        backend.in_use += 1
        try:
            await self._use(backend, run, message, body, slot)
        finally:
            backend.in_use -= 1

    async def _use(
        self,
        backend: _backends.Backend,
        run: _runs.Run,
        message: messages.RunRequest,
        body: bytes,
        slot: _slots.Slot,
    ) -> None:
        started_at = trio.current_time()
        run.address = (message.service, backend.address)
        until = message.finish_before
        if run.exclusive:
            until = started_at + self._max_run_s(message.service)
        request = ports.BackendRequest(
            backend.address,
            message.method,
            message.target,
            message.headers,
            body,
        )
        ended = timed_out = False
        failure = 'the time is over'
        try:
            with trio.move_on_at(until):
                async with self._backend_server.run(request) as response:
                    self._note_latency(message.service, started_at)
                    if _requests.is_feed(response.headers):
                        slot.release()
                    stream = _answer_stream.AnswerStream(self._hub, run)
                    await _answer_stream.pass_on(response, stream, run)
                _metrics.RUNS.labels('done').inc()
                return
            ended, timed_out = run.exclusive, True
            self._note_latency(
                message.service, started_at
            )  # it would have taken longer
        except errors.BackendNotReached as exc:
            self._backends.not_reached(backend, trio.current_time())
            await self._refuse(run, str(exc))
            return
        except errors.BackendFailed as exc:
            failure = str(exc)
        except errors.PeerUnreachable as exc:
            failure = str(exc)
        _metrics.RUNS.labels('failed').inc()
        ident = run.run_id
        await self._answer(
            run,
            messages.RequestFailed(
                ident.request_id, ident.attempt, failure, ended, timed_out
            ),
        )

    def _note_latency(
        self, service: identifiers.ServiceName, started_at: float
    ) -> None:
        now = trio.current_time()
        self._latencies.note(service, now - started_at, now)

    # Announcements to entries

    def _end_feeds(
        self, service: identifiers.ServiceName, address: str
    ) -> None:
        for run in self._open.values():
            if run.address == (service, address):
                run.end_feed()

    def _backends_changed(self) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._push_backends)

    async def _push_backends(self) -> None:
        await _entry_news.push_backends(
            self._hub, self._backends.states(), self._leaving
        )


def _is_exclusive(message: messages.RunRequest) -> bool:
    return any(
        name.lower() == 'citronrail-exclusive' and value
        for name, value in message.headers
    )
