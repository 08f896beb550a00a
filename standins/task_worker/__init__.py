"""Stand-in for a worker that runs workflow tasks under leases."""

from standins.task_worker._history import RunHistory
from standins.task_worker._history import TaskRecord
from standins.task_worker._memory_worker import MemoryTaskWorker
from standins.task_worker._memory_worker import TaskPlan
from standins.task_worker._memory_worker import WorkerFaults

__all__ = [
    'MemoryTaskWorker',
    'RunHistory',
    'TaskPlan',
    'TaskRecord',
    'WorkerFaults',
]
