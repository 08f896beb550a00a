"""Translates between the users' platform and citronrail.

Nothing outside this package knows the platform's names. Programs are started
with ``python -m citronrail.platform``.
"""

from citronrail.platform._program import main

__all__ = ['main']
