"""Entry point of ``python -m citronrail.platform``."""

import sys

from citronrail.platform import _program

sys.exit(_program.main())
