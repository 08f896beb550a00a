"""Straight lines through measured points."""

import collections.abc
import dataclasses

BEND_FACTOR = 1.5


@dataclasses.dataclass(frozen=True)
class Fit:
    """Least-squares line ``y = base + slope * x``.

    ``residual`` is the root mean square distance of the points from the line,
    in the unit of y. ``bends_at`` is the x from which on the steepness of two
    neighbouring halves differs by more than a factor of 1.5, None if the
    points bend nowhere as far as they show.
    """

    base: float
    slope: float
    residual: float
    bends_at: float | None

    def at(self, x: float) -> float:
        """Return the line's value, an extrapolation outside the points."""
        return self.base + self.slope * x


def fit(xs: collections.abc.Sequence[float], ys: list[float]) -> Fit:
    """Fit a line.

    :param xs: rising places of at least two points.
    :param ys: measured values.
    :returns: the line.
    """
    base, slope = _line(xs, ys)
    squares = [(y - base - slope * x) ** 2 for x, y in zip(xs, ys)]
    residual = (sum(squares) / len(squares)) ** 0.5
    return Fit(base, slope, residual, _bend(xs, ys, residual))


def _line(
    xs: collections.abc.Sequence[float], ys: collections.abc.Sequence[float]
) -> tuple[float, float]:
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    return mean_y - slope * mean_x, slope


def _bend(
    xs: collections.abc.Sequence[float], ys: list[float], residual: float
) -> float | None:
    """Return where the line bends most, if it bends."""
    worst, place = BEND_FACTOR, None
    for middle in range(1, len(xs) - 1):
        before = _line(xs[: middle + 1], ys[: middle + 1])[1]
        after = _line(xs[middle:], ys[middle:])[1]
        if abs(after - before) * (xs[-1] - xs[0]) < 2 * residual:
            continue
        low, high = sorted((abs(before), abs(after)))
        factor = high / low if low else float('inf')
        if factor > worst or before * after < 0:
            worst, place = max(worst, factor), xs[middle]
    return place
