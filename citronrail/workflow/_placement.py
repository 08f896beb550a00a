"""Which worker runs a task.

Answers the load of many wide steps at once beside long-running tasks that
serve users: tasks that serve are kept together, tasks that fill idle
processors go where nothing serves, and short tasks go where most is idle.
"""

import dataclasses
import typing

from citronrail.model import workflows

REMOTE_PENALTY = 0.5
SLOW_PENALTY = 1.5
AVOIDED_PENALTY = 3.0
SERVING_PENALTY = 0.6  # for a filling task beside one that serves
FILLED_PENALTY = 0.5  # for a serving task beside those that fill
TOGETHER_BONUS = 0.3
SAME_RACK_BONUS = 1.0
# A filling task starts where at least this share of its processors is idle;
# with less it would only slow down those that fill there already.
LEAST_IDLE_SHARE = 0.75


@dataclasses.dataclass(slots=True)
class Room:
    """What is left on a worker; updated as tasks are placed there.

    ``idle_cpu`` is what neither reserved nor filling tasks use, in
    thousandths of a core.
    """

    node: str
    worker_id: str
    data_centre: str
    labels: frozenset[str]
    rack: str
    total_cpu: int
    free_cpu: int
    free_memory: int
    free_accelerators: int
    idle_cpu: int
    serving: int = 0
    filling: int = 0
    speed: float = 1.0
    avoided: bool = False
    per_step: dict[str, int] = dataclasses.field(default_factory=dict)

    def take(self, step: workflows.StepSpec, step_name: str) -> None:
        """Reserve the room of one task."""
        self.free_memory -= step.memory_mb
        self.free_accelerators -= step.accelerators
        self.idle_cpu -= step.cpu_millis
        if step.fills:
            self.filling += 1
        else:
            self.free_cpu -= step.cpu_millis
        if step.latency_target_ms:
            self.serving += 1
        self.per_step[step_name] = self.per_step.get(step_name, 0) + 1


class Rejection(typing.NamedTuple):
    """Why no worker takes a task now."""

    reason: str


def fits(step: workflows.StepSpec, step_name: str, room: Room) -> bool:
    """Whether the rules allow a task of this step there now.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param room: the worker.
    """
    if step.memory_mb > room.free_memory:
        return False
    if not step.fills and step.cpu_millis > room.free_cpu:
        return False
    if step.accelerators > room.free_accelerators:
        return False
    if step.required_label and step.required_label not in room.labels:
        return False
    limit = step.max_per_worker
    return not (limit and room.per_step.get(step_name, 0) >= limit)


def worth_starting(step: workflows.StepSpec, room: Room) -> bool:
    """Whether a task would make progress there.

    :param step: the task's step; only those that fill depend on idle
        processors.
    :param room: the worker.
    """
    if not step.fills or not step.cpu_millis:
        return True
    return room.idle_cpu >= step.cpu_millis * LEAST_IDLE_SHARE


def score(step: workflows.StepSpec, room: Room) -> float:
    """Rate a worker for a task; more is better.

    :param step: the task's step.
    :param room: a worker where it fits.
    """
    total = max(1, room.total_cpu)
    value = (room.idle_cpu - step.cpu_millis) / total
    if step.preferred_rack:
        if room.rack == step.preferred_rack:
            value += SAME_RACK_BONUS
        else:
            value -= REMOTE_PENALTY
    if step.fills:
        value -= SERVING_PENALTY if room.serving else 0.0
    elif step.latency_target_ms:
        value += TOGETHER_BONUS if room.serving else 0.0
        value -= FILLED_PENALTY * room.filling / (room.filling + 4)
    if room.speed < 0.6:
        value -= SLOW_PENALTY * (1.0 - room.speed)
    if room.avoided:
        value -= AVOIDED_PENALTY
    return value


def choose(
    step: workflows.StepSpec,
    step_name: str,
    rooms: typing.Iterable[Room],
    *,
    shunned: typing.Collection[str] = (),
) -> Room | None:
    """Choose the worker for a task.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param rooms: the usable workers of the queue's service.
    :param shunned: agents whose worker has failed this task or runs it.
    :returns: the worker, None if the task has to wait.
    """
    best = None
    best_score = float('-inf')
    for room in rooms:
        if room.avoided or room.node in shunned:
            continue
        if not fits(step, step_name, room) or not worth_starting(step, room):
            continue
        value = score(step, room)
        if value > best_score:
            best, best_score = room, value
    return best


def choose_for_gang(
    step: workflows.StepSpec,
    step_name: str,
    rooms: typing.Sequence[Room],
    count: int,
) -> list[Room]:
    """Choose workers for all tasks of a gang.

    :param step: the gang's step.
    :param step_name: identity of the step.
    :param rooms: the usable workers; reserved room is taken from them only
        if all tasks fit.
    :param count: number of tasks.
    :returns: one worker for each task, empty if not all fit.
    """
    groups: list[list[Room]] = [list(rooms)]
    if step.rack_local:
        by_rack: dict[str, list[Room]] = {}
        for room in rooms:
            by_rack.setdefault(room.rack, []).append(room)
        groups = [*by_rack.values(), list(rooms)]
    for group in groups:
        copies = [
            dataclasses.replace(room, per_step=dict(room.per_step))
            for room in group
        ]
        originals = {room.node: room for room in group}
        chosen = []
        for _ in range(count):
            found = choose(step, step_name, copies)
            if found is None:
                break
            found.take(step, step_name)
            chosen.append(originals[found.node])
        if len(chosen) == count:
            return chosen
    return []
