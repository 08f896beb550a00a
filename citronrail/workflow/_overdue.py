"""Chooses workers for tasks whose job has had nothing running for too long.

Answers rules of placement that wait for a better worker without end: each of
them is sound for a while, but an accepted job makes no progress meanwhile.
After a bounded wait the task starts on the worker that has its capacity and
suits it best. The hard constraints hold as ever.
"""

import collections.abc

from citronrail.model import workflows
from citronrail.workflow import _interference
from citronrail.workflow import _placement
from citronrail.workflow import _step_ranking

# Work is expected to run within 3 s; commit, order and list need up to 1 s.
START_AFTER_S = 1.2
# Lowest pace of a start: the run makes progress, and adds hardly more to the
# utilisation of a serving task than its measurement is uncertain by.
MIN_PACE_PERCENT = 10
# Score for each rule that a worker breaks; more than any two scores differ.
BROKEN_RULE_PENALTY = 100.0
# Less, since it slows down best-effort tasks only, and no serving task.
NO_IDLE_CPU_PENALTY = 50.0
# More than all others, since a suspected task has to wait again.
HELD_PENALTY = 400.0
AVOIDED_PENALTY = 800.0  # a run is likely to fail there


def choose(
    step: workflows.StepSpec,
    step_name: str,
    candidates: collections.abc.Iterable[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
    avoid_node: str = '',
    *,
    may_use_avoided: bool = False,
) -> _step_ranking.Choice | None:
    """Choose a worker for an overdue task and reserve its demand there.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param candidates: the usable workers of its service.
    :param factors: learned interference factors.
    :param avoid_node: agent whose worker is penalised, '' for none.
    :param may_use_avoided: whether workers that seem faulty come into
        question after all others.
    :returns: the choice, None if no worker has room.
    """
    best = None
    best_score = float('-inf')
    for candidate in candidates:
        penalty = _penalty(step, step_name, candidate, factors)
        if penalty is None or (candidate.avoided and not may_use_avoided):
            continue
        pace = _pace(step, candidate, factors)
        value = _placement.score(step, candidate, factors, pace) - penalty
        if candidate.node == avoid_node:
            value -= _placement.FAILED_THERE_PENALTY
        if value > best_score:
            best, best_score = candidate, value
    if best is None:
        return None
    pace = _pace(step, best, factors)
    best.reserve(step, step_name)
    return _step_ranking.Choice(best, pace)


def _pace(
    step: workflows.StepSpec,
    candidate: _placement.WorkerCapacity,
    factors: _interference.PairFactors,
) -> int:
    pace = _placement.initial_pace(step, candidate, factors)
    return max(MIN_PACE_PERCENT, pace)


def _penalty(
    step: workflows.StepSpec,
    step_name: str,
    candidate: _placement.WorkerCapacity,
    factors: _interference.PairFactors,
) -> float | None:
    """Return the penalty for broken rules, None if a task must not start."""
    if not _placement.fits(step, step_name, candidate):
        return None
    if candidate.has_unknown_runs:
        return None  # what these hold isn't known
    if candidate.reserved and not candidate.held:
        return None  # a crash could not be attributed to the suspected task
    penalty = (
        HELD_PENALTY * candidate.reserved + AVOIDED_PENALTY * candidate.avoided
    )
    if not step.fills:
        return penalty
    if candidate.target_violated or any(
        task.misses_target for task in candidate.serving
    ):
        return None
    penalty += BROKEN_RULE_PENALTY * candidate.best_effort_barred
    if not _placement.has_idle_cpu(step, candidate):
        penalty += NO_IDLE_CPU_PENALTY
    if candidate.keeps_apart and (
        _placement.initial_pace(step, candidate, factors)
        < _placement.MIN_PACE_BESIDE_SERVING_PERCENT
    ):
        penalty += BROKEN_RULE_PENALTY
    return penalty
