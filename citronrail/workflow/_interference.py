"""How much filling tasks raise the tail latency of serving tasks.

Answers noisy tasks that arrive in waves: which pair of images meets decides
by how much a tail grows, and it shows only in late and rough measurements.
For each pair a factor is learned: a filling task that works with a share
``x`` of the worker's processors multiplies the tail by ``1 + factor * x``.
"""

import dataclasses

PRIOR_FACTOR = 1.0
MAX_FACTOR = 300.0
# Tails vary by this share without any cause; smaller errors count less.
NOISE = 0.3
SMALL_STEP = 0.2
LARGE_STEP = 0.6
DANGER_RATIO = 0.85  # of the latency target; above it pace is cut
AIM_RATIO = 0.65  # what a cut or a rise of the pace aims at
CALM_RATIO = 0.6  # below it pace is given back
RISE = 25  # percentage points that are given back at once
# A filling task that adds less than this share to a tail is left alone.
HARMLESS = 0.15
FULL_PACE = 100


@dataclasses.dataclass(frozen=True)
class Serving:
    """A task that serves; ``ratio`` is its tail as a share of its target."""

    image: str
    ratio: float


@dataclasses.dataclass(frozen=True)
class Filling:
    """A filling task; ``share`` of the worker's processors at full pace."""

    image: str
    share: float
    pace: int = FULL_PACE

    @property
    def weight(self) -> float:
        """Share of the worker's processors at the present pace."""
        return self.share * self.pace / FULL_PACE


class PairFactors:
    """Learned factors of pairs of images."""

    def __init__(self) -> None:
        self._factors: dict[tuple[str, str], float] = {}

    def factor(self, serving: str, filling: str) -> float:
        """Return the factor of a pair, a cautious prior if it is new.

        :param serving: image of the serving task.
        :param filling: image of the filling task.
        """
        return self._factors.get((serving, filling), PRIOR_FACTOR)

    def known(self, serving: str, filling: str) -> bool:
        """Whether the pair has met."""
        return (serving, filling) in self._factors

    def added(self, serving: str, filling: tuple[Filling, ...]) -> float:
        """Return by which share filling tasks raise a tail."""
        return sum(
            self.factor(serving, task.image) * task.weight for task in filling
        )

    def learn(
        self, serving: str, growth: float, filling: tuple[Filling, ...]
    ) -> None:
        """Take a measurement.

        :param serving: image of the serving task.
        :param growth: by which share its tail was above the tail without
            filling tasks.
        :param filling: the filling tasks beside it.
        """
        weights: dict[str, float] = {}
        for task in filling:
            if task.weight > 0:
                weights[task.image] = (
                    weights.get(task.image, 0.0) + task.weight
                )
        power = sum(weight * weight for weight in weights.values())
        if power <= 0:
            return
        error = growth - self.added(serving, filling)
        step = LARGE_STEP if abs(error) > NOISE else SMALL_STEP
        for image, weight in weights.items():
            old = self.factor(serving, image)
            new = old + step * error * weight / power
            self._factors[serving, image] = min(MAX_FACTOR, max(0.0, new))


def unfilled_ratio(
    task: Serving, filling: tuple[Filling, ...], factors: PairFactors
) -> float:
    """Estimate a serving task's ratio without the filling tasks."""
    return task.ratio / (1.0 + factors.added(task.image, filling))


def paces(
    serving: tuple[Serving, ...],
    filling: tuple[Filling, ...],
    factors: PairFactors,
) -> tuple[int, ...]:
    """Return the pace of each filling task for the next interval.

    Only tasks that press on a serving task in danger are cut, as far as the
    learned factors say; pace is given back in steps while all are calm.

    :param serving: the worker's serving tasks, as last measured.
    :param filling: the worker's filling tasks.
    :param factors: what was learned of pairs.
    :returns: percents from 0 to 100, in the order of ``filling``.
    """
    limits = [_raised(task.pace, serving) for task in filling]
    for task in serving:
        if task.ratio <= DANGER_RATIO and not _would_endanger(
            task, filling, limits, factors
        ):
            continue
        cut = _cut_for(task, filling, factors)
        limits = [min(limit, new) for limit, new in zip(limits, cut)]
    return tuple(limits)


def _raised(pace: int, serving: tuple[Serving, ...]) -> int:
    if all(task.ratio < CALM_RATIO for task in serving):
        return min(FULL_PACE, pace + RISE)
    return pace


def _would_endanger(
    task: Serving,
    filling: tuple[Filling, ...],
    limits: list[int],
    factors: PairFactors,
) -> bool:
    """Whether a serving task would be in danger at the new paces."""
    raised = tuple(
        dataclasses.replace(item, pace=limit)
        for item, limit in zip(filling, limits)
    )
    base = unfilled_ratio(task, filling, factors)
    return base * (1.0 + factors.added(task.image, raised)) > DANGER_RATIO


def _cut_for(
    task: Serving, filling: tuple[Filling, ...], factors: PairFactors
) -> list[int]:
    base = unfilled_ratio(task, filling, factors)
    room = max(0.0, AIM_RATIO / max(base, 0.01) - 1.0)
    pressing = [
        factors.factor(task.image, item.image) * item.share for item in filling
    ]
    total = sum(press for press in pressing if press > HARMLESS)
    share = min(1.0, room / total) if total > 0 else 1.0
    return [
        int(FULL_PACE * share) if press > HARMLESS else FULL_PACE
        for press in pressing
    ]


def predicted_ratio(
    serving: tuple[Serving, ...],
    image: str,
    share: float,
    factors: PairFactors,
) -> float:
    """Return the worst ratio if a filling task joined a worker.

    :param serving: the worker's serving tasks, as last measured.
    :param image: image of the filling task.
    :param share: share of the worker's processors that it would use.
    :param factors: what was learned of pairs.
    :returns: the largest tail as a share of its target, 0 without any.
    """
    return max(
        (
            task.ratio * (1.0 + factors.factor(task.image, image) * share)
            for task in serving
        ),
        default=0.0,
    )
