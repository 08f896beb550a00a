"""Aligns the monotonic clocks of processes by bounds.

Each bound says that the clock of one process is ahead of another's by at
most some amount. A message with reading ``a`` of the sender's clock that
arrives at ``e`` on the receiver's clock proves that the receiver is ahead by
at most ``e - a``; an event that causes another proves the same of their
times. Bounds in both directions enclose the true difference. Offsets that
meet all bounds together are found as shortest paths.
"""

import collections.abc
import dataclasses

# Uncertainty in the reading of two clocks whose rates differ a little.
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

    ``uncertainty_s`` is infinite for a clock that nothing bounds.
    """

    offset_s: float
    uncertainty_s: float


class Contradiction(Exception):
    """No offsets meet all bounds."""


def align(
    reference: str, bounds: collections.abc.Iterable[Bound]
) -> dict[str, Offset]:
    """Find offsets that meet all bounds.

    The offsets are the mean of the largest and the smallest possible ones,
    which meets every bound that both of them meet.

    :param reference: name of the clock with offset 0.
    :param bounds: bounds between any clocks.
    :returns: the offset of each clock that is bounded in both directions
        relative to the reference.
    :raises Contradiction: if there are no such offsets.
    """
    known = tuple(bounds)
    most = _distances(reference, known)
    turned = tuple(Bound(b.behind, b.ahead, b.most_s) for b in known)
    least = _distances(reference, turned)
    return {
        name: Offset(
            (most[name] - least[name]) / 2, (most[name] + least[name]) / 2
        )
        for name in most
        if name in least
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
