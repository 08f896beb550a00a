"""Guards the platform's interfaces against single odd items.

Another writer may leave one item that is nested very deeply or holds numbers
out of range among good ones.
"""

import httpx
import msgspec
import pytest
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from citronrail import errors
from citronrail.model import codec
from citronrail.model import messages
from citronrail.platform import _announcement_app
from citronrail.platform import _operator_documents
from citronrail.platform import _settings
from citronrail.platform import _store
from citronrail.platform import _wire_jobs
from citronrail.platform import _worker
from citronrail.platform.tests import test_adapter
from citronrail import ports

DEEP = b'[' * 100_000 + b']' * 100_000
LIFE = messages.WorkerLife('w', 1, 'p', 'dc', 'ready', 1, 1, 0)
HEARTBEAT = {
    'service': 'pool',
    'addr': '127.0.0.1:1',
    'zone': 'dc',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldLeftMs': 0,
    'seq': 1,
    'capacity': {'cpu': 4000, 'memMb': 4096, 'gpu': 0},
    'labels': ['a'],
    'born': 5,
}


def _with_deep_field(document: dict) -> bytes:
    return msgspec.json.encode(document)[:-1] + b',"odd":' + DEEP + b'}'


class _Agent:
    def __init__(self) -> None:
        self.lives = []

    def announce(self, life) -> bool:
        self.lives.append(life)
        return True


async def _announce(agent, body: bytes, worker_id='w') -> int:
    transport = httpx.ASGITransport(
        _announcement_app.announcement_app(agent, 'pool')
    )
    async with httpx.AsyncClient(
        transport=transport, base_url='http://a'
    ) as client:
        path = f'/Instances.Heartbeat/{worker_id}'
        return (await client.post(path, content=body)).status_code


async def test_sound_announcement_is_accepted():
    """Guards the tests below against a body that is refused anyhow."""
    agent = _Agent()
    body = msgspec.json.encode(HEARTBEAT)
    assert await _announce(agent, body) == 200
    assert [life.worker_id for life in agent.lives] == ['w']


async def test_deeply_nested_announcement_is_refused():
    """Guards against an announcement that ends in an unhandled error."""
    agent = _Agent()
    assert await _announce(agent, _with_deep_field(HEARTBEAT)) == 400
    assert agent.lives == []


@pytest.mark.parametrize(
    'odd',
    [
        {'capacity': {'cpu': 2**64, 'memMb': 1}},
        {'capacity': {'cpu': -5, 'memMb': 1}},
        {'capacity': {'cpu': 2**62, 'memMb': 1}},
        {'capacity': {'cpu': 1, 'memMb': 2**63}},
        {'capacity': {'cpu': 1, 'memMb': 1, 'gpu': -1}},
        {'born': 2**64},
        {'born': -5},
        {'born': 2**60},
        {'seq': 2**62},
        {'seq': -1},
        {'drainRemainingMs': 1e308},
        {'drainRemainingMs': -1.0},
        {'service': 's' * 100_000},
        {'labels': ['x'] * 10_000},
    ],
    ids=str,
)
async def test_announcement_out_of_range_is_refused(odd):
    """Guards against a life that no report can carry or that hides later ones.

    A time of birth in the far future makes all later announcements old.
    """
    agent = _Agent()
    body = msgspec.json.encode(HEARTBEAT | odd)
    assert await _announce(agent, body) == 400
    assert agent.lives == []


@pytest.mark.parametrize('worker_id', ['%E2%82%AC', 'a%0D%0Ab', 'w' * 400])
async def test_worker_id_that_no_header_can_carry_is_refused(worker_id):
    """Guards against a call to the worker that ends its agent."""
    agent = _Agent()
    body = msgspec.json.encode(HEARTBEAT)
    assert await _announce(agent, body, worker_id) == 400
    assert agent.lives == []


def _item(key: str, revision: int = 4) -> bytes:
    return msgspec.json.encode({'key': key, 'value': 'eA==', 'rev': revision})


ODD_ITEMS = [
    b'{"key":7}',
    b'{"key":"k/2","rev":18446744073709551616}',
    b'{"key":"k/2","rev":-1}',
    b'{"key":"k/2","value":"\xff"}',
    b'{"key":"k/2","rev":{}}',
    b'{"key":"k/2","odd":' + DEEP + b'}',
    b'[]',
]
ODD_IDS = ['key', 'revision', 'negative', 'bytes', 'type', 'deep', 'list']


def _page(items: list[bytes], **fields) -> bytes:
    rest = msgspec.json.encode({'asOf': 9} | fields)[1:]
    return b'{"items":[' + b','.join(items) + b'],' + rest


def _paged_app(pages: dict[str, bytes]) -> applications.Starlette:
    """Create an application that answers with a page by its start."""

    async def answer(req: requests.Request) -> responses.Response:
        return responses.Response(pages[req.query_params.get('after', '')])

    return applications.Starlette(routes=[routing.Route('/kv-range', answer)])


async def _keys(nursery, pages: dict[str, bytes]) -> list[str]:
    address = await test_adapter._serve(nursery, _paged_app(pages))
    store = _store.PlatformStore(address)
    try:
        with trio.fail_after(5):
            return [item.key for item in (await store.list('k/')).items]
    finally:
        await store.aclose()


@pytest.mark.parametrize('odd', ODD_ITEMS, ids=ODD_IDS)
async def test_odd_item_of_a_listing_hides_no_other_item(nursery, odd):
    """Guards against a listing that fails because of one item."""
    pages = {'': _page([_item('k/1'), odd, _item('k/3')])}
    assert await _keys(nursery, pages) == ['k/1', 'k/3']


async def test_listing_continues_after_a_page_of_odd_items(nursery):
    """Guards against a page of odd items that hides all later keys."""
    pages = {
        '': _page([b'{"key":"k/1","rev":"x"}'], hasMore=True),
        'k/1': _page([_item('k/2')]),
    }
    assert await _keys(nursery, pages) == ['k/2']


async def test_listing_starts_after_the_last_key_of_a_page(nursery):
    """Guards against endless pages if the last item of a page is odd."""
    pages = {
        '': _page([_item('k/1'), b'{"key":"k/2","rev":-1}'], hasMore=True),
        'k/2': _page([_item('k/3'), b'{"key":"z","rev":-1}'], hasMore=True),
        'k/3': _page([_item('k/4')]),
    }
    assert await _keys(nursery, pages) == ['k/1', 'k/3', 'k/4']


@pytest.mark.parametrize(
    'items', [[], [b'{"key":7}'], [DEEP]], ids=['empty', 'key', 'deep']
)
async def test_listing_without_a_next_page_fails(nursery, items):
    """Guards against a listing that ends early without an error."""
    with pytest.raises(errors.StoreError):
        await _keys(nursery, {'': _page(items, hasMore=True)})


async def test_listing_that_repeats_a_page_fails(nursery):
    """Guards against a listing that never ends."""
    page = _page([_item('k/1')], hasMore=True)
    with pytest.raises(errors.StoreError):
        await _keys(nursery, {'': page, 'k/1': page})


@pytest.mark.parametrize('odd', ODD_ITEMS, ids=ODD_IDS)
async def test_odd_event_of_a_watch_hides_no_other_event(nursery, odd):
    """Guards against a follower that fails at the same revision for ever."""
    body = _page([_item('k/1'), odd, _item('k/3')])
    body = body.replace(b'"items"', b'"events"', 1)
    app = test_adapter._fixed_app(body)
    store = _store.PlatformStore(await test_adapter._serve(nursery, app))
    async with store.watch('k/', 1) as changes:
        async for batch in changes:
            assert [event.key for event in batch] == ['k/1', 'k/3']
            break
    await store.aclose()


async def test_watch_that_does_not_advance_fails(nursery):
    """Guards against calls without a pause if the revision is odd."""
    body = b'{"events":[' + _item('k/1') + b']}'
    app = test_adapter._fixed_app(body)
    store = _store.PlatformStore(await test_adapter._serve(nursery, app))
    with pytest.raises(errors.StoreError), trio.fail_after(5):
        async with store.watch('k/', 1) as changes:
            async for _ in changes:
                pass
    await store.aclose()


async def test_deeply_nested_answers_are_errors_of_the_call(nursery):
    """Guards against an answer that ends an agent or an entry."""
    app = test_adapter._fixed_app(b'{"x":' + DEEP + b'}')
    address = await test_adapter._serve(nursery, app)
    store = _store.PlatformStore(address)
    for call in (
        lambda: store.get('k'),
        lambda: store.list('k'),
        lambda: store.txn([], [ports.Put('k', b'')]),
        lambda: store.grant_lease(1.0),
    ):
        with pytest.raises(errors.StoreError):
            await call()
    await store.aclose()
    client = _worker.PlatformWorker(address)
    with pytest.raises(errors.WorkerOutcomeUnknown):
        await client.list_runs(LIFE, ports.LeaseOrder(1, 0))
    await client.aclose()


async def test_deeply_nested_refusal_is_a_refusal(nursery):
    """Guards against a worker's refusal that ends the agent."""

    async def refuse(_: requests.Request) -> responses.Response:
        return responses.Response(b'{"x":' + DEEP + b'}', 409)

    app = applications.Starlette(
        routes=[routing.Route('/{path:path}', refuse, methods=['POST'])]
    )
    client = _worker.PlatformWorker(await test_adapter._serve(nursery, app))
    with pytest.raises(errors.WorkerRefused):
        await client.stop(LIFE, messages.TaskRun('t', 1), 1)
    await client.aclose()


@pytest.mark.parametrize(
    'odd',
    [
        {'clockMs': 2**64},
        {'clockMs': -1},
        {'born': 2**70},
        {'running': [['t', 2**64, '', 50]]},
        {'running': [['t', 1, '', 1e300]]},
        {'running': [['t', 1, '', 50, 1e308]]},
        {'ended': [[2**64, 't', 1, 'done', '']]},
        {'ended': [[-1, 't', 1, 'done', '']]},
        {'ended': [[1, 't' * 100_000, 1, 'done', '']]},
    ],
    ids=lambda odd: str(odd)[:40],
)
async def test_worker_list_out_of_range_is_an_unknown_outcome(nursery, odd):
    """Guards against a list that the agent can't encode for its report.

    A list isn't read in part: a run that is missing from it counts as lost.
    """
    body = msgspec.json.encode({'clockMs': 1, 'born': 1} | odd)
    app = test_adapter._fixed_app(body)
    client = _worker.PlatformWorker(await test_adapter._serve(nursery, app))
    with pytest.raises(errors.WorkerOutcomeUnknown):
        found = await client.list_runs(LIFE, ports.LeaseOrder(1, 0))
        codec.encode(found)
    await client.aclose()


async def test_long_checkpoint_hides_no_runs(nursery):
    """Guards against a task that keeps its worker from all other work (LOST).

    The whole list was refused for a checkpoint of over 8,192 characters, for
    which the pages give no limit, on each worker that started the task.
    """
    body = msgspec.json.encode(
        {
            'clockMs': 1,
            'running': [['t', 1, 'x' * 8193, 50], ['u', 1, 'x' * 8192, 50]],
            'ended': [[1, 'v', 1, 'done', 'x' * 100_000]],
        }
    )
    app = test_adapter._fixed_app(body)
    client = _worker.PlatformWorker(await test_adapter._serve(nursery, app))
    found = await client.list_runs(LIFE, ports.LeaseOrder(1, 0))
    codec.encode(found)
    lengths = [len(row.checkpoint) for row in found.running]
    assert lengths == [0, 8192]
    assert [row.checkpoint for row in found.ended] == ['']
    await client.aclose()


async def test_figures_of_a_run_are_limited(nursery):
    """Guards against estimates from a progress or load that can't be."""
    rows = [['t', 1, '', -1, -7.0], ['t', 2, '', 101]]
    body = msgspec.json.encode({'clockMs': 1, 'running': rows})
    app = test_adapter._fixed_app(body)
    client = _worker.PlatformWorker(await test_adapter._serve(nursery, app))
    found = await client.list_runs(LIFE, ports.LeaseOrder(1, 0))
    assert [(row.percent, row.load) for row in found.running] == [
        (0, 0.0),
        (100, 0.0),
    ]
    await client.aclose()


@pytest.mark.parametrize(
    'answer',
    [{'lease': 2**64}, {'lease': -1}, {'lease': 0}, {}],
    ids=str,
)
async def test_lease_out_of_range_is_an_error_of_the_call(nursery, answer):
    """Guards against writes that are bound to no lease or an invalid one."""
    app = test_adapter._fixed_app(msgspec.json.encode(answer))
    store = _store.PlatformStore(await test_adapter._serve(nursery, app))
    with pytest.raises(errors.StoreError):
        await store.grant_lease(1.0)
    await store.aclose()


@pytest.mark.parametrize(
    'body',
    [
        _with_deep_field({'spec': '', 'steps': [{}]}),
        b'{"spec":"","steps":' + DEEP + b'}',
        b'{"spec":"","steps":[{"after":[%d]}]}' % 10**400,
        b'{"spec":"\\ud800","steps":[{}]}',
    ],
    ids=['extra field', 'steps', 'huge number', 'surrogate'],
)
def test_odd_job_is_refused(body):
    """Guards against a submission that ends in an unhandled error."""
    with pytest.raises(ValueError):
        _wire_jobs.decode_job(body)


ROUTE = {'name': 'q', 'host': 'h', 'prefix': '/', 'service': 's'}


@pytest.mark.parametrize(
    'odd',
    [
        {'priority': 2**70},
        {'maxAttempts': -1},
        {'stretch': 'nan'},
        {'stretch': 1e308},
        {'targetCompletionMs': 'inf'},
        {'timeoutMs': -1},
    ],
    ids=str,
)
def test_odd_route_hides_no_other_route(odd):
    """Guards against entries that stop following the operators' settings."""
    odd_route = ROUTE | {'name': 'odd'} | odd
    document = {'version': 1, 'routes': [ROUTE, odd_route], 'services': [7]}
    config = _operator_documents.decode_config(msgspec.json.encode(document))
    assert [queue.name for queue in config.queues] == ['q']
    assert config.pools == ()


@pytest.mark.parametrize(
    'document',
    [
        b'{"version":1,"routes":[7]}',
        b'{"version":%d}' % 2**64,
        b'{"version":-1}',
        b'{"version":1,"odd":' + DEEP + b'}',
    ],
    ids=['no route', 'version', 'negative version', 'deep'],
)
def test_unreadable_config_is_refused(document):
    """Guards against replacing the settings in force by nothing."""
    with pytest.raises(errors.ConfigError):
        _operator_documents.decode_config(document)


SETTINGS = """
node: n1
class: entry
zone: dc
ip: 127.0.0.1
internalPortRange: [7000, 7010]
platform: {addr: "127.0.0.1:1"}
"""


@pytest.mark.parametrize(
    'line',
    [
        'odd: ' + '[' * 100_000,
        'internalPortRange: [0, 7010]',
        'internalPortRange: [7000, 99999]',
        'internalPortRange: [.inf, 7010]',
        'limits: {cpuShare: .nan}',
        'bounds: {maxHoldMs: .nan}',
        'bounds: {maxHoldMs: .inf}',
        'bounds: {maxHoldMs: -1}',
        'bounds: {graceS: 1.0e+300}',
    ],
    ids=[
        'deep',
        'port 0',
        'port',
        'inf port',
        'share',
        'nan',
        'inf',
        'negative',
        'huge',
    ],
)
def test_odd_settings_are_an_error_with_the_file(tmp_path, line):
    """Guards against a changed settings file that ends a running process."""
    path = tmp_path / 'settings.yaml'
    path.write_text(SETTINGS + line + '\n')
    with pytest.raises(errors.ConfigError):
        _settings.load(str(path))
