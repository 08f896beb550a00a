"""Linear least-squares fits with breakpoint detection."""

import collections.abc
import dataclasses

MIN_SLOPE_RATIO = 1.5
MAX_RESIDUAL_RATIO = 0.5  # residual of two segments over that of one line
NOISE_FRACTION = 0.05  # of the largest value


@dataclasses.dataclass(frozen=True)
class LinearFit:
    """Least-squares line ``y = base + slope * x``.

    ``residual`` is the root mean square distance of the points from the line,
    in the unit of y. ``bends_at`` is the breakpoint of a two-segment fit that
    halves the residual and whose slopes differ by more than a factor of 1.5 or
    in sign; None without such a breakpoint.
    """

    base: float
    slope: float
    residual: float
    bends_at: float | None

    def at(self, x: float) -> float:
        """Return the value at ``x``; extrapolates outside the points."""
        return self.base + self.slope * x


def fit_line(
    xs: collections.abc.Sequence[float], ys: list[float]
) -> LinearFit:
    """Fit a line.

    :param xs: at least two x values in rising order.
    :param ys: measured values.
    :returns: the line.
    """
    base, slope = _least_squares(xs, ys)
    squares = [(y - base - slope * x) ** 2 for x, y in zip(xs, ys)]
    residual = (sum(squares) / len(squares)) ** 0.5
    return LinearFit(base, slope, residual, _find_breakpoint(xs, ys, residual))


def _least_squares(
    xs: collections.abc.Sequence[float], ys: collections.abc.Sequence[float]
) -> tuple[float, float]:
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    sum_of_squares = sum((x - mean_x) ** 2 for x in xs)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys))
        / sum_of_squares
    )
    return mean_y - slope * mean_x, slope


def _find_breakpoint(
    xs: collections.abc.Sequence[float], ys: list[float], residual: float
) -> float | None:
    """Return the breakpoint of the best two-segment fit, if there is one.

    A residual that is small relative to the values counts as noise.
    """
    if residual < NOISE_FRACTION * max(abs(y) for y in ys):
        return None
    best_residual, breakpoint_x = residual * MAX_RESIDUAL_RATIO, None
    for split_index in range(1, len(xs) - 1):
        squares = 0.0
        part_slopes = []
        for part in (slice(None, split_index + 1), slice(split_index, None)):
            base, slope = _least_squares(xs[part], ys[part])
            part_slopes.append(slope)
            squares += sum(
                (y - base - slope * x) ** 2 for x, y in zip(xs[part], ys[part])
            )
        low, high = sorted(abs(slope) for slope in part_slopes)
        slopes_differ = (
            high > MIN_SLOPE_RATIO * low or part_slopes[0] * part_slopes[1] < 0
        )
        split_residual = (squares / len(xs)) ** 0.5
        if slopes_differ and split_residual < best_residual:
            best_residual, breakpoint_x = split_residual, xs[split_index]
    return breakpoint_x
