"""Runs the command-line tool as ``python -m citronrail.cli``."""

import sys

from citronrail.cli import _main

if __name__ == '__main__':
    sys.exit(_main.main())
