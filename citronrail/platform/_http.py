"""HTTP client for all calls to the platform.

It calls httpx's transport. The layers of ``httpx.AsyncClient`` above it, for
redirects, cookies and authentication, take a third of a call's processor
time, and none of the calls needs them.
"""

import collections.abc
import contextlib
import ssl

import httpx

from citronrail import errors
from citronrail.platform import _transport_metrics as metrics

KEEPALIVE_EXPIRY_S = 30.0
MAX_CONNECTIONS = 64
# All calls are plain HTTP. The default context of each transport would read
# the certificates of the system, which takes 36 ms.
_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

# Errors that are raised before any part of a call was sent.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class CallNotSent(errors.CitronrailError):
    """The call was not sent."""

    outcome = errors.StoreUnavailable.outcome


class CallUnanswered(errors.CitronrailError):
    """There was no usable response; the call may still take effect."""


class _Pool:
    """Persistent connections to a server, and the number of calls on them."""

    def __init__(self) -> None:
        self.calls = 0
        self.transport = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
            ),
            trust_env=False,
            verify=_TLS_CONTEXT,
        )


class HttpClient:
    """HTTP client for calls with JSON bodies over persistent connections.

    Open connections may all go silent at once, without a reset. After a call
    that timed out, no later one uses a connection that was open then.

    :param address: ``IP:PORT`` of the server.
    :param peer: name of the server in errors and metrics.
    """

    def __init__(self, address: str, peer: str) -> None:
        self._base_url = f'http://{address}'
        self._peer = peer
        self._pool = _Pool()
        # Pools that take no new calls, until their last call has ended.
        self._retired: set[_Pool] = set()

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in (self._pool, *self._retired):
            await pool.transport.aclose()

    @contextlib.asynccontextmanager
    async def _use_pool(
        self,
    ) -> collections.abc.AsyncIterator[httpx.AsyncHTTPTransport]:
        """Use the pool for one call; retire it if the call times out."""
        pool = self._pool
        pool.calls += 1
        try:
            yield pool.transport
        except (httpx.ReadTimeout, httpx.WriteTimeout):
            if pool is self._pool:
                self._pool = _Pool()
                self._retired.add(pool)
            raise
        finally:
            pool.calls -= 1
            if pool in self._retired and not pool.calls:
                self._retired.remove(pool)
                await pool.transport.aclose()

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        *,
        body: bytes | None = None,
        query: dict[str, str | int] | None = None,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Make one call.

        :param method: HTTP method.
        :param path: path with a leading slash.
        :param timeout_s: timeout of each phase of the call in seconds.
        :param body: encoded JSON.
        :param query: query parameters.
        :param headers: additional headers.
        :returns: the response, regardless of its status.
        :raises CallNotSent: if no connection could be made.
        :raises CallUnanswered: if no complete response arrived in time.
        """
        all_headers = dict(headers or {})
        if body is not None:
            all_headers['Content-Type'] = 'application/json'
        step = f'{self._peer}{path.split("/")[1]}'
        try:
            req = httpx.Request(
                method,
                self._base_url + path,
                params=query,
                headers=all_headers,
                content=body,
                extensions={'timeout': httpx.Timeout(timeout_s).as_dict()},
            )
            async with self._use_pool() as transport:
                res = await transport.handle_async_request(req)
                try:
                    await res.aread()
                finally:
                    await res.aclose()
        except _NOT_SENT_ERRORS as exc:
            metrics.CALLS.labels(self._peer, 'not sent').inc()
            raise CallNotSent(
                f'no connection: {exc!r}', step=step, peer=self._peer
            ) from exc
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            metrics.CALLS.labels(self._peer, 'unanswered').inc()
            raise CallUnanswered(
                f'no answer: {exc!r}', step=step, peer=self._peer
            ) from exc
        metrics.CALLS.labels(self._peer, str(res.status_code)).inc()
        return res


def unreadable(
    exc: errors.Undecodable,
    error: type[errors.CitronrailError],
    source: str,
    peer: str,
) -> errors.CitronrailError:
    """Count an answer that can't be decoded and return the call's error.

    :param exc: why it can't be decoded.
    :param error: type of the error; the result of the call is unknown.
    :param source: kind of the server for the metric.
    :param peer: name of the server for the error.
    """
    metrics.REFUSED.labels(f'{source} answer').inc()
    return error(f'unreadable answer: {exc.message}', step='decode', peer=peer)
