"""Which worker runs a task.

Answers the load of many wide steps at once beside long-running tasks that
serve users: tasks that serve are kept together, tasks that fill idle
processors go where nothing serves, and short tasks go where most is idle.
"""

import dataclasses
import typing

from citronrail.model import workflows
from citronrail.workflow import _interference

REMOTE_PENALTY = 0.5
SLOW_PENALTY = 1.5
SLOW_SPEED = 0.6  # of the fleet's median; above it speed isn't looked at
PACE_WEIGHT = 0.6  # between a pace of 0 and full pace
PATIENT_PACE = 90  # percent; a filling task waits for a worker that allows it
# Between a light and a heavy filling image on a worker where nothing serves.
FREE_WORKER_WEIGHT = 0.4
TOGETHER_BONUS = 1.3  # serving tasks of the same image on the worker
COMPANY_BONUS = -0.3  # serving tasks of another image on the worker
SAME_RACK_BONUS = 1.0
SHUNNED_PENALTY = 3.0  # where the task has failed
# A serving task uses about this share of its reserved processors; filling
# tasks get the rest.
SERVING_USE = 0.5
# A filling task starts where at least this share of its processors is idle;
# with less it would only slow down those that fill there already.
LEAST_IDLE_SHARE = 0.75
# A filling task waits this long for a worker where it does no harm.
PATIENCE_S = 25.0


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
    idle_cpu: float
    serving: tuple[_interference.Serving, ...] = ()
    filling: list[_interference.Filling] = dataclasses.field(
        default_factory=list
    )
    speed: float = 1.0
    avoided: bool = False
    in_emergency: bool = False  # a serving task keeps missing its target
    per_step: dict[str, int] = dataclasses.field(default_factory=dict)

    def take(
        self, step: workflows.StepSpec, step_name: str, joining: bool = True
    ) -> None:
        """Reserve the room of one task.

        :param step: the task's step.
        :param step_name: identity of the step.
        :param joining: whether no measurement shows the task yet.
        """
        self.free_memory -= step.memory_mb
        self.free_accelerators -= step.accelerators
        use = SERVING_USE if step.latency_target_ms else 1.0
        self.idle_cpu -= step.cpu_millis * use
        if step.fills:
            self.filling.append(
                _interference.filling_task(step, self.total_cpu)
            )
        else:
            self.free_cpu -= step.cpu_millis
        if step.latency_target_ms and joining:
            self.serving += (
                _interference.Serving(step.image, _interference.ASSUMED_LOAD),
            )
        self.per_step[step_name] = self.per_step.get(step_name, 0) + 1


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


def score(
    step: workflows.StepSpec,
    room: Room,
    factors: _interference.PairFactors,
    pace: int,
) -> float:
    """Rate a worker for a task; more is better.

    :param step: the task's step.
    :param room: a worker where it fits.
    :param factors: learned interference of pairs of images.
    :param pace: the pace at which it may start there, in percent.
    """
    total = max(1, room.total_cpu)
    value = (room.idle_cpu - step.cpu_millis) / total
    if step.preferred_rack:
        if room.rack == step.preferred_rack:
            value += SAME_RACK_BONUS
        else:
            value -= REMOTE_PENALTY
    if step.fills:
        value += _harmlessness(step, room, factors, pace)
    elif step.latency_target_ms:
        value += _company(step, room, factors)
    if room.speed < SLOW_SPEED:
        value -= SLOW_PENALTY * (1.0 - room.speed)
    return value


def starting_pace(
    step: workflows.StepSpec,
    room: Room,
    factors: _interference.PairFactors,
) -> int:
    """Return the pace at which a task may start on a worker, in percent."""
    if not step.fills:
        return _interference.FULL_PACE
    return _interference.affordable_pace(
        room.serving,
        tuple(room.filling),
        _interference.filling_task(step, room.total_cpu),
        factors,
    )


def _harmlessness(
    step: workflows.StepSpec,
    room: Room,
    factors: _interference.PairFactors,
    pace: int,
) -> float:
    """Rate a worker by what a filling task would do to its serving tasks."""
    if not room.serving:
        heavy = min(1.5, factors.heaviness(step.image))
        return PACE_WEIGHT + FREE_WORKER_WEIGHT * (heavy - 0.5)
    return PACE_WEIGHT * pace / _interference.FULL_PACE


def _company(
    step: workflows.StepSpec,
    room: Room,
    factors: _interference.PairFactors,
) -> float:
    """Rate the tasks that a serving task would find on a worker.

    Serving tasks of one image are kept together, so that each filling image
    finds workers where it does no harm.
    """
    value = -factors.added(step.image, tuple(room.filling))
    if room.serving:
        same = any(task.image == step.image for task in room.serving)
        value += TOGETHER_BONUS if same else COMPANY_BONUS
    return max(-2.0, value)


def choose(
    step: workflows.StepSpec,
    step_name: str,
    rooms: typing.Iterable[Room],
    factors: _interference.PairFactors,
    *,
    patient: bool = False,
    shunned: typing.Collection[str] = (),
) -> Room | None:
    """Choose the worker for a task.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param rooms: the usable workers of the queue's service.
    :param factors: learned interference of pairs of images.
    :param patient: rather wait than do harm.
    :param shunned: agents whose worker is taken only if no other is left.
    :returns: the worker, None if the task has to wait.
    """
    best = None
    best_score = float('-inf')
    for room in rooms:
        if room.avoided or not fits(step, step_name, room):
            continue
        if not worth_starting(step, room):
            continue
        if step.fills and room.in_emergency:
            continue
        least = PATIENT_PACE if patient else 0
        pace = starting_pace(step, room, factors)
        if pace < least:
            continue
        value = score(step, room, factors, pace)
        if room.node in shunned:
            value -= SHUNNED_PENALTY
        if value > best_score:
            best, best_score = room, value
    return best


def choose_for_gang(
    step: workflows.StepSpec,
    step_name: str,
    rooms: typing.Sequence[Room],
    count: int,
    factors: _interference.PairFactors,
) -> list[Room]:
    """Choose workers for all tasks of a gang.

    :param step: the gang's step.
    :param step_name: identity of the step.
    :param rooms: the usable workers; reserved room is taken from them only
        if all tasks fit.
    :param count: number of tasks.
    :param factors: learned interference of pairs of images.
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
            dataclasses.replace(
                room,
                per_step=dict(room.per_step),
                filling=list(room.filling),
            )
            for room in group
        ]
        originals = {room.node: room for room in group}
        chosen = []
        for _ in range(count):
            found = choose(step, step_name, copies, factors)
            if found is None:
                break
            found.take(step, step_name)
            chosen.append(originals[found.node])
        if len(chosen) == count:
            return chosen
    return []
