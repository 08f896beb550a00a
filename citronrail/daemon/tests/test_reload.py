"""Tests SIGHUP, which signals changed settings."""

import os
import signal

import trio

from citronrail.daemon import parts


async def test_sighup_reloads_and_does_not_end_the_process():
    """Guards against the default action of SIGHUP, which ends a process."""
    app = parts.Application('n1')
    reloaded = trio.Event()

    async def hook():
        reloaded.set()

    app.on_reload(hook)
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.run)
            while not app.ready:
                await trio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGHUP)
            await reloaded.wait()
            assert app.ready
            app.stop()
