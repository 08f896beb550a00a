"""Runs requests on the backend servers of an agent's host."""

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
from citronrail.routing import _backend_updates
from citronrail.routing import _backends
from citronrail.routing import _latency
from citronrail.routing import _metrics
from citronrail.routing import _requests
from citronrail.routing import _response_stream
from citronrail.routing import _run_times
from citronrail.routing import _runs
from citronrail.routing import _slots

DEFAULT_MAX_RUN_S = 30.0
_CLEANUP_INTERVAL_S = 0.25
_DRAIN_POLL_S = 0.02
_FULL = 'no connection is free'
_CANCELLED = 'it was cancelled'
_LEAVING = 'the agent is leaving'
_NO_BACKEND = 'no backend server is available'
_TOO_LATE = 'it arrived too late'
_NOT_RUNNING = 'the agent is starting or stopping'

MaxRunTime = collections.abc.Callable[[identifiers.ServiceName], float]


class RequestRunner:
    """Runs requests on the backend servers of this agent's host.

    :param hub: connections to entries.
    :param backend_server: HTTP client of the backend servers.
    :param limits: limits of slots and connections.
    :param max_run_s: returns the longest run time of a service's requests.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        backend_server: ports.BackendServer,
        *,
        limits: _slots.RunnerLimits | None = None,
        max_run_s: MaxRunTime = lambda _: DEFAULT_MAX_RUN_S,
    ) -> None:
        self._hub = hub
        self._backend_server = backend_server
        self._limits = limits or _slots.RunnerLimits()
        self._max_run_s = max_run_s
        self._backends = _backends.BackendTable(self._backends_changed)
        self._slots = _slots.SlotQueue(self._limits.slots)
        self._runs = _runs.RunTable()
        self._open: dict[_runs.RunId, _runs.Run] = {}
        self._latencies = _latency.LatencyAverages()
        self._run_time_estimator = _run_times.RunTimeEstimator(
            self._slots, self._latencies
        )
        self._leaving = False
        self._nursery: trio.Nursery | None = None
        hub.subscribe(messages.RunRequest, self._on_run)
        hub.subscribe(messages.CancelRequest, self._on_cancel)
        hub.subscribe(messages.Credit, self._on_credit)
        hub.listen(lambda _: None, self._on_disconnect)

    @property
    def leaving(self) -> bool:
        """Whether the agent is shutting down and refuses new requests."""
        return self._leaving

    def announce(
        self,
        service: identifiers.ServiceName,
        address: str,
        incarnation: int,
        leaving: bool = False,
    ) -> None:
        """Process an announcement of a backend server.

        :param service: the service it belongs to.
        :param address: ``http://IP:PORT``.
        :param incarnation: rises with each start of the backend server.
        :param leaving: whether it accepts no new requests.
        :raises citronrail.errors.CommandRefused: if it is outdated.
        """
        now = trio.current_time()
        self._backends.announce(service, address, incarnation, leaving, now)
        if leaving:
            self._end_event_streams(service, address)

    def withdraw(self, service: identifiers.ServiceName, address: str) -> None:
        """Remove a backend server that has stopped.

        :param service: the service it belongs to.
        :param address: ``http://IP:PORT``.
        """
        self._backends.withdraw(service, address)

    def backends(self) -> tuple[messages.BackendState, ...]:
        """Return the states of the backend servers, as sent to entries."""
        return self._backends.states()

    def load(self) -> messages.AgentLoad:
        """Return the current load."""
        return messages.AgentLoad(
            slots_used=self._slots.used,
            connections_used=len(self._open),
            queued=self._slots.queued,
            latency_ms=self._latencies.average_ms(
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
        """Run requests until cancelled.

        :param task_status: started when requests are accepted.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                while True:
                    now = trio.current_time()
                    self._backends.remove_expired(now)
                    self._runs.prune(now)
                    _metrics.SLOTS_USED.set(self._slots.used)
                    _metrics.QUEUED.set(self._slots.queued)
                    await trio.sleep(_CLEANUP_INTERVAL_S)
        finally:
            self._nursery = None

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress.

        Event streams are ended between two events. The caller has to set a
        time limit.
        """
        observability.emit(events.RUNNER_DRAINING, count=len(self._open))
        self._leaving = True
        await self._push_backends()
        for run in self._open.values():
            run.end_event_stream()
        while self._open:
            await trio.sleep(_DRAIN_POLL_S)

    # Messages from entries

    async def _on_run(
        self, peer: ports.Peer, message: messages.RunRequest, body: bytes
    ) -> None:
        run_id = _runs.run_id(peer, message)
        known = self._runs.find(run_id)
        if known is not None and known.state is not _runs.RunState.CANCELLED:
            # The entry would take a refusal as the reply to the first copy.
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
            message.start_before + _runs.DUPLICATE_RETENTION_S,
            exclusive=_runs.is_exclusive(message),
            credit=message.credit,
        )
        reason = self._refusal_reason(message, now)
        if known is not None:
            reason = _CANCELLED
            run.retain_until = max(run.retain_until, known.retain_until)
        self._runs.add(run)
        if reason or self._nursery is None:
            leaving = reason in (_LEAVING, _NO_BACKEND)
            await self._refuse(run, reason or _NOT_RUNNING, leaving=leaving)
            return
        self._open[run_id] = run
        self._nursery.start_soon(self._execute, run, message, body)

    async def _on_cancel(
        self, peer: ports.Peer, message: messages.CancelRequest, _: bytes
    ) -> None:
        run_id = _runs.run_id(peer, message)
        run = self._runs.find(run_id)
        if run is None:
            run = _runs.Run(run_id, _runs.RunState.CANCELLED, 0.0)
            self._runs.add(run)
        run.retain_until = max(run.retain_until, message.forget_after)
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
            run.add_credit(message.chunks)

    def _on_disconnect(self, peer: ports.Peer) -> None:
        """Cancel the runs of a disconnected entry, to free their slots."""
        for run in self._runs.requested_by(peer):
            if run.state is _runs.RunState.QUEUED:
                run.state = _runs.RunState.CANCELLED
                run.scope.cancel()
            elif run.state is _runs.RunState.STARTED:
                run.abandon()

    # Runs

    def _refusal_reason(self, message: messages.RunRequest, now: float) -> str:
        """Return why a request cannot be accepted, or ''."""
        if self._leaving:
            return _LEAVING
        if len(self._open) >= self._limits.connections:
            return _FULL
        if self._run_time_estimator.too_late(message, now):
            return _TOO_LATE
        if self._backends.choose(message.service, now) is None:
            return _NO_BACKEND
        return ''

    async def _refuse(
        self, run: _runs.Run, reason: str, *, leaving: bool = False
    ) -> None:
        run.state = _runs.RunState.REFUSED
        _metrics.RUNS.labels('refused').inc()
        run_id = run.run_id
        await self._send_to_entry(
            run,
            messages.RequestRefused(
                run_id.request_id,
                run_id.attempt,
                reason,
                leaving=leaving,
                full=reason in (_FULL, _TOO_LATE, _CANCELLED),
            ),
        )

    async def _send_to_entry(self, run: _runs.Run, message: object) -> None:
        with contextlib.suppress(errors.PeerUnreachable):
            await self._hub.send(run.run_id.entry, message)

    async def _execute(
        self, run: _runs.Run, message: messages.RunRequest, body: bytes
    ) -> None:
        try:
            with run.scope:
                now = trio.current_time()
                slot = await self._slots.acquire(
                    self._run_time_estimator.latest_start(message, now)
                )
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
            run.retain_until = max(
                run.retain_until,
                trio.current_time() + _runs.DUPLICATE_RETENTION_S,
            )

    async def _start(
        self,
        run: _runs.Run,
        message: messages.RunRequest,
        body: bytes,
        slot: _slots.Slot,
    ) -> None:
        if run.state is not _runs.RunState.QUEUED:
            return  # the cancellation was confirmed as `not run`
        now = trio.current_time()
        backend = self._backends.choose(message.service, now)
        if now > self._run_time_estimator.latest_start(message, now):
            await self._refuse(run, _TOO_LATE)
            return
        if backend is None or self._leaving:
            await self._refuse(run, _NO_BACKEND, leaving=True)
            return
        # There must be no await between these checks and the state change.
        run.state = _runs.RunState.STARTED
        backend.in_progress += 1
        try:
            await self._run_on_backend(backend, run, message, body, slot)
        finally:
            backend.in_progress -= 1

    async def _run_on_backend(
        self,
        backend: _backends.Backend,
        run: _runs.Run,
        message: messages.RunRequest,
        body: bytes,
        slot: _slots.Slot,
    ) -> None:
        started_at = trio.current_time()
        run.backend_key = (message.service, backend.address)
        time_limit = message.finish_before
        if run.exclusive:
            time_limit = started_at + self._max_run_s(message.service)
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
            with trio.move_on_at(time_limit):
                async with self._backend_server.run(request) as response:
                    self._record_latency(message.service, started_at)
                    if _requests.is_event_stream(response.headers):
                        slot.release()
                    stream = _response_stream.ResponseStream(self._hub, run)
                    await _response_stream.relay_response(
                        response, stream, run
                    )
                _metrics.RUNS.labels('done').inc()
                return
            ended, timed_out = run.exclusive, True
            self._record_latency(message.service, started_at)  # a lower bound
        except errors.BackendNotReached as exc:
            self._backends.record_connect_failure(backend, trio.current_time())
            await self._refuse(run, str(exc))
            return
        except errors.BackendFailed as exc:
            failure = str(exc)
        except errors.PeerUnreachable as exc:
            failure = str(exc)
        _metrics.RUNS.labels('failed').inc()
        run_id = run.run_id
        await self._send_to_entry(
            run,
            messages.RequestFailed(
                run_id.request_id, run_id.attempt, failure, ended, timed_out
            ),
        )

    def _record_latency(
        self, service: identifiers.ServiceName, started_at: float
    ) -> None:
        now = trio.current_time()
        self._latencies.record(service, now - started_at, now)

    # Announcements to entries

    def _end_event_streams(
        self, service: identifiers.ServiceName, address: str
    ) -> None:
        for run in self._open.values():
            if run.backend_key == (service, address):
                run.end_event_stream()

    def _backends_changed(self) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._push_backends)

    async def _push_backends(self) -> None:
        await _backend_updates.push_backends(
            self._hub, self._backends.states(), self._leaving
        )
