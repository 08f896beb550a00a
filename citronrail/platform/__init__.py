"""Adapter between the users' platform and citronrail.

No other package uses the names of the platform's interfaces. Programs are
started with ``python -m citronrail.platform``.
"""

from citronrail.platform._program import main

__all__ = ['main']
