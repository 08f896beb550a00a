"""Run the checkpoint store: ``python -m standins.checkpoints``."""

import argparse
import sys

import trio

from standins.checkpoints import _service
from standins.worker import __main__ as worker_main


def main() -> int:
    """Run until SIGTERM or SIGINT.

    :returns: exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    args = parser.parse_args()
    trio.run(worker_main.run_app, _service.make_app(), args.host, args.port)
    return 0


if __name__ == '__main__':
    sys.exit(main())
