"""The key-value port over the etcd v3 JSON protocol."""

import collections.abc
import contextlib

import httpx
import trio

from citronrail.adapters import _etcd_protocol as protocol
from citronrail import errors
from citronrail.model import codec
from citronrail import observability
from citronrail.observability.catalogue import adapters as events
from citronrail import ports

CALL_DEADLINE_S = 1.5
CONNECT_TIMEOUT_S = 0.5
# An idle watch is reopened after this time, since a connection whose peer
# has vanished can stay open indefinitely.
WATCH_IDLE_S = 60.0
MAX_CONNECTIONS = 64

# Errors raised before any byte of the request was sent.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class EtcdStore:
    """A :class:`citronrail.ports.KeyValueStore` over HTTP.

    A call goes to the endpoint that last responded, and to the next one if
    no connection was made. Reads are retried at the next endpoint after any
    other failure as well.

    :param endpoints: base URLs such as ``http://10.0.0.5:2379``.
    :param deadline_s: timeout of a call in seconds.
    """

    def __init__(
        self,
        endpoints: collections.abc.Sequence[str],
        deadline_s: float = CALL_DEADLINE_S,
    ) -> None:
        if not endpoints:
            raise errors.ConfigError(
                'no store endpoint is configured', step='store.open'
            )
        self._endpoints = [url.rstrip('/') for url in endpoints]
        self._preferred = 0
        self._deadline_s = deadline_s
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(
                deadline_s, connect=min(CONNECT_TIMEOUT_S, deadline_s)
            ),
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
            ),
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str) -> ports.KeyValue | None:
        """Read one key; see the port."""
        answer = await self._read('/v3/kv/range', protocol.single_key(key))
        with _convert_parse_errors('store.get'):
            found = protocol.items(answer)
        return found[0] if found else None

    async def list(
        self, prefix: str, keep: ports.ItemFilter | None = None
    ) -> ports.Listing:
        """Read the keys under a prefix; see the port."""
        answer = await self._read('/v3/kv/range', protocol.key_range(prefix))
        with _convert_parse_errors('store.list'):
            items = protocol.items(answer)
            return ports.Listing(
                tuple(filter(keep, items)) if keep else items,
                protocol.revision_of(answer),
            )

    async def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Carry out a transaction; see the port."""
        answer = await self._write(
            '/v3/kv/txn', protocol.txn_body(compares, writes)
        )
        with _convert_parse_errors('store.txn'):
            return ports.TxnResult(
                bool(answer.get('succeeded')), protocol.revision_of(answer)
            )

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; see the port."""
        answer = await self._write(
            '/v3/lease/grant', protocol.grant_body(ttl_s)
        )
        with _convert_parse_errors('store.grant_lease'):
            return int(answer['ID'])

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; see the port."""
        answer = await self._write(
            '/v3/lease/keepalive', protocol.lease_body(lease_id)
        )
        with _convert_parse_errors('store.keep_alive'):
            return int(answer['result'].get('TTL', '0')) > 0

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; see the port."""
        with contextlib.suppress(errors.LeaseLost):
            await self._write(
                '/v3/lease/revoke', protocol.lease_body(lease_id)
            )

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]
    ]:
        """Receive changes; see the port."""
        response = await self._open_watch(
            protocol.watch_body(prefix, start_revision)
        )
        changes = _watch_batches(response)
        try:
            yield changes
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(1.0):
                await changes.aclose()
                await response.aclose()

    async def _open_watch(self, body: protocol.Json) -> httpx.Response:
        cause: Exception | None = None
        for index in self._endpoint_order():
            request = self._client.build_request(
                'POST',
                f'{self._endpoints[index]}/v3/watch',
                json=body,
                timeout=httpx.Timeout(WATCH_IDLE_S, connect=CONNECT_TIMEOUT_S),
            )
            try:
                with trio.fail_after(self._deadline_s):
                    return await self._client.send(request, stream=True)
            except (httpx.HTTPError, trio.TooSlowError) as exc:
                cause = exc
                self._log_failure(index, '/v3/watch', exc)
        raise _unavailable('store.watch', cause) from cause

    async def _read(self, path: str, body: protocol.Json) -> protocol.Json:
        """Make a read-only call; retried at each endpoint."""
        cause: Exception | None = None
        with trio.move_on_after(self._deadline_s):
            for index in self._endpoint_order():
                try:
                    return await self._post(index, path, body)
                except (httpx.HTTPError, errors.StoreOutcomeUnknown) as exc:
                    cause = exc
                    self._log_failure(index, path, exc)
        raise _unavailable(path, cause) from cause

    async def _write(self, path: str, body: protocol.Json) -> protocol.Json:
        """Make a call that changes state; retried only if it was not sent."""
        cause: Exception | None = None
        index = self._preferred
        try:
            with trio.fail_after(self._deadline_s):
                for index in self._endpoint_order():
                    try:
                        return await self._post(index, path, body)
                    except _NOT_SENT as exc:
                        cause = exc
                        self._log_failure(index, path, exc)
        except (httpx.HTTPError, trio.TooSlowError) as exc:
            self._log_failure(index, path, exc)
            self._preferred = (index + 1) % len(self._endpoints)
            raise errors.StoreOutcomeUnknown(
                f'no answer: {type(exc).__name__} {exc}', step=path
            ) from exc
        raise _unavailable(path, cause) from cause

    async def _post(
        self, index: int, path: str, body: protocol.Json
    ) -> protocol.Json:
        url = self._endpoints[index] + path
        response = await self._client.post(url, json=body)
        if response.status_code != httpx.codes.OK:
            definite_failure = protocol.definite_failure(
                response.status_code, response.content
            )
            if definite_failure is not None:
                raise definite_failure
            raise errors.StoreOutcomeUnknown(
                f'status {response.status_code}: {response.text[:200]}',
                step=path,
            )
        try:
            answer = codec.from_json(response.content, object)
        except ValueError as exc:
            raise errors.StoreOutcomeUnknown(
                'the answer is no JSON', step=path
            ) from exc
        if not isinstance(answer, dict):
            raise errors.StoreOutcomeUnknown(
                'the answer is no JSON object', step=path
            )
        self._preferred = index
        return answer

    def _endpoint_order(self) -> tuple[int, ...]:
        """Return the endpoint indexes, the preferred one first."""
        count = len(self._endpoints)
        return tuple((self._preferred + i) % count for i in range(count))

    def _log_failure(self, index: int, path: str, exc: Exception) -> None:
        observability.emit(
            events.STORE_ENDPOINT_FAILED,
            endpoint=self._endpoints[index],
            path=path,
            reason=f'{type(exc).__name__} {exc}',
        )


@contextlib.contextmanager
def _convert_parse_errors(step: str) -> collections.abc.Iterator[None]:
    """Convert parsing errors to StoreOutcomeUnknown."""
    try:
        yield
    except (KeyError, ValueError, TypeError, AttributeError) as exc:
        raise errors.StoreOutcomeUnknown(
            f'malformed answer: {type(exc).__name__} {exc}', step=step
        ) from exc


async def _watch_batches(
    response: httpx.Response,
) -> collections.abc.AsyncGenerator[tuple[ports.WatchEvent, ...], None]:
    try:
        async for line in response.aiter_lines():
            if not line.strip():
                continue
            message = codec.from_json(line.encode(), dict)
            if 'result' not in message:
                raise errors.StoreUnavailable(
                    f'watch failed: {message}', step='store.watch'
                )
            batch = protocol.events(message['result'])
            if batch:
                yield batch
    except (
        httpx.HTTPError,
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
    ) as exc:
        raise _unavailable('store.watch', exc) from exc
    raise errors.StoreUnavailable('the watch ended', step='store.watch')


def _unavailable(
    step: str, cause: Exception | None
) -> errors.StoreUnavailable:
    reason = f'{type(cause).__name__} {cause}' if cause else 'no answer'
    return errors.StoreUnavailable(reason, step=step)
