"""Protocols between the scheduler and its policies."""

import collections.abc
import dataclasses
import typing

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.model import views


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """A task that needs a worker.

    ``resources`` is the amount to reserve. ``avoid`` names workers on which
    the task failed before. ``siblings`` are the nodes that already run
    replicas of the same service, ``sibling_places`` the data centres and
    racks of these nodes. ``deadline`` is Unix time in seconds.
    """

    task: specs.TaskId
    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    resources: resources.Resources
    expected_run_s: float
    priority: specs.Priority = specs.Priority.NORMAL
    service: identifiers.ServiceName | None = None
    exclusive: bool = False
    checkpointable: bool = True
    deadline: float | None = None
    avoid: tuple[identifiers.NodeId, ...] = ()
    siblings: tuple[identifiers.NodeId, ...] = ()
    sibling_places: tuple[tuple[identifiers.DataCentreName, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The task is unschedulable; ``reason`` is shown to its team."""

    reason: str


class PlacementPolicy(typing.Protocol):
    """Chooses the worker of one task.

    A call must take well under a millisecond for 64 candidates, since a round
    makes up to a few hundred calls.
    """

    def choose(
        self,
        request: PlacementRequest,
        candidates: tuple[views.AgentView, ...],
        now: float,
    ) -> identifiers.NodeId | Refusal | None:
        """Choose among candidates.

        :param request: the task to place.
        :param candidates: agents with enough free capacity, at least one;
            ``free`` excludes the placements made earlier in this round.
            Workers that are drained, on probation or in a data centre out of
            service are already filtered out.
        :param now: local monotonic time in seconds.
        :returns: node id of a candidate; None to retry later; or a refusal,
            which parks the job.
        """
        ...


@dataclasses.dataclass(frozen=True)
class PendingGroup:
    """Identical tasks of one job or service that are ready to start.

    ``owner`` is the job id or ``service:NAME``. Times are Unix time in
    seconds.
    """

    owner: str
    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    priority: specs.Priority
    resources: resources.Resources
    count: int
    pending_since: float
    expected_run_s: float
    finish_before: float | None = None
    service: identifiers.ServiceName | None = None


@dataclasses.dataclass(frozen=True)
class Allowance:
    """Permission to start up to ``count`` tasks of ``owner``."""

    owner: str
    count: int


class QuotaPolicy(typing.Protocol):
    """Orders pending tasks and limits how many each team may start."""

    def order(
        self,
        pending: tuple[PendingGroup, ...],
        usage: collections.abc.Mapping[
            identifiers.TeamName, resources.Resources
        ],
        capacity: resources.Resources,
        teams: collections.abc.Mapping[str, settings.TeamSettings],
        now: float,
    ) -> tuple[Allowance, ...]:
        """Decide which pending tasks may start next.

        :param pending: all groups with tasks that are ready to start.
        :param usage: reservations by team, as known to this process.
        :param capacity: capacity of all workers in service.
        :param teams: quotas from the settings.
        :param now: Unix time in seconds.
        :returns: allowances in the order in which tasks should start.
        """
        ...


class HealthTracker(typing.Protocol):
    """Tracks which workers fail their tasks."""

    def record(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        failed: bool,
        now: float,
    ) -> None:
        """Record the outcome of an attempt.

        :param worker: node id of the worker's agent.
        :param attempt: the attempt that ended.
        :param failed: True if it failed, False if it finished.
        :param now: local monotonic time in seconds.
        """
        ...

    def healthy(self, worker: identifiers.NodeId, now: float) -> bool:
        """Tell whether a failure on a worker is evidence against the job."""
        ...

    def may_start(self, worker: identifiers.NodeId, now: float) -> bool:
        """Tell whether one more task may be started on a worker now."""
        ...

    def started(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        now: float,
    ) -> None:
        """Record that an attempt was assigned, possibly as a trial."""
        ...


@dataclasses.dataclass(frozen=True)
class RunningView:
    """A running attempt, as known to the process that owns its range.

    ``started_at`` is Unix time in seconds. ``share`` is the share of its
    processors that the attempt may use.
    """

    attempt: specs.AttemptId
    node_id: identifiers.NodeId
    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    priority: specs.Priority
    resources: resources.Resources
    started_at: float
    expected_run_s: float
    service: identifiers.ServiceName | None = None
    checkpointable: bool = True
    exclusive: bool = False
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Throttle:
    """Limit an attempt to a share of its processors; 1.0 lifts the limit."""

    attempt: specs.AttemptId
    share: float


@dataclasses.dataclass(frozen=True)
class Evict:
    """Checkpoint an attempt, stop it and run it on another worker later."""

    attempt: specs.AttemptId
    reason: str


PressureAction = Throttle | Evict


class PressurePolicy(typing.Protocol):
    """Decides which running batch tasks to throttle or to evict."""

    def relieve(
        self,
        running: tuple[RunningView, ...],
        agents: tuple[views.AgentView, ...],
        waiting: tuple[PlacementRequest, ...],
        now: float,
    ) -> tuple[PressureAction, ...]:
        """Decide on actions; called about once a second for each shard.

        :param running: running attempts of the shard.
        :param agents: all agents, with their latest load.
        :param waiting: urgent tasks and replicas that could not be placed.
        :param now: local monotonic time in seconds.
        :returns: actions, those that lose the least work first.
        """
        ...


class UsageObserver(typing.Protocol):
    """Receives usage measurements and the outcomes of attempts."""

    def observe_usage(
        self,
        node_id: identifiers.NodeId,
        usage: tuple[messages.TaskUsage, ...],
        now: float,
    ) -> None:
        """Process delayed measurements of one worker.

        :param node_id: node id of the worker's agent.
        :param usage: measurements; ``measured_at`` refers to the clock of
            this process.
        :param now: local monotonic time in seconds.
        """
        ...

    def observe_end(
        self,
        spec: specs.TaskSpec,
        state: str,
        run_s: float,
        usage: resources.Resources,
        now: float,
    ) -> None:
        """Process the run time and peak usage of an attempt that ended.

        :param spec: specification of the task.
        :param state: as in :class:`citronrail.model.messages.TaskReport`.
        :param run_s: run time in seconds.
        :param usage: peak usage.
        :param now: local monotonic time in seconds.
        """
        ...


class Estimator(typing.Protocol):
    """Estimates the run time and size of tasks from observations."""

    def run_s(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared_run_s: float,
    ) -> float:
        """Return the expected run time in seconds."""
        ...

    def reservation(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared: resources.Resources,
    ) -> resources.Resources:
        """Return the amount to reserve for a task."""
        ...


@dataclasses.dataclass(frozen=True)
class Policies:
    """The policies that a scheduler uses."""

    placement: PlacementPolicy
    quotas: QuotaPolicy
    health: HealthTracker
    pressure: PressurePolicy
    estimator: Estimator
    observers: tuple[UsageObserver, ...] = ()
