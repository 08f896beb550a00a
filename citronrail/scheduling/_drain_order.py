"""Order in which running tasks are drained from their workers.

Tasks leave data centres out of service and drained workers, and replicas that
don't match their changed service leave their workers. A replica is stopped
only when its replacement serves requests. Batch tasks are checkpointed with
limited concurrency: urgent tasks first, then those with the most work to lose.
"""

from collections.abc import Sequence
import dataclasses
import enum

from citronrail.model import specs


class DrainAction(enum.Enum):
    """Action on a running task."""

    REPLACE = 'replace'
    STOP = 'stop'
    CHECKPOINT = 'checkpoint'
    WAIT = 'wait'


class Replacement(enum.Enum):
    """State of the replacement of a replica that has to leave."""

    NONE = 'none'
    STARTING = 'starting'
    ANSWERS = 'answers'


@dataclasses.dataclass(frozen=True)
class DrainTask:
    """A task that has to leave.

    ``lost_s`` is the work in seconds since its last checkpoint,
    ``remaining_s`` the estimated remaining run time, and ``leaving_s`` the
    time since the drain began. ``replacement`` is None for batch tasks.
    """

    task: specs.TaskId
    replacement: Replacement | None = None
    lost_s: float = 0.0
    remaining_s: float = 0.0
    leaving_s: float = 0.0
    checkpointable: bool = True
    urgent: bool = False


@dataclasses.dataclass(frozen=True)
class DrainSettings:
    """Limits of a drain.

    ``checkpoints_at_once`` is the maximum number of concurrent checkpoints. A
    task that can't be checkpointed may continue for up to ``finish_s`` seconds
    if it is expected to finish by then.
    """

    checkpoints_at_once: int = 16
    finish_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class DrainStep:
    """One action on one task."""

    task: specs.TaskId
    action: DrainAction


def drain_steps(
    tasks: Sequence[DrainTask],
    checkpoints_in_progress: int,
    cfg: DrainSettings,
) -> tuple[DrainStep, ...]:
    """Return the next steps; called repeatedly until the drain ends.

    :param tasks: tasks that have to leave and aren't being stopped.
    :param checkpoints_in_progress: requested stops that aren't confirmed yet.
    :param cfg: limits.
    :returns: the steps in order; ``REPLACE`` requests a replica on another
        worker and keeps the task running.
    """
    batch = [item for item in tasks if item.replacement is None]
    return (
        *_replica_steps(tasks),
        *_batch_steps(batch, checkpoints_in_progress, cfg),
    )


def _replica_steps(tasks: Sequence[DrainTask]) -> list[DrainStep]:
    steps = []
    for item in sorted(tasks, key=lambda entry: entry.task):
        match item.replacement:
            case Replacement.NONE:
                steps.append(DrainStep(item.task, DrainAction.REPLACE))
            case Replacement.ANSWERS:
                steps.append(DrainStep(item.task, DrainAction.STOP))
            case _:
                pass
    return steps


def _batch_steps(
    batch: Sequence[DrainTask], in_progress: int, cfg: DrainSettings
) -> list[DrainStep]:
    free_checkpoints = max(0, cfg.checkpoints_at_once - in_progress)
    steps = []
    for item in sorted(batch, key=_batch_order):
        if not item.checkpointable:
            # Waiting for a task that can't finish in time would only delay
            # its restart.
            may_finish = item.remaining_s <= cfg.finish_s - item.leaving_s
            action = DrainAction.WAIT if may_finish else DrainAction.STOP
            steps.append(DrainStep(item.task, action))
        elif free_checkpoints > 0:
            free_checkpoints -= 1
            steps.append(DrainStep(item.task, DrainAction.CHECKPOINT))
    return steps


def _batch_order(item: DrainTask) -> tuple[bool, float, specs.TaskId]:
    """Order by urgency, then by the work at risk if hosts are cut off."""
    return (not item.urgent, -item.lost_s, item.task)
