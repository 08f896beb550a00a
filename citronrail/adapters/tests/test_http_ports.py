"""Tests the callers' port over real sockets."""

import json

import httpx
import pytest
import trio

from citronrail.adapters import _http_connection
from citronrail.adapters.tests import path as paths
from citronrail import routing
from standins import backend_server

KEY = '01890a5d-ac96-774b-bcce-b302099a8057'


async def test_limits_and_malformed_requests_are_reported():
    """Guards against unbounded headers and bodies, and invalid bytes."""
    async with paths.running() as path:
        caller = path.caller
        for answer, status in (
            (await caller.post('/quick', content=b'x' * 5_000_000), 413),
            (await caller.get('/quick', headers={'x': 'y' * 16_300}), 431),
            (await caller.get('/quick', headers={'x': b'\xff\xfe'}), 400),
            (await caller.get('/quick?ms=1', headers={'a': 'b'}), 200),
            (
                await caller.get(
                    '/quick', headers={'citronrail-timeout-ms': 'soon'}
                ),
                400,
            ),
            (
                await caller.get('/quick', headers={'idempotency-key': 'x'}),
                400,
            ),
        ):
            assert answer.status_code == status
            if status != 200:
                problem = json.loads(answer.content)
                assert problem['status'] == status
                assert problem['outcome'] == 'not run'
                assert answer.headers['citronrail-outcome'] == 'not run'
                assert (
                    answer.headers['content-type']
                    == 'application/problem+json'
                )


async def test_outcomes_are_reported():
    """Guards the difference between `not run` and `unknown`."""
    async with paths.running() as path:
        limit = {'citronrail-timeout-ms': '200'}
        answer = await path.caller.post('/hang', headers=limit)
        assert answer.status_code == 504
        assert answer.headers['citronrail-outcome'] == 'unknown'
        other = str(path.caller.base_url).replace('seats', 'nothing')
        answer = await path.caller.get(f'{other}quick', headers=limit)
        assert answer.status_code == 503
        assert answer.headers['citronrail-outcome'] == 'not run'
        assert answer.headers['retry-after'] == '1'


async def test_keys_replay_and_refuse():
    """Guards against running a repeated request twice."""
    async with paths.running() as path:

        async def order(text, key=KEY):
            headers = {'idempotency-key': key, 'x-business-key': 'order'}
            return await path.caller.post(
                '/quick?ms=100', content=text, headers=headers
            )

        answers = []

        async def first():
            answers.append(await order(b'rice'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(first)
            await trio.sleep(0.05)
            assert (await order(b'rice')).status_code == 409
        assert answers[0].content == b'rice'
        again = await order(b'rice')
        assert (again.status_code, again.content) == (200, b'rice')
        assert (await order(b'lentils')).status_code == 422
        assert path.work.history.by_key['order'] == 1


async def test_incomplete_response_closes_the_connection():
    """Guards against a truncated response that looks complete."""
    async with paths.running() as path:
        with pytest.raises(httpx.RemoteProtocolError):
            await path.caller.get('/die?bytes=5000')
        assert (await path.caller.get('/quick')).status_code == 200


async def test_slow_caller_holds_little_memory():
    """Guards against buffering a large answer for a slow caller."""
    async with paths.running() as path:
        async with path.caller.stream('GET', '/large?bytes=60000000') as got:
            await trio.sleep(1)
            size = 0
            async for data in got.aiter_raw():
                size += len(data)
        assert size == 60_000_000
        # The caller has all bytes before the router has recorded the outcome.
        with trio.fail_after(5):
            while path.router.in_progress:
                await trio.sleep(0.02)


async def test_disconnected_caller_frees_the_slot():
    """Guards against slots held for disconnected callers."""
    async with paths.running() as path:
        with trio.move_on_after(0.3):
            await path.caller.get('/hang')
        with trio.fail_after(5):
            while path.work.history.in_progress:
                await trio.sleep(0.02)
            while path.runner.load().slots_used:
                await trio.sleep(0.02)


async def test_planned_stop_interrupts_no_request():
    """Guards against truncated responses when an entry stops."""
    async with paths.running() as path:
        answers = []

        async def call():
            answers.append(
                await path.caller.get('/stream?chunks=10&bytes=10&ms=50')
            )

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(call)
            await trio.sleep(0.2)
            path.stop_callers_port.set()
            with trio.fail_after(5):
                await path.router.drain()
        for answer in answers:
            assert answer.content == backend_server.pattern(100)
        # A client that still uses the port is told why it must go elsewhere.
        answer = await path.caller.get('/quick')
        assert answer.status_code == 503
        assert answer.headers['citronrail-outcome'] == 'not run'
        assert answer.headers['connection'] == 'close'
        await trio.sleep(_http_connection.IDLE_GRACE_S + 0.2)
        with pytest.raises(httpx.TransportError):
            await path.caller.get('/quick')


async def read_feed(path, drain):
    """Read a feed until it ends, draining after some events."""
    data, last = b'', b'0'
    async with trio.open_nursery() as nursery:
        async with path.caller.stream(
            'GET', '/feed', headers={'accept': 'text/event-stream'}
        ) as got:
            async for part in got.aiter_raw():
                data += part
                if data.count(b'data:') == 3:
                    nursery.start_soon(drain)
    for line in data.split(b'\n'):
        if line.startswith(b'id: '):
            last = line[4:]
    return data, last


@pytest.mark.parametrize('who', ['entry', 'agent', 'backend server'])
async def test_feed_ends_between_events_on_drain(who):
    """Guards against truncated, lost or duplicate events at shutdown."""
    cfg = backend_server.BackendConfig(paths.SERVICE, feed_event_ms=20)
    async with paths.running(cfg) as path:

        async def drain():
            if who == 'entry':
                await path.router.drain()
            elif who == 'agent':
                await path.runner.drain()
            else:
                path.runner.announce(
                    paths.SERVICE, path.backend_address, 1, leaving=True
                )

        with trio.fail_after(5):
            data, last = await read_feed(path, drain)
        assert data.endswith(b'\n\nretry: 200\n\n')
        events = data.split(b'\n\n')[:-2]
        for number, event in enumerate(events, start=1):
            assert event == b'id: %d\ndata: event %d' % (number, number)
        headers = {'last-event-id': last.decode()}
        url = f'{path.backend_address}/feed'
        async with path.direct.stream('GET', url, headers=headers) as got:
            async for part in got.aiter_raw():
                assert part.startswith(b'id: %d\n' % (int(last) + 1))
                break


async def test_full_agent_refuses_and_feeds_hold_no_slot():
    """Guards the limits of 8 slots and 64 connections."""
    limits = routing.RunnerLimits(slots=2, connections=4)
    async with paths.running(limits=limits) as path:
        accept = {'accept': 'text/event-stream'}
        async with path.caller.stream('GET', '/feed', headers=accept):
            async with path.caller.stream('GET', '/feed', headers=accept):
                assert path.runner.load().slots_used == 0
                assert path.runner.load().connections_used == 2
                assert (await path.caller.get('/quick')).status_code == 200
