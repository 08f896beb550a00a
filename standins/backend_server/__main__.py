"""Runs a stand-in backend server until SIGTERM.

Prints its address as one line of JSON once it is listening.
"""

import argparse
import functools
import json
import signal
import sys
import time

import httpx
import msgspec
import trio

from citronrail import adapters
from standins.backend_server import _app

ANNOUNCE_INTERVAL_S = 1.0
DRAIN_S = 20.0
LEAVING_ANNOUNCEMENT_S = 0.5  # for the agent to notify the entries


def main() -> None:
    """Read the configuration and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--config', required=True, help='JSON file, or JSON')
    text = parser.parse_args().config
    if not text.lstrip().startswith('{'):
        with open(text, encoding='utf-8') as file:
            text = file.read()
    cfg = msgspec.json.decode(text, type=_app.BackendConfig)
    trio.run(_serve, cfg)


async def _serve(cfg: _app.BackendConfig) -> None:
    work = _app.Workload(cfg)
    closing = trio.Event()
    async with trio.open_nursery() as signal_nursery:
        await signal_nursery.start(_handle_signals, work, closing)
        async with trio.open_nursery() as server_nursery:
            port = await server_nursery.start(
                functools.partial(
                    adapters.serve,
                    _app.backend_app(work),
                    cfg.host,
                    cfg.port,
                    name='backend server',
                    shutdown=closing,
                    drain_s=DRAIN_S,
                )
            )
            address = f'http://{cfg.host}:{port}'
            print(json.dumps({'address': address}), flush=True)
            if cfg.agent:
                await _announce(cfg, address, work)
        signal_nursery.cancel_scope.cancel()


async def _handle_signals(
    work: _app.Workload,
    closing: trio.Event,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Drain on the first signal; exit immediately on the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            if work.leaving.is_set():
                sys.exit(1)
            work.leaving.set()
            await trio.sleep(LEAVING_ANNOUNCEMENT_S)
            closing.set()


async def _announce(
    cfg: _app.BackendConfig, address: str, work: _app.Workload
) -> None:
    """Announce each service periodically and finally as leaving."""
    incarnation = cfg.incarnation or time.time_ns()
    announced: set[str] = set()
    async with httpx.AsyncClient(timeout=2.0, trust_env=False) as client:
        while True:
            leaving = work.leaving.is_set()
            changed = work.changed
            for service in announced | work.services:
                is_leaving = leaving or service not in work.services
                body = {
                    'address': address,
                    'incarnation': incarnation,
                    'leaving': is_leaving,
                }
                await _send_announcement(
                    client, f'{cfg.agent}/backends/{service}', body
                )
            announced = set(work.services)
            if leaving:
                return
            with trio.move_on_after(ANNOUNCE_INTERVAL_S):
                await _wait_for_any(work.leaving, changed)


async def _send_announcement(
    client: httpx.AsyncClient, url: str, body: dict[str, object]
) -> None:
    try:
        await client.put(url, json=body)
    except httpx.HTTPError as exc:
        print(f'cannot announce: {exc!r}', file=sys.stderr)


async def _wait_for_any(*events: trio.Event) -> None:
    """Wait until one of the events is set."""
    async with trio.open_nursery() as nursery:
        for event in events:
            nursery.start_soon(_wait_and_cancel, event, nursery.cancel_scope)


async def _wait_and_cancel(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


if __name__ == '__main__':
    main()
