"""Stand-in for the platform's shared checkpoint store."""

from standins.checkpoints._service import make_app

__all__ = ['make_app']
