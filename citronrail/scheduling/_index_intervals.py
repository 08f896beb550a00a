"""Sets of task indexes as sorted intervals, compact for thousands of tasks."""

import bisect
import collections.abc

Interval = tuple[int, int]
Intervals = tuple[
    Interval, ...
]  # half-open, sorted, neither touching nor overlapping


def from_zero(count: int) -> Intervals:
    """Return the interval of the indexes from 0 to ``count - 1``."""
    return ((0, count),) if count > 0 else ()


def size(intervals: Intervals) -> int:
    """Return the number of indexes in the intervals."""
    return sum(end - start for start, end in intervals)


def indexes(intervals: Intervals) -> collections.abc.Iterator[int]:
    """Iterate over the indexes in ascending order."""
    for start, end in intervals:
        yield from range(start, end)


def contains(intervals: Intervals, index: int) -> bool:
    """Tell whether an index is in the intervals."""
    position = bisect.bisect_right(intervals, (index, index + 1))
    if position < len(intervals) and intervals[position][0] == index:
        return True
    return (
        position > 0
        and intervals[position - 1][0] <= index < intervals[position - 1][1]
    )


def union(
    intervals: Intervals, added: collections.abc.Iterable[Interval]
) -> Intervals:
    """Merge intervals into others.

    :param intervals: the intervals to extend.
    :param added: intervals in any order; they may overlap.
    :returns: the merged intervals.
    """
    merged: list[Interval] = []
    for start, end in sorted((*intervals, *added)):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((start, end))
    return tuple(merged)


def add(intervals: Intervals, index: int) -> Intervals:
    """Add one index."""
    return union(intervals, ((index, index + 1),))


def remove(intervals: Intervals, index: int) -> Intervals:
    """Remove one index, if it is present."""
    return difference(intervals, {index})


def first_indexes(intervals: Intervals, count: int) -> tuple[int, ...]:
    """Return the first ``count`` indexes, or all if there are fewer."""
    found: list[int] = []
    for start, end in intervals:
        wanted = count - len(found)
        if wanted <= 0:
            break
        found.extend(range(start, min(end, start + wanted)))
    return tuple(found)


def difference(
    intervals: Intervals, removed: collections.abc.Set[int]
) -> Intervals:
    """Remove a set of indexes in one pass.

    :param intervals: the intervals to remove from.
    :param removed: indexes; those not in the intervals are ignored.
    :returns: the remaining intervals.
    """
    return subtract(
        intervals, union((), ((index, index + 1) for index in removed))
    )


def subtract(intervals: Intervals, removed: Intervals) -> Intervals:
    """Remove intervals in one pass over both.

    :param intervals: the intervals to remove from.
    :param removed: intervals; indexes not in the former are ignored.
    :returns: the remaining intervals.
    """
    kept: list[Interval] = []
    first_removed = 0
    for start, end in intervals:
        position = start
        while (
            first_removed < len(removed) and removed[first_removed][1] <= start
        ):
            first_removed += 1
        removed_at = first_removed
        while removed_at < len(removed) and removed[removed_at][0] < end:
            low, high = removed[removed_at]
            if position < low:
                kept.append((position, low))
            position = high
            removed_at += 1
        # The last removed interval may reach into the next one.
        first_removed = max(first_removed, removed_at - 1)
        if position < end:
            kept.append((position, end))
    return tuple(kept)


def intersect(left: Intervals, right: Intervals) -> Intervals:
    """Return the indexes that are in both."""
    return subtract(left, subtract(left, right))
