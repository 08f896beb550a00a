"""Order in which running work leaves a data centre that is taken out.

No task starts there any more. A replica of a service is stopped only when
its replacement answers elsewhere or enough others remain; batch work is
checkpointed, the most costly to lose first, in bounded waves.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from citronrail.model import identifiers
from citronrail.model import specs


class DrainAction(enum.Enum):
    """What to do with a running task."""

    REPLACE = 'replace'
    STOP = 'stop'
    CHECKPOINT = 'checkpoint'
    WAIT = 'wait'


@dataclasses.dataclass(frozen=True)
class DrainTask:
    """A task that runs in the data centre.

    ``lost_s`` is the work in seconds since its last checkpoint and
    ``remaining_s`` the estimated rest of its run.
    """

    task: specs.TaskId
    service: identifiers.ServiceName | None = None
    lost_s: float = 0.0
    remaining_s: float = 0.0
    checkpointable: bool = True
    exclusive: bool = False


@dataclasses.dataclass(frozen=True)
class ServiceReplicas:
    """Replicas of a service: wanted, answering in the data centre and not.

    ``starting_elsewhere`` counts replacements that don't answer yet.
    """

    wanted: int
    answering_here: int
    answering_elsewhere: int
    starting_elsewhere: int = 0


@dataclasses.dataclass(frozen=True)
class DrainSettings:
    """Limits of a drain.

    ``checkpoints_at_once`` bounds the checkpoints under way in the data
    centre. ``min_answering_share`` is the part of a service's wanted replicas
    that must keep answering when a replica is stopped before its replacement
    answers, which is done only after ``patience_s`` seconds.
    A task that can't be checkpointed may run on for ``finish_s`` seconds.
    """

    checkpoints_at_once: int = 16
    min_answering_share: float = 0.5
    patience_s: float = 30.0
    finish_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class DrainStep:
    """One action on one task."""

    task: specs.TaskId
    action: DrainAction


def drain_steps(
    tasks: Sequence[DrainTask],
    services: Mapping[identifiers.ServiceName, ServiceReplicas],
    checkpoints_under_way: int,
    elapsed_s: float,
    cfg: DrainSettings,
) -> tuple[DrainStep, ...]:
    """Return what to do now; called again as the drain proceeds.

    :param tasks: tasks that still run there and aren't being stopped.
    :param services: replicas of each service in ``tasks``.
    :param checkpoints_under_way: stops asked for but not yet confirmed.
    :param elapsed_s: seconds since the data centre was taken out.
    :param cfg: limits.
    :returns: steps in order; ``REPLACE`` asks for a replica elsewhere and
        leaves the task running.
    """
    replicas = [item for item in tasks if item.service is not None]
    batch = [item for item in tasks if item.service is None]
    steps = _replica_steps(replicas, services, elapsed_s, cfg)
    steps += _batch_steps(batch, checkpoints_under_way, elapsed_s, cfg)
    return tuple(steps)


def _replica_steps(
    replicas: Sequence[DrainTask],
    services: Mapping[identifiers.ServiceName, ServiceReplicas],
    elapsed_s: float,
    cfg: DrainSettings,
) -> list[DrainStep]:
    steps = []
    state = dict(services)
    for item in sorted(replicas, key=lambda entry: entry.task):
        if item.service is None:
            continue
        counts = state.get(item.service, ServiceReplicas(1, 1, 0))
        if _may_stop(counts, elapsed_s, cfg):
            steps.append(DrainStep(item.task, DrainAction.STOP))
            state[item.service] = dataclasses.replace(
                counts, answering_here=counts.answering_here - 1
            )
        elif _wants_replacement(counts):
            steps.append(DrainStep(item.task, DrainAction.REPLACE))
            state[item.service] = dataclasses.replace(
                counts, starting_elsewhere=counts.starting_elsewhere + 1
            )
    return steps


def _may_stop(
    counts: ServiceReplicas, elapsed_s: float, cfg: DrainSettings
) -> bool:
    left = counts.answering_here - 1 + counts.answering_elsewhere
    if left >= counts.wanted:
        return True
    if elapsed_s < cfg.patience_s:
        return False
    return left >= max(1, round(cfg.min_answering_share * counts.wanted))


def _wants_replacement(counts: ServiceReplicas) -> bool:
    elsewhere = counts.answering_elsewhere + counts.starting_elsewhere
    return elsewhere < counts.wanted


def _batch_steps(
    batch: Sequence[DrainTask],
    under_way: int,
    elapsed_s: float,
    cfg: DrainSettings,
) -> list[DrainStep]:
    room = max(0, cfg.checkpoints_at_once - under_way)
    left_s = cfg.finish_s - elapsed_s
    steps = []
    for item in sorted(batch, key=_batch_order):
        if not item.checkpointable:
            waits = item.remaining_s <= left_s
            action = DrainAction.WAIT if waits else DrainAction.STOP
            steps.append(DrainStep(item.task, action))
        elif room > 0:
            room -= 1
            steps.append(DrainStep(item.task, DrainAction.CHECKPOINT))
    return steps


def _batch_order(item: DrainTask) -> tuple[float, specs.TaskId]:
    """The most work at risk first, should the data centre be cut off."""
    return (-item.lost_s, item.task)
