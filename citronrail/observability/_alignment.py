"""Aligns the monotonic clocks of processes by difference constraints.

Each bound states that the clock of one process is ahead of another's by at
most some amount. A message with reading ``a`` of the sender's clock that
arrives at ``e`` on the receiver's clock proves that the receiver is ahead by
at most ``e - a``; an event that causes another proves the same of their
times. Bounds in both directions enclose the true difference. Offsets that
satisfy all bounds are found as shortest paths.
"""

import collections.abc
import dataclasses

# Uncertainty due to a small difference between the rates of two clocks.
TOLERANCE_S = 1e-6


@dataclasses.dataclass(frozen=True)
class Bound:
    """Clock ``ahead`` minus clock ``behind`` is at most ``most_s``."""

    ahead: str
    behind: str
    most_s: float


@dataclasses.dataclass(frozen=True)
class Offset:
    """A clock minus the reference clock, within ``uncertainty_s``.

    ``uncertainty_s`` is infinite for a clock without bounds.
    """

    offset_s: float
    uncertainty_s: float


class Contradiction(Exception):
    """No offsets satisfy all bounds."""


def align(
    reference: str, bounds: collections.abc.Iterable[Bound]
) -> dict[str, Offset]:
    """Find offsets that satisfy all bounds.

    Each offset is the mean of its largest and smallest possible value, which
    satisfies every bound that both of them satisfy.

    :param reference: name of the clock with offset 0.
    :param bounds: bounds between any clocks.
    :returns: the offset of each clock that is bounded in both directions
        relative to the reference.
    :raises Contradiction: if there are no such offsets.
    """
    known = tuple(bounds)
    upper_bounds = _distances(reference, known)
    reversed_bounds = tuple(Bound(b.behind, b.ahead, b.most_s) for b in known)
    negated_lower_bounds = _distances(reference, reversed_bounds)
    return {
        name: Offset(
            (upper_bounds[name] - negated_lower_bounds[name]) / 2,
            (upper_bounds[name] + negated_lower_bounds[name]) / 2,
        )
        for name in upper_bounds
        if name in negated_lower_bounds
    }


def _distances(
    reference: str, bounds: collections.abc.Sequence[Bound]
) -> dict[str, float]:
    """Return the least upper bound of each clock minus the reference."""
    best = {reference: 0.0}
    names = {b.ahead for b in bounds} | {b.behind for b in bounds}
    for _ in range(len(names) + 1):
        changed = False
        for bound in bounds:
            if bound.behind not in best:
                continue
            candidate = best[bound.behind] + bound.most_s
            if candidate < best.get(bound.ahead, float('inf')) - TOLERANCE_S:
                best[bound.ahead] = candidate
                changed = True
        if not changed:
            return best
    raise Contradiction('the clocks contradict each other')
