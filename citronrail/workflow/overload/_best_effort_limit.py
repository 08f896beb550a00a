"""Which best-effort runs a worker can run beside its serving tasks.

Answers workers full of best-effort tasks that are throttled: N runs that
harm a serving task share its headroom, so that each runs at a fraction of
its pace and still holds all of its memory. Where fewer runs do the same work
in that headroom, the others are stopped one after the other; they resume
from their checkpoints on another worker, or wait without holding memory.
"""

import collections.abc
import dataclasses

from citronrail.workflow import _interference

Key = tuple[str, int]  # task name and run number

# The limit must be exceeded for this long, as single measurements are noisy.
EXCEEDED_S = 1.0
# A shorter break does not end the excess: while the factors are still being
# learned, paces are cut and raised again over two or three lists.
MAX_BREAK_S = 1.6
STOP_INTERVAL_S = 1.0  # at most one stop for each worker in this time
# A run is not stopped so early: its restart would cost more than it has done.
MIN_RUN_S = 1.5
# Below this pace a run hardly progresses; it is better to wait for memory
# elsewhere than to hold it here.
LOWEST_PACE_PERCENT = 30
# A run below this pace moves if another worker has room for it.
MOVE_BELOW_PERCENT = 50
MOVE_AFTER_S = 1.0
# Smaller changes of a pace are within the noise of the measured tails.
MIN_PACE_CHANGE_PERCENT = 5
# Two sets of runs that do the same work to within this share count as equal.
WORK_TOLERANCE_RATIO = 0.02
# Best-effort tasks don't join a worker with a tail above this share of its
# latency target.
JOIN_TAIL_RATIO = 0.9
# After a missed target paces rise by less in each step, as the learned factors
# did not predict it.
CAREFUL_S = 4.0
CAREFUL_INCREASE_PERCENT = 15
# A serving task that has just started is measured for this long first.
SERVING_HEAD_START_S = 1.0


@dataclasses.dataclass(frozen=True)
class Run:
    """A best-effort run on a worker.

    :param key: task name and run number.
    :param task: its image and its share of the processors.
    :param loss_s: run time that is lost if it is stopped, in seconds.
    :param stoppable: whether it saves progress, is old enough, and may be
        stopped within the limits of its step.
    """

    key: Key
    task: _interference.BestEffortTask
    loss_s: float
    stoppable: bool


@dataclasses.dataclass(frozen=True)
class LimitState:
    """What is remembered of a worker; local times in seconds, 0 for never.

    :param exceeded_since: since when it has more runs than it can bear.
    :param exceeded_at: when it last had.
    :param stopped_at: when the last run was stopped there.
    """

    exceeded_since: float = 0.0
    exceeded_at: float = 0.0
    stopped_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class Decision:
    """Result of :func:`decide`; ``stop`` is the run to stop, if any."""

    state: LimitState
    stop: Key | None = None


@dataclasses.dataclass(frozen=True)
class _Pressure:
    """What the runs add to one serving task's utilisation at full pace."""

    allowed: float  # that may be added before runs are throttled
    setpoint: float  # that may be added once they are
    added: tuple[float, ...]


def decide(
    state: LimitState,
    serving: tuple[_interference.ServingTask, ...],
    runs: tuple[Run, ...],
    factors: _interference.PairFactors,
    now: float,
    *,
    held_at_zero: collections.abc.Collection[Key] = (),
) -> Decision:
    """Decide whether a run of a worker is stopped.

    :param state: state of the worker after the last decision.
    :param serving: the worker's serving tasks, as last measured.
    :param runs: its best-effort runs that are not being stopped already.
    :param factors: learned interference factors.
    :param now: local time in seconds.
    :param held_at_zero: runs that are held at pace 0 because a latency target
        is missed although the learned factors allow it.
    """
    chosen = run_to_stop(serving, runs, factors, held_at_zero)
    if chosen is None:
        return Decision(state)
    since = state.exceeded_since
    if now - state.exceeded_at > MAX_BREAK_S:
        since = now
    state = dataclasses.replace(state, exceeded_since=since, exceeded_at=now)
    if now - since < EXCEEDED_S or (
        state.stopped_at and now - state.stopped_at < STOP_INTERVAL_S
    ):
        return Decision(state)
    return Decision(dataclasses.replace(state, stopped_at=now), chosen)


def run_to_stop(
    serving: tuple[_interference.ServingTask, ...],
    runs: tuple[Run, ...],
    factors: _interference.PairFactors,
    held_at_zero: collections.abc.Collection[Key] = (),
) -> Key | None:
    """Return the run whose stop costs least, None if none is to be stopped.

    The parameters are those of :func:`decide`. A run is stopped if the
    others do the same work without it, or if it hardly progresses. Among the
    runs that leave the most work possible, the one with the least loss goes.
    """
    held = [run for run in runs if run.key in held_at_zero and run.stoppable]
    if held:
        return min(held, key=lambda run: (run.loss_s, run.key)).key
    pressures = _pressures(serving, runs, factors)
    everyone = frozenset(range(len(runs)))
    paces = _ratios(pressures, everyone)
    if all(paces[n] >= 1.0 for n in everyone):
        return None
    work = _work(runs, paces)
    remaining: dict[int, float] = {}
    work_without: dict[tuple[str, float], float] = {}  # by kind of run
    for number, run in enumerate(runs):
        if run.stoppable and paces[number] < 1.0:
            kind = (run.task.image, run.task.cpu_share)
            if kind not in work_without:
                others = everyone - {number}
                ratios = _ratios(pressures, others)
                work_without[kind] = _work(runs, ratios)
            remaining[number] = work_without[kind]
    if not remaining:
        return None
    tolerance = WORK_TOLERANCE_RATIO * max(r.task.cpu_share for r in runs)
    most = max(remaining.values())
    if most < work - tolerance:
        # Each run adds work, though perhaps too little to hold memory for.
        starved = [
            n for n in remaining if 100 * paces[n] < LOWEST_PACE_PERCENT
        ]
        remaining = {n: remaining[n] for n in starved}
        most = max(remaining.values(), default=0.0)
    best = [n for n, value in remaining.items() if value >= most - tolerance]
    if not best:
        return None
    chosen = min(best, key=lambda n: (runs[n].loss_s, runs[n].key))
    return runs[chosen].key


def may_join(
    serving: collections.abc.Iterable[_interference.ServingTask],
    serving_listed_at: collections.abc.Iterable[float],
    now: float,
) -> bool:
    """Whether a best-effort task may be started beside serving tasks.

    :param serving: the worker's serving tasks, as last measured.
    :param serving_listed_at: when each serving run was first listed, local
        time in seconds; 0 if it has not been listed.
    :param now: local time in seconds.
    """
    if any(
        task.utilisation > 1.0 - task.baseline_ratio / JOIN_TAIL_RATIO
        for task in serving
    ):
        return False
    return all(
        listed_at and now - listed_at >= SERVING_HEAD_START_S
        for listed_at in serving_listed_at
    )


def worth_sending(old_pace: int, new_pace: int) -> bool:
    """Whether a change of a pace is sent to the worker.

    :param old_pace: pace in force, in percent.
    :param new_pace: pace that the model asks for, in percent.
    """
    if new_pace == old_pace:
        return False
    if new_pace in (0, _interference.FULL_PACE_PERCENT):
        return True
    return abs(new_pace - old_pace) >= MIN_PACE_CHANGE_PERCENT


def _pressures(
    serving: tuple[_interference.ServingTask, ...],
    runs: tuple[Run, ...],
    factors: _interference.PairFactors,
) -> list[_Pressure]:
    # Of equal tasks, the one with the highest load decides.
    deciding: dict[str, _interference.ServingTask] = {}
    for task in serving:
        known = deciding.get(task.image)
        if known is None or task.own_load > known.own_load:
            deciding[task.image] = task
    return [
        _Pressure(
            task.throttle_threshold - task.own_load,
            task.setpoint - task.own_load,
            tuple(
                factors.factor(task.image, run.task.image) * run.task.cpu_share
                for run in runs
            ),
        )
        for task in deciding.values()
    ]


def _ratios(
    pressures: list[_Pressure], numbers: frozenset[int]
) -> dict[int, float]:
    """Return the paces, 0.0 to 1.0, at which a set of runs settles."""
    ratios = dict.fromkeys(numbers, 1.0)
    for pressure in pressures:
        added = {n: pressure.added[n] for n in numbers}
        if sum(added.values()) <= pressure.allowed:
            continue
        harmful = [
            n for n in numbers if added[n] > _interference.HARMLESS_UTILISATION
        ]
        if not harmful:
            continue
        harmless = sum(added[n] for n in numbers - frozenset(harmful))
        headroom = max(0.0, pressure.setpoint - harmless)
        ratio = min(1.0, headroom / sum(added[n] for n in harmful))
        for number in harmful:
            ratios[number] = min(ratios[number], ratio)
    return ratios


def _work(runs: tuple[Run, ...], ratios: dict[int, float]) -> float:
    """Return the processors used, as a share of the worker's."""
    return sum(
        runs[number].task.cpu_share * ratio for number, ratio in ratios.items()
    )
