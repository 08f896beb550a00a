"""HTTP/1.1 connections that answer what they have read before they close.

hypercorn closes an idle connection from a task of its own, also while the
reader holds a request that has just arrived, and it drops a request that was
pipelined behind the one in progress. Here only the reader closes an idle
connection, after it has checked that nothing has arrived.
"""

import collections
import contextlib
import dataclasses
import enum
import select
import typing

import h11
import hypercorn.config
import hypercorn.events
from hypercorn.protocol import events as stream_events
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.trio import task_group as task_groups
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
import hypercorn.typing
import hypercorn.utils
import trio

from citronrail.adapters import _metrics
from citronrail import observability
from citronrail.observability.catalogue import adapters as events

# A request that was sent before the client saw the end of the connection has
# arrived after this time, on any path on which a request is useful.
IDLE_GRACE_S = 0.5
# What still arrives after the last response is read and ignored for this
# long: closing with unread bytes resets the connection, which may take the
# response from the client.
LINGER_S = 0.15

_Readable = trio.SocketListener | trio.SocketStream


def has_unread(stream: _Readable) -> bool:
    """Return whether data, an end or a connection waits at a socket."""
    if stream.socket.fileno() < 0:
        return True  # closed; reading from it fails at once
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Port:
    """State shared by the connections of one port.

    :param app: the application.
    :param config: settings of hypercorn.
    :param name: purpose of the port, used in events.
    """

    def __init__(
        self,
        app: hypercorn.typing.AppWrapper,
        config: hypercorn.config.Config,
        name: str,
    ) -> None:
        self.app = app
        self.config = config
        self.name = name
        self.context = worker_context.WorkerContext(None)
        self.connections: set[Connection] = set()
        # Responses announce that the connection is closed after them.
        self.closing = False
        self._stopped_at = float('inf')
        self._empty = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it is closed.

        A failure in it is recorded and doesn't end the others.
        """
        connection = Connection(self, stream)
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception as exc:  # noqa: BLE001
            observability.emit(
                events.HTTP_CONNECTION_FAILED, name=self.name, reason=repr(exc)
            )
        finally:
            self.connections.discard(connection)
            if not self.connections:
                self._empty.set()

    def stop(self) -> None:
        """Close connections that stay idle, and others after a response."""
        self.closing = True
        self._stopped_at = trio.current_time()
        for connection in self.connections:
            connection.check_idle()

    def idle_until(self, idle_since: float) -> float:
        """Return when a connection without a request is closed."""
        return min(
            idle_since + self.config.keep_alive_timeout,
            max(idle_since, self._stopped_at) + IDLE_GRACE_S,
        )

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self.connections:
            self._empty = trio.Event()
            await self._empty.wait()

    async def end_requests(self) -> None:
        """Answer 504 where no response has begun, and record what is cut.

        A handler that is still at work may have passed the request on, so
        that its outcome isn't known.
        """
        ended: collections.Counter[RequestEnd] = collections.Counter()
        async with trio.open_nursery() as nursery:
            for connection in self.connections:
                if (how := connection.request_end) is None:
                    continue
                ended[how] += 1
                if how is RequestEnd.ANSWERED:
                    nursery.start_soon(connection.answer_timeout)
        for how, count in ended.items():
            _metrics.HTTP_REQUESTS_ENDED.labels(self.name, how.value).inc(
                count
            )
        if ended:
            observability.emit(
                events.HTTP_REQUESTS_ENDED,
                name=self.name,
                answered=ended[RequestEnd.ANSWERED],
                cut=ended[RequestEnd.CUT],
            )

    async def close_forcefully(self) -> None:
        """Close all connections, also those whose client doesn't read."""
        for connection in tuple(self.connections):
            await connection.close_forcefully()


class RequestEnd(enum.Enum):
    """What becomes of a request in progress at the end of a drain."""

    ANSWERED = 'answered with 504'
    CUT = 'cut within its response'


_REQUEST_ENDS = {
    h11.SEND_RESPONSE: RequestEnd.ANSWERED,
    h11.SEND_BODY: RequestEnd.CUT,
}


class _Protocol(h11_protocol.H11Protocol):
    """HTTP/1.1 that says when a response is the last of its connection."""

    def __init__(
        self,
        connection: 'Connection',
        port: Port,
        group: task_groups.TaskGroup,
        addresses: tuple[
            tuple[str, int] | None,
            tuple[str, int] | None,
        ],
    ) -> None:
        client, server = addresses
        super().__init__(
            port.app,
            port.config,
            port.context,
            group,
            hypercorn.typing.ConnectionState({}),
            False,
            client,
            server,
            connection.protocol_send,
        )
        self._connection = connection

    async def stream_send(self, event: stream_events.Event) -> None:
        if (
            isinstance(event, stream_events.Response)
            and event.status_code >= 200
            and self._connection.ends_with_response
        ):
            headers = [*event.headers, (b'connection', b'close')]
            event = dataclasses.replace(event, headers=headers)
        await super().stream_send(event)

    async def send_timeout(self) -> None:
        """Answer 504 to the request in progress."""
        await self._send_error_response(504)

    async def _check_protocol(self, event: h11.Request) -> None:
        """Ignore offers to switch to HTTP/2, whose settings may be invalid."""

    async def _create_stream(self, request: h11.Request) -> None:
        """Handle a request; an offer to switch to WebSocket is ignored."""
        headers = [item for item in request.headers if item[0] != b'upgrade']
        plain = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
            http_version=request.http_version,
        )
        await super()._create_stream(plain)


class Connection(tcp_server.TCPServer):
    """One connection; its reader is the only task that closes it when idle.

    :param port: the port.
    :param stream: the connection.
    """

    def __init__(self, port: Port, stream: trio.SocketStream) -> None:
        super().__init__(
            port.app,
            port.config,
            port.context,
            hypercorn.typing.ConnectionState({}),
            typing.cast(typing.Any, stream),
        )
        self._port = port
        self._socket_stream = stream
        self._idle_since: float | None = trio.current_time()
        self._ended = False
        self._waiting = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._h11: _Protocol

    @property
    def ends_with_response(self) -> bool:
        """Whether no request follows the one that is being answered."""
        state = self._h11.connection
        followed = state.their_state is h11.DONE and (
            state.trailing_data[0] or has_unread(self._socket_stream)
        )
        return self._port.closing and not followed

    @property
    def request_end(self) -> RequestEnd | None:
        """What becomes of its request now, None without one."""
        state = self._h11.connection.our_state
        if self._ended or state is None:
            return None
        return _REQUEST_ENDS.get(state)

    async def answer_timeout(self) -> None:
        """Answer 504 and end the connection."""
        await self._h11.send_timeout()
        await self.protocol_send(hypercorn.events.Closed())

    async def run(self) -> None:
        """Serve requests until the connection is closed."""
        sock = self._socket_stream.socket
        try:
            addresses = (
                hypercorn.utils.parse_socket_addr(
                    sock.family, sock.getpeername()
                ),
                hypercorn.utils.parse_socket_addr(
                    sock.family, sock.getsockname()
                ),
            )
            async with task_groups.TaskGroup() as group:
                self._task_group = group
                self._h11 = _Protocol(self, self._port, group, addresses)
                self.protocol = typing.cast(typing.Any, self._h11)
                await self._read_data()
        except OSError:
            pass  # the client has left before the first byte
        finally:
            await self._close()

    async def protocol_send(self, event: hypercorn.events.Event) -> None:
        """Carry out what the protocol asks for."""
        if isinstance(event, hypercorn.events.Closed):
            await self._end()
            await self.protocol.handle(event)
        elif isinstance(event, hypercorn.events.Updated):
            self._idle_since = trio.current_time() if event.idle else None
            self.check_idle()
        else:
            await super().protocol_send(event)

    async def close_forcefully(self) -> None:
        """Close the socket; sending is shielded from cancellation."""
        self._ended = True
        await trio.aclose_forcefully(self._socket_stream)

    def check_idle(self) -> None:
        """Let the reader apply the time limit for idle connections."""
        self._waiting.deadline = self._idle_until()

    async def _end(self) -> None:
        """Send the end of the connection and stop reading requests."""
        self._ended = True
        with contextlib.suppress(
            trio.BrokenResourceError,
            trio.BusyResourceError,
            trio.ClosedResourceError,
        ):
            await self._socket_stream.send_eof()
        self._reading.cancel()

    async def _read_data(self) -> None:
        with self._reading:
            while not self._ended:
                data = await self._receive()
                if data is None:
                    await self._end()
                    break
                await self.protocol.handle(hypercorn.events.RawData(data))
                if not data:
                    break
        await self.protocol.handle(hypercorn.events.Closed())
        if self._ended:
            await self._linger()

    async def _receive(self) -> bytes | None:
        """Return the next bytes, b'' at the end, None if idle too long."""
        try:
            if not await self._await_data():
                return None
            return bytes(
                await self._socket_stream.receive_some(tcp_server.MAX_RECV)
            )
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            return b''

    async def _await_data(self) -> bool:
        """Wait for data or an end; False if the connection is idle too long.

        Between the last look at the socket and the end of the connection, the
        reader doesn't let another task run.
        """
        while not has_unread(self._socket_stream):
            if self._idle_until() <= trio.current_time():
                return False
            with trio.CancelScope() as self._waiting:
                self.check_idle()
                await trio.lowlevel.wait_readable(self._socket_stream.socket)
        return True

    def _idle_until(self) -> float:
        """Return when the connection is closed unless data arrives."""
        if self._idle_since is None:
            return float('inf')
        if self._port.closing and self._h11.connection.trailing_data[0]:
            # The beginning of a request; it has until the drain deadline.
            return float('inf')
        return self._port.idle_until(self._idle_since)

    async def _linger(self) -> None:
        with (
            trio.move_on_after(LINGER_S),
            contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ),
        ):
            while await self._socket_stream.receive_some(tcp_server.MAX_RECV):
                pass
