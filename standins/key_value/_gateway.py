"""HTTP application that serves the store in the etcd v3 JSON protocol."""

import collections.abc
import dataclasses
import json
import typing

import quart
import quart_trio

from citronrail import errors
from standins.key_value import _gateway_codec as codec
from standins.key_value import _memory_store

Body = codec.Json
Handler = collections.abc.Callable[[Body], collections.abc.Awaitable[Body]]


class Gateway:
    """Handlers of the gateway's paths.

    :param store: store to serve.
    """

    def __init__(self, store: _memory_store.MemoryStore) -> None:
        self._store = store

    async def range(self, body: Body) -> Body:
        """Serve ``/v3/kv/range``."""
        key, is_prefix = codec.prefix_of(body)
        if is_prefix:
            listing = await self._store.list(key)
            items, revision = listing.items, listing.revision
        else:
            item = await self._store.get(key)
            items = (item,) if item is not None else ()
            revision = self._store.state.revision
        response: Body = {'header': codec.header(revision)}
        if items:
            response['kvs'] = [codec.key_value(item) for item in items]
            response['count'] = str(len(items))
        return response

    async def txn(self, body: Body) -> Body:
        """Serve ``/v3/kv/txn``."""
        result = await self._store.txn(
            codec.compares(body), codec.writes(body)
        )
        response: Body = {'header': codec.header(result.revision)}
        if result.succeeded:
            response['succeeded'] = True
        return response

    async def grant(self, body: Body) -> Body:
        """Serve ``/v3/lease/grant``."""
        ttl_s = int(body['TTL'])
        lease_id = await self._store.grant_lease(ttl_s)
        return {**self._header(), 'ID': str(lease_id), 'TTL': str(ttl_s)}

    async def keep_alive(self, body: Body) -> Body:
        """Serve ``/v3/lease/keepalive`` with a stream of one result."""
        lease_id = int(body['ID'])
        result: Body = {**self._header(), 'ID': str(lease_id)}
        if await self._store.keep_alive(lease_id):
            result['TTL'] = str(int(self._store.state.ttl_s(lease_id)))
        return {'result': result}

    async def revoke(self, body: Body) -> Body:
        """Serve ``/v3/lease/revoke``."""
        await self._store.revoke_lease(int(body['ID']))
        return self._header()

    async def watch(
        self, body: Body
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Serve ``/v3/watch`` with a stream of results, one per line."""
        request = body['create_request']
        prefix, _ = codec.prefix_of(request)
        revision = self._store.state.revision
        start = int(request.get('start_revision', revision + 1))
        try:
            async with self._store.watch(prefix, start) as changes:
                yield self._encode_result({'created': True})
                async for batch in changes:
                    events = [codec.event(change) for change in batch]
                    yield self._encode_result({'events': events})
        except errors.StoreCompacted:
            compacted = str(self._store.state.compacted_revision)
            yield self._encode_result(
                {'canceled': True, 'compact_revision': compacted}
            )
        except errors.StoreError as exc:
            yield json.dumps({'error': codec.error(exc)[0]}).encode() + b'\n'

    def _header(self) -> Body:
        return {'header': codec.header(self._store.state.revision)}

    def _encode_result(self, fields: Body) -> bytes:
        result = {**self._header(), **fields}
        return json.dumps({'result': result}).encode() + b'\n'


def make_app(store: _memory_store.MemoryStore) -> quart_trio.QuartTrio:
    """Return the application for a store.

    :param store: store to serve.
    :returns: the gateway's paths and the admin paths.
    """
    app = quart_trio.QuartTrio('standins.key_value')
    app.config['RESPONSE_TIMEOUT'] = None  # a watch may wait indefinitely
    gateway = Gateway(store)
    _add_gateway_routes(app, gateway)
    _add_admin_routes(app, store)
    return app


def _add_gateway_routes(app: quart_trio.QuartTrio, gateway: Gateway) -> None:
    paths: dict[str, Handler] = {
        '/v3/kv/range': gateway.range,
        '/v3/kv/txn': gateway.txn,
        '/v3/lease/grant': gateway.grant,
        '/v3/lease/keepalive': gateway.keep_alive,
        '/v3/lease/revoke': gateway.revoke,
    }
    for path, handler in paths.items():
        app.add_url_rule(path, path, _make_view(handler), methods=['POST'])

    @app.post('/v3/watch')
    async def watch() -> typing.Any:
        body = await quart.request.get_json(force=True)
        return quart.Response(
            gateway.watch(body), content_type='application/json'
        )


def _make_view(handler: Handler) -> typing.Any:
    async def view() -> typing.Any:
        body = await quart.request.get_json(force=True)
        try:
            return await handler(body), 200
        except (errors.CitronrailError, ValueError, KeyError) as exc:
            return codec.error(exc)

    return view


def _add_admin_routes(
    app: quart_trio.QuartTrio, store: _memory_store.MemoryStore
) -> None:
    @app.get('/admin/counts')
    async def counts() -> typing.Any:
        return dict(store.calls)

    @app.get('/admin/faults')
    async def faults() -> typing.Any:
        return dataclasses.asdict(store.faults)

    @app.post('/admin/faults')
    async def set_faults() -> typing.Any:
        try:
            store.set_faults(**await quart.request.get_json(force=True))
        except TypeError as exc:
            return {'error': str(exc)}, 400
        return dataclasses.asdict(store.faults)

    @app.post('/admin/lapse-leases')
    async def lapse_leases() -> typing.Any:
        store.lapse_leases()
        return {}

    @app.post('/admin/drop-watches')
    async def drop_watches() -> typing.Any:
        store.drop_watches()
        return {}

    @app.post('/admin/compact')
    async def compact() -> typing.Any:
        store.state.compact(store.state.revision)
        return {'revision': store.state.revision}
