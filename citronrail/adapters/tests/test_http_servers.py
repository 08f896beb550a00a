"""Guards the planned stop of HTTP ports."""

import functools

import httpx
import quart_trio
import trio

from citronrail import adapters

DRAIN_S = 30.0


async def test_idle_connections_do_not_hold_up_a_stop():
    """Guards against a port that closes only at the drain deadline.

    Seen in the demo: an entry with idle connections of its load balancer
    took 20 s to stop.
    """
    app = quart_trio.QuartTrio(__name__)

    @app.get('/')
    async def answer():
        return 'ok'

    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            functools.partial(
                adapters.serve,
                app,
                '127.0.0.1',
                0,
                name='test',
                shutdown=stop,
                drain_s=DRAIN_S,
            )
        )
        async with httpx.AsyncClient(trust_env=False) as client:
            url = f'http://127.0.0.1:{port}/'
            for _ in range(3):
                assert (await client.get(url)).text == 'ok'
            stop.set()
            with trio.fail_after(DRAIN_S / 2):
                while nursery.child_tasks:
                    await trio.sleep(0.01)
