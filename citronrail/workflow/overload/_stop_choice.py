"""Chooses runs to stop on one worker so that enough of its capacity is free.

Answers workers that shrink under their runs, and urgent tasks that wait for
memory held by others: both need the least costly runs, within the limits of
their steps.
"""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class Demand:
    """Capacity that is used, missing or free; CPU in thousandths of a core."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Demand', sign: int = 1) -> 'Demand':
        """Return the sum, or with ``sign`` -1 the difference."""
        return Demand(
            self.cpu_millis + sign * other.cpu_millis,
            self.memory_mb + sign * other.memory_mb,
            self.accelerators + sign * other.accelerators,
        )

    @property
    def positive(self) -> bool:
        """Whether any figure is above 0."""
        return max(self.cpu_millis, self.memory_mb, self.accelerators) > 0

    def relieved_by(self, other: 'Demand') -> bool:
        """Whether another demand has a part of what is missing."""
        return (
            (self.cpu_millis > 0 and other.cpu_millis > 0)
            or (self.memory_mb > 0 and other.memory_mb > 0)
            or (self.accelerators > 0 and other.accelerators > 0)
        )


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A run that may be stopped.

    :param key: task name and run number.
    :param stage: name of the stage that the task belongs to.
    :param allowance: tasks of the stage that may be stopped, None if any.
    :param priority: priority of its queue, 0 being the most urgent.
    :param fills: whether it is best-effort.
    :param loss_s: what its stop costs, in seconds.
    :param demand: the capacity that it holds.
    :param cpu_millis: processors that it uses, held or not.
    """

    key: tuple[str, int]
    stage: str
    allowance: int | None
    priority: int
    fills: bool
    loss_s: float
    demand: Demand
    cpu_millis: int = 0


def choose(
    missing: Demand,
    candidates: collections.abc.Iterable[Candidate],
    stopped: collections.abc.Mapping[str, int],
) -> tuple[list[Candidate], bool]:
    """Choose runs to stop, in the order of the candidates.

    :param missing: capacity to free.
    :param candidates: runs of one worker, the least costly first.
    :param stopped: by stage, tasks that were chosen on other workers.
    :returns: the runs, and whether they are enough. A run without which the
        others are enough is left out.
    """
    counts = dict(stopped)
    chosen: list[Candidate] = []
    left = missing
    for item in candidates:
        if not left.positive:
            break
        count = counts.get(item.stage, 0)
        if item.allowance is not None and count >= item.allowance:
            continue
        if left.relieved_by(item.demand):
            counts[item.stage] = count + 1
            chosen.append(item)
            left = left.plus(item.demand, -1)
    if left.positive:
        return chosen, False
    for item in reversed(chosen[:]):
        without = left.plus(item.demand)
        if not without.positive:
            chosen.remove(item)
            left = without
    return chosen, True


def choose_for_shrunk(
    missing: Demand,
    excess_cpu: float,
    candidates: collections.abc.Iterable[Candidate],
) -> list[Candidate]:
    """Choose the runs to stop on a worker that is over its capacity.

    Best-effort runs go first, then the lowest priority and the least loss.
    Best-effort runs hold no processors, but use those that a shrunk worker no
    longer has.

    :param missing: by how much the worker is over its capacity.
    :param excess_cpu: processors in use beyond the worker's, in thousandths.
    :param candidates: its runs that may be stopped.
    :returns: the runs; they may be too few, as limits of steps are kept.
    """
    ordered = sorted(
        candidates,
        key=lambda c: (not c.fills, -c.priority, c.loss_s, c.key),
    )
    chosen, _ = choose(missing, ordered, {})
    excess_cpu -= sum(item.cpu_millis for item in chosen)
    for item in ordered:
        if excess_cpu <= 0 or not item.fills:
            break
        count = sum(other.stage == item.stage for other in chosen)
        if item in chosen or (
            item.allowance is not None and count >= item.allowance
        ):
            continue
        chosen.append(item)
        excess_cpu -= item.cpu_millis
    return chosen
