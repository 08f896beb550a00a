"""Stand-in for the users' platform: its store and worker over HTTP."""

from standins.platform._store_app import store_app
from standins.platform._store_app import StoreFaults
from standins.platform._worker_app import worker_app

__all__ = [
    'StoreFaults',
    'store_app',
    'worker_app',
]
