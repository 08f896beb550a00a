"""Tests that a port answers every request that it has read when it stops."""

import contextlib
import functools
import re

import pytest
import trio

from citronrail import adapters
from citronrail.daemon import parts

REQUEST = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'
POST = b'POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n'
STATUS = re.compile(rb'HTTP/1\.1 (\d+)')
DRAIN_S = 3.0


class _Port:
    """A served application and the event that stops it."""

    def __init__(self, handle_s=0.0, repeats=1):
        self.handle_s = handle_s
        self.repeats = repeats
        self.handled = []
        self.shutdown = trio.Event()
        self.closed = trio.Event()
        self.number = 0

    async def run(self, *, task_status):
        async with trio.open_nursery() as nursery:
            self.number = await nursery.start(
                functools.partial(
                    adapters.serve,
                    self.app,
                    '127.0.0.1',
                    0,
                    name='test',
                    shutdown=self.shutdown,
                    drain_s=DRAIN_S,
                )
            )
            task_status.started()
        self.closed.set()

    async def app(self, scope, receive, send):
        assert scope['type'] == 'http'
        while (await receive()).get('more_body'):
            pass
        self.handled.append(scope['path'])
        if scope['path'] == '/666':
            raise RecursionError
        await trio.sleep(self.handle_s)
        body = b'ok' * self.repeats
        length = b'%d' % len(body)
        start = {'type': 'http.response.start', 'status': 200}
        await send({**start, 'headers': [(b'content-length', length)]})
        await send({'type': 'http.response.body', 'body': body})

    async def connect(self):
        return await trio.open_tcp_stream('127.0.0.1', self.number)


async def _read_all(stream, limit_s=DRAIN_S):
    """Read until the connection ends; also how it ended and when."""
    data = b''
    with trio.move_on_after(limit_s) as scope:
        with contextlib.suppress(trio.BrokenResourceError):
            async for chunk in stream:
                data += chunk
    return data, not scope.cancelled_caught


async def _answered(stream):
    """Send a request and read its answer."""
    await stream.send_all(REQUEST % 0)
    data = b''
    while not data.endswith(b'ok'):
        data += await stream.receive_some(1000)


@pytest.mark.parametrize('trial', range(20))
async def test_request_in_the_moment_of_the_stop(nursery, trial):
    """Guards against closing an idle connection that has a request.

    hypercorn's timer and reader wake up together and run in random order.
    """
    port = _Port()
    await nursery.start(port.run)
    stream = await port.connect()
    await _answered(stream)
    stream.socket._sock.send(REQUEST % 1)
    port.shutdown.set()
    data, _ = await _read_all(stream)
    assert STATUS.findall(data) == [b'200']
    assert b'connection: close' in data.lower()


async def test_request_shortly_after_the_stop(nursery):
    """Guards against closing a connection that its client still uses."""
    port = _Port()
    await nursery.start(port.run)
    stream = await port.connect()
    await _answered(stream)
    port.shutdown.set()
    await trio.sleep(0.2)
    await stream.send_all(REQUEST % 1)
    data, _ = await _read_all(stream)
    assert STATUS.findall(data) == [b'200']
    assert b'connection: close' in data.lower()


async def test_new_connection_shortly_after_the_stop(nursery):
    """Guards against refusing connections that are still routed here."""
    port = _Port()
    await nursery.start(port.run)
    port.shutdown.set()
    await trio.sleep(0.2)
    stream = await port.connect()
    await stream.send_all(REQUEST % 1)
    data, _ = await _read_all(stream)
    assert STATUS.findall(data) == [b'200']


@pytest.mark.parametrize(
    'segments',
    [
        pytest.param([REQUEST % 1 + REQUEST % 2], id='one segment'),
        pytest.param([REQUEST % 1, REQUEST % 2], id='two segments'),
        pytest.param(
            [REQUEST % 1 + POST % 2 + b'12345', b'67890'], id='split body'
        ),
    ],
)
async def test_pipelined_requests(nursery, segments):
    """Guards against dropping a request behind one that is in progress."""
    port = _Port(handle_s=0.4)
    await nursery.start(port.run)
    stream = await port.connect()
    for segment in segments:
        await stream.send_all(segment)
        await trio.sleep(0.1)
    port.shutdown.set()
    data, ended = await _read_all(stream)
    assert STATUS.findall(data) == [b'200', b'200']
    assert ended
    with trio.fail_after(1.0):
        await port.closed.wait()


async def test_body_in_segments_across_the_stop(nursery):
    """Guards against cutting a request whose body is still arriving."""
    port = _Port(handle_s=0.1)
    await nursery.start(port.run)
    stream = await port.connect()
    await stream.send_all(POST % 1)
    port.shutdown.set()
    for _ in range(5):
        await trio.sleep(0.2)
        await stream.send_all(b'xx')
    data, _ = await _read_all(stream)
    assert STATUS.findall(data) == [b'200']


async def test_handler_that_outlasts_the_stop(nursery):
    """Guards against silence for a request that is cut by the stop."""
    port = _Port(handle_s=60.0)
    await nursery.start(port.run)
    stream = await port.connect()
    await stream.send_all(REQUEST % 1)
    await trio.sleep(0.1)
    port.shutdown.set()
    data, ended = await _read_all(stream, 2 * DRAIN_S)
    assert STATUS.findall(data) == [b'504']
    assert ended
    await port.closed.wait()


async def test_port_ends_within_the_time_of_the_process(nursery):
    """Guards against a port that has more time to drain than its process.

    The process then cancelled the port with the requests in it.
    """
    app = _Port(handle_s=60.0)
    port = parts.HttpPort(app.app, '127.0.0.1:0', 'test', 30.0)
    await nursery.start(port.run)
    stream = await trio.open_tcp_stream('127.0.0.1', port.port)
    await stream.send_all(REQUEST % 1)
    await trio.sleep(0.1)
    with trio.fail_after(1.0):
        await port.drain()
    data, _ = await _read_all(stream)
    assert STATUS.findall(data) == [b'504']


async def test_client_that_does_not_read(nursery):
    """Guards against a stop that waits without end for a client to read.

    hypercorn shields the sending from cancellation.
    """
    port = _Port(repeats=10_000_000)
    await nursery.start(port.run)
    stream = await port.connect()
    await stream.send_all(REQUEST % 1)
    await trio.sleep(0.1)
    port.shutdown.set()
    with trio.fail_after(DRAIN_S + 0.5):
        await port.closed.wait()


async def test_failure_in_a_handler(nursery):
    """Guards against an exception that ends other connections."""
    port = _Port()
    await nursery.start(port.run)
    stream = await port.connect()
    await stream.send_all(REQUEST % 666)
    other = await port.connect()
    await _answered(other)
    data, _ = await _read_all(stream, 1.0)
    assert STATUS.findall(data) == [b'500']


@pytest.mark.parametrize(
    'offer',
    [
        pytest.param(
            b'Upgrade: h2c\r\nConnection: upgrade, http2-settings\r\n'
            b'HTTP2-Settings: AA\r\n',
            id='h2c with settings that cannot be read',
        ),
        pytest.param(
            b'Upgrade: websocket\r\nConnection: upgrade\r\n', id='websocket'
        ),
    ],
)
async def test_offer_to_switch_the_protocol(nursery, offer):
    """Guards against a request that ends the process or holds up its stop."""
    port = _Port()
    await nursery.start(port.run)
    stream = await port.connect()
    await stream.send_all(b'GET /1 HTTP/1.1\r\nHost: h\r\n' + offer + b'\r\n')
    await _answered(await port.connect())
    port.shutdown.set()
    data, _ = await _read_all(stream, 1.0)
    assert STATUS.findall(data) == [b'200']
    with trio.fail_after(1.0):
        await port.closed.wait()


async def test_idle_connections_are_closed(nursery):
    """Guards against a stop that waits for clients that send nothing."""
    port = _Port()
    await nursery.start(port.run)
    idle = [await port.connect() for _ in range(5)]
    await _answered(idle[0])
    port.shutdown.set()
    for stream in idle:
        data, ended = await _read_all(stream)
        assert (data, ended) == (b'', True)
    with trio.fail_after(1.5):
        await port.closed.wait()
