"""One HTTP client for all calls to the platform."""

import typing

import httpx
import msgspec

from citronrail import errors
from citronrail.platform import _transport_metrics as metrics

KEEP_IDLE_S = 30.0
MAX_CONNECTIONS = 64
T = typing.TypeVar('T')

# Errors after which the other side has surely not seen the call.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class CallNotSent(errors.CitronrailError):
    """The call never reached the other side."""

    outcome = errors.StoreUnavailable.outcome


class CallUnanswered(errors.CitronrailError):
    """The call may have been carried out, now or later."""


class HttpCalls:
    """Calls with JSON bodies over kept connections.

    :param address: ``IP:PORT`` of the other side.
    :param peer: name of the other side in errors and metrics.
    """

    def __init__(self, address: str, peer: str) -> None:
        self._base = f'http://{address}'
        self._peer = peer
        self._client = httpx.AsyncClient(
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEP_IDLE_S,
            ),
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

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
        :param path: path with its leading slash.
        :param timeout_s: seconds to wait for the whole answer.
        :param body: encoded JSON.
        :param query: parameters of the query.
        :param headers: further headers.
        :returns: the answer, whatever its status.
        :raises CallNotSent: if no connection could be made.
        :raises CallUnanswered: if no whole answer came in time.
        """
        sent = dict(headers or {})
        if body is not None:
            sent['Content-Type'] = 'application/json'
        step = f'{self._peer}{path.split("/")[1]}'
        try:
            res = await self._client.request(
                method,
                self._base + path,
                content=body,
                params=query,
                headers=sent,
                timeout=timeout_s,
            )
        except _NOT_SENT as exc:
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


def decode(res: httpx.Response, kind: type[T], peer: str) -> T:
    """Decode the body of an answer.

    :param res: the answer.
    :param kind: expected type.
    :param peer: name of the other side for the error.
    :returns: an instance of ``kind``.
    :raises CallUnanswered: if the body isn't readable, so that nothing is
        known of what was done.
    """
    try:
        return msgspec.json.decode(res.content, type=kind)
    except msgspec.DecodeError as exc:
        raise CallUnanswered(
            f'unreadable answer: {exc}', step='decode', peer=peer
        ) from exc
