"""Tests the order of start, drain and stop."""

import os
import signal

import pytest
import trio
import trio.testing

from citronrail.daemon import _application


class _Component:
    def __init__(self, name, log, drain_s=0.0):
        self.name = name
        self.log = log
        self.drain_s = drain_s

    async def run(self, *, task_status):
        self.log.append(f'start {self.name}')
        task_status.started()
        try:
            await trio.sleep_forever()
        finally:
            self.log.append(f'stop {self.name}')

    async def drain(self):
        await trio.sleep(self.drain_s)
        self.log.append(f'drain {self.name}')


def _application_of(log, *drain_times, limit=10.0):
    app = _application.Application('test', drain_limit_s=limit)
    for number, drain_s in enumerate(drain_times):
        component = _Component(number, log, drain_s)
        app.add(str(number), component.run, component.drain)
    return app


async def test_components_drain_in_reverse_before_any_stops(
    autojump_clock,
):
    """Guards against closing a connection that a later drain needs."""
    log = []
    app = _application_of(log, 1.0, 2.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(app.run, False)
        await trio.sleep(0.1)
        app.stop()
    assert log[:4] == ['start 0', 'start 1', 'drain 1', 'drain 0']
    assert sorted(log[4:]) == ['stop 0', 'stop 1']


async def test_a_drain_that_hangs_ends_at_the_deadline(autojump_clock):
    """Guards against a process that never ends after SIGTERM."""
    log = []
    app = _application_of(log, 0.0, 1000.0, limit=5.0)
    with trio.fail_after(6):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.run, False)
            await trio.sleep(0.1)
            app.stop()
    assert 'drain 1' not in log
    assert 'stop 1' in log


async def test_a_drain_that_hangs_leaves_time_to_the_others(autojump_clock):
    """Guards against requests that are cut as another drain hangs.

    The callers' port drains last; a lease that couldn't be revoked while the
    store hung used up the time.
    """
    log = []
    app = _application_of(log, 0.5, 1000.0, 1.0, limit=4.5)
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.run, False)
            await trio.sleep(0.1)
            app.stop()
    assert log[3:5] == ['drain 2', 'drain 0']


async def test_not_ready_while_draining(autojump_clock):
    """Guards against load balancers that send work to a stopping entry."""
    app = _application_of([], 3.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(app.run, False)
        await trio.sleep(0.1)
        assert app.ready
        app.stop()
        await trio.sleep(1.0)
        assert app.draining
        assert not app.ready


@pytest.mark.parametrize(
    ('second', 'drains'),
    [
        pytest.param(signal.SIGTERM, True, id='stop signal'),
        pytest.param(signal.SIGINT, False, id='interrupt'),
    ],
)
async def test_second_signal_during_a_drain(second, drains):
    """Guards against cutting requests as two planned stops overlap."""
    log = []
    app = _application_of(log, 0.3)
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.run)
            while not app.ready:
                await trio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGTERM)
            while not app.draining:
                await trio.sleep(0.01)
            os.kill(os.getpid(), second)
    assert ('drain 0' in log) is drains
