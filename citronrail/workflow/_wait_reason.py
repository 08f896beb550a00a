"""Why a waiting task isn't started although its turn has come.

Answers logs in which jobs with nothing running can't be told apart: there may
be no room, or a rule of placement may leave the free capacity unused.
"""

import collections.abc
import enum

from citronrail.model import workflows
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _placement
from citronrail.workflow import _probation


class Reason(enum.StrEnum):
    """What keeps a task from starting."""

    NO_ROOM = 'no room'
    UNUSABLE = 'the workers with room are out of contact'
    UNKNOWN_RUNS = 'the workers with room list unknown runs'
    AVOIDED = 'the workers with room are avoided'
    RESERVED = 'the workers with room are reserved for suspected tasks'
    NEW_RUNS = 'the workers with room have many runs not listed yet'
    NO_IDLE_CPU = 'the workers with room have no idle processors'
    TARGET_MISSED = 'the workers with room miss a latency target'
    NEAR_TARGET = 'the workers with room are near a latency target'
    LOW_PACE = 'the workers with room allow a low pace only'
    LOW_IMPACT_WAIT = 'it waits for a worker that allows nearly full pace'
    RETRY_DELAY = 'it was refused or has failed just now'
    SUSPECTED = 'it is suspected to crash workers and waits to start alone'
    GANG_RUN_LEFT = 'members of an earlier run of its gang have not ended'
    GANG_NO_ROOM = 'no room for the whole gang'
    UNCONFIRMED_RUN = 'the runs assigned to its job are not listed'
    ROUND_LIMIT = 'nothing; the round has reached its limit of starts'


# Of several workers with room, the one that is nearest to a start is named.
_BY_NEARNESS = {
    reason: number
    for number, reason in enumerate(
        (
            Reason.NO_ROOM,
            Reason.UNUSABLE,
            Reason.UNKNOWN_RUNS,
            Reason.AVOIDED,
            Reason.RESERVED,
            Reason.NEW_RUNS,
            Reason.NO_IDLE_CPU,
            Reason.TARGET_MISSED,
            Reason.NEAR_TARGET,
            Reason.LOW_PACE,
            Reason.LOW_IMPACT_WAIT,
        )
    )
}


def obstacle(
    step: workflows.StepSpec,
    step_name: str,
    candidate: _placement.WorkerCapacity,
    factors: _interference.PairFactors,
    *,
    wait_for_low_impact: bool = False,
) -> Reason | None:
    """Return why a task can't start on a worker, None if it can.

    It agrees with :func:`citronrail.workflow._placement.evaluate`.

    :param step: the task's step.
    :param step_name: identity of the step for the limit per worker.
    :param candidate: the worker.
    :param factors: learned interference factors.
    :param wait_for_low_impact: whether only workers are accepted that allow
        :data:`citronrail.workflow._placement.PREFERRED_MIN_PACE_PERCENT`.
    """
    if not _placement.fits(step, step_name, candidate):
        return Reason.NO_ROOM
    if candidate.avoided:
        if candidate.has_unknown_runs:
            return Reason.UNKNOWN_RUNS
        return Reason.AVOIDED
    if candidate.reserved:
        return Reason.RESERVED
    if candidate.new_runs >= _placement.MAX_NEW_RUNS and not step.gang:
        return Reason.NEW_RUNS
    if not step.fills:
        return None
    if not _placement.has_idle_cpu(step, candidate):
        return Reason.NO_IDLE_CPU
    if candidate.target_violated:
        return Reason.TARGET_MISSED
    if candidate.best_effort_barred:
        return Reason.NEAR_TARGET
    pace = _placement.initial_pace(step, candidate, factors)
    if (
        candidate.keeps_apart
        and pace < _placement.MIN_PACE_BESIDE_SERVING_PERCENT
    ):
        return Reason.LOW_PACE
    if wait_for_low_impact and pace < _placement.PREFERRED_MIN_PACE_PERCENT:
        return Reason.LOW_IMPACT_WAIT
    return None


def of_step(
    step: workflows.StepSpec,
    step_name: str,
    candidates: collections.abc.Iterable[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
    *,
    wait_for_low_impact: bool = False,
) -> Reason:
    """Return why the tasks of a step aren't started on any worker.

    The parameters are those of :func:`obstacle`, with all usable workers.
    """
    nearest = Reason.NO_ROOM
    for candidate in candidates:
        found = obstacle(
            step,
            step_name,
            candidate,
            factors,
            wait_for_low_impact=wait_for_low_impact,
        )
        if found is None:
            return Reason.ROUND_LIMIT
        if _BY_NEARNESS[found] > _BY_NEARNESS[nearest]:
            nearest = found
    return nearest


def of_task(
    task: _job.Task,
    candidates: collections.abc.Iterable[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
    now: float,
) -> Reason:
    """Return why a task whose turn has come isn't started.

    :param task: the task; it may have runs that are not listed.
    :param candidates: the usable workers of its service.
    :param factors: learned interference factors.
    :param now: local time in seconds.
    """
    stage = task.stage
    spec = stage.spec
    if spec.gang:
        if any(member.attempts for member in stage.known_tasks()):
            return Reason.GANG_RUN_LEFT
        found = of_step(spec, stage.name, candidates, factors)
        return Reason.GANG_NO_ROOM if found is Reason.ROUND_LIMIT else found
    if task.attempts:
        return Reason.UNCONFIRMED_RUN
    if task.retry_at > now:
        return Reason.RETRY_DELAY
    if _probation.must_start_alone(task, now):
        return Reason.SUSPECTED
    waits = now - stage.ready_since < _placement.LOW_IMPACT_WAIT_S
    return of_step(
        spec, stage.name, candidates, factors, wait_for_low_impact=waits
    )
