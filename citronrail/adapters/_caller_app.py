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

MAX_BODY_BYTES = 4 * 1024 * 1024  # sent to an agent as one message
MAX_DISCARDED_BYTES = 16 * MAX_BODY_BYTES
MAX_HEADERS = 100
MAX_HEADER_BYTES = 16 * 1024
BODY_TIMEOUT_S = 30
# Streaming a small response costs more than buffering it.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')

Ready = collections.abc.Callable[[], bool]


class Router(typing.Protocol):
    """The part of :class:`citronrail.routing.RequestRouter` used here."""

    async def handle(
        self, req: routing.CallerRequest, respond: typing.Any
    ) -> None:
        """Answer one request."""
        ...


class ResponseAborted(Exception):
    """The response ended early; hypercorn closes the connection."""


def caller_app(router: Router, ready: Ready) -> quart_trio.QuartTrio:
    """Create the application of the callers' port.

    ``/services/<service>/<path>`` accepts requests; the load
    balancer polls ``/livez`` and ``/readyz``.

    :param router: answers requests.
    :param ready: whether new requests are accepted.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__, static_folder=None)
    app.config['MAX_CONTENT_LENGTH'] = None  # enforced in _body
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
            req = await _read_request(
                request_id, identifiers.ServiceName(service)
            )
        except _RequestRejected as exc:
            return _problem_json.response(exc.problem, request_id)
        answer = _ResponseRelay(request_id)
        app.nursery.start_soon(answer.produce, router, req)
        return await answer.response()

    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def on_error(
        exc: werkzeug.exceptions.HTTPException,
    ) -> quart.Response:
        return _problem_json.response(
            _problem_json.rejected_request(
                exc.code or 500, exc.name, exc.description or ''
            )
        )

    return app


class _RequestRejected(Exception):
    """A request that is rejected before routing."""

    def __init__(self, status: int, title: str, detail: str) -> None:
        super().__init__(detail)
        self.problem = _problem_json.rejected_request(status, title, detail)


async def _read_request(
    request_id: identifiers.RequestId, service: identifiers.ServiceName
) -> routing.CallerRequest:
    """Read the current request.

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
    """Read the body; bytes beyond the limit are read and discarded.

    Closing the connection while the caller is still sending would reset it,
    and the caller would not receive the error response.
    """
    kept, size = bytearray(), 0
    with trio.move_on_after(BODY_TIMEOUT_S) as scope:
        async for data in quart.request.body:
            size += len(data)
            if size <= MAX_BODY_BYTES:
                kept += data
            elif size > MAX_DISCARDED_BYTES:
                break
    if scope.cancelled_caught:
        raise _RequestRejected(
            408,
            'The body did not arrive',
            f'A body must arrive within {BODY_TIMEOUT_S} s.',
        )
    if size > MAX_BODY_BYTES:
        raise _RequestRejected(
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
        raise _RequestRejected(
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
        raise _RequestRejected(
            400, 'A header is malformed', 'Headers must be valid UTF-8.'
        ) from exc


def _target(scope: typing.Any) -> str:
    """Return the path after the service name, with the query, as sent."""
    raw_path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    try:
        scope['path'].encode('utf-8')
        path = raw_path.decode('ascii')
        text = query.decode('ascii')
    except UnicodeError as exc:
        raise _RequestRejected(
            400, 'The path is malformed', 'It must be valid UTF-8, escaped.'
        ) from exc
    path = path.split('?', 1)[0]
    rest = path.removeprefix('/services/').partition('/')[2]
    return f'/{rest}?{text}' if text else f'/{rest}'


def _declared_bytes(headers: messages.Headers) -> float:
    """Return the declared content length, infinity if there is none."""
    lengths = {value for name, value in headers if name == 'content-length'}
    value = lengths.pop() if len(lengths) == 1 else ''
    return int(value) if value.isascii() and value.isdigit() else math.inf


class _ResponseRelay:
    """Passes a response from the router's task to quart's task.

    A response whose declared length is small is buffered and passed on once
    it is complete. If it ends early, its headers are passed on and the body is
    aborted, so that the caller sees the connection fail.

    :param request_id: sent to the caller in a response header.
    """

    def __init__(self, request_id: identifiers.RequestId) -> None:
        self._request_id = request_id
        self._scope = trio.CancelScope()
        self._started = trio.Event()
        self._response: quart.Response | None = None
        self._complete = False
        self._buffered: list[bytes] | None = None  # parts of a small response
        self._send, self._receive = trio.open_memory_channel[bytes](0)

    async def produce(
        self, router: Router, req: routing.CallerRequest
    ) -> None:
        """Run the router until it is done or the caller disconnects."""
        try:
            with self._scope:
                await router.handle(req, self)
        finally:
            self._send.close()
            self._started.set()

    async def response(self) -> quart.Response:
        """Wait until the response has started."""
        try:
            await self._started.wait()
        except trio.Cancelled:
            self._scope.cancel()
            raise
        if self._response is None:
            raise ResponseAborted(self._request_id)
        return self._response

    # Called by the router to send the response

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
        if _declared_bytes(headers) <= MAX_BUFFERED_RESPONSE_BYTES:
            self._buffered = []
        else:
            self._started.set()

    async def write(self, data: bytes) -> None:
        """Send a part of the body, with backpressure from the caller."""
        if self._buffered is not None:
            self._buffered.append(data)
        elif data:
            await self._send.send(data)

    async def finish(self) -> None:
        """Complete the response."""
        self._complete = True
        if self._buffered is not None and self._response is not None:
            # Keep the declared length: a response to HEAD has no body.
            self._response.automatically_set_content_length = False
            self._response.set_data(b''.join(self._buffered))
            self._started.set()
        self._send.close()

    async def problem(self, problem: routing.Problem) -> None:
        """Send a complete response that describes a problem."""
        self._response = _problem_json.response(problem, self._request_id)
        self._started.set()

    async def _body(self) -> collections.abc.AsyncIterator[bytes]:
        try:
            async for data in self._receive:
                yield data
            if not self._complete:
                observability.emit(
                    events.HTTP_RESPONSE_BROKEN_OFF,
                    cause=self._request_id,
                    request_id=self._request_id,
                )
                raise ResponseAborted(self._request_id)
        finally:
            if not self._complete:
                self._scope.cancel()
