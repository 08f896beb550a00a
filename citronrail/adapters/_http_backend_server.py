"""Requests to backend servers over HTTP."""

import collections.abc
import contextlib
import dataclasses

import httpx

from citronrail import errors
from citronrail.model import messages
from citronrail import ports

CONNECT_TIMEOUT_S = 1.0
# Shorter than the idle timeout of common servers, so that no request is
# sent on a connection that the server is closing.
KEEP_ALIVE_S = 2.0

# Hop-by-hop headers (RFC 9110 section 7.6.1) and headers that the client
# sets itself.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_SET_BY_CLIENT = frozenset(('host', 'content-length', 'expect'))

_NOT_REACHED = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.InvalidURL,
)


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """A streaming response."""

    status: int
    headers: messages.Headers
    response: httpx.Response
    address: str

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Iterate over the body as sent, without decoding it.

        :raises citronrail.errors.BackendFailed: if it ended early.
        """
        try:
            async for data in self.response.aiter_raw():
                yield data
        except (httpx.HTTPError, httpx.StreamError) as exc:
            raise _backend_failed(exc, self.address) from exc


class HttpBackendServer:
    """A :class:`citronrail.ports.BackendServer` over HTTP/1.1.

    :param connections: maximum number of open connections.
    """

    def __init__(self, *, connections: int = 64) -> None:
        self._client = httpx.AsyncClient(
            limits=httpx.Limits(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=KEEP_ALIVE_S,
            ),
            timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S, pool=1.0),
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    @contextlib.asynccontextmanager
    async def run(
        self, req: ports.BackendRequest
    ) -> collections.abc.AsyncIterator[ports.BackendResponse]:
        """Send a request and yield its response.

        :param req: the request to send.
        :raises citronrail.errors.BackendNotReached: if no byte was sent.
        :raises citronrail.errors.BackendFailed: if the request may have run.
        """
        try:
            request = self._client.build_request(
                req.method,
                req.address + req.target,
                headers=_end_to_end(req.headers, _SET_BY_CLIENT),
                content=req.body,
            )
            response = await self._client.send(request, stream=True)
        except _NOT_REACHED as exc:
            raise errors.BackendNotReached(
                str(exc) or type(exc).__name__,
                step='backend.connect',
                peer=req.address,
            ) from exc
        except httpx.HTTPError as exc:
            raise _backend_failed(exc, req.address) from exc
        try:
            yield HttpResponse(
                response.status_code,
                _answer_headers(response),
                response,
                req.address,
            )
        finally:
            await response.aclose()


def _answer_headers(response: httpx.Response) -> messages.Headers:
    pairs = tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in response.headers.raw
    )
    return _end_to_end(pairs, frozenset())


def _end_to_end(
    headers: messages.Headers, extra: frozenset[str]
) -> messages.Headers:
    """Remove the headers that apply to a single connection."""
    dropped = _HOP_BY_HOP | extra
    for name, value in headers:
        if name == 'connection':
            listed = (part.strip().lower() for part in value.split(','))
            dropped = dropped.union(listed)
    return tuple(
        (name, value) for name, value in headers if name not in dropped
    )


def _backend_failed(exc: Exception, address: str) -> errors.BackendFailed:
    return errors.BackendFailed(
        str(exc) or type(exc).__name__, step='backend.answer', peer=address
    )
