"""Many in-memory workers in one process: ``python -m measure._hosts FILE``.

Each worker has its own port and simulates its tasks without processor load.
The process also announces services to the agents in place of the backend
servers of each host.
"""

import dataclasses
import functools
import pathlib
import sys
import time

import httpx
import hypercorn.config
import hypercorn.trio
import trio

from citronrail.model import codec
from citronrail.model import identifiers
from standins import worker
from standins.worker import _service

ANNOUNCE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class HostAddresses:
    """Port of a worker and URL of the agent on its host."""

    worker_port: int
    agent_url: str


@dataclasses.dataclass(frozen=True)
class Hosts:
    """All workers of a process; each host announces ``services``."""

    hosts: tuple[HostAddresses, ...]
    settings: worker.WorkerSettings
    services: tuple[str, ...]


async def serve(cfg: Hosts) -> None:
    """Serve all workers until cancelled.

    :param cfg: the hosts and their settings.
    """
    async with trio.open_nursery() as nursery:
        for number, host in enumerate(cfg.hosts):
            memory_worker = worker.MemoryWorker(
                cfg.settings,
                identifiers.new_boot_id(),
                worker.MemoryCheckpoints(),
                time.monotonic,
            )
            server_cfg = hypercorn.config.Config()
            server_cfg.bind = [f'127.0.0.1:{host.worker_port}']
            server_cfg.keep_alive_timeout = 60.0
            nursery.start_soon(_service.advance_periodically, memory_worker)
            nursery.start_soon(
                functools.partial(
                    hypercorn.trio.serve,
                    _service.make_app(memory_worker),
                    server_cfg,
                    shutdown_trigger=trio.sleep_forever,
                )
            )
            delay_s = number / len(cfg.hosts)
            nursery.start_soon(_announce, host, cfg.services, delay_s)


async def _announce(
    host: HostAddresses, services: tuple[str, ...], delay_s: float
) -> None:
    await trio.sleep(delay_s)
    body = {'address': 'http://127.0.0.1:9', 'incarnation': time.time_ns()}
    async with httpx.AsyncClient(timeout=2.0, trust_env=False) as client:
        while True:
            for service in services:
                try:
                    url = f'{host.agent_url}/backends/{service}'
                    await client.put(url, json={**body, 'leaving': False})
                except httpx.HTTPError:
                    break  # the agent hasn't been started yet
            await trio.sleep(ANNOUNCE_INTERVAL_S)


def main() -> None:
    """Serve the hosts described in the file given as first argument."""
    data = pathlib.Path(sys.argv[1]).read_bytes()
    trio.run(serve, codec.from_json(data, Hosts))


if __name__ == '__main__':
    main()
