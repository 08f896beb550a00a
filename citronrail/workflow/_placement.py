"""Which worker runs a task.

Answers the load of many wide steps at once beside long-running tasks that
serve users: tasks that serve are kept together, tasks that fill idle
processors go where nothing serves, and short tasks go where most is idle.
"""

import dataclasses
import typing

from citronrail.model import workflows
from citronrail.workflow import _interference

OTHER_RACK_PENALTY = 0.5
SLOW_WORKER_PENALTY = 1.5
SLOW_SPEED_RATIO = 0.6  # of the fleet's median; above it speed isn't looked at
PACE_WEIGHT = 0.6  # between a pace of 0 and full pace
PREFERRED_MIN_PACE_PERCENT = (
    90  # percent; a filling task waits for a worker that allows it
)
# Between a light and a heavy filling image on a worker where nothing serves.
NO_SERVING_TASK_WEIGHT = 0.4
SAME_IMAGE_SCORE = 1.3  # serving tasks of the same image on the worker
OTHER_IMAGE_SCORE = -0.3  # serving tasks of another image on the worker
SAME_RACK_BONUS = 1.0
FAILED_THERE_PENALTY = 3.0  # where the task has failed
# A serving task uses about this share of its reserved processors; filling
# tasks get the rest.
SERVING_CPU_USE_RATIO = 0.5
# A filling task starts where at least this share of its processors is idle;
# with less it would only slow down those that fill there already.
MIN_IDLE_CPU_RATIO = 0.75
# A filling task waits this long for a worker where it does no harm.
LOW_IMPACT_WAIT_S = 25.0


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
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
    serving: tuple[_interference.ServingTask, ...] = ()
    best_effort: list[_interference.BestEffortTask] = dataclasses.field(
        default_factory=list
    )
    speed: float = 1.0
    avoided: bool = False
    target_violated: bool = False  # a serving task keeps missing its target
    tasks_per_step: dict[str, int] = dataclasses.field(default_factory=dict)

    def reserve(
        self, step: workflows.StepSpec, step_name: str, unmeasured: bool = True
    ) -> None:
        """Reserve the room of one task.

        :param step: the task's step.
        :param step_name: identity of the step.
        :param joining: whether no measurement shows the task yet.
        """
        self.free_memory -= step.memory_mb
        self.free_accelerators -= step.accelerators
        use = SERVING_CPU_USE_RATIO if step.latency_target_ms else 1.0
        self.idle_cpu -= step.cpu_millis * use
        if step.fills:
            self.best_effort.append(
                _interference.best_effort_task(step, self.total_cpu)
            )
        else:
            self.free_cpu -= step.cpu_millis
        if step.latency_target_ms and unmeasured:
            self.serving += (
                _interference.ServingTask(
                    step.image, _interference.PRIOR_LOAD
                ),
            )
        self.tasks_per_step[step_name] = (
            self.tasks_per_step.get(step_name, 0) + 1
        )


def fits(
    step: workflows.StepSpec, step_name: str, candidate: WorkerCapacity
) -> bool:
    """Whether the rules allow a task of this step there now.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param room: the worker.
    """
    if step.memory_mb > candidate.free_memory:
        return False
    if not step.fills and step.cpu_millis > candidate.free_cpu:
        return False
    if step.accelerators > candidate.free_accelerators:
        return False
    if step.required_label and step.required_label not in candidate.labels:
        return False
    limit = step.max_per_worker
    return not (limit and candidate.tasks_per_step.get(step_name, 0) >= limit)


def has_idle_cpu(step: workflows.StepSpec, candidate: WorkerCapacity) -> bool:
    """Whether a task would make progress there.

    :param step: the task's step; only those that fill depend on idle
        processors.
    :param room: the worker.
    """
    if not step.fills or not step.cpu_millis:
        return True
    return candidate.idle_cpu >= step.cpu_millis * MIN_IDLE_CPU_RATIO


def score(
    step: workflows.StepSpec,
    candidate: WorkerCapacity,
    factors: _interference.PairFactors,
    pace: int,
) -> float:
    """Rate a worker for a task; more is better.

    :param step: the task's step.
    :param room: a worker where it fits.
    :param factors: learned interference of pairs of images.
    :param pace: the pace at which it may start there, in percent.
    """
    total = max(1, candidate.total_cpu)
    value = (candidate.idle_cpu - step.cpu_millis) / total
    if step.preferred_rack:
        if candidate.rack == step.preferred_rack:
            value += SAME_RACK_BONUS
        else:
            value -= OTHER_RACK_PENALTY
    if step.fills:
        value += _best_effort_score(step, candidate, factors, pace)
    elif step.latency_target_ms:
        value += _serving_score(step, candidate, factors)
    if candidate.speed < SLOW_SPEED_RATIO:
        value -= SLOW_WORKER_PENALTY * (1.0 - candidate.speed)
    return value


def initial_pace(
    step: workflows.StepSpec,
    candidate: WorkerCapacity,
    factors: _interference.PairFactors,
) -> int:
    """Return the pace at which a task may start on a worker, in percent."""
    if not step.fills:
        return _interference.FULL_PACE_PERCENT
    return _interference.admissible_pace(
        candidate.serving,
        tuple(candidate.best_effort),
        _interference.best_effort_task(step, candidate.total_cpu),
        factors,
    )


def _best_effort_score(
    step: workflows.StepSpec,
    candidate: WorkerCapacity,
    factors: _interference.PairFactors,
    pace: int,
) -> float:
    """Rate a worker by what a filling task would do to its serving tasks."""
    if not candidate.serving:
        heavy = min(1.5, factors.mean_factor(step.image))
        return PACE_WEIGHT + NO_SERVING_TASK_WEIGHT * (heavy - 0.5)
    return PACE_WEIGHT * pace / _interference.FULL_PACE_PERCENT


def _serving_score(
    step: workflows.StepSpec,
    candidate: WorkerCapacity,
    factors: _interference.PairFactors,
) -> float:
    """Rate the tasks that a serving task would find on a worker.

    Serving tasks of one image are kept together, so that each filling image
    finds workers where it does no harm.
    """
    value = -factors.added_utilisation(
        step.image, tuple(candidate.best_effort)
    )
    if candidate.serving:
        same = any(task.image == step.image for task in candidate.serving)
        value += SAME_IMAGE_SCORE if same else OTHER_IMAGE_SCORE
    return max(-2.0, value)


def choose_worker(
    step: workflows.StepSpec,
    step_name: str,
    candidates: typing.Iterable[WorkerCapacity],
    factors: _interference.PairFactors,
    *,
    wait_for_low_impact: bool = False,
    avoid_nodes: typing.Collection[str] = (),
) -> WorkerCapacity | None:
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
    for candidate in candidates:
        if candidate.avoided or not fits(step, step_name, candidate):
            continue
        if not has_idle_cpu(step, candidate):
            continue
        if step.fills and candidate.target_violated:
            continue
        least = PREFERRED_MIN_PACE_PERCENT if wait_for_low_impact else 0
        pace = initial_pace(step, candidate, factors)
        if pace < least:
            continue
        value = score(step, candidate, factors, pace)
        if candidate.node in avoid_nodes:
            value -= FAILED_THERE_PENALTY
        if value > best_score:
            best, best_score = candidate, value
    return best


def choose_workers_for_gang(
    step: workflows.StepSpec,
    step_name: str,
    candidates: typing.Sequence[WorkerCapacity],
    count: int,
    factors: _interference.PairFactors,
) -> list[WorkerCapacity]:
    """Choose workers for all tasks of a gang.

    :param step: the gang's step.
    :param step_name: identity of the step.
    :param rooms: the usable workers; reserved room is taken from them only
        if all tasks fit.
    :param count: number of tasks.
    :param factors: learned interference of pairs of images.
    :returns: one worker for each task, empty if not all fit.
    """
    groups: list[list[WorkerCapacity]] = [list(candidates)]
    if step.rack_local:
        by_rack: dict[str, list[WorkerCapacity]] = {}
        for candidate in candidates:
            by_rack.setdefault(candidate.rack, []).append(candidate)
        groups = [*by_rack.values(), list(candidates)]
    for group in groups:
        copies = [
            dataclasses.replace(
                candidate,
                tasks_per_step=dict(candidate.tasks_per_step),
                best_effort=list(candidate.best_effort),
            )
            for candidate in group
        ]
        originals = {candidate.node: candidate for candidate in group}
        chosen = []
        for _ in range(count):
            found = choose_worker(step, step_name, copies, factors)
            if found is None:
                break
            found.reserve(step, step_name)
            chosen.append(originals[found.node])
        if len(chosen) == count:
            return chosen
    return []
