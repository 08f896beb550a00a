"""Serving HTTP with hypercorn under trio."""

import collections.abc
import functools
import logging
import typing

from hypercorn import app_wrappers
import hypercorn.config
from hypercorn.trio import lifespan as hypercorn_lifespan
import trio

from citronrail.adapters import _http_connection
from citronrail import observability
from citronrail.observability.catalogue import adapters as events

MAX_HEADER_BYTES = 16 * 1024
KEEP_ALIVE_S = (
    75.0  # longer than the idle timeout of clients and load balancers
)
DRAIN_S = 30.0
# Bounds the wait for the accept loop on a busy machine to 0.5 s.
ACCEPT_CHECKS = 50
ACCEPT_CHECK_S = 0.01
# Before the end of a drain, to write responses and close their connections.
LAST_ANSWERS_S = 0.25

Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]
AsgiApp = collections.abc.Callable[..., collections.abc.Awaitable[None]]


async def serve(
    app: AsgiApp,
    host: str,
    port: int,
    *,
    name: str,
    shutdown: trio.Event,
    drain_s: float = DRAIN_S,
    stop_by: collections.abc.Callable[[], float] = lambda: float('inf'),
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown`` is set.

    After ``shutdown``, responses end their connections, and requests in
    progress have ``drain_s`` seconds to complete. Connections are accepted
    for a moment longer, and idle ones stay open for as long, since a client
    may have sent a request already. Just before the end, requests without a
    response are answered with 504.

    :param app: an ASGI application.
    :param host: IP address to listen at.
    :param port: port to listen at; 0 chooses a free one.
    :param name: purpose of the port, used in events.
    :param shutdown: set to stop.
    :param drain_s: time limit for requests in progress, in seconds.
    :param stop_by: returns the local time by which the port has to be closed,
        called once ``shutdown`` is set.
    :param task_status: started with the port once it listens.
    """
    config = hypercorn.config.Config()
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = 2 * MAX_HEADER_BYTES
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = _silenced_logger(name)
    wrapped = app_wrappers.ASGIWrapper(typing.cast(typing.Any, _wrap_app(app)))
    state = _http_connection.Port(wrapped, config, name)
    async with trio.open_nursery() as nursery:
        lifespan = hypercorn_lifespan.Lifespan(wrapped, config, {})
        await nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        listeners = await trio.open_tcp_listeners(port, host=host)
        number = listeners[0].socket.getsockname()[1]
        observability.emit(
            events.HTTP_PORT_OPEN,
            name=name,
            address=f'http://{host}:{number}',
        )
        task_status.started(number)
        await _serve(state, listeners, shutdown, drain_s, stop_by)
        await lifespan.wait_for_shutdown()
        nursery.cancel_scope.cancel()
    observability.emit(events.HTTP_PORT_CLOSED, name=name)


async def _serve(
    state: _http_connection.Port,
    listeners: list[trio.SocketListener],
    shutdown: trio.Event,
    drain_s: float,
    stop_by: collections.abc.Callable[[], float],
) -> None:
    async with trio.open_nursery() as connections:
        try:
            ends_at = await _accept(
                state, listeners, connections, shutdown, drain_s, stop_by
            )
            with trio.move_on_at(ends_at - LAST_ANSWERS_S):
                await state.wait_closed()
            await state.end_requests()
            with trio.move_on_at(ends_at):
                await state.wait_closed()
        finally:
            with trio.CancelScope(shield=True):
                await state.close_forcefully()
        connections.cancel_scope.cancel()


async def _accept(
    state: _http_connection.Port,
    listeners: list[trio.SocketListener],
    connections: trio.Nursery,
    shutdown: trio.Event,
    drain_s: float,
    stop_by: collections.abc.Callable[[], float],
) -> float:
    """Accept connections until a moment after the shutdown.

    :returns: the local time by which the requests have to end.
    """
    async with trio.open_nursery() as accepting:
        accepting.start_soon(
            functools.partial(
                trio.serve_listeners,
                state.serve,
                listeners,
                handler_nursery=connections,
            )
        )
        await shutdown.wait()
        ends_at = min(trio.current_time() + drain_s, stop_by())
        state.stop()
        with trio.move_on_at(ends_at - LAST_ANSWERS_S):
            await trio.sleep(_http_connection.IDLE_GRACE_S)
            await _accept_waiting(listeners)
        accepting.cancel_scope.cancel()
    return ends_at


async def _accept_waiting(listeners: list[trio.SocketListener]) -> None:
    """Leave time to accept connections that the kernel has established."""
    for _ in range(ACCEPT_CHECKS):
        if not any(map(_http_connection.has_unread, listeners)):
            return
        await trio.sleep(ACCEPT_CHECK_S)


def _wrap_app(app: AsgiApp) -> AsgiApp:
    """Reject HTTP/2.

    hypercorn cannot abort an HTTP/2 stream in a way that the client notices.
    """

    async def wrapped(
        scope: dict[str, typing.Any],
        receive: typing.Any,
        send: typing.Any,
    ) -> None:
        if scope['type'] == 'http' and scope['http_version'][0] != '1':
            start = {'type': 'http.response.start', 'status': 505}
            await send({**start, 'headers': []})
            await send({'type': 'http.response.body', 'body': b''})
        else:
            await app(scope, receive, _shield_last_message(send))

    return wrapped


def _shield_last_message(send: Send) -> Send:
    """Shield the last message of a response from cancellation.

    quart-trio cancels the handler as soon as this message is written, while
    the call is still in progress. Hypercorn would then not start the idle
    timer of the connection, which would stay open until the drain deadline,
    or without limit if there is no shutdown.
    """

    async def send_shielded(message: dict[str, typing.Any]) -> None:
        body = message['type'] == 'http.response.body'
        last = body and not message.get('more_body', False)
        with trio.CancelScope(shield=last):
            await send(message)

    return send_shielded


def _silenced_logger(name: str) -> logging.Logger:
    """Return a logger for hypercorn that ignores aborted responses."""
    logger = logging.getLogger(f'citronrail.http.{name}')
    logger.setLevel(logging.CRITICAL)
    logger.propagate = False
    return logger
