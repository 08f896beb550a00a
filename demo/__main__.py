"""Run with ``python -m demo``; starts, uses and stops a whole system."""

import sys
import tempfile

import trio

from demo import _run

if __name__ == '__main__':
    with tempfile.TemporaryDirectory(prefix='citronrail-demo-') as name:
        sys.exit(trio.run(_run.main, name))
