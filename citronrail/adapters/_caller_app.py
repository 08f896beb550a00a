"""The callers' HTTP port."""

import collections.abc
import math
import typing

import quart
import quart_trio
import trio
import uuid_utils
import werkzeug.exceptions

from citronrail.adapters import _problem_json
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import adapters as events
from citronrail import routing

MAX_BODY_BYTES = 4 * 1024 * 1024  # a body is one message to an agent
MAX_DROPPED_BYTES = 16 * MAX_BODY_BYTES
MAX_HEADERS = 100
MAX_HEADER_BYTES = 16 * 1024
BODY_TIMEOUT_S = 30
# Handing over the parts of an answer costs a small one more than its memory.
SMALL_BYTES = 64 * 1024
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')

Ready = collections.abc.Callable[[], bool]


class Router(typing.Protocol):
    """What the port needs of :class:`citronrail.routing.RequestRouter`."""

    async def handle(
        self, req: routing.CallerRequest, respond: typing.Any
    ) -> None:
        """Answer one request."""
        ...


class BrokenOff(Exception):
    """The answer ended early; hypercorn closes the connection."""


def caller_app(router: Router, ready: Ready) -> quart_trio.QuartTrio:
    """Make the application of the callers' port.

    ``/services/<service>/<path>`` takes requests; ``/livez`` and ``/readyz``
    tell the load balancer whether to send any.

    :param router: answers requests.
    :param ready: whether new requests are welcome.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__, static_folder=None)
    app.config['MAX_CONTENT_LENGTH'] = None  # limited in _body
    app.config['RESPONSE_TIMEOUT'] = None
    app.config['PROPAGATE_EXCEPTIONS'] = True
    app.config['PROVIDE_AUTOMATIC_OPTIONS'] = False

    @app.route('/livez')
    async def livez() -> str:
        return 'ok\n'

    @app.route('/readyz')
    async def readyz() -> tuple[str, int]:
        return ('ok\n', 200) if ready() else ('not ready\n', 503)

    @app.route(
        '/services/<service>/<path:path>',
        methods=METHODS,
        strict_slashes=False,
    )
    @app.route('/services/<service>/', methods=METHODS, defaults={'path': ''})
    async def service_request(service: str, path: str) -> quart.Response:
        del path  # taken from the raw target, with its escapes
        request_id = identifiers.RequestId(str(uuid_utils.uuid7()))
        try:
            req = await _read(request_id, identifiers.ServiceName(service))
        except _Malformed as exc:
            return _problem_json.response(exc.problem, request_id)
        answer = _Answer(request_id)
        app.nursery.start_soon(answer.produce, router, req)
        return await answer.response()

    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def on_error(
        exc: werkzeug.exceptions.HTTPException,
    ) -> quart.Response:
        return _problem_json.response(
            _problem_json.malformed(
                exc.code or 500, exc.name, exc.description or ''
            )
        )

    return app


class _Malformed(Exception):
    """A request that is refused before it is routed."""

    def __init__(self, status: int, title: str, detail: str) -> None:
        super().__init__(detail)
        self.problem = _problem_json.malformed(status, title, detail)


async def _read(
    request_id: identifiers.RequestId, service: identifiers.ServiceName
) -> routing.CallerRequest:
    """Read the request at hand.

    :raises _Malformed: if it is too large or not valid UTF-8.
    """
    scope: dict[str, typing.Any] = dict(quart.request.scope)
    headers = _headers(scope['headers'])
    target = _target(scope)
    body = await _body()
    return routing.CallerRequest(
        request_id, service, scope['method'], target, headers, body
    )


async def _body() -> bytes:
    """Read the body; what exceeds the limit is read and dropped.

    A caller that is still sending would otherwise see a reset connection in
    place of the answer.
    """
    kept, size = bytearray(), 0
    with trio.move_on_after(BODY_TIMEOUT_S) as scope:
        async for data in quart.request.body:
            size += len(data)
            if size <= MAX_BODY_BYTES:
                kept += data
            elif size > MAX_DROPPED_BYTES:
                break
    if scope.cancelled_caught:
        raise _Malformed(
            408,
            'The body did not arrive',
            f'A body must arrive within {BODY_TIMEOUT_S} s.',
        )
    if size > MAX_BODY_BYTES:
        raise _Malformed(
            413,
            'The body is too large',
            f'At most {MAX_BODY_BYTES} bytes are accepted.',
        )
    return bytes(kept)


def _headers(
    raw: collections.abc.Iterable[tuple[bytes, bytes]],
) -> messages.Headers:
    pairs = list(raw)
    size = sum(len(name) + len(value) for name, value in pairs)
    if len(pairs) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise _Malformed(
            431,
            'The headers are too large',
            f'At most {MAX_HEADERS} headers and {MAX_HEADER_BYTES} bytes'
            ' are accepted.',
        )
    try:
        return tuple(
            (name.decode('ascii').lower(), value.decode('utf-8'))
            for name, value in pairs
        )
    except UnicodeDecodeError as exc:
        raise _Malformed(
            400, 'A header is malformed', 'Headers must be valid UTF-8.'
        ) from exc


def _target(scope: typing.Any) -> str:
    """Return the path below the service with its query, as sent."""
    raw_path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    try:
        scope['path'].encode('utf-8')
        path = raw_path.decode('ascii')
        text = query.decode('ascii')
    except UnicodeError as exc:
        raise _Malformed(
            400, 'The path is malformed', 'It must be valid UTF-8, escaped.'
        ) from exc
    path = path.split('?', 1)[0]
    rest = path.removeprefix('/services/').partition('/')[2]
    return f'/{rest}?{text}' if text else f'/{rest}'


def _declared_bytes(headers: messages.Headers) -> float:
    """Return the length that an answer declares, infinite if it does not."""
    lengths = {value for name, value in headers if name == 'content-length'}
    value = lengths.pop() if len(lengths) == 1 else ''
    return int(value) if value.isascii() and value.isdigit() else math.inf


class _Answer:
    """Hands an answer from the router's task to quart's.

    An answer that is declared to be small is handed over as a whole once it
    is finished; one that then breaks off is handed over as it is, so that the
    caller's connection is broken off visibly.

    :param request_id: sent to the caller with the answer.
    """

    def __init__(self, request_id: identifiers.RequestId) -> None:
        self._request_id = request_id
        self._scope = trio.CancelScope()
        self._begun = trio.Event()
        self._response: quart.Response | None = None
        self._whole = False
        self._small: list[bytes] | None = None  # parts of a small answer
        self._send, self._receive = trio.open_memory_channel[bytes](0)

    async def produce(
        self, router: Router, req: routing.CallerRequest
    ) -> None:
        """Let the router answer, until the caller is gone."""
        try:
            with self._scope:
                await router.handle(req, self)
        finally:
            self._send.close()
            self._begun.set()

    async def response(self) -> quart.Response:
        """Wait for the answer to begin."""
        try:
            await self._begun.wait()
        except trio.Cancelled:
            self._scope.cancel()
            raise
        if self._response is None:
            raise BrokenOff(self._request_id)
        return self._response

    # The way back, used by the router

    async def start(
        self,
        status: int,
        headers: messages.Headers,
        outcome: outcomes.Outcome,
    ) -> None:
        """Send status and headers."""
        response = quart.Response(self._body(), status=status)
        response.headers.clear()
        for name, value in headers:
            response.headers.add(name, value)
        response.headers[_problem_json.OUTCOME_HEADER] = outcome.value
        response.headers[_problem_json.REQUEST_ID_HEADER] = self._request_id
        response.timeout = None
        self._response = response
        if _declared_bytes(headers) <= SMALL_BYTES:
            self._small = []
        else:
            self._begun.set()

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits for a slow caller."""
        if self._small is not None:
            self._small.append(data)
        elif data:
            await self._send.send(data)

    async def finish(self) -> None:
        """End the answer normally."""
        self._whole = True
        if self._small is not None and self._response is not None:
            # The declared length stays: an answer to HEAD has no body.
            self._response.automatically_set_content_length = False
            self._response.set_data(b''.join(self._small))
            self._begun.set()
        self._send.close()

    async def problem(self, problem: routing.Problem) -> None:
        """Send a whole answer that describes a problem."""
        self._response = _problem_json.response(problem, self._request_id)
        self._begun.set()

    async def _body(self) -> collections.abc.AsyncIterator[bytes]:
        try:
            async for data in self._receive:
                yield data
            if not self._whole:
                observability.emit(
                    events.HTTP_RESPONSE_BROKEN_OFF,
                    cause=self._request_id,
                    request_id=self._request_id,
                )
                raise BrokenOff(self._request_id)
        finally:
            if not self._whole:
                self._scope.cancel()
