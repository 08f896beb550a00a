"""Placement: scores the workers for a task and picks the best one.

The policy targets fleets that run many wide steps beside latency-critical
serving tasks. Serving tasks of one image are packed together, best-effort
tasks (steps with ``fills``) prefer workers without serving tasks, and short
tasks prefer the worker with the most idle processors.

A best-effort task has a pace: its CPU limit in percent of the processors
that it asks for.
"""

import dataclasses
import typing

from citronrail.model import workflows
from citronrail.workflow import _interference

OTHER_RACK_PENALTY = 0.5
SLOW_WORKER_PENALTY = 1.5
# Share of the fleet's median speed below which a worker is penalised.
SLOW_SPEED_RATIO = 0.6
PACE_WEIGHT = 0.6  # score difference between a pace of 0 and full pace
# While it may still wait, a best-effort task takes only workers that allow at
# least this pace.
PREFERRED_MIN_PACE_PERCENT = 90
# Weight of a best-effort image's mean interference factor on workers without
# serving tasks: images that interfere more get a higher score there.
NO_SERVING_TASK_WEIGHT = 0.4
SAME_IMAGE_SCORE = 1.3  # the worker serves the same image already
OTHER_IMAGE_SCORE = -0.3  # the worker serves other images only
SAME_RACK_BONUS = 1.0
FAILED_THERE_PENALTY = 3.0  # the last failed run of the task was there
# Expected use of the processors that a serving task reserves; best-effort
# tasks may use the rest.
SERVING_CPU_USE_RATIO = 0.5
# A best-effort task needs this share of its processors idle; with less it
# would only slow down the best-effort tasks that are there already.
MIN_IDLE_CPU_RATIO = 0.75
# Where serving tasks are kept apart, no best-effort task starts at a lower
# pace: it would be stopped again.
MIN_PACE_BESIDE_SERVING_PERCENT = 50
# Score for each unit of utilisation that a best-effort task adds to the
# serving task that it harms most. A serving task over its target costs its
# users four times as much as one that is down.
HARM_WEIGHT = 4.0
# Weight of an image's mean factor on workers without serving tasks where
# serving tasks are kept apart; harmless images then leave these workers free.
APART_WEIGHT = 0.8
# Likeness assumed for two serving images without a common measured pair: it
# puts new images beside others, which keeps workers free of serving tasks.
UNKNOWN_LIKENESS = 0.7
# How long the tasks of a best-effort step wait for a worker that allows
# PREFERRED_MIN_PACE_PERCENT.
LOW_IMPACT_WAIT_S = 25.0
# Runs of a worker that it has not listed yet. An agent orders starts one by
# one; with thousands of them the last ones came after their deadline.
MAX_NEW_RUNS = 120


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
    """Remaining capacity of a worker during a scheduling round.

    CPU figures are in thousandths of a core. ``free_cpu`` is not reserved;
    ``idle_cpu`` is what is expected to be left by all tasks, best-effort ones
    included.
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
    total_memory: int = 0
    total_accelerators: int = 0
    avoided: bool = False
    has_unknown_runs: bool = False  # it is avoided for these
    reserved: bool = False  # only a suspected task may start there
    held: bool = False  # it is reserved for one that has not started yet
    target_violated: bool = False  # a latency target is missed persistently
    # Whether serving tasks and the best-effort tasks that harm them are kept
    # on different workers as far as there is room.
    keeps_apart: bool = False
    best_effort_barred: bool = False  # no best-effort task may start there
    tasks_per_step: dict[str, int] = dataclasses.field(default_factory=dict)
    new_runs: int = 0  # that the worker has not listed yet

    @property
    def overcommitted(self) -> bool:
        """Whether the runs there need more than the worker has."""
        return (
            self.free_cpu < 0
            or self.free_memory < 0
            or self.free_accelerators < 0
        )

    def reserve(
        self, step: workflows.StepSpec, step_name: str, unmeasured: bool = True
    ) -> None:
        """Subtract the demand of one task.

        :param step: the task's step.
        :param step_name: identity of the step.
        :param unmeasured: whether the task is missing from the worker's
            latency measurements; a serving task is then added with a
            prior load.
        """
        self.new_runs += 1
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
            self.best_effort_barred = self.keeps_apart
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
    """Whether a worker satisfies all hard constraints of a step.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param candidate: the worker.
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
    """Whether a worker has enough idle CPU for a task to make progress.

    :param step: the task's step; always true unless it is best-effort, since
        other tasks reserve their processors.
    :param candidate: the worker.
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
    """Score a worker for a task; higher is better.

    :param step: the task's step.
    :param candidate: a worker that fits.
    :param factors: learned interference factors.
    :param pace: pace at which the task may start there, in percent.
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
    """Score a worker by how little a best-effort task would interfere."""
    if not candidate.serving:
        factor = min(1.5, factors.mean_factor(step.image))
        weight = NO_SERVING_TASK_WEIGHT
        if candidate.keeps_apart:
            weight = APART_WEIGHT
        return PACE_WEIGHT + weight * (factor - 0.5)
    value = PACE_WEIGHT * pace / _interference.FULL_PACE_PERCENT
    if candidate.keeps_apart:
        share = step.cpu_millis / max(1, candidate.total_cpu)
        value -= (
            HARM_WEIGHT
            * share
            * max(
                factors.factor(image, step.image)
                for image in {task.image for task in candidate.serving}
            )
        )
    return value


def _serving_score(
    step: workflows.StepSpec,
    candidate: WorkerCapacity,
    factors: _interference.PairFactors,
) -> float:
    """Score a worker for a serving task by the tasks already there.

    Serving tasks of one image share workers, so that every best-effort image
    finds workers whose serving images it does not interfere with.
    """
    value = -factors.added_utilisation(
        step.image, tuple(candidate.best_effort)
    )
    if candidate.keeps_apart:
        value *= HARM_WEIGHT
    if candidate.serving:
        same = any(task.image == step.image for task in candidate.serving)
        value += SAME_IMAGE_SCORE if same else OTHER_IMAGE_SCORE
        if candidate.keeps_apart and not same:
            likeness = min(
                factors.likeness(image, step.image, UNKNOWN_LIKENESS)
                for image in {task.image for task in candidate.serving}
            )
            value += likeness * (SAME_IMAGE_SCORE - OTHER_IMAGE_SCORE)
    return max(-2.0, value)


def evaluate(
    step: workflows.StepSpec,
    step_name: str,
    candidate: WorkerCapacity,
    factors: _interference.PairFactors,
    min_pace: int = 0,
    *,
    on_probation: bool = False,
) -> float | None:
    """Score a worker for a task, if the task may start there now.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param candidate: the worker.
    :param factors: learned interference factors.
    :param min_pace: lowest acceptable initial pace, in percent.
    :param on_probation: whether the task is suspected to crash workers.
    :returns: the score, higher is better; None if the task may not start.
    """
    if candidate.reserved and not on_probation:
        return None
    if candidate.avoided or not fits(step, step_name, candidate):
        return None
    if candidate.new_runs >= MAX_NEW_RUNS and not step.gang:
        return None
    if not has_idle_cpu(step, candidate):
        return None
    if step.fills:
        if candidate.target_violated or candidate.best_effort_barred:
            return None
        if candidate.keeps_apart:
            min_pace = max(min_pace, MIN_PACE_BESIDE_SERVING_PERCENT)
    pace = initial_pace(step, candidate, factors)
    if pace < min_pace:
        return None
    return score(step, candidate, factors, pace)


def choose_worker(
    step: workflows.StepSpec,
    step_name: str,
    candidates: typing.Iterable[WorkerCapacity],
    factors: _interference.PairFactors,
    *,
    wait_for_low_impact: bool = False,
    avoid_nodes: typing.Collection[str] = (),
) -> WorkerCapacity | None:
    """Choose the worker for a single task.

    :class:`citronrail.workflow._step_ranking.StepRanking` makes the same
    choices for many tasks of a step without scoring all workers for each.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param candidates: the usable workers of the queue's service.
    :param factors: learned interference factors.
    :param wait_for_low_impact: accept only workers that allow at least
        :data:`PREFERRED_MIN_PACE_PERCENT`.
    :param avoid_nodes: agents whose worker is penalised.
    :returns: the worker, or None if the task has to wait.
    """
    min_pace = PREFERRED_MIN_PACE_PERCENT if wait_for_low_impact else 0
    best = None
    best_score = float('-inf')
    for candidate in candidates:
        value = evaluate(step, step_name, candidate, factors, min_pace)
        if value is None:
            continue
        if candidate.node in avoid_nodes:
            value -= FAILED_THERE_PENALTY
        if value > best_score:
            best, best_score = candidate, value
    return best
