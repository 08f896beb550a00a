"""Workflows (jobs of dependent steps): acceptance, scheduling, execution."""

from citronrail.workflow._caller_service import CallerService
from citronrail.workflow._caller_service import Reply
from citronrail.workflow._documents import CONTROL_PREFIX
from citronrail.workflow._documents import JobStatus
from citronrail.workflow._election import connect_to_leader
from citronrail.workflow._election import Election
from citronrail.workflow._election import LeaderView
from citronrail.workflow._entry_ring import EntryRing
from citronrail.workflow._observed_store import ObservedStore
from citronrail.workflow._operator_view import OperatorView
from citronrail.workflow._prefix_follower import FAST_MAX_RETRY_S
from citronrail.workflow._prefix_follower import follow
from citronrail.workflow._prefix_follower import MAX_RETRY_S
from citronrail.workflow._relay import Relay
from citronrail.workflow._relay import serves_callers
from citronrail.workflow._verdict import Verdict
from citronrail.workflow._worker_agent import WorkerAgent

__all__ = [
    'CONTROL_PREFIX',
    'FAST_MAX_RETRY_S',
    'MAX_RETRY_S',
    'CallerService',
    'Election',
    'EntryRing',
    'JobStatus',
    'LeaderView',
    'ObservedStore',
    'OperatorView',
    'Relay',
    'Reply',
    'Verdict',
    'WorkerAgent',
    'connect_to_leader',
    'follow',
    'serves_callers',
]
