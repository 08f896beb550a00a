"""What the scheduler asks of its policies, as small protocols."""

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
    the task failed before. ``siblings`` are the nodes that already hold
    replicas of the same service, ``sibling_places`` their data centres and
    racks. ``deadline`` is Unix time in seconds.
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
    """The task can never run; ``reason`` is shown to its team."""

    reason: str


class PlacementPolicy(typing.Protocol):
    """Chooses the worker of one task.

    A call must take well under a millisecond for 64 candidates: a round
    makes up to a few hundred.
    """

    def choose(
        self,
        request: PlacementRequest,
        candidates: tuple[views.AgentView, ...],
        now: float,
    ) -> identifiers.NodeId | Refusal | None:
        """Choose among candidates.

        :param request: the task to place.
        :param candidates: agents in which the task fits now; ``free`` is
            what is left after the placements of this round. Data centres out
            of service, drained workers and workers on probation are already
            left out. Not empty.
        :param now: local monotonic time in seconds.
        :returns: node id of a candidate; None to try again later; or a
            refusal, which parks the job.
        """
        ...


@dataclasses.dataclass(frozen=True)
class PendingGroup:
    """Equal tasks of one job or service that could start now.

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
    """Up to ``count`` tasks of ``owner`` may start."""

    owner: str
    count: int


class QuotaPolicy(typing.Protocol):
    """Orders the pending work and bounds what each team may start."""

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

        :param pending: all groups with tasks that could start.
        :param usage: reservations by team that this process knows of.
        :param capacity: capacity of all workers in service.
        :param teams: quotas from the settings.
        :param now: Unix time in seconds.
        :returns: allowances in starting order.
        """
        ...


class HealthTracker(typing.Protocol):
    """Follows which workers fail the tasks they are given."""

    def record(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        failed: bool,
        now: float,
    ) -> None:
        """Note how an attempt ended.

        :param worker: node id of the worker's agent.
        :param attempt: the attempt that ended.
        :param failed: True if it failed, False if it finished.
        :param now: local monotonic time in seconds.
        """
        ...

    def healthy(self, worker: identifiers.NodeId, now: float) -> bool:
        """Tell whether failures on a worker speak against the task."""
        ...

    def may_start(self, worker: identifiers.NodeId, now: float) -> bool:
        """Tell whether a worker may be given one more task now."""
        ...

    def started(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        now: float,
    ) -> None:
        """Note that an attempt was assigned, perhaps as a trial."""
        ...


@dataclasses.dataclass(frozen=True)
class RunningView:
    """A running attempt as the owner of its range knows it.

    ``started_at`` is Unix time in seconds.
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
    """Limit an attempt to a share of its processors; 1.0 lifts it."""

    attempt: specs.AttemptId
    share: float


@dataclasses.dataclass(frozen=True)
class Evict:
    """Checkpoint an attempt and run it elsewhere later."""

    attempt: specs.AttemptId
    reason: str


Relief = Throttle | Evict


class PressurePolicy(typing.Protocol):
    """Decides which running batch tasks to slow down or to evict."""

    def relieve(
        self,
        running: tuple[RunningView, ...],
        agents: tuple[views.AgentView, ...],
        waiting: tuple[PlacementRequest, ...],
        now: float,
    ) -> tuple[Relief, ...]:
        """Decide on relief; called about once a second for each shard.

        :param running: running attempts of the shard.
        :param agents: all agents, with their latest load.
        :param waiting: urgent tasks and replicas that found no worker.
        :param now: local monotonic time in seconds.
        :returns: reliefs, cheapest lost work first.
        """
        ...


class UsageObserver(typing.Protocol):
    """Learns from usage measurements and from attempts that ended."""

    def observe_usage(
        self,
        node_id: identifiers.NodeId,
        usage: tuple[messages.TaskUsage, ...],
        now: float,
    ) -> None:
        """Take in late measurements of one worker.

        :param node_id: node id of the worker's agent.
        :param usage: measurements; ``measured_at`` is on this process's
            clock.
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
        """Take in how long an attempt ran and what it used.

        :param spec: what was started.
        :param state: as in :class:`citronrail.model.messages.TaskReport`.
        :param run_s: run time in seconds.
        :param usage: largest usage seen.
        :param now: local monotonic time in seconds.
        """
        ...


class Estimator(typing.Protocol):
    """Estimates run time and size from observation."""

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
    """The policies that a scheduler works with."""

    placement: PlacementPolicy
    quotas: QuotaPolicy
    health: HealthTracker
    pressure: PressurePolicy
    estimator: Estimator
    observers: tuple[UsageObserver, ...] = ()
