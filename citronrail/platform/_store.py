"""Key-value store on top of the platform's metadata store."""

import base64
import collections.abc
import contextlib
import typing

import msgspec

from citronrail import errors
from citronrail.model import bounded
from citronrail.model import codec
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.platform import _http
from citronrail.platform import _json_lists
from citronrail.platform import _transport_metrics as metrics
from citronrail import ports

CALL_TIMEOUT_S = 1.0
# With the grace below the 3 s after which a machine counts as in touch again
# when its connections have gone silent.
WATCH_POLL_S = 2.0
WATCH_GRACE_S = 0.7  # added to the long-poll wait to get the timeout
PEER = 'store'
T = typing.TypeVar('T')
_Listed = typing.TypeVar('_Listed', bound=msgspec.Struct)
# The call may be accepted later: it timed out, came too early or too often, or
# the store is not available.
_RETRY_STATUSES = (408, 425, 429, 503)


class _Item(msgspec.Struct, frozen=True):
    key: bounded.Name
    value: str = ''
    rev: bounded.Id = 0
    lease: bounded.Id = 0
    removed: bool = False


class _Key(msgspec.Struct, frozen=True):
    """Item of which only the key can be read."""

    key: bounded.Name


class _RangeResponse(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...] = ()
    hasMore: bool = False  # noqa: N815 - name on the wire
    asOf: bounded.Id = 0  # noqa: N815 - name on the wire


class _WatchResponse(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...] = ()
    asOf: bounded.Id = 0  # noqa: N815 - name on the wire


class _TxnResponse(msgspec.Struct, frozen=True):
    rev: bounded.Id = 0


class _LeaseResponse(msgspec.Struct, frozen=True):
    # A key that is bound to lease 0 is never removed.
    lease: typing.Annotated[int, msgspec.Meta(ge=1, le=bounded.MAX_ID)]


class PlatformStore:
    """Implementation of :class:`citronrail.ports.KeyValueStore`.

    :param address: ``IP:PORT`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._client = _http.HttpClient(address, PEER)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str) -> ports.KeyValue | None:
        """Read one key; None if it is absent."""
        res = await self._call('GET', '/kv-key', query={'key': key})
        if res.status_code == 404:
            return None
        _check_status(res, 'get')
        return _key_value(_decode(res, _Item))

    async def list(
        self, prefix: str, keep: ports.ItemFilter | None = None
    ) -> ports.Listing:
        """Read all keys with a prefix, page by page.

        The revision is that of the first page, so that a watch that starts
        there misses no change.
        """
        items: list[ports.KeyValue] = []
        revision = 0
        after = ''
        while True:
            query: dict[str, str | int] = {'prefix': prefix}
            if after:
                query['after'] = after
            res = await self._call('GET', '/kv-range', query=query)
            _check_status(res, 'list')
            page = _decode_list(res, _RangeResponse, 'items')
            revision = revision or page.asOf
            found = map(_key_value, _decode_items(page.items))
            items += (item for item in found if keep is None or keep(item))
            if not page.hasMore:
                return ports.Listing(tuple(items), revision)
            after = _next_start(page.items, prefix, after)

    async def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Apply all writes atomically if all comparisons succeed.

        :raises citronrail.errors.LeaseLost: if a referenced lease has ended.
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
        _check_status(res, 'txn')
        return ports.TxnResult(True, _decode(res, _TxnResponse).rev)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        body = msgspec.json.encode({'ttlMs': round(ttl_s * 1000)})
        res = await self._call('POST', '/kv-lease', body=body)
        _check_status(res, 'lease')
        return _decode(res, _LeaseResponse).lease

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; False if it has expired."""
        res = await self._call('POST', f'/kv-keep/{lease_id}')
        if res.status_code == 404:
            return False
        _check_status(res, 'keep')
        return True

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        res = await self._call('DELETE', f'/kv-lease-end/{lease_id}')
        if res.status_code != 404:
            _check_status(res, 'lease-end')

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]]
    ]:
        """Receive changes starting at a revision.

        An empty tuple means that there was no change during a long poll, so
        that the known state is up to date.
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
                    'waitMs': round(WATCH_POLL_S * 1000),
                },
                timeout_s=WATCH_POLL_S + WATCH_GRACE_S,
            )
            if res.status_code == 410:
                raise errors.StoreCompacted(
                    'the revisions to watch were compacted',
                    step='store.watch',
                    peer=PEER,
                )
            _check_status(res, 'watch')
            response = _decode_list(res, _WatchResponse, 'events')
            if response.events and response.asOf <= after:
                raise errors.StoreOutcomeUnknown(
                    'the events of a watch are repeated',
                    step='store.watch',
                    peer=PEER,
                )
            after = max(after, response.asOf)
            yield tuple(
                _watch_event(item) for item in _decode_items(response.events)
            )

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
            return await self._client.call(
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


def _check_status(res: typing.Any, step: str) -> None:
    """Check that a call succeeded.

    :raises citronrail.errors.StoreRejected: if it had no effect.
    :raises citronrail.errors.StoreRefused: if it never will have one.
    :raises citronrail.errors.StoreOutcomeUnknown: if it may have had one.
    """
    if 200 <= res.status_code < 300:
        return
    text = f'status {res.status_code}: {res.text[:200]}'
    if res.status_code in _RETRY_STATUSES:
        raise errors.StoreRejected(text, step=f'store.{step}', peer=PEER)
    if 400 <= res.status_code < 500:
        raise errors.StoreRefused(text, step=f'store.{step}', peer=PEER)
    raise errors.StoreOutcomeUnknown(text, step=f'store.{step}', peer=PEER)


def _decode(res: typing.Any, kind: type[T]) -> T:
    try:
        return codec.from_json(res.content, kind)
    except errors.Undecodable as exc:
        raise _unreadable(exc) from exc


def _unreadable(exc: errors.Undecodable) -> errors.CitronrailError:
    return _http.unreadable(exc, errors.StoreOutcomeUnknown, PEER, PEER)


def _decode_list(res: typing.Any, kind: type[_Listed], field: str) -> _Listed:
    """Decode an answer with a list; its items are decoded one by one."""
    try:
        return _json_lists.decode(res.content, kind, field)
    except errors.Undecodable as exc:
        raise _unreadable(exc) from exc


def _decode_items(
    raws: collections.abc.Iterable[msgspec.Raw],
) -> collections.abc.Iterator[_Item]:
    """Decode items of a list; count, log and skip those that are malformed."""
    for raw in raws:
        try:
            yield codec.from_json(raw, _Item)
        except errors.Undecodable as exc:
            metrics.REFUSED.labels('store item').inc()
            observability.emit(
                events.DOCUMENT_UNREADABLE, key=bytes(raw)[:80], reason=exc
            )


def _next_start(raws: tuple[msgspec.Raw, ...], prefix: str, after: str) -> str:
    """Return the key after which the next page of a listing starts.

    :param raws: the items of a page, of which some may be malformed.
    :param prefix: prefix of the listed keys.
    :param after: the key after which that page started.
    :raises citronrail.errors.StoreOutcomeUnknown: if the page has no later
        key that can be read; to end there would hide all later items.
    """
    for raw in reversed(raws):
        try:
            key = codec.from_json(raw, _Key).key
        except errors.Undecodable:
            continue
        if key.startswith(prefix) and key > after:
            return key
    raise errors.StoreOutcomeUnknown(
        f'no next page of the listing after {after!r}',
        step='store.list',
        peer=PEER,
    )


def _decode_value(item: _Item) -> bytes:
    """Decode a base64 value; any other value is returned unchanged."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return item.value.encode()


def _key_value(item: _Item) -> ports.KeyValue:
    return ports.KeyValue(item.key, _decode_value(item), item.rev, item.lease)


def _watch_event(item: _Item) -> ports.WatchEvent:
    value = None if item.removed else _decode_value(item)
    return ports.WatchEvent(item.key, value, item.rev)
