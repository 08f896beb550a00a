"""Guards the HTTP worker adapter against the worker stand-in."""

import contextlib
import functools

import httpx
import hypercorn.config
import hypercorn.trio
import pytest
import trio

from citronrail.adapters import _http_worker
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from standins import checkpoints
from standins import worker as standin
from standins.worker import _service

FAR_S = 3600.0


def _attempt(index=0, number=1):
    return specs.AttemptId(specs.TaskId('plan', index), number)


def _spec(**fields):
    return specs.TaskSpec(
        identifiers.TeamName('cantabrico'),
        identifiers.WorkClass('plan'),
        fields.pop('size', resources.Resources(1000, 1000)),
        fields.pop('run_s', 60.0),
        **fields,
    )


async def _serve(nursery, app):
    cfg = hypercorn.config.Config()
    cfg.bind = ['127.0.0.1:0']
    cfg.graceful_timeout = 0.1
    binds = await nursery.start(
        functools.partial(hypercorn.trio.serve, app, cfg)
    )
    return binds[0]


@contextlib.asynccontextmanager
async def _worker(checkpoint_url='', **switches):
    """Serve a worker stand-in on the loopback address."""
    async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
        store = standin.MemoryCheckpoints()
        if checkpoint_url:
            store = _service.HttpCheckpoints(client, checkpoint_url)
        cfg = standin.WorkerSettings(
            resources.Resources(2000, 4000),
            checkpoint_s=0.01,
            switches=standin.Switches(**switches),
        )
        core = standin.MemoryWorker(cfg, identifiers.new_boot_id(), store)
        url = await _serve(nursery, _service.make_app(core))
        adapter = _http_worker.HttpWorker(url, timeout_s=1.0)
        yield adapter, core
        await adapter.aclose()
        nursery.cancel_scope.cancel()


async def _start(adapter, attempt, spec):
    clock = (await adapter.info()).clock
    await adapter.start(
        attempt,
        identifiers.RangeId(0),
        spec,
        clock + FAR_S,
        clock + FAR_S,
    )


async def test_task_runs_and_is_forgotten():
    """Guards the form of every call on the wire."""
    async with _worker() as (adapter, _):
        await _start(adapter, _attempt(), _spec(run_s=0.05))
        assert await adapter.renew((_attempt(),), FAR_S) == (_attempt(),)
        await adapter.throttle(_attempt(), 0.5)
        running = (await adapter.tasks()).running
        assert [(t.attempt, t.state) for t in running] == [
            (_attempt(), 'throttled')
        ]
        await trio.sleep(0.2)
        ended = (await adapter.tasks()).ended
        assert [(t.attempt, t.state) for t in ended] == [
            (_attempt(), 'finished')
        ]
        await adapter.forget((_attempt(),))
        assert (await adapter.tasks()).ended == ()
        assert isinstance(await adapter.usage(), tuple)


async def test_checkpoint_resumes_on_another_worker():
    """Guards against repeating work after an eviction."""
    async with trio.open_nursery() as nursery:
        url = await _serve(nursery, checkpoints.make_app())
        async with _worker(url) as (first, _), _worker(url) as (second, core):
            await _start(first, _attempt(), _spec())
            await trio.sleep(0.2)
            await first.stop((_attempt(),), True)
            ended = (await first.tasks()).ended[0]
            assert ended.state == 'checkpointed'
            resumed = _attempt(number=2)
            await _start(second, resumed, _spec(checkpoint=ended.checkpoint))
            started = core.core.history[0]
            assert started.progress_s >= 0.2
            assert started.detail == ended.checkpoint
        nursery.cancel_scope.cancel()


async def test_refusals_are_distinguished_from_unknown_outcomes():
    """Guards against a second start after a lost response."""
    async with _worker() as (adapter, core):
        clock = (await adapter.info()).clock
        with pytest.raises(errors.WorkerRefused):
            await adapter.start(
                _attempt(), identifiers.RangeId(0), _spec(), clock, FAR_S
            )
        big = _spec(size=resources.Resources(2001, 1))
        with pytest.raises(errors.WorkerRefused):
            await _start(adapter, _attempt(), big)
        with pytest.raises(errors.CheckpointUnknown):
            await _start(adapter, _attempt(), _spec(checkpoint='missing'))
        core.switch(drop_answers=True)
        with pytest.raises(errors.WorkerOutcomeUnknown):
            await adapter.start(
                _attempt(),
                identifiers.RangeId(0),
                _spec(),
                clock + FAR_S,
                clock + FAR_S,
            )
        core.switch(drop_answers=False, hang=True)
        with pytest.raises(errors.WorkerOutcomeUnknown):
            await adapter.tasks()
        core.switch(hang=False)
        assert [t.attempt for t in (await adapter.tasks()).running] == [
            _attempt()
        ]


async def test_worker_that_is_down_refuses():
    """Guards against waiting for the outcome of a start never sent."""
    adapter = _http_worker.HttpWorker('http://127.0.0.1:9')
    with pytest.raises(errors.WorkerRefused):
        await adapter.tasks()
    await adapter.aclose()


@pytest.mark.parametrize('body', [b'{', b'[]', b'{"clock": 1.0'])
async def test_malformed_answer_is_an_unknown_outcome(body):
    """Guards against accepting a truncated response."""
    adapter = _http_worker.HttpWorker(
        'http://worker',
        transport=httpx.MockTransport(
            lambda _: httpx.Response(200, content=body)
        ),
    )
    with pytest.raises(errors.WorkerOutcomeUnknown):
        await adapter.tasks()
    await adapter.aclose()
