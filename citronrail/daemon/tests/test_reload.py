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


async def test_failure_of_a_reload_does_not_end_the_process():
    """Guards against settings of an odd form that end a serving process.

    Limits given as a list raise AttributeError, and a document nested very
    deep RecursionError.
    """
    app = parts.Application('n1')
    calls = []

    async def hook():
        calls.append(1)
        raise RecursionError

    app.on_reload(hook)
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.run)
            while not app.ready:
                await trio.sleep(0.01)
            for expected in (1, 2):
                os.kill(os.getpid(), signal.SIGHUP)
                while len(calls) < expected:
                    await trio.sleep(0.01)
            app.stop()
