"""Serves the stand-in store on a socket."""

import collections.abc
import logging
import socket

import hypercorn.config
import hypercorn.trio
import trio

from standins.key_value import _gateway
from standins.key_value import _memory_store

LISTEN_BACKLOG = 256


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket.

    :param host: IP address to bind to.
    :param port: port, 0 for any free one.
    :returns: the socket.
    """
    sock = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


async def serve(
    store: _memory_store.MemoryStore,
    sock: socket.socket,
    stop: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a store until ``stop`` returns.

    :param store: store to serve.
    :param sock: listening socket, closed when the server ends.
    :param stop: awaited; its return ends the server.
    """
    cfg = hypercorn.config.Config()
    cfg.bind = [f'fd://{sock.detach()}']  # hypercorn closes it
    cfg.graceful_timeout = 0.5
    cfg.keep_alive_timeout = 3600.0
    cfg.keep_alive_max_requests = 10**9
    cfg.loglevel = 'ERROR'
    cfg.errorlog = logging.getLogger('hypercorn.error')
    task_status.started()
    await hypercorn.trio.serve(
        _gateway.make_app(store), cfg, shutdown_trigger=stop
    )
