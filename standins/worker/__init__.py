"""Stand-in for the platform's worker, for tests, drills and the demo."""

from standins.worker._core import HistoryRecord
from standins.worker._core import OverCapacity
from standins.worker._core import WorkerCore
from standins.worker._memory_worker import CheckpointStore
from standins.worker._memory_worker import MemoryCheckpoints
from standins.worker._memory_worker import MemoryWorker
from standins.worker._settings import Switches
from standins.worker._settings import WorkerSettings

__all__ = [
    'CheckpointStore',
    'HistoryRecord',
    'MemoryCheckpoints',
    'MemoryWorker',
    'OverCapacity',
    'Switches',
    'WorkerCore',
    'WorkerSettings',
]
