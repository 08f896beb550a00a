"""Stand-in for the users' platform: its store and worker over HTTP."""

from standins.platform._heartbeats import heartbeat
from standins.platform._heartbeats import malformed_body
from standins.platform._store_app import store_app
from standins.platform._store_app import StoreFaults
from standins.platform._worker_app import worker_app

__all__ = [
    'StoreFaults',
    'heartbeat',
    'malformed_body',
    'store_app',
    'worker_app',
]
