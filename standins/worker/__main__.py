"""Run the worker stand-in: ``python -m standins.worker --config FILE``."""

import argparse
import functools
import pathlib
import signal
import sys
import time

import httpx
import hypercorn.config
import hypercorn.trio
import trio

from citronrail.model import codec
from citronrail.model import identifiers
from standins.worker import _memory_worker
from standins.worker import _service
from standins.worker import _settings


def main() -> int:
    """Run until SIGTERM or SIGINT.

    :returns: exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--config', type=pathlib.Path, required=True)
    args = parser.parse_args()
    cfg = codec.from_json(args.config.read_bytes(), _settings.WorkerSettings)
    trio.run(serve, cfg)
    return 0


async def serve(cfg: _settings.WorkerSettings) -> None:
    """Serve the worker's HTTP port until a stop signal.

    :param cfg: settings.
    """
    async with httpx.AsyncClient(timeout=5.0) as client:
        checkpoints: _memory_worker.CheckpointStore
        checkpoints = _memory_worker.MemoryCheckpoints()
        if cfg.checkpoint_url:
            checkpoints = _service.HttpCheckpoints(client, cfg.checkpoint_url)
        worker = _memory_worker.MemoryWorker(
            cfg, identifiers.new_boot_id(), checkpoints, time.monotonic
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_service.advance_periodically, worker)
            if cfg.history_file:
                path = pathlib.Path(cfg.history_file)
                nursery.start_soon(_service.write_history, worker, path)
            if cfg.backend_url:
                nursery.start_soon(
                    _service.sync_services, worker, client, cfg.backend_url
                )
            await run_app(_service.make_app(worker), cfg.host, cfg.port)
            nursery.cancel_scope.cancel()


async def run_app(app: object, host: str, port: int) -> None:
    """Serve an application until SIGTERM or SIGINT."""
    server_cfg = hypercorn.config.Config()
    server_cfg.bind = [f'{host}:{port}']
    server_cfg.graceful_timeout = 0.5
    server_cfg.keep_alive_timeout = 60.0
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait_for_signal, stop)
        binds = await nursery.start(
            functools.partial(
                hypercorn.trio.serve,
                app,
                server_cfg,
                shutdown_trigger=stop.wait,
            )
        )
        sys.stdout.write(f'listening on {binds[0]}\n')
        sys.stdout.flush()
        await stop.wait()


async def _wait_for_signal(stop: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return


if __name__ == '__main__':
    sys.exit(main())
