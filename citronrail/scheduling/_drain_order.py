"""Order in which running work leaves where it can't stay.

Work leaves a data centre or worker that is taken out, and replicas that don't
fit their changed service leave their workers. A replica is stopped only when
its own replacement answers; batch work is checkpointed, urgent work first and
then the most costly to lose, in bounded waves.
"""

from collections.abc import Sequence
import dataclasses
import enum

from citronrail.model import specs


class DrainAction(enum.Enum):
    """What to do with a running task."""

    REPLACE = 'replace'
    STOP = 'stop'
    CHECKPOINT = 'checkpoint'
    WAIT = 'wait'


class Replacement(enum.Enum):
    """Where the replica stands that takes the place of a leaving one."""

    NONE = 'none'
    STARTING = 'starting'
    ANSWERS = 'answers'


@dataclasses.dataclass(frozen=True)
class DrainTask:
    """A task that has to leave.

    ``lost_s`` is the work in seconds since its last checkpoint,
    ``remaining_s`` the estimated rest of its run, and ``leaving_s`` how long
    it has had to leave. ``replacement`` is None for batch work.
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

    ``checkpoints_at_once`` bounds the checkpoints under way. A task that
    can't be checkpointed may run on for ``finish_s`` seconds if it is
    expected to finish by then.
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
    checkpoints_under_way: int,
    cfg: DrainSettings,
) -> tuple[DrainStep, ...]:
    """Return what to do now; called again as the drain proceeds.

    :param tasks: tasks that have to leave and aren't being stopped.
    :param checkpoints_under_way: stops asked for but not yet confirmed.
    :param cfg: limits.
    :returns: steps in order; ``REPLACE`` asks for a replica elsewhere and
        leaves the task running.
    """
    batch = [item for item in tasks if item.replacement is None]
    return (
        *_replica_steps(tasks),
        *_batch_steps(batch, checkpoints_under_way, cfg),
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
    batch: Sequence[DrainTask], under_way: int, cfg: DrainSettings
) -> list[DrainStep]:
    room = max(0, cfg.checkpoints_at_once - under_way)
    steps = []
    for item in sorted(batch, key=_batch_order):
        if not item.checkpointable:
            # Waiting for a task that will not finish in time only delays it.
            waits = item.remaining_s <= cfg.finish_s - item.leaving_s
            action = DrainAction.WAIT if waits else DrainAction.STOP
            steps.append(DrainStep(item.task, action))
        elif room > 0:
            room -= 1
            steps.append(DrainStep(item.task, DrainAction.CHECKPOINT))
    return steps


def _batch_order(item: DrainTask) -> tuple[bool, float, specs.TaskId]:
    """Urgent work, then the most work at risk should the hosts be cut off."""
    return (not item.urgent, -item.lost_s, item.task)
