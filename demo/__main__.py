"""Starts, exercises and stops a complete system: ``python -m demo``."""

import sys
import tempfile

import trio

from demo import _run

if __name__ == '__main__':
    with tempfile.TemporaryDirectory(prefix='citronrail-demo-') as name:
        sys.exit(trio.run(_run.main, name))
