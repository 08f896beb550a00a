"""Serving HTTP with hypercorn under trio."""

import collections.abc
import logging
import typing

import hypercorn.config
import hypercorn.trio
import trio

from citronrail import observability
from citronrail.observability.catalogue import adapters as events

MAX_HEADER_BYTES = 16 * 1024
KEEP_ALIVE_S = (
    75.0  # longer than the idle timeout of clients and load balancers
)
DRAIN_S = 30.0
_RESPONSE_START = 'http.response.start'

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
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown`` is set.

    After ``shutdown`` no connection is accepted, idle ones are closed, and
    requests in progress have ``drain_s`` seconds to complete.

    :param app: an ASGI application.
    :param host: IP address to listen at.
    :param port: port to listen at; 0 chooses a free one.
    :param name: purpose of the port, used in events.
    :param shutdown: set to stop.
    :param drain_s: time limit for requests in progress, in seconds.
    :param task_status: started with the port once it listens.
    """
    config = hypercorn.config.Config()
    config.bind = [f'{host}:{port}']
    config.graceful_timeout = drain_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = 2 * MAX_HEADER_BYTES
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = _silenced_logger(name)
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            _serve, _wrap_app(app, shutdown), config, shutdown
        )
        address = binds[0]
        observability.emit(events.HTTP_PORT_OPEN, name=name, address=address)
        task_status.started(int(address.rsplit(':', 1)[1]))
    observability.emit(events.HTTP_PORT_CLOSED, name=name)


async def _serve(
    app: AsgiApp,
    config: hypercorn.config.Config,
    shutdown: trio.Event,
    task_status: trio.TaskStatus[list[str]],
) -> None:
    await hypercorn.trio.serve(
        typing.cast(typing.Any, app),
        config,
        shutdown_trigger=shutdown.wait,
        task_status=task_status,
        mode='asgi',
    )


def _wrap_app(app: AsgiApp, shutdown: trio.Event) -> AsgiApp:
    """Reject HTTP/2, and close persistent connections during shutdown.

    hypercorn cannot abort an HTTP/2 stream in a way that the client notices.
    During shutdown, ``connection: close`` keeps a client from sending another
    request on a connection that is about to be closed.
    """

    async def wrapped(
        scope: dict[str, typing.Any],
        receive: typing.Any,
        send: typing.Any,
    ) -> None:
        async def send_closing(message: dict[str, typing.Any]) -> None:
            if shutdown.is_set() and message['type'] == _RESPONSE_START:
                headers = [*message['headers'], (b'connection', b'close')]
                message = {**message, 'headers': headers}
            await send(message)

        if scope['type'] == 'http' and scope['http_version'][0] != '1':
            start = {'type': _RESPONSE_START, 'status': 505}
            await send({**start, 'headers': []})
            await send({'type': 'http.response.body', 'body': b''})
        else:
            await app(scope, receive, _shield_last_message(send_closing))

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
