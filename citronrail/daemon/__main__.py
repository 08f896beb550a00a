"""Run with ``python -m citronrail.daemon``."""

import sys

from citronrail.daemon import _program

if __name__ == '__main__':
    sys.exit(_program.main())
