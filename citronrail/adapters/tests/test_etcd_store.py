"""Tests the store port in memory and over the HTTP protocol."""

import contextlib
import dataclasses
import json
import typing

import httpx
import pytest
import trio

from citronrail import adapters
from citronrail.adapters import _etcd_store
from citronrail import errors
from citronrail import ports
from standins import key_value


DEEP = b'{"x":' + b'[' * 100_000 + b']' * 100_000 + b'}'


@dataclasses.dataclass
class Served:
    """A store client and the state of the store that it uses."""

    client: typing.Any
    memory: key_value.MemoryStore
    url: str = ''


@contextlib.asynccontextmanager
async def served_over_http(deadline_s=1.0):
    """Serve a store on a loopback port and connect a client."""
    memory = key_value.MemoryStore()
    sock = key_value.listen('127.0.0.1', 0)
    url = f'http://127.0.0.1:{sock.getsockname()[1]}'
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(key_value.serve, memory, sock, stop.wait)
        client = adapters.EtcdStore([url], deadline_s)
        yield Served(client, memory, url)
        await client.aclose()
        stop.set()
        nursery.cancel_scope.deadline = trio.current_time() + 2


@pytest.fixture(params=['memory', 'http'])
async def served(request):
    if request.param == 'memory':
        memory = key_value.MemoryStore()
        yield Served(memory, memory)
        return
    async with served_over_http() as over_http:
        yield over_http


async def test_compare_and_swap(served):
    """Guards against a lost update between two writers."""
    store = served.client
    first = await store.txn([ports.Compare('/k', 0)], [ports.Put('/k', b'a')])
    conflicting = await store.txn(
        [ports.Compare('/k', 0)], [ports.Put('/k', b'b')]
    )
    assert first.succeeded and not conflicting.succeeded
    item = await store.get('/k')
    assert item == ports.KeyValue('/k', b'a', first.revision)
    result = await store.txn(
        [ports.Compare('/k', item.revision)], [ports.Delete('/k')]
    )
    assert result.succeeded and await store.get('/k') is None
    assert (await store.list('/')).revision == result.revision


async def test_lists_only_the_prefix(served):
    """Guards against listing keys that do not have the prefix."""
    store = served.client
    names = ['/a', '/a/1', '/a/\xff', '/b', '/a0']
    await store.txn([], [ports.Put(name, b'\x00\xff') for name in names])
    listing = await store.list('/a/')
    assert [item.key for item in listing.items] == ['/a/1', '/a/\xff']
    assert {item.value for item in listing.items} == {b'\x00\xff'}


async def test_leases(served):
    """Guards against keys that outlive a lease, and unexpired leases."""
    store = served.client
    lease_id = await store.grant_lease(5.0)
    await store.txn([], [ports.Put('/k', b'v', lease_id)])
    assert (await store.get('/k')).lease_id == lease_id
    assert await store.keep_alive(lease_id)
    served.memory.lapse_leases()
    assert await store.get('/k') is None
    assert not await store.keep_alive(lease_id)
    await store.revoke_lease(lease_id)
    with pytest.raises(errors.LeaseLost):
        await store.txn([], [ports.Put('/k', b'v', lease_id)])


async def test_watch_has_every_change_in_order(served):
    """Guards against changes missed before or after a watch begins."""
    store = served.client
    start = (await store.txn([], [ports.Put('/w/1', b'1')])).revision
    await store.txn([], [ports.Put('/other', b'x')])
    seen = []
    with trio.fail_after(10):
        async with store.watch('/w/', start) as changes:
            async for batch in changes:
                seen.extend(batch)
                if len(seen) == 1:
                    await store.txn([], [ports.Delete('/w/1')])
                if len(seen) == 2:
                    break
    assert [(event.key, event.value) for event in seen] == [
        ('/w/1', b'1'),
        ('/w/1', None),
    ]
    assert served.memory.calls['watch'] == 1


async def test_watch_ends_with_an_error(served):
    """Guards against waiting for ever on a watch that has ended."""
    store = served.client
    await store.txn([], [ports.Put('/w', b'1')])
    with pytest.raises(errors.StoreUnavailable), trio.fail_after(10):
        async with store.watch('/w', 1) as changes:
            async for _ in changes:
                served.memory.drop_watches()
    served.memory.state.compact(served.memory.state.revision)
    with pytest.raises(errors.StoreCompacted), trio.fail_after(10):
        async with store.watch('/w', 1) as changes:
            async for _ in changes:
                pass


async def test_value_limit(served):
    """Guards against sending a value that etcd would reject."""
    store = served.client
    full = b'x' * key_value.MAX_VALUE_BYTES
    assert (await store.txn([], [ports.Put('/k', full)])).succeeded
    with pytest.raises(errors.StoreValueTooLarge):
        await store.txn([], [ports.Put('/k', full + b'x')])
    assert len((await store.get('/k')).value) == len(full)


async def test_lost_answer_is_unknown(served):
    """Guards against reporting a write that took effect as not done."""
    store = served.client
    served.memory.set_faults(lose_answers=1)
    with pytest.raises(errors.StoreOutcomeUnknown):
        await store.txn([], [ports.Put('/k', b'v')])
    assert (await store.get('/k')).value == b'v'


async def test_stale_read_shows_an_older_revision(served):
    """Guards the revision by which followers detect a stale read."""
    store = served.client
    await store.txn([], [ports.Put('/k', b'1')])
    new = await store.txn([], [ports.Put('/k', b'2')])
    served.memory.set_faults(stale_by=1)
    listing = await store.list('/k')
    assert listing.items[0].value == b'1'
    assert listing.revision == new.revision - 1


async def test_refused_connection_had_no_effect():
    """Guards `not run`: it is reported only for a call that was not sent."""
    sock = key_value.listen('127.0.0.1', 0)
    port = sock.getsockname()[1]
    sock.close()
    store = adapters.EtcdStore([f'http://127.0.0.1:{port}'], 1.0)
    with pytest.raises(errors.StoreUnavailable):
        await store.txn([], [ports.Put('/k', b'v')])
    with pytest.raises(errors.StoreUnavailable):
        async with store.watch('/k', 1):
            pass
    await store.aclose()


async def test_silent_store_is_unknown_for_writes():
    """Guards against waiting for ever, and against a false `not run`."""
    async with served_over_http(deadline_s=0.3) as served:
        served.memory.set_faults(hang=True)
        with pytest.raises(errors.StoreOutcomeUnknown):
            await served.client.txn([], [ports.Put('/k', b'v')])
        with pytest.raises(errors.StoreUnavailable):
            await served.client.get('/k')
        served.memory.set_faults(hang=False)


async def test_next_endpoint_is_tried():
    """Guards against an outage when one of several endpoints is down."""
    async with served_over_http() as served:
        sock = key_value.listen('127.0.0.1', 0)
        dead = f'http://127.0.0.1:{sock.getsockname()[1]}'
        sock.close()
        store = adapters.EtcdStore([dead, served.url], 1.0)
        assert (await store.txn([], [ports.Put('/k', b'v')])).succeeded
        assert (await store.get('/k')).value == b'v'
        async with store.watch('/k', 1) as changes:
            assert (await anext(changes))[0].value == b'v'
        await store.aclose()
    assert served.memory.calls['txn'] == 1


@pytest.mark.parametrize(
    'status, body, write_error',
    [
        (200, b'no json', errors.StoreOutcomeUnknown),
        (200, b'[]', errors.StoreOutcomeUnknown),
        (200, b'{}', errors.StoreOutcomeUnknown),
        (200, DEEP, errors.StoreOutcomeUnknown),
        (503, DEEP, errors.StoreOutcomeUnknown),
        (503, b'{"code": 14}', errors.StoreOutcomeUnknown),
        (503, b'{"code": 1e999}', errors.StoreOutcomeUnknown),
        (500, b'', errors.StoreOutcomeUnknown),
        (400, b'{"code": 3, "message": "bad"}', errors.StoreUnavailable),
    ],
)
async def test_malformed_answers(status, body, write_error):
    """Guards against a crash or a wrong outcome on a malformed response."""
    store = adapters.EtcdStore(['http://store'], 1.0)
    store._client = httpx.AsyncClient(
        transport=httpx.MockTransport(
            lambda request: httpx.Response(status, content=body)
        )
    )
    with pytest.raises(write_error):
        await store.txn([], [ports.Put('/k', b'v')])
    with pytest.raises(errors.StoreError):
        await store.list('/k')


@pytest.mark.parametrize(
    'line',
    [
        '{}',
        '[]',
        'x',
        '{"result": {"events": 1}}',
        '{"result": {"events": [7]}}',
        '{"result": {"events": ["x"]}}',
        '{"result": 7}',
        DEEP.decode(),
    ],
    ids=lambda line: line[:40],
)
async def test_malformed_watch_lines(line):
    """Guards a follower's task against a crash on a malformed watch line."""
    response = httpx.Response(200, text=line + '\n')
    with pytest.raises(errors.StoreUnavailable):
        async for _ in _etcd_store._watch_batches(response):
            pass


async def test_admin_path_sets_faults_and_counts():
    """Guards the switches that drills use on the store process."""
    async with served_over_http() as served:
        async with httpx.AsyncClient(trust_env=False) as admin:
            url = f'{served.url}/admin'
            answer = await admin.post(
                f'{url}/faults', content=json.dumps({'outage': True})
            )
            assert answer.json()['outage'] is True
            with pytest.raises(errors.StoreUnavailable):
                await served.client.get('/k')
            bad = await admin.post(f'{url}/faults', json={'nonsense': 1})
            assert bad.status_code == 400
            counts = (await admin.get(f'{url}/counts')).json()
            assert counts == {'get': 1}


async def test_abandoned_write_takes_effect_later(served):
    """Guards the stand-in: a timed-out write may still take effect."""
    served.memory.set_faults(hang=True)
    with trio.move_on_after(0.2):
        await served.client.txn([], [ports.Put('/k', b'v')])
    served.memory.set_faults(hang=False)
    await trio.sleep(0.2)
    assert (await served.client.get('/k')).value == b'v'
