"""How much of a service is in use, and how many tasks still fit."""

import collections.abc

from citronrail.model import workflows
from citronrail.workflow import _placement


def used_ratio(
    candidates: collections.abc.Iterable[_placement.WorkerCapacity],
) -> float:
    """Return the share in use of the resource that is used most.

    :param candidates: remaining capacity of a service's workers.
    :returns: 1.0 without workers.
    """
    cpu = memory = accelerators = 0
    total_cpu = total_memory = total_accelerators = 0
    for item in candidates:
        total_cpu += item.total_cpu
        total_memory += item.total_memory
        total_accelerators += item.total_accelerators
        cpu += item.total_cpu - item.free_cpu
        memory += item.total_memory - item.free_memory
        accelerators += item.total_accelerators - item.free_accelerators
    if not total_cpu:
        return 1.0
    return max(
        cpu / total_cpu,
        memory / max(1, total_memory),
        accelerators / max(1, total_accelerators),
    )


def slots(
    step: workflows.StepSpec,
    step_name: str,
    candidates: collections.abc.Iterable[_placement.WorkerCapacity],
    at_most: int = 2,
) -> int:
    """Return how many tasks of a step fit on workers.

    Only the hard constraints count, as for
    :func:`citronrail.workflow._placement.fits`.

    :param step: the step.
    :param step_name: identity of the step for the limit per worker.
    :param candidates: remaining capacity of the workers.
    :param at_most: the search ends with this many.
    """
    found = 0
    for candidate in candidates:
        if _placement.fits(step, step_name, candidate):
            found += _slots_of(step, step_name, candidate, at_most - found)
            if found >= at_most:
                return found
    return found


def _slots_of(
    step: workflows.StepSpec,
    step_name: str,
    candidate: _placement.WorkerCapacity,
    at_most: int,
) -> int:
    count = at_most
    if step.memory_mb:
        count = min(count, candidate.free_memory // step.memory_mb)
    if step.cpu_millis and not step.fills:
        count = min(count, candidate.free_cpu // step.cpu_millis)
    if step.accelerators:
        count = min(count, candidate.free_accelerators // step.accelerators)
    if step.max_per_worker:
        used = candidate.tasks_per_step.get(step_name, 0)
        count = min(count, step.max_per_worker - used)
    return count
