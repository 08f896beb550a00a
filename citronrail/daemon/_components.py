"""Components and values created from the settings of a process."""

import pathlib
import random

import trio

from citronrail import adapters
from citronrail.daemon import _process_settings
from citronrail import observability
from citronrail.observability.catalogue import daemon as events


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``.

    :param address: a validated address from the process settings.
    :returns: the IP address and the port number.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def curve_files(
    cfg: _process_settings.ProcessSettings,
) -> adapters.CurveFiles | None:
    """Return the key files of a process, None if it uses no keys."""
    if cfg.keys is None:
        return None
    return adapters.CurveFiles(
        own_key=pathlib.Path(cfg.keys.own),
        server_key=pathlib.Path(cfg.keys.entries),
        allowed_keys=pathlib.Path(cfg.keys.accepted),
    )


def seeded_random(node_id: str) -> random.Random:
    """Return a random generator for the process and log its seed."""
    seed = random.SystemRandom().getrandbits(64)
    observability.emit(events.SEEDED, node=node_id, seed=seed)
    return random.Random(seed)


def peer_addresses(
    cfg: _process_settings.ProcessSettings,
) -> tuple[str, ...]:
    """Return the configured peer addresses as ``tcp://IP:PORT``."""
    return tuple(f'tcp://{address}' for address in cfg.entries)


# A port is closed this long before the drain of its process is cancelled.
CLOSE_MARGIN_S = 0.2


class HttpPort:
    """An HTTP server as a component with graceful shutdown.

    :param app: an ASGI application.
    :param address: ``IP:PORT``.
    :param name: purpose of the port.
    :param drain_s: time limit for requests in progress, in seconds.
    """

    def __init__(
        self, app: adapters.AsgiApp, address: str, name: str, drain_s: float
    ) -> None:
        self._app = app
        self._address = address
        self._name = name
        self._drain_s = drain_s
        self._shutdown = trio.Event()
        self._closed = trio.Event()
        self._stop_by = float('inf')
        self.port = 0

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled or drained."""
        host, port = split_address(self._address)
        async with trio.open_nursery() as nursery:
            self.port = await nursery.start(self._serve, host, port)
            task_status.started()

    async def _serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await adapters.serve(
            self._app,
            host,
            port,
            name=self._name,
            shutdown=self._shutdown,
            drain_s=self._drain_s,
            stop_by=lambda: self._stop_by,
            task_status=task_status,
        )
        self._closed.set()

    async def drain(self) -> None:
        """Stop accepting connections and wait for requests in progress.

        The requests end before the caller's cancel scope does.
        """
        self._stop_by = trio.current_effective_deadline() - CLOSE_MARGIN_S
        self._shutdown.set()
        await self._closed.wait()


async def idle(
    *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Run until cancelled; for components that only drain."""
    task_status.started()
    await trio.sleep_forever()
