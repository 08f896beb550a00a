"""Guards the calls to the platform against its published protocol."""

import contextlib
import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from citronrail import adapters
from citronrail import errors
from citronrail.model import messages
from citronrail.platform import _store
from citronrail.platform import _worker
from citronrail import ports
from standins import key_value
from standins import platform as platform_standin
from standins import task_worker


class _Served:
    """A served stand-in of the store, with its client."""

    def __init__(self) -> None:
        self.memory = key_value.MemoryStore()
        self.faults = platform_standin.StoreFaults()
        self.store: _store.PlatformStore | None = None


async def _serve(nursery, app) -> str:
    async def run(task_status=trio.TASK_STATUS_IGNORED):
        await adapters.serve(
            app,
            '127.0.0.1',
            0,
            name='stand-in',
            shutdown=trio.Event(),
            drain_s=0.1,
            task_status=task_status,
        )

    return f'127.0.0.1:{await nursery.start(run)}'


@pytest.fixture
async def served(nursery):
    found = _Served()
    app = platform_standin.store_app(found.memory, found.faults)
    found.store = _store.PlatformStore(await _serve(nursery, app))
    yield found
    await found.store.aclose()


async def test_values_conditions_and_lists(served):
    """Guards reading, compare-and-swap and lists of the store."""
    store = served.store
    assert await store.get('a/1') is None
    made = await store.txn(
        [ports.Compare('a/1', 0)], [ports.Put('a/1', b'\x00one')]
    )
    assert made.succeeded
    repeated = await store.txn(
        [ports.Compare('a/1', 0)], [ports.Put('a/1', b'two')]
    )
    assert not repeated.succeeded
    item = await store.get('a/1')
    assert (item.value, item.revision) == (b'\x00one', made.revision)
    for number in range(2, 5):
        await store.txn([], [ports.Put(f'a/{number}', b'x')])
    listing = await store.list('a/')
    assert [i.key for i in listing.items] == ['a/1', 'a/2', 'a/3', 'a/4']


async def test_listing_of_several_pages_is_complete(served):
    """Guards against keys missing after the first page of a listing."""
    for start in range(0, 1200, 25):
        await served.memory.txn(
            [],
            [ports.Put(f'p/{n:05}', b'x') for n in range(start, start + 25)],
        )
    listing = await served.store.list('p/')
    assert len({item.key for item in listing.items}) == 1200
    listing = await served.store.list('p/', lambda item: item.key > 'p/01100')
    assert [item.key for item in listing.items] == [
        f'p/{n:05}' for n in range(1101, 1200)
    ]


async def test_watch_after_a_listing_misses_no_change(served):
    """Guards against losing a change right after a listing."""
    listing = await served.store.list('w/')
    await served.store.txn([], [ports.Put('w/1', b'x')])
    async with served.store.watch('w/', listing.revision + 1) as changes:
        async for batch in changes:
            assert [event.key for event in batch] == ['w/1']
            break


async def test_compacted_history_is_reported(served):
    """Guards against a watch that continues after missed changes."""
    served.faults.compacted = True
    with pytest.raises(errors.StoreCompacted):
        async with served.store.watch('w/', 1) as changes:
            async for _ in changes:
                pass


@pytest.mark.parametrize('status', [429, 503])
async def test_refused_call_had_no_effect(served, status):
    """Guards "not run": only these statuses mean that nothing was done."""
    served.faults.status = status
    with pytest.raises(errors.StoreRejected):
        await served.store.txn([], [ports.Put('k', b'x')])


@pytest.mark.parametrize('status', [400, 403, 413])
async def test_call_that_is_refused_for_good(served, status):
    """Guards against a call that is repeated although it is never executed."""
    served.faults.status = status
    with pytest.raises(errors.StoreRefused):
        await served.store.txn([], [ports.Put('k', b'x')])


async def test_lost_response_is_an_unknown_outcome(served):
    """Guards against treating a lost response as a refusal."""
    served.faults.lose_answers = 1
    with pytest.raises(errors.StoreOutcomeUnknown):
        await served.store.txn([], [ports.Put('k', b'x')])
    assert (await served.store.get('k')).value == b'x'


async def test_call_to_a_silent_store_times_out(served):
    """Guards against calls without a timeout on an idle connection."""
    served.faults.silent = True
    began_at = trio.current_time()
    with pytest.raises(errors.StoreOutcomeUnknown):
        await served.store.get('k')
    assert trio.current_time() - began_at < 2 * _store.CALL_TIMEOUT_S


async def test_leases_end_with_their_keys(served):
    """Guards leader election: the leader's key ends with its lease."""
    store = served.store
    lease = await store.grant_lease(5.0)
    await store.txn([], [ports.Put('l', b'x', lease)])
    assert await store.keep_alive(lease)
    await store.revoke_lease(lease)
    assert await store.get('l') is None
    assert not await store.keep_alive(lease)


@pytest.fixture
async def worker(nursery):
    memory = task_worker.MemoryTaskWorker(
        'w0',
        task_worker.RunHistory(),
        lambda task: task_worker.TaskPlan(work_s=0.2),
        random.Random(1),
    )
    await nursery.start(memory.run)
    address = await _serve(nursery, platform_standin.worker_app(memory))
    client = _worker.PlatformWorker(address)
    yield memory, client
    await client.aclose()


async def test_run_is_started_listed_and_acknowledged(worker):
    """Guards the life cycle of a run in the worker's protocol."""
    memory, client = worker
    life = memory.life()
    lease_until = memory.clock_ms() + 5000
    order = ports.LeaseOrder(7, 0, lease_until)
    assert (await client.list_runs(life, order)).running == ()
    start = messages.StartOrder('a.0.0.0', 1, 'argument')
    result = await client.start(life, start, lease_until, 7)
    assert result.verdict is ports.StartVerdict.STARTED
    waiting = ports.LeaseOrder(7, 0, lease_until, wait_ms=1500)
    (end,) = (await client.list_runs(life, waiting)).ended
    assert (end.task, end.run, end.how) == ('a.0.0.0', 1, 'done')
    acknowledge = ports.LeaseOrder(7, end.number, lease_until)
    assert (await client.list_runs(life, acknowledge)).ended == ()


async def test_lower_fencing_token_is_refused(worker):
    """Guards against orders of a replaced scheduler."""
    memory, client = worker
    life = memory.life()
    await client.list_runs(life, ports.LeaseOrder(9, 0))
    start = messages.StartOrder('a.0.0.0', 1, 'argument')
    result = await client.start(life, start, memory.clock_ms() + 5000, 8)
    assert result.verdict is ports.StartVerdict.REFUSED
    assert result.reason == 'fence'


async def test_start_for_another_incarnation_is_refused(worker):
    """Guards against orders for an earlier incarnation of the worker."""
    memory, client = worker
    other = messages.WorkerLife('w1', 1, 'pool', 'dc', 'ready', 1, 1, 0)
    start = messages.StartOrder('a.0.0.0', 1, 'argument')
    result = await client.start(other, start, memory.clock_ms() + 5000, 8)
    assert result.verdict is ports.StartVerdict.REFUSED


def _fixed_app(body: bytes) -> applications.Starlette:
    """Create an application that answers every request with one body."""

    async def answer(_: requests.Request) -> responses.Response:
        return responses.Response(body)

    methods = ['GET', 'POST', 'DELETE']
    return applications.Starlette(
        routes=[routing.Route('/{path:path}', answer, methods=methods)]
    )


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=6),
    max_leaves=12,
)
BODIES = st.binary(max_size=40) | st.builds(
    lambda items, running, ended: msgspec.json.encode(
        {
            'clockMs': 1,
            'running': running,
            'ended': ended,
            'items': items,
            'events': items,
            'lease': running,
            'rev': ended,
        }
    ),
    JSON_VALUES,
    JSON_VALUES,
    JSON_VALUES,
)


@hypothesis.given(body=BODIES)
@hypothesis.settings(max_examples=40, deadline=None)
def test_malformed_answer_is_an_error_of_the_call(body):
    """Guards against an answer that ends a whole process.

    Agents and entries handle the package's own errors; any other error ends
    the process.
    """

    async def call_all() -> None:
        async with trio.open_nursery() as nursery:
            address = await _serve(nursery, _fixed_app(body))
            store = _store.PlatformStore(address)
            client = _worker.PlatformWorker(address)
            life = messages.WorkerLife('w', 1, 'p', 'dc', 'ready', 1, 1, 0)
            run = messages.TaskRun('t', 1)
            pace = messages.PaceOrder('t', 1, 50)
            start = messages.StartOrder('t', 1, 'x')
            calls = (
                lambda: store.get('k'),
                lambda: store.list('k'),
                lambda: store.txn([], [ports.Put('k', b'')]),
                lambda: store.grant_lease(1.0),
                lambda: store.keep_alive(1),
                lambda: store.revoke_lease(1),
                lambda: client.list_runs(life, ports.LeaseOrder(1, 0)),
                lambda: client.start(life, start, 1, 1),
                lambda: client.stop(life, run, 1),
                lambda: client.pace(life, pace, 1),
            )
            for call in calls:
                with contextlib.suppress(errors.CitronrailError):
                    await call()
            await store.aclose()
            await client.aclose()
            nursery.cancel_scope.cancel()

    trio.run(call_all)


@pytest.mark.parametrize(
    'row',
    [['t'], ['t', 1, '', 'half'], [7, 1, '', 50], ['t', 1, '', 50, 'x']],
    ids=['short', 'percent', 'task', 'load'],
)
async def test_malformed_row_of_a_list_is_an_unknown_outcome(nursery, row):
    """Guards against an agent that ends because of one row of a list."""
    body = msgspec.json.encode({'clockMs': 1, 'running': [row], 'ended': []})
    client = _worker.PlatformWorker(await _serve(nursery, _fixed_app(body)))
    life = messages.WorkerLife('w', 1, 'p', 'dc', 'ready', 1, 1, 0)
    with pytest.raises(errors.WorkerOutcomeUnknown):
        await client.list_runs(life, ports.LeaseOrder(1, 0))
    await client.aclose()


async def test_malformed_item_hides_no_other_item(nursery):
    """Guards against a listing that fails because of another writer's item."""
    good = {'key': 'k/2', 'value': 'eA==', 'rev': 4, 'lease': 0}
    body = msgspec.json.encode(
        {'items': [{'key': 7}, good], 'hasMore': False, 'asOf': 9}
    )
    store = _store.PlatformStore(await _serve(nursery, _fixed_app(body)))
    listing = await store.list('k/')
    assert [item.key for item in listing.items] == ['k/2']
    await store.aclose()
