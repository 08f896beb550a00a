"""Many small workers in one process: ``python -m measure._hosts FILE``.

Each worker has its own port and runs its tasks without using a processor.
The process also announces services to the agents, as the backend servers of
each host would.
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

ANNOUNCE_EACH_S = 1.0


@dataclasses.dataclass(frozen=True)
class SmallHost:
    """One worker and the agent beside it."""

    worker_port: int
    agent_url: str


@dataclasses.dataclass(frozen=True)
class Hosts:
    """All workers of a process; each host announces ``services``."""

    hosts: tuple[SmallHost, ...]
    settings: worker.WorkerSettings
    services: tuple[str, ...]


async def serve(cfg: Hosts) -> None:
    """Serve all workers until ended.

    :param cfg: what to serve.
    """
    async with trio.open_nursery() as nursery:
        for number, host in enumerate(cfg.hosts):
            small = worker.MemoryWorker(
                cfg.settings,
                identifiers.new_boot_id(),
                worker.MemoryCheckpoints(),
                time.monotonic,
            )
            hyper = hypercorn.config.Config()
            hyper.bind = [f'127.0.0.1:{host.worker_port}']
            hyper.keep_alive_timeout = 60.0
            nursery.start_soon(_service.advance_periodically, small)
            nursery.start_soon(
                functools.partial(
                    hypercorn.trio.serve,
                    _service.make_app(small),
                    hyper,
                    shutdown_trigger=trio.sleep_forever,
                )
            )
            delay_s = number / len(cfg.hosts)
            nursery.start_soon(_announce, host, cfg.services, delay_s)


async def _announce(
    host: SmallHost, services: tuple[str, ...], delay_s: float
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
                    break  # the agent has not been started yet
            await trio.sleep(ANNOUNCE_EACH_S)


def main() -> None:
    """Read the file named on the command line and serve."""
    data = pathlib.Path(sys.argv[1]).read_bytes()
    trio.run(serve, codec.from_json(data, Hosts))


if __name__ == '__main__':
    main()
