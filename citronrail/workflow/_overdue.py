"""Chooses workers for tasks whose job has had nothing running for too long.

Answers rules of placement that wait for a better worker without end: each of
them is sound for a while, but an accepted job makes no progress meanwhile.
After a bounded wait the task starts on the worker that has its capacity and
suits it best. The hard constraints hold as ever.
"""

import collections.abc
import dataclasses

from citronrail.model import workflows
from citronrail.workflow import _interference
from citronrail.workflow import _placement
from citronrail.workflow import _step_ranking

# Work is expected to run within 3 s; commit, order and list need up to 1 s.
START_AFTER_S = 1.2
# Workers with room that are compared; comparing 800 for one task took 16 ms.
MAX_COMPARED = 64
# Lowest pace of a start: the run makes progress, and adds hardly more to the
# utilisation of a serving task than its measurement is uncertain by.
MIN_PACE_PERCENT = 10
# Score for each rule that a worker breaks; more than any two scores differ.
BROKEN_RULE_PENALTY = 100.0
# Less, since it slows down best-effort tasks only, and no serving task.
NO_IDLE_CPU_PENALTY = 50.0
# The run is held at pace 0 until the target is met.
MISSED_TARGET_PENALTY = 200.0
# More than all others, since a suspected task has to wait again.
HELD_PENALTY = 400.0
AVOIDED_PENALTY = 800.0  # a run is likely to fail there


def choose(
    step: workflows.StepSpec,
    step_name: str,
    candidates: collections.abc.Sequence[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
    avoid_node: str = '',
    *,
    may_use_avoided: bool = False,
    first: int = 0,
) -> _step_ranking.Choice | None:
    """Choose a worker for an overdue task.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param candidates: the usable workers of its service.
    :param factors: learned interference factors.
    :param avoid_node: agent whose worker is penalised, '' for none.
    :param may_use_avoided: whether workers that seem faulty come into
        question after all others.
    :param first: index at which the search begins; it ends once
        :data:`MAX_COMPARED` workers are found.
    :returns: the choice, whose demand isn't reserved yet; None if no worker
        has room.
    """
    best = None
    best_score = float('-inf')
    compared = 0
    for index in range(len(candidates)):
        candidate = candidates[(first + index) % len(candidates)]
        if candidate.avoided and not may_use_avoided:
            continue
        if not _may_start(step, step_name, candidate):
            continue
        pace = _placement.initial_pace(step, candidate, factors)
        value = _placement.score(step, candidate, factors, pace)
        value -= _penalty(step, candidate, pace)
        if candidate.node == avoid_node:
            value -= _placement.FAILED_THERE_PENALTY
        if value > best_score:
            pace = _lowest_pace(step, candidate, pace)
            best = _step_ranking.Choice(candidate, pace)
            best_score = value
        compared += 1
        if compared >= MAX_COMPARED:
            break
    return best


def open_to_gang(
    candidates: collections.abc.Iterable[_placement.WorkerCapacity],
    *,
    may_use_avoided: bool,
) -> list[_placement.WorkerCapacity]:
    """Return copies of workers, held and avoided ones open to any task.

    The rules for best-effort tasks are kept: members of a gang start at full
    pace.

    :param candidates: the usable workers of the gang's service.
    :param may_use_avoided: whether workers that seem faulty are opened.
    """
    return [
        dataclasses.replace(
            item,
            reserved=item.reserved and not item.held,
            avoided=item.has_unknown_runs
            or (item.avoided and not may_use_avoided),
        )
        for item in candidates
    ]


def _may_start(
    step: workflows.StepSpec,
    step_name: str,
    candidate: _placement.WorkerCapacity,
) -> bool:
    """Whether no rule that holds for overdue tasks, too, bars a worker."""
    if not _placement.fits(step, step_name, candidate):
        return False
    if candidate.has_unknown_runs:
        return False  # what these hold isn't known
    # Otherwise a crash could not be attributed to the suspected task.
    return not candidate.reserved or candidate.held


def _misses_target(candidate: _placement.WorkerCapacity) -> bool:
    return candidate.target_violated or any(
        task.misses_target for task in candidate.serving
    )


def _lowest_pace(
    step: workflows.StepSpec, candidate: _placement.WorkerCapacity, pace: int
) -> int:
    """Return the pace at which an overdue task starts.

    Beside a serving task that misses its target it doesn't work, so that it
    can't be the cause; the supervisor raises the pace once the target is met.
    """
    if step.fills and _misses_target(candidate):
        return 0
    return max(MIN_PACE_PERCENT, pace)


def _penalty(
    step: workflows.StepSpec,
    candidate: _placement.WorkerCapacity,
    pace: int,
) -> float:
    """Return the penalty for the rules that a worker breaks."""
    penalty = (
        HELD_PENALTY * candidate.reserved + AVOIDED_PENALTY * candidate.avoided
    )
    if not step.fills:
        return penalty
    penalty += BROKEN_RULE_PENALTY * candidate.best_effort_barred
    penalty += MISSED_TARGET_PENALTY * _misses_target(candidate)
    if not _placement.has_idle_cpu(step, candidate):
        penalty += NO_IDLE_CPU_PENALTY
    if (
        candidate.keeps_apart
        and pace < _placement.MIN_PACE_BESIDE_SERVING_PERCENT
    ):
        penalty += BROKEN_RULE_PENALTY
    return penalty
