"""Tests of the stand-in backend server, on which other checks rely."""

import json
import signal
import subprocess
import sys

import httpx
import quart
import quart_trio
import trio

from citronrail import adapters
from standins import backend_server


async def test_process_announces_leaves_and_finishes():
    """Guards against closing before leaving is announced and requests end."""
    announcements = []
    agent = quart_trio.QuartTrio(__name__)

    @agent.put('/backends/<service>')
    async def announce(service):
        announcements.append(json.loads(await quart.request.get_data()))
        return '', 204

    stop = trio.Event()
    async with trio.open_nursery() as nursery:

        async def serve(task_status):
            await adapters.serve(
                agent,
                '127.0.0.1',
                0,
                name='agent',
                shutdown=stop,
                task_status=task_status,
            )

        port = await nursery.start(lambda task_status: serve(task_status))
        cfg = {'service': 'seats', 'agent': f'http://127.0.0.1:{port}'}
        process = await trio.lowlevel.open_process(
            [
                sys.executable,
                '-m',
                'standins.backend_server',
                '--config',
                json.dumps(cfg),
            ],
            stdout=subprocess.PIPE,
        )
        try:
            with trio.fail_after(20):
                line = b''
                while not line.endswith(b'\n'):
                    line += await process.stdout.receive_some()
                address = json.loads(line)['address']
                while not announcements:
                    await trio.sleep(0.02)
                assert announcements[0]['address'] == address
                responses = []

                async def call():
                    async with httpx.AsyncClient(trust_env=False) as client:
                        responses.append(
                            await client.post(f'{address}/quick?ms=1500')
                        )

                async with trio.open_nursery() as calls:
                    calls.start_soon(call)
                    await trio.sleep(0.5)
                    process.send_signal(signal.SIGTERM)
                assert responses[0].status_code == 200
                assert announcements[-1]['leaving']
                assert await process.wait() == 0
        finally:
            process.kill()
        stop.set()


async def test_slots_are_never_exceeded_and_runs_are_counted():
    """Guards against wrong counts, which reveal duplicated or lost work."""
    work = backend_server.Workload(
        backend_server.BackendConfig('seats', slots=2)
    )
    client = backend_server.backend_app(work).test_client()
    statuses = []

    async def call(number):
        headers = {'x-business-key': f'order-{number % 2}'}
        response = await client.post('/quick?ms=100', headers=headers)
        statuses.append(response.status_code)

    async with trio.open_nursery() as nursery:
        for number in range(4):
            nursery.start_soon(call, number)
    assert sorted(statuses) == [200, 200, 503, 503]
    response = await client.get('/admin/history')
    history = json.loads(await response.get_data())
    assert history['most_in_progress'] == 2
    assert sum(history['by_key'].values()) == 2
    assert all(run['ended'] > run['started'] for run in history['runs'])
