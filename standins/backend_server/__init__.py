"""A backend server for drills, measurements and the demo."""

from standins.backend_server._app import backend_app
from standins.backend_server._app import BackendConfig
from standins.backend_server._app import pattern
from standins.backend_server._app import Workload
from standins.backend_server._history import History
from standins.backend_server._history import RunRecord

__all__ = [
    'BackendConfig',
    'History',
    'RunRecord',
    'Workload',
    'backend_app',
    'pattern',
]
