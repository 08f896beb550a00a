"""Runs one program on the platform: ``python -m citronrail.platform``."""

import sys

from citronrail.platform import _program

sys.exit(_program.main())
