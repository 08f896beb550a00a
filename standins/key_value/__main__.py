"""Key-value store process: ``python -m standins.key_value``."""

import argparse
import signal

import trio

from standins.key_value import _memory_store
from standins.key_value import _server


def main() -> None:
    """Serve a store until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        description='Stand-in for the key-value service (etcd v3 JSON).'
    )
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    args = parser.parse_args()
    trio.run(_run, args.host, args.port)


async def _run(host: str, port: int) -> None:
    sock = _server.listen(host, port)
    print(f'listening on {host}:{sock.getsockname()[1]}', flush=True)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

        async def stop() -> None:
            async for _ in signals:
                return

        await _server.serve(_memory_store.MemoryStore(), sock, stop)


if __name__ == '__main__':
    main()
