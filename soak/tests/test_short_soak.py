"""A short run of the soak, and the seeds that ever failed."""

import contextlib
import pathlib
import random
import signal
import socket

import pytest
import trio

from soak import _faults
from soak import _proxy
from soak import _run
from standins import processes

# Seeds that failed once: for how many seconds they run, and the cause.
KNOWN_SEEDS: dict[int, tuple[float, str]] = {
    7: (6.0, 'a replaced scheduler showed the states that it knew'),
    100: (12.0, 'a run whose order crossed lives was taken for lapsed'),
}


@pytest.mark.parametrize('seed', KNOWN_SEEDS)
async def test_promises_hold_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Guards callers and workers against common failures that overlap.

    The real programs are restarted, paused and cut off while jobs come.
    """
    seconds, _ = KNOWN_SEEDS[seed]
    result = await _run.run(seed, seconds, tmp_path)
    assert result.broken == ()
    assert result.accepted > 0
    assert result.starts > 0


def test_draws_depend_on_the_seed_only() -> None:
    """Guards the reproduction of a seed that failed."""

    def draw(seed: int) -> list[object]:
        rng = random.Random(seed)
        return [rng.choice(_faults.FAULTS) for _ in range(30)]

    assert draw(3) == draw(3)
    assert draw(3) != draw(4)
    assert signal.SIGKILL in (
        fault.keywords.get('number')
        for fault in _faults.FAULTS
        if hasattr(fault, 'keywords')
    )


async def _echo(stream: trio.SocketStream) -> None:
    # The proxy resets both sides, the server's too.
    with contextlib.suppress(trio.BrokenResourceError):
        async for data in stream:
            await stream.send_all(data)


@pytest.fixture
async def path(nursery):
    """A proxy in front of an echo server, and a connection through it."""
    target, listen = processes.free_ports(2)
    listeners = await trio.open_tcp_listeners(target, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, _echo, listeners)
    proxy = _proxy.Proxy(('127.0.0.1', listen), ('127.0.0.1', target))
    await nursery.start(proxy.run)
    yield proxy, await trio.open_tcp_stream('127.0.0.1', listen)


async def _answer(stream: trio.SocketStream, limit_s: float = 0.3) -> bytes:
    await stream.send_all(b'x')
    with trio.move_on_after(limit_s):
        return await stream.receive_some(10)
    return b''


async def test_silenced_path_goes_on_once_it_is_opened(path) -> None:
    """Guards the soak against a cut that loses nothing."""
    proxy, stream = path
    assert await _answer(stream) == b'x'
    proxy.set_path(_proxy.Path.SILENT)
    assert await _answer(stream) == b''
    proxy.set_path(_proxy.Path.OPEN)
    assert await _answer(stream) != b''


async def test_lost_answers_never_arrive(path) -> None:
    """Guards the soak against answers that come late instead."""
    proxy, stream = path
    proxy.set_path(_proxy.Path.ANSWERS_LOST)
    assert await _answer(stream) == b''
    proxy.set_path(_proxy.Path.OPEN)
    assert await _answer(stream) == b''


async def test_connections_are_reset(path) -> None:
    """Guards the soak against an orderly end in place of a reset."""
    proxy, stream = path
    assert await _answer(stream) == b'x'
    proxy.reset()
    with pytest.raises(trio.BrokenResourceError):
        while await _answer(stream) != b'':
            pass
    assert stream.socket.type is socket.SOCK_STREAM
