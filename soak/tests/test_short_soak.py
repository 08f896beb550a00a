"""Short soak runs over the seeds that failed in the past."""

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

# Seeds that failed in the past: duration in seconds, and the cause.
REGRESSION_SEEDS: dict[int, tuple[float, str]] = {
    7: (6.0, 'a replaced scheduler reported outdated job states'),
    100: (12.0, 'a run started across a worker restart was taken as lapsed'),
    101: (12.0, 'a malformed heartbeat of another writer replaced a worker'),
}


@pytest.mark.parametrize('seed', REGRESSION_SEEDS)
async def test_invariants_hold_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Guards against violated invariants under overlapping faults.

    Entry and agent processes are restarted, paused and disconnected while
    callers submit jobs.
    """
    seconds, _ = REGRESSION_SEEDS[seed]
    result = await _run.run(seed, seconds, tmp_path)
    assert result.violations == ()
    assert result.accepted > 0
    assert result.starts > 0


def test_fault_sequence_depends_only_on_the_seed() -> None:
    """Guards against faults that a failing seed does not reproduce."""

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
    # The proxy resets both connections, including the one to the server.
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


async def _exchange(stream: trio.SocketStream, limit_s: float = 0.3) -> bytes:
    await stream.send_all(b'x')
    with trio.move_on_after(limit_s):
        return await stream.receive_some(10)
    return b''


async def test_stalled_connection_resumes_once_opened(path) -> None:
    """Guards against a stalled connection that doesn't resume."""
    proxy, stream = path
    assert await _exchange(stream) == b'x'
    proxy.set_mode(_proxy.Mode.STALLED)
    assert await _exchange(stream) == b''
    proxy.set_mode(_proxy.Mode.OPEN)
    assert await _exchange(stream) != b''


async def test_lost_responses_never_arrive(path) -> None:
    """Guards against dropped responses that are delivered late."""
    proxy, stream = path
    proxy.set_mode(_proxy.Mode.RESPONSES_LOST)
    assert await _exchange(stream) == b''
    proxy.set_mode(_proxy.Mode.OPEN)
    assert await _exchange(stream) == b''


async def test_connections_are_reset(path) -> None:
    """Guards against closing connections with FIN instead of RST."""
    proxy, stream = path
    assert await _exchange(stream) == b'x'
    proxy.reset()
    with pytest.raises(trio.BrokenResourceError):
        while await _exchange(stream) != b'':
            pass
    assert stream.socket.type is socket.SOCK_STREAM
