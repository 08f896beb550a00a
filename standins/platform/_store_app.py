"""HTTP application of the store's public protocol, on a memory store."""

import base64
import dataclasses
import typing

import msgspec
import quart
import quart_trio
import trio

from citronrail import errors
from citronrail import ports
from standins import key_value

MAX_PAGE_ITEMS = 500


@dataclasses.dataclass
class StoreFaults:
    """Fault switches: error status, no response, lost responses."""

    status: int = 0
    silent: bool = False
    lose_answers: int = 0
    compacted: bool = False


def store_app(
    store: key_value.MemoryStore, faults: StoreFaults
) -> quart_trio.QuartTrio:
    """Create the store's application.

    :param store: store to serve.
    :param faults: fault switches, which may be changed at any time.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)

    @app.before_request
    async def apply_faults() -> quart.Response | None:
        if faults.silent:
            await trio.sleep(3600)
        if faults.status:
            return quart.Response('', faults.status)
        return None

    @app.after_request
    async def drop_response(res: quart.Response) -> quart.Response:
        if faults.lose_answers and quart.request.method == 'POST':
            faults.lose_answers -= 1
            await trio.sleep(3600)
        return res

    @app.get('/kv-key')
    async def get() -> quart.Response:
        item = await store.get(quart.request.args['key'])
        if item is None:
            return quart.Response('', 404)
        return _json(_item(item) | {'asOf': store.state.revision})

    @app.get('/kv-range')
    async def list_range() -> quart.Response:
        listing = await store.list(quart.request.args['prefix'])
        after = quart.request.args.get('after', '')
        remaining = sorted(
            (item for item in listing.items if item.key > after),
            key=lambda item: item.key,
        )
        return _json(
            {
                'items': [_item(item) for item in remaining[:MAX_PAGE_ITEMS]],
                'hasMore': len(remaining) > MAX_PAGE_ITEMS,
                'asOf': listing.revision,
            }
        )

    @app.get('/kv-watch')
    async def watch() -> quart.Response:
        args = quart.request.args
        if faults.compacted:
            return quart.Response('', 410)
        after = int(args['after'])
        events: tuple[ports.WatchEvent, ...] = ()
        with trio.move_on_after(int(args['waitMs']) / 1000):
            async with store.watch(args['prefix'], after + 1) as changes:
                async for batch in changes:
                    events = batch
                    break
        newest = max((event.revision for event in events), default=after)
        return _json(
            {'events': [_event(event) for event in events], 'asOf': newest}
        )

    @app.post('/kv-txn')
    async def txn() -> quart.Response:
        body = msgspec.json.decode(await quart.request.get_data())
        compares = [
            ports.Compare(row['key'], row['rev'])
            for row in body['expectedRev']
        ]
        writes: list[ports.Put | ports.Delete] = [
            ports.Put(row['key'], base64.b64decode(row['value']), row['lease'])
            for row in body['puts']
        ]
        writes += [ports.Delete(key) for key in body['deletes']]
        if len(compares) + len(writes) > 32:
            return quart.Response('too many entries', 400)
        try:
            result = await store.txn(compares, writes)
        except errors.LeaseLost:
            return quart.Response('', 404)
        if not result.succeeded:
            return _json({'items': []}, 412)
        return _json({'rev': result.revision})

    @app.post('/kv-lease')
    async def grant() -> quart.Response:
        body = msgspec.json.decode(await quart.request.get_data())
        lease = await store.grant_lease(body['ttlMs'] / 1000)
        return _json({'lease': lease, 'ttlMs': body['ttlMs']})

    @app.post('/kv-keep/<int:lease>')
    async def keep(lease: int) -> quart.Response:
        if not await store.keep_alive(lease):
            return quart.Response('', 404)
        return _json({'ttlMs': 1000})

    @app.delete('/kv-lease-end/<int:lease>')
    async def end(lease: int) -> quart.Response:
        await store.revoke_lease(lease)
        return _json({})

    return app


def _json(body: typing.Any, status: int = 200) -> quart.Response:
    return quart.Response(
        msgspec.json.encode(body), status, content_type='application/json'
    )


def _item(item: ports.KeyValue) -> dict[str, typing.Any]:
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'rev': item.revision,
        'created': item.revision,
        'lease': item.lease_id,
    }


def _event(event: ports.WatchEvent) -> dict[str, typing.Any]:
    if event.value is None:
        return {'key': event.key, 'rev': event.revision, 'removed': True}
    return {
        'key': event.key,
        'value': base64.b64encode(event.value).decode(),
        'rev': event.revision,
        'created': event.revision,
        'lease': 0,
    }
