"""The HTTP paths of the stand-in backend server."""

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
RUN_PATHS = ('GET', 'POST', 'PUT', 'DELETE')


@dataclasses.dataclass(frozen=True)
class BackendConfig:
    """Settings of one backend server.

    ``service`` is served from the start; '' leaves it to the worker on the
    host to tell which services have replicas here, by ``/serve``. ``agent``
    is the base URL of the agent beside it, '' for none.
    ``service_ms`` is the mean time of a quick answer, drawn from an
    exponential distribution if ``spread`` is true. ``slots`` is the number
    of requests that it works on at once; more are answered with 503.
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
    """Ends an answer in its middle, as a dying process would."""


class Workload:
    """State of the backend server that its paths share.

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
        """Begin or end serving a service.

        :param service: name of the service.
        :param wanted: whether it is served from now on.
        """
        if wanted:
            self.services.add(service)
        else:
            self.services.discard(service)
        self.changed.set()
        self.changed = trio.Event()

    def seconds(self, asked_ms: str | None) -> float:
        """Return how long an answer takes.

        :param asked_ms: milliseconds asked for by the caller, or None.
        """
        if asked_ms is not None:
            return float(asked_ms) / 1000
        mean_s = self.service_ms / 1000
        if self.cfg.spread and mean_s > 0:
            return self._rng.expovariate(1 / mean_s)
        return mean_s


def backend_app(work: Workload) -> quart_trio.QuartTrio:
    """Make the application.

    ``/quick?ms=N`` answers after N ms with the request's body and key;
    ``/large?bytes=N`` has one large body, ``/stream?chunks=N&ms=M`` comes in
    parts, ``/feed`` sends numbered events and honours Last-Event-ID,
    ``/fail`` answers 500, ``/hang`` never answers, ``/die?bytes=N`` breaks
    off after N bytes. PUT and DELETE of ``/serve/SERVICE`` begin and end
    serving a service. ``/admin/history`` returns all runs, and a PUT of
    ``{"service_ms": N, "failing": bool}`` to ``/admin/behaviour`` changes it.

    :param work: the shared state.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__, static_folder=None)
    app.config['RESPONSE_TIMEOUT'] = None
    app.config['PROPAGATE_EXCEPTIONS'] = True
    _add_work_paths(app, work)
    _add_stream_paths(app, work)
    _add_admin_paths(app, work)
    return app


def _begin(work: Workload) -> _history.RunRecord | None:
    """Start a run; None if all slots are in use."""
    if work.history.in_progress >= work.cfg.slots:
        work.refused += 1
        return None
    headers = quart.request.headers
    return work.history.begin(
        headers.get(REQUEST_ID_HEADER, ''), headers.get(KEY_HEADER, '')
    )


def _full() -> quart.Response:
    return quart.Response('all slots are in use\n', status=503)


def _add_work_paths(app: quart_trio.QuartTrio, work: Workload) -> None:
    @app.route('/quick', methods=RUN_PATHS)
    async def quick() -> quart.Response:
        body = await quart.request.get_data(as_text=False)
        record = _begin(work)
        if record is None:
            return _full()
        try:
            await trio.sleep(work.seconds(quart.request.args.get('ms')))
        finally:
            work.history.end(record)
        if work.failing:
            return quart.Response('failing\n', status=500)
        response = quart.Response(body or b'ok\n')
        response.headers[KEY_HEADER] = record.key
        return response

    @app.route('/large', methods=RUN_PATHS)
    async def large() -> quart.Response:
        record = _begin(work)
        if record is None:
            return _full()
        size = int(quart.request.args.get('bytes', '1000000'))
        work.history.end(record)
        return quart.Response(pattern(size))

    @app.route('/fail', methods=RUN_PATHS)
    async def fail() -> quart.Response:
        record = _begin(work)
        if record is None:
            return _full()
        work.history.end(record)
        return quart.Response('failed\n', status=500)

    @app.route('/hang', methods=RUN_PATHS)
    async def hang() -> quart.Response:
        record = _begin(work)
        if record is None:
            return _full()
        try:
            await trio.sleep_forever()
        finally:
            work.history.end(record)
        return quart.Response('')


def _add_stream_paths(app: quart_trio.QuartTrio, work: Workload) -> None:
    @app.route('/stream', methods=RUN_PATHS)
    async def stream() -> quart.Response:
        record = _begin(work)
        if record is None:
            return _full()
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

    @app.route('/die', methods=RUN_PATHS)
    async def die() -> quart.Response:
        record = _begin(work)
        if record is None:
            return _full()
        size = int(quart.request.args.get('bytes', '1000'))

        async def part() -> collections.abc.AsyncIterator[bytes]:
            work.history.end(record)
            yield pattern(size)
            raise BackendDied

        return quart.Response(part())

    @app.get('/feed')
    async def feed() -> quart.Response:
        """Send events until leaving; events hold no slot."""
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


def _add_admin_paths(app: quart_trio.QuartTrio, work: Workload) -> None:
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

    @app.put('/admin/behaviour')
    async def behaviour() -> tuple[str, int]:
        wish = json.loads(await quart.request.get_data(as_text=False))
        work.service_ms = float(wish.get('service_ms', work.service_ms))
        work.failing = bool(wish.get('failing', work.failing))
        return '', 204


def pattern(size: int, offset: int = 0) -> bytes:
    """Return bytes whose content tells their place in a body.

    :param size: number of bytes.
    :param offset: place of the first byte.
    """
    line = 16
    first = offset // line
    count = (offset % line + size + line - 1) // line
    text = b''.join(
        b'%015d\n' % number for number in range(first, first + count)
    )
    start = offset % line
    return text[start : start + size]
