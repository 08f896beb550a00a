"""Baseline policies without learning, such as least loaded placement."""

import collections.abc

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _policies

_PRIORITY_RANK = {
    specs.Priority.URGENT: 0,
    specs.Priority.NORMAL: 2,
    specs.Priority.LOW: 3,
}


class LeastLoadedPlacement:
    """Chooses the worker with the lowest utilization.

    Replicas prefer data centres and racks with the fewest replicas of the same
    service. Workers on which the task failed are chosen last.
    """

    def choose(
        self,
        request: _policies.PlacementRequest,
        candidates: tuple[views.AgentView, ...],
        now: float,
    ) -> identifiers.NodeId | _policies.Refusal | None:
        """Choose among candidates; see the protocol."""
        del now
        if not candidates:
            return None
        best = min(candidates, key=lambda view: _placement_cost(request, view))
        return best.node_id


def _placement_cost(
    request: _policies.PlacementRequest, view: views.AgentView
) -> tuple[int, int, int, int, float]:
    if not request.sibling_places and not request.avoid:
        return (0, 0, 0, 0, _utilization(view))
    location = (view.data_centre, view.rack)
    return (
        1 if view.node_id in request.avoid else 0,
        sum(1 for dc, _ in request.sibling_places if dc == location[0]),
        sum(1 for other in request.sibling_places if other == location),
        1 if view.node_id in request.siblings else 0,
        _utilization(view),
    )


def _utilization(view: views.AgentView) -> float:
    """Return the largest used share of any resource, from 0.0 to 1.0."""
    pairs = (
        (view.free.millicores, view.capacity.millicores),
        (view.free.memory_mb, view.capacity.memory_mb),
        (view.free.accelerators, view.capacity.accelerators),
    )
    return max(
        (1.0 - free / total for free, total in pairs if total), default=1.0
    )


class PriorityQuotaPolicy:
    """Orders by urgency and deadline, without quotas."""

    def order(
        self,
        pending: tuple[_policies.PendingGroup, ...],
        usage: collections.abc.Mapping[
            identifiers.TeamName, resources.Resources
        ],
        capacity: resources.Resources,
        teams: collections.abc.Mapping[str, settings.TeamSettings],
        now: float,
    ) -> tuple[_policies.Allowance, ...]:
        """Order pending groups; see the protocol."""
        del usage, capacity, teams, now
        return tuple(
            _policies.Allowance(group.owner, group.count)
            for group in sorted(pending, key=starting_order)
        )


def starting_order(
    group: _policies.PendingGroup,
) -> tuple[int, float, float, str]:
    """Return the sort key of a pending group.

    Replicas and urgent tasks come first, then tasks with a deadline, then
    other tasks.
    """
    rank = _PRIORITY_RANK[group.priority]
    deadline = float('inf')
    if group.service is not None:
        rank = 0
    elif group.finish_before is not None:
        rank = min(rank, 1)
        deadline = group.finish_before - group.expected_run_s
    return (rank, deadline, group.pending_since, group.owner)


class AlwaysHealthy:
    """Treats all workers as healthy."""

    def record(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        failed: bool,
        now: float,
    ) -> None:
        """Ignore how an attempt ended."""

    def healthy(self, worker: identifiers.NodeId, now: float) -> bool:
        """Return True."""
        del worker, now
        return True

    def may_start(self, worker: identifiers.NodeId, now: float) -> bool:
        """Return True."""
        del worker, now
        return True

    def started(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        now: float,
    ) -> None:
        """Ignore the start of an attempt."""


class NoPressureActions:
    """Never throttles or evicts."""

    def relieve(
        self,
        running: tuple[_policies.RunningView, ...],
        agents: tuple[views.AgentView, ...],
        waiting: tuple[_policies.PlacementRequest, ...],
        now: float,
    ) -> tuple[_policies.PressureAction, ...]:
        """Return no actions."""
        del running, agents, waiting, now
        return ()


class DeclaredValueEstimator:
    """Returns the declared values as estimates."""

    def run_s(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared_run_s: float,
    ) -> float:
        """Return the declared run time in seconds."""
        del team, work_class
        return declared_run_s

    def reservation(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared: resources.Resources,
    ) -> resources.Resources:
        """Return the declared amount."""
        del team, work_class
        return declared


def default_policies() -> _policies.Policies:
    """Return the baseline policies, which are also used by tests."""
    return _policies.Policies(
        placement=LeastLoadedPlacement(),
        quotas=PriorityQuotaPolicy(),
        health=AlwaysHealthy(),
        pressure=NoPressureActions(),
        estimator=DeclaredValueEstimator(),
    )
