"""Places many equal tasks without scoring every worker for each of them.

Answers wide steps on large fleets: scoring each of W workers for each of N
tasks takes N * W evaluations, which kept the scheduler of 160 workers busy
for longer than the interval between two rounds.
"""

import collections.abc
import dataclasses
import heapq

from citronrail.model import workflows
from citronrail.workflow import _interference
from citronrail.workflow import _placement


@dataclasses.dataclass(frozen=True)
class Choice:
    """A worker chosen for a task, and the initial pace there in percent."""

    candidate: _placement.WorkerCapacity
    pace: int


class StepRanking:
    """Workers that may take a task of one step, best first.

    The score of a worker depends on what runs there only, so that a placed
    task changes the rank of its own worker alone.

    :param step: the step.
    :param step_name: identity of the step for the limit per worker.
    :param candidates: the usable workers of the queue's service.
    :param factors: learned interference factors.
    :param wait_for_low_impact: accept only workers that allow at least
        :data:`citronrail.workflow._placement.PREFERRED_MIN_PACE_PERCENT`.
    """

    def __init__(
        self,
        step: workflows.StepSpec,
        step_name: str,
        candidates: collections.abc.Sequence[_placement.WorkerCapacity],
        factors: _interference.PairFactors,
        *,
        wait_for_low_impact: bool = False,
    ) -> None:
        self._step = step
        self._step_name = step_name
        self._candidates = candidates
        self._factors = factors
        self._min_pace = (
            _placement.PREFERRED_MIN_PACE_PERCENT if wait_for_low_impact else 0
        )
        # Negative score and index, so that equal scores keep their order.
        self._heap = [
            entry
            for index in range(len(candidates))
            if (entry := self._entry(index)) is not None
        ]
        heapq.heapify(self._heap)

    def take(self, avoid_node: str = '') -> Choice | None:
        """Choose the worker for the next task and reserve its demand there.

        :param avoid_node: agent whose worker is penalised, '' for none.
        :returns: the choice, or None if the task has to wait.
        """
        if not self._heap:
            return None
        chosen = heapq.heappop(self._heap)
        if self._node(chosen) == avoid_node and self._heap:
            penalised = chosen[0] + _placement.FAILED_THERE_PENALTY
            if (penalised, chosen[1]) > self._heap[0]:
                chosen = heapq.heapreplace(self._heap, chosen)
        candidate = self._candidates[chosen[1]]
        pace = _placement.initial_pace(self._step, candidate, self._factors)
        candidate.reserve(self._step, self._step_name)
        entry = self._entry(chosen[1])
        if entry is not None:
            heapq.heappush(self._heap, entry)
        return Choice(candidate, pace)

    def _node(self, entry: tuple[float, int]) -> str:
        return self._candidates[entry[1]].node

    def _entry(self, index: int) -> tuple[float, int] | None:
        """Return the heap entry of a worker, None if it has no room."""
        value = _placement.evaluate(
            self._step,
            self._step_name,
            self._candidates[index],
            self._factors,
            self._min_pace,
        )
        return None if value is None else (-value, index)


def choose_workers_for_gang(
    step: workflows.StepSpec,
    step_name: str,
    candidates: collections.abc.Sequence[_placement.WorkerCapacity],
    count: int,
    factors: _interference.PairFactors,
) -> list[_placement.WorkerCapacity]:
    """Choose workers for all tasks of a gang.

    Racks are tried one by one before the whole fleet if the step is
    rack-local.

    :param step: the gang's step.
    :param step_name: identity of the step.
    :param candidates: the usable workers; they are not changed.
    :param count: number of tasks.
    :param factors: learned interference factors.
    :returns: one worker for each task, or nothing if not all fit.
    """
    groups: list[list[_placement.WorkerCapacity]] = [list(candidates)]
    if step.rack_local:
        by_rack: dict[str, list[_placement.WorkerCapacity]] = {}
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
        ranking = StepRanking(step, step_name, copies, factors)
        chosen = []
        for _ in range(count):
            choice = ranking.take()
            if choice is None:
                break
            chosen.append(originals[choice.candidate.node])
        if len(chosen) == count:
            return chosen
    return []


@dataclasses.dataclass(frozen=True)
class _Constraints:
    """What decides, beside the size of a task, which workers may take it."""

    service: str
    label: str
    image: str
    latency_target_ms: int
    fills: bool
    wait_for_low_impact: bool


class PlacementFailures:
    """Sizes of tasks that no worker could take during this round.

    Remaining capacity only shrinks within a round, so a task that is at least
    as large needs no further search. Answers a full fleet with many waiting
    steps, where each search would visit all workers in vain.
    """

    def __init__(self) -> None:
        self._sizes: dict[_Constraints, list[tuple[int, int, int]]] = {}

    def add(
        self,
        service: str,
        step: workflows.StepSpec,
        wait_for_low_impact: bool,
    ) -> None:
        """Record a step of which a task could not be placed.

        :param service: service whose workers were searched.
        :param step: the step.
        :param wait_for_low_impact: whether workers with a low initial pace
            were left out.
        """
        if step.max_per_worker:
            return  # a worker may have room for another step of that size
        key = _constraints(service, step, wait_for_low_impact)
        self._sizes.setdefault(key, []).append(_size(step))

    def cover(
        self,
        service: str,
        step: workflows.StepSpec,
        wait_for_low_impact: bool,
    ) -> bool:
        """Whether a search for a step's tasks would be in vain.

        The parameters are those of :meth:`add`.
        """
        key = _constraints(service, step, wait_for_low_impact)
        size = _size(step)
        return any(
            all(needed >= failed for needed, failed in zip(size, failed_size))
            for failed_size in self._sizes.get(key, ())
        )


def _constraints(
    service: str, step: workflows.StepSpec, wait_for_low_impact: bool
) -> _Constraints:
    return _Constraints(
        service,
        step.required_label,
        step.image,
        step.latency_target_ms,
        step.fills,
        wait_for_low_impact,
    )


def _size(step: workflows.StepSpec) -> tuple[int, int, int]:
    return (step.cpu_millis, step.memory_mb, step.accelerators)
