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
KEEP_ALIVE_S = 75.0  # longer than usual clients and load balancers keep idle
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
    """Serve an application until told to stop.

    After ``shutdown`` no connection is accepted, idle ones are closed, and
    requests in progress have ``drain_s`` seconds to end.

    :param app: an ASGI application.
    :param host: IP address to listen at.
    :param port: port to listen at; 0 chooses a free one.
    :param name: what the port is for, used in events.
    :param shutdown: set to stop.
    :param drain_s: longest time for requests in progress, in seconds.
    :param task_status: started with the port once it listens.
    """
    config = hypercorn.config.Config()
    config.bind = [f'{host}:{port}']
    config.graceful_timeout = drain_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = 2 * MAX_HEADER_BYTES
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = _quiet_log(name)
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            _serve, _checked(app, shutdown), config, shutdown
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


def _checked(app: AsgiApp, shutdown: trio.Event) -> AsgiApp:
    """Refuse HTTP/2, and end kept connections at a planned stop.

    hypercorn can't break an HTTP/2 stream off visibly. A client that is told
    of the end of its connection sends no further request into it.
    """

    async def checked(
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
            await app(scope, receive, _uncut(send_closing))

    return checked


def _uncut(send: Send) -> Send:
    """Let the last message of an answer pass as a whole.

    Once it is out, quart-trio cancels the handler, which is still inside the
    call. Hypercorn would then not watch the connection for idleness: it would
    stay open until the drain deadline, and without any limit before.
    """

    async def shielded(message: dict[str, typing.Any]) -> None:
        body = message['type'] == 'http.response.body'
        last = body and not message.get('more_body', False)
        with trio.CancelScope(shield=last):
            await send(message)

    return shielded


def _quiet_log(name: str) -> logging.Logger:
    """Return a logger for hypercorn; answers broken off are no errors."""
    logger = logging.getLogger(f'citronrail.http.{name}')
    logger.setLevel(logging.CRITICAL)
    logger.propagate = False
    return logger
