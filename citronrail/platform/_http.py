"""HTTP client for all calls to the platform.

It calls httpx's transport. The layers of ``httpx.AsyncClient`` above it, for
redirects, cookies and authentication, take a third of a call's processor
time, and none of the calls needs them.
"""

import httpx

from citronrail import errors
from citronrail.platform import _transport_metrics as metrics

KEEPALIVE_EXPIRY_S = 30.0
MAX_CONNECTIONS = 64

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


class HttpClient:
    """HTTP client for calls with JSON bodies over persistent connections.

    :param address: ``IP:PORT`` of the server.
    :param peer: name of the server in errors and metrics.
    """

    def __init__(self, address: str, peer: str) -> None:
        self._base_url = f'http://{address}'
        self._peer = peer
        self._transport = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
            ),
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

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
            res = await self._transport.handle_async_request(req)
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
