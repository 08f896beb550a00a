"""HTTP application of the stand-in backend server."""

import collections.abc
import dataclasses
import json
import random

import quart
import quart_trio
import trio

from standins.backend_server import _history

REQUEST_ID_HEADER = 'citronrail-request-id'
KEY_HEADER = 'x-business-key'
RUN_METHODS = ('GET', 'POST', 'PUT', 'DELETE')


@dataclasses.dataclass(frozen=True)
class BackendConfig:
    """Settings of one backend server.

    ``service`` is served from the start; if it is '', the worker on the host
    sets the services with replicas here through ``/serve``. ``agent``
    is the base URL of the agent on this host, '' for none.
    ``service_ms`` is the mean response time of ``/quick``, drawn from an
    exponential distribution if ``spread`` is true. ``slots`` is the number
    of concurrent requests; any above it are answered with 503.
    """

    service: str
    host: str = '127.0.0.1'
    port: int = 0
    agent: str = ''
    incarnation: int = 0
    slots: int = 8
    service_ms: float = 5.0
    spread: bool = False
    feed_event_ms: float = 50.0
    seed: int = 1


class BackendDied(Exception):
    """Aborts a response part-way, as a crashing process would."""


class Workload:
    """State shared by the request handlers of a backend server.

    :param cfg: its settings.
    """

    def __init__(self, cfg: BackendConfig) -> None:
        self.cfg = cfg
        self.history = _history.History()
        self.services = {cfg.service} - {''}
        self.changed = trio.Event()
        self.leaving = trio.Event()
        self.service_ms = cfg.service_ms
        self.failing = False
        self.refused = 0
        self._rng = random.Random(cfg.seed)

    def serve(self, service: str, wanted: bool) -> None:
        """Start or stop serving a service.

        :param service: name of the service.
        :param wanted: whether it is served from now on.
        """
        if wanted:
            self.services.add(service)
        else:
            self.services.discard(service)
        self.changed.set()
        self.changed = trio.Event()

    def leave(self) -> None:
        """Announce as leaving, but keep serving requests that still arrive."""
        self.leaving.set()

    def seconds(self, requested_ms: str | None) -> float:
        """Return the simulated response time in seconds.

        :param requested_ms: milliseconds requested by the caller, or None.
        """
        if requested_ms is not None:
            return float(requested_ms) / 1000
        mean_s = self.service_ms / 1000
        if self.cfg.spread and mean_s > 0:
            return self._rng.expovariate(1 / mean_s)
        return mean_s


def backend_app(work: Workload) -> quart_trio.QuartTrio:
    """Make the application.

    ``/quick?ms=N`` answers after N ms with the request's body and key;
    ``/large?bytes=N`` returns one large body, ``/stream?chunks=N&ms=M`` sends
    its body in chunks, ``/feed`` sends numbered events and honours
    Last-Event-ID, ``/fail`` answers 500, ``/hang`` never answers and
    ``/die?bytes=N`` aborts after N bytes. PUT and DELETE of
    ``/serve/SERVICE`` start and stop serving a service. ``/admin/history``
    returns all runs. A PUT of ``{"service_ms": N, "failing": bool}`` to
    ``/admin/behaviour`` changes the behaviour; a PUT of ``/admin/leave``
    announces the server as leaving without stopping it.

    :param work: the shared state.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__, static_folder=None)
    app.config['RESPONSE_TIMEOUT'] = None
    app.config['PROPAGATE_EXCEPTIONS'] = True
    _add_work_routes(app, work)
    _add_stream_routes(app, work)
    _add_admin_routes(app, work)
    return app


def _start_run(work: Workload) -> _history.RunRecord | None:
    """Start a run; None if all slots are in use."""
    if work.history.in_progress >= work.cfg.slots:
        work.refused += 1
        return None
    headers = quart.request.headers
    return work.history.begin(
        headers.get(REQUEST_ID_HEADER, ''), headers.get(KEY_HEADER, '')
    )


def _overload_response() -> quart.Response:
    return quart.Response('all slots are in use\n', status=503)


def _add_work_routes(app: quart_trio.QuartTrio, work: Workload) -> None:
    @app.route('/quick', methods=RUN_METHODS)
    async def quick() -> quart.Response:
        body = await quart.request.get_data(as_text=False)
        record = _start_run(work)
        if record is None:
            return _overload_response()
        try:
            await trio.sleep(work.seconds(quart.request.args.get('ms')))
        finally:
            work.history.end(record)
        if work.failing:
            return quart.Response('failing\n', status=500)
        response = quart.Response(body or b'ok\n')
        response.headers[KEY_HEADER] = record.key
        return response

    @app.route('/large', methods=RUN_METHODS)
    async def large() -> quart.Response:
        record = _start_run(work)
        if record is None:
            return _overload_response()
        size = int(quart.request.args.get('bytes', '1000000'))
        work.history.end(record)
        return quart.Response(pattern(size))

    @app.route('/fail', methods=RUN_METHODS)
    async def fail() -> quart.Response:
        record = _start_run(work)
        if record is None:
            return _overload_response()
        work.history.end(record)
        return quart.Response('failed\n', status=500)

    @app.route('/hang', methods=RUN_METHODS)
    async def hang() -> quart.Response:
        record = _start_run(work)
        if record is None:
            return _overload_response()
        try:
            await trio.sleep_forever()
        finally:
            work.history.end(record)
        return quart.Response('')


def _add_stream_routes(app: quart_trio.QuartTrio, work: Workload) -> None:
    @app.route('/stream', methods=RUN_METHODS)
    async def stream() -> quart.Response:
        record = _start_run(work)
        if record is None:
            return _overload_response()
        count = int(quart.request.args.get('chunks', '10'))
        size = int(quart.request.args.get('bytes', '1000'))
        pause_s = work.seconds(quart.request.args.get('ms', '0'))

        async def parts() -> collections.abc.AsyncIterator[bytes]:
            try:
                for number in range(count):
                    await trio.sleep(pause_s)
                    yield pattern(size, number * size)
            finally:
                work.history.end(record)

        return quart.Response(parts())

    @app.route('/die', methods=RUN_METHODS)
    async def die() -> quart.Response:
        record = _start_run(work)
        if record is None:
            return _overload_response()
        size = int(quart.request.args.get('bytes', '1000'))

        async def part() -> collections.abc.AsyncIterator[bytes]:
            work.history.end(record)
            yield pattern(size)
            raise BackendDied

        return quart.Response(part())

    @app.get('/feed')
    async def feed() -> quart.Response:
        """Send events until leaving; a feed does not occupy a slot."""
        last = int(quart.request.headers.get('last-event-id', '0'))

        async def numbered() -> collections.abc.AsyncIterator[bytes]:
            number = last
            while not work.leaving.is_set():
                number += 1
                yield b'id: %d\n' % number
                yield b'data: event %d\n\n' % number
                with trio.move_on_after(work.cfg.feed_event_ms / 1000):
                    await work.leaving.wait()
            yield b'retry: 200\n\n'

        return quart.Response(numbered(), content_type='text/event-stream')


def _add_admin_routes(app: quart_trio.QuartTrio, work: Workload) -> None:
    @app.get('/admin/history')
    async def history() -> quart.Response:
        data = {**work.history.summary(), 'refused': work.refused}
        return quart.Response(
            json.dumps(data), content_type='application/json'
        )

    @app.put('/serve/<service>')
    async def serve(service: str) -> tuple[str, int]:
        work.serve(service, True)
        return '', 204

    @app.delete('/serve/<service>')
    async def end_serving(service: str) -> tuple[str, int]:
        work.serve(service, False)
        return '', 204

    @app.put('/admin/leave')
    async def leave() -> tuple[str, int]:
        work.leave()
        return '', 204

    @app.put('/admin/behaviour')
    async def behaviour() -> tuple[str, int]:
        changes = json.loads(await quart.request.get_data(as_text=False))
        work.service_ms = float(changes.get('service_ms', work.service_ms))
        work.failing = bool(changes.get('failing', work.failing))
        return '', 204


def pattern(size: int, offset: int = 0) -> bytes:
    """Return bytes whose content encodes their offset in a body.

    :param size: number of bytes.
    :param offset: offset of the first byte.
    """
    line_bytes = 16
    first = offset // line_bytes
    count = (offset % line_bytes + size + line_bytes - 1) // line_bytes
    text = b''.join(
        b'%015d\n' % number for number in range(first, first + count)
    )
    start = offset % line_bytes
    return text[start : start + size]
