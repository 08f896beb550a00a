"""Straight lines through measured points."""

import collections.abc
import dataclasses

BEND_FACTOR = 1.5
BETTER_SHARE = 0.5  # residual of two lines against that of one
NOISE_SHARE = 0.05  # of the largest value


@dataclasses.dataclass(frozen=True)
class Fit:
    """Least-squares line ``y = base + slope * x``.

    ``residual`` is the root mean square distance of the points from the line,
    in the unit of y. ``bends_at`` is the x at which two lines meet that fit
    twice as well and differ in steepness by more than a factor of 1.5; None if
    the points show no such place.
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
    """Return where two lines fit much better than one, if anywhere.

    Scatter around a line that is small against the values is no bend.
    """
    if residual < NOISE_SHARE * max(abs(y) for y in ys):
        return None
    best, place = residual * BETTER_SHARE, None
    for middle in range(1, len(xs) - 1):
        squares = 0.0
        lines = []
        for part in (slice(None, middle + 1), slice(middle, None)):
            base, slope = _line(xs[part], ys[part])
            lines.append(slope)
            squares += sum(
                (y - base - slope * x) ** 2 for x, y in zip(xs[part], ys[part])
            )
        low, high = sorted(abs(slope) for slope in lines)
        bends = high > BEND_FACTOR * low or lines[0] * lines[1] < 0
        left = (squares / len(xs)) ** 0.5
        if bends and left < best:
            best, place = left, xs[middle]
    return place
