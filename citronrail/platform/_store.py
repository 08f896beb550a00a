"""The platform's metadata store as a key-value store."""

import base64
import collections.abc
import contextlib
import typing

import msgspec

from citronrail import errors
from citronrail.platform import _http
from citronrail import ports

CALL_TIMEOUT_S = 1.0
WATCH_WAIT_S = 2.5
WATCH_GRACE_S = 0.7  # added to the wait before a watch counts as silent
PEER = 'store'
_BUSY = (429, 503)


class _Item(msgspec.Struct, frozen=True):
    key: str
    value: str = ''
    rev: int = 0
    lease: int = 0
    removed: bool = False


class _RangeAnswer(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...] = ()
    hasMore: bool = False  # noqa: N815 - name on the wire
    asOf: int = 0  # noqa: N815 - name on the wire


class _WatchAnswer(msgspec.Struct, frozen=True):
    events: tuple[_Item, ...] = ()
    asOf: int = 0  # noqa: N815 - name on the wire


class _TxnAnswer(msgspec.Struct, frozen=True):
    rev: int = 0


class _LeaseAnswer(msgspec.Struct, frozen=True):
    lease: int = 0
    ttlMs: int = 0  # noqa: N815 - name on the wire


class PlatformStore:
    """A :class:`citronrail.ports.KeyValueStore` of the platform.

    :param address: ``IP:PORT`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._calls = _http.HttpCalls(address, PEER)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._calls.aclose()

    async def get(self, key: str) -> ports.KeyValue | None:
        """Read one key; None if it is absent."""
        res = await self._call('GET', '/kv-key', query={'key': key})
        if res.status_code == 404:
            return None
        _require(res, 'get')
        return _key_value(_http.decode(res, _Item, PEER))

    async def list(self, prefix: str) -> ports.Listing:
        """Read all keys that start with ``prefix``, page by page.

        The revision is that of the first page, so that a watch from there
        misses nothing.
        """
        items: list[ports.KeyValue] = []
        revision = 0
        after = ''
        while True:
            query: dict[str, str | int] = {'prefix': prefix}
            if after:
                query['after'] = after
            res = await self._call('GET', '/kv-range', query=query)
            _require(res, 'list')
            page = _http.decode(res, _RangeAnswer, PEER)
            revision = revision or page.asOf
            found = [_decode_item(raw) for raw in page.items]
            items += [_key_value(item) for item in found]
            if not page.hasMore or not found:
                return ports.Listing(tuple(items), revision)
            after = found[-1].key

    async def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Carry out all writes if all conditions hold, else none.

        :raises citronrail.errors.LeaseLost: if a lease of it has ended.
        """
        body = msgspec.json.encode(
            {
                'expectedRev': [
                    {'key': cmp.key, 'rev': cmp.revision} for cmp in compares
                ],
                'puts': [
                    {
                        'key': put.key,
                        'value': base64.b64encode(put.value).decode(),
                        'lease': put.lease_id,
                    }
                    for put in writes
                    if isinstance(put, ports.Put)
                ],
                'deletes': [
                    item.key
                    for item in writes
                    if isinstance(item, ports.Delete)
                ],
            }
        )
        res = await self._call('POST', '/kv-txn', body=body)
        if res.status_code == 412:
            return ports.TxnResult(False, 0)
        if res.status_code == 404:
            raise errors.LeaseLost(
                'the lease has ended', step='store.txn', peer=PEER
            )
        _require(res, 'txn')
        return ports.TxnResult(True, _http.decode(res, _TxnAnswer, PEER).rev)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        body = msgspec.json.encode({'ttlMs': round(ttl_s * 1000)})
        res = await self._call('POST', '/kv-lease', body=body)
        _require(res, 'lease')
        return _http.decode(res, _LeaseAnswer, PEER).lease

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; False if it has lapsed."""
        res = await self._call('POST', f'/kv-keep/{lease_id}')
        if res.status_code == 404:
            return False
        _require(res, 'keep')
        return True

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove the keys attached to it."""
        res = await self._call('DELETE', f'/kv-lease-end/{lease_id}')
        if res.status_code != 404:
            _require(res, 'lease-end')

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]
    ]:
        """Receive the changes from a revision on.

        An empty tuple is received when nothing changed for a while, as a
        sign that what is known is fresh.
        """
        yield self._poll(prefix, start_revision - 1)

    async def _poll(
        self, prefix: str, after: int
    ) -> collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]:
        while True:
            res = await self._call(
                'GET',
                '/kv-watch',
                query={
                    'prefix': prefix,
                    'after': after,
                    'waitMs': round(WATCH_WAIT_S * 1000),
                },
                timeout_s=WATCH_WAIT_S + WATCH_GRACE_S,
            )
            if res.status_code == 410:
                raise errors.StoreCompacted(
                    'the history is gone', step='store.watch', peer=PEER
                )
            _require(res, 'watch')
            answer = _http.decode(res, _WatchAnswer, PEER)
            after = max(after, answer.asOf)
            yield tuple(_watch_event(item) for item in answer.events)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        query: dict[str, str | int] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> typing.Any:
        try:
            return await self._calls.call(
                method, path, timeout_s, body=body, query=query
            )
        except _http.CallNotSent as exc:
            raise errors.StoreUnavailable(
                exc.message, step=exc.step, peer=PEER
            ) from exc
        except _http.CallUnanswered as exc:
            raise errors.StoreOutcomeUnknown(
                exc.message, step=exc.step, peer=PEER
            ) from exc


def _require(res: typing.Any, step: str) -> None:
    """Make sure that a call was carried out.

    :raises citronrail.errors.StoreUnavailable: if it surely was not.
    :raises citronrail.errors.StoreOutcomeUnknown: if that isn't known.
    """
    if 200 <= res.status_code < 300:
        return
    text = f'status {res.status_code}: {res.text[:200]}'
    if res.status_code in _BUSY or 400 <= res.status_code < 500:
        raise errors.StoreUnavailable(text, step=f'store.{step}', peer=PEER)
    raise errors.StoreOutcomeUnknown(text, step=f'store.{step}', peer=PEER)


def _decode_item(raw: msgspec.Raw) -> _Item:
    return msgspec.json.decode(raw, type=_Item)


def _bytes_of(item: _Item) -> bytes:
    """Decode a value; one that isn't base64 is handed on as it is."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return item.value.encode()


def _key_value(item: _Item) -> ports.KeyValue:
    return ports.KeyValue(item.key, _bytes_of(item), item.rev, item.lease)


def _watch_event(item: _Item) -> ports.WatchEvent:
    value = None if item.removed else _bytes_of(item)
    return ports.WatchEvent(item.key, value, item.rev)
