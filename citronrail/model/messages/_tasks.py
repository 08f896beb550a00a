"""Messages about tasks, between owners of job shards and agents."""

import dataclasses

from citronrail.model import identifiers
from citronrail.model.messages import _registry
from citronrail.model import outcome as outcomes
from citronrail.model import resources
from citronrail.model import specs


@dataclasses.dataclass(frozen=True)
class RunningTask:
    """An attempt that the agent's worker holds.

    ``state`` is one of ``starting``, ``running``, ``throttled``,
    ``checkpointing``, or ``ended`` for an attempt whose report is not yet
    acknowledged.
    """

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    spec: specs.TaskSpec
    state: str
    started_at: float  # on the sender's clock


@dataclasses.dataclass(frozen=True)
class TaskUsage:
    """Usage of one attempt, measured at ``measured_at``.

    ``slowdown`` is the measured run time divided by that of the same work
    without interference, at least 1.0. ``co_runners`` are the classes of the
    other tasks that ran on the host when it was measured,
    ``co_runner_shares`` the share of its processors that each of them was
    limited to (empty: none was throttled), and ``host_load`` the share of the
    host's processors in use.
    """

    attempt: specs.AttemptId
    work_class: identifiers.WorkClass
    usage: resources.Resources
    slowdown: float
    co_runners: tuple[identifiers.WorkClass, ...]
    measured_at: float  # on the sender's clock
    co_runner_shares: tuple[float, ...] = ()
    host_load: float = 0.5


@dataclasses.dataclass(frozen=True)
class TeamReservation:
    """What the running tasks of a team reserve on the sender's host."""

    team: identifiers.TeamName
    reserved: resources.Resources


@_registry.message
class UsageReport:
    """Agent to entry, every few seconds; usage may be out of date."""

    boot_id: identifiers.BootId
    clock: float  # the sender's monotonic clock
    usage: tuple[TaskUsage, ...] = ()
    reserved: tuple[TeamReservation, ...] = ()


@_registry.message
class StartTask:
    """Owner of a range to agent; refused after ``start_before``."""

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    spec: specs.TaskSpec
    settings_version: int
    start_before: float


@_registry.message
class StartReply:
    """Agent to owner: whether the attempt was started.

    ``outcome`` is ``done``, ``not run`` (refused for ``reason``) or
    ``unknown``; after ``unknown`` a :class:`TaskReport` follows.
    ``checkpoint_lost`` means that the platform no longer has the checkpoint,
    so that no other worker can resume from it either.
    """

    attempt: specs.AttemptId
    outcome: outcomes.Outcome
    reason: str = ''
    checkpoint_lost: bool = False


@_registry.message
class StopTask:
    """Owner to agent: stop attempts; answered by a :class:`TaskReport`."""

    attempts: tuple[specs.AttemptId, ...]
    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    checkpoint: bool = False
    reason: str = ''


@_registry.message
class TaskQuery:
    """Owner to agent: asks for the state of attempts.

    Answered by a :class:`TaskQueryReply` from a list that the agent
    requested from its worker after the query arrived.
    """

    attempts: tuple[specs.AttemptId, ...]
    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken


@_registry.message
class TaskQueryReply:
    """Agent to owner: the state of the requested attempts.

    An attempt in ``absent`` does not run, and a late :class:`StartTask` for it
    is refused. One in neither list is being started or has ended; a
    :class:`StartReply` or :class:`TaskReport` follows. ``throttled`` lists
    those of ``running`` that are limited to a share of their processors.
    """

    range_id: identifiers.RangeId
    running: tuple[specs.AttemptId, ...] = ()
    absent: tuple[specs.AttemptId, ...] = ()
    throttled: tuple[specs.AttemptId, ...] = ()


@_registry.message
class ThrottleTask:
    """Owner to agent: limit an attempt to a share of its processors."""

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    share: float


@_registry.message
class TaskReport:
    """Agent to owner: an attempt ended; repeated until acknowledged.

    ``state`` is ``finished``, ``failed``, ``stopped``, ``checkpointed`` or
    ``lost`` (the worker no longer knows it). ``checkpoint`` is the token to
    resume from, or ''.
    """

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    state: str
    result: str = ''
    checkpoint: str = ''
    run_s: float = 0.0
    usage: resources.Resources = resources.Resources()
    reason: str = ''


@_registry.message
class TaskReportAck:
    """Owner to agent: the report is committed and may be deleted."""

    attempts: tuple[specs.AttemptId, ...]
