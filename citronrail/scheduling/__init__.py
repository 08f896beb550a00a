"""Scheduling of jobs and services onto workers."""

from citronrail.scheduling._agent_loss import agent_tasks_ended_at
from citronrail.scheduling._agent_loss import QuietSpan
from citronrail.scheduling._cancellation import CancelResult
from citronrail.scheduling._context import Limits
from citronrail.scheduling._decision_adapters import build_policies
from citronrail.scheduling._decision_adapters import PlacementDecider
from citronrail.scheduling._job_scheduler import JobScheduler
from citronrail.scheduling._least_loaded import default_policies
from citronrail.scheduling._least_loaded import LeastLoadedPlacement
from citronrail.scheduling._placement import placement_policy
from citronrail.scheduling._policies import Policies
from citronrail.scheduling._shard_state import ShardState
from citronrail.scheduling._task_runner import TaskRunner

__all__ = [
    'CancelResult',
    'JobScheduler',
    'LeastLoadedPlacement',
    'Limits',
    'PlacementDecider',
    'Policies',
    'QuietSpan',
    'ShardState',
    'TaskRunner',
    'agent_tasks_ended_at',
    'build_policies',
    'default_policies',
    'placement_policy',
]
