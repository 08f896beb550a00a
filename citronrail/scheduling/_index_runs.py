"""Sets of task indexes as sorted runs, small for thousands of tasks."""

import bisect
import collections.abc

Run = tuple[int, int]
Runs = tuple[Run, ...]  # half-open, sorted, neither touching nor overlapping


def first(count: int) -> Runs:
    """Return the indexes from 0 to ``count - 1``."""
    return ((0, count),) if count > 0 else ()


def size(runs: Runs) -> int:
    """Return how many indexes the runs hold."""
    return sum(end - start for start, end in runs)


def indexes(runs: Runs) -> collections.abc.Iterator[int]:
    """Iterate over the indexes in ascending order."""
    for start, end in runs:
        yield from range(start, end)


def contains(runs: Runs, index: int) -> bool:
    """Tell whether an index is in the runs."""
    at = bisect.bisect_right(runs, (index, index + 1))
    if at < len(runs) and runs[at][0] == index:
        return True
    return at > 0 and runs[at - 1][0] <= index < runs[at - 1][1]


def union(runs: Runs, added: collections.abc.Iterable[Run]) -> Runs:
    """Add runs.

    :param runs: where to add.
    :param added: runs in any order; they may overlap.
    :returns: the merged runs.
    """
    merged: list[Run] = []
    for start, end in sorted((*runs, *added)):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((start, end))
    return tuple(merged)


def add(runs: Runs, index: int) -> Runs:
    """Add one index."""
    return union(runs, ((index, index + 1),))


def remove(runs: Runs, index: int) -> Runs:
    """Remove one index, if it is there."""
    return difference(runs, {index})


def take(runs: Runs, count: int) -> tuple[int, ...]:
    """Return the first ``count`` indexes, or all if there are fewer."""
    taken: list[int] = []
    for start, end in runs:
        wanted = count - len(taken)
        if wanted <= 0:
            break
        taken.extend(range(start, min(end, start + wanted)))
    return tuple(taken)


def difference(runs: Runs, removed: collections.abc.Set[int]) -> Runs:
    """Remove a set of indexes in one pass.

    :param runs: where to remove.
    :param removed: indexes; those not in the runs are ignored.
    :returns: what is left.
    """
    return subtract(runs, union((), ((index, index + 1) for index in removed)))


def subtract(runs: Runs, removed: Runs) -> Runs:
    """Remove runs in one pass over both.

    :param runs: where to remove.
    :param removed: indexes; those not in the runs are ignored.
    :returns: what is left.
    """
    kept: list[Run] = []
    first_gap = 0
    for start, end in runs:
        at = start
        while first_gap < len(removed) and removed[first_gap][1] <= start:
            first_gap += 1
        gap = first_gap
        while gap < len(removed) and removed[gap][0] < end:
            low, high = removed[gap]
            if at < low:
                kept.append((at, low))
            at = high
            gap += 1
        # The last gap may reach into the next run.
        first_gap = max(first_gap, gap - 1)
        if at < end:
            kept.append((at, end))
    return tuple(kept)


def intersect(first_runs: Runs, second: Runs) -> Runs:
    """Return the indexes that are in both."""
    return subtract(first_runs, subtract(first_runs, second))
