"""How much filling tasks raise the tail latency of serving tasks.

Answers noisy tasks that arrive in waves: which pair of images meets decides
by how much a tail grows, and it shows only in late and rough measurements.

A serving task is taken as a queue: its tail is the tail at rest divided by
one less its utilisation. Its own load and each filling task beside it add to
the utilisation, a filling task by a factor of the pair of images times the
share of the worker's processors that it uses. The factors are learned. In
these terms the effects add up, so that what was measured at low load tells
what would happen at high load.
"""

import dataclasses

PRIOR_FACTOR = 0.5
MAX_FACTOR = 6.0
LEARNING_STEP = 0.35
# Measurements beside small filling tasks are mostly noise; this keeps them
# from moving a factor far. In squared shares of a worker's processors.
LEARNING_FLOOR = 0.004
# Part of the learned effect that is taken off when the load without filling
# tasks is estimated; the whole would let errors feed themselves.
TRUSTED_PART = 0.7
MAX_UTILISATION = 0.99
REST_RATIO = 0.2  # tail at rest as a share of the target, before it is seen
LEAST_LOAD = 0.22  # utilisation at the least tail that is ever measured
DANGER_RATIO = 0.9  # of the latency target; above it pace is cut
# The measured tail is rough; from here on the real one may be over.
AT_TARGET_RATIO = 0.93
AIM_RATIO = 0.8  # what a cut aims at
RISE = 40  # percentage points that are given back at once
# A filling task that adds less utilisation than this is left alone.
HARMLESS = 0.03
NEGLIGIBLE = 0.01  # utilisation that can't be what misses a target
FULL_PACE = 100


@dataclasses.dataclass(frozen=True)
class Serving:
    """A task that serves, by its image and its utilisation.

    ``rest_ratio`` is its tail at rest as a share of its target.
    """

    image: str
    utilisation: float
    rest_ratio: float = REST_RATIO

    @property
    def at_target(self) -> bool:
        """Whether its tail is over its target, or nearly so."""
        return self.utilisation > 1.0 - self.rest_ratio / AT_TARGET_RATIO

    @property
    def danger(self) -> float:
        """Utilisation above which its target is in danger."""
        return 1.0 - self.rest_ratio / DANGER_RATIO

    @property
    def aim(self) -> float:
        """Utilisation that is aimed at."""
        return 1.0 - self.rest_ratio / AIM_RATIO


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


def utilisation(ratio: float, rest_ratio: float) -> float:
    """Return the utilisation that a tail shows.

    :param ratio: the tail as a share of its target.
    :param rest_ratio: the tail at rest as a share of its target.
    """
    if ratio <= rest_ratio:
        return 0.0
    return min(MAX_UTILISATION, 1.0 - rest_ratio / ratio)


@dataclasses.dataclass(frozen=True)
class LearnedFactors:
    """What was learned, as the store keeps it.

    ``factors`` holds the serving image, the filling image and the factor.
    """

    factors: tuple[tuple[str, str, float], ...] = ()
    rest_ratios: tuple[tuple[str, float], ...] = ()


class PairFactors:
    """Learned factors of pairs of images, and tails of images at rest."""

    def __init__(self) -> None:
        self._factors: dict[tuple[str, str], float] = {}
        self._rest: dict[str, float] = {}

    def rest_ratio(self, image: str) -> float:
        """Return the tail at rest of an image as a share of its target."""
        return self._rest.get(image, REST_RATIO)

    def observe(self, image: str, ratio: float) -> Serving:
        """Take the tail of a serving task.

        :param image: its image.
        :param ratio: its tail as a share of its target.
        """
        rest = self.rest_ratio(image)
        if ratio > 0:
            rest = min(rest, ratio * (1.0 - LEAST_LOAD))
            self._rest[image] = rest
        return Serving(image, utilisation(ratio, rest), rest)

    def factor(self, serving: str, filling: str) -> float:
        """Return the factor of a pair, a cautious prior if it is new.

        :param serving: image of the serving task.
        :param filling: image of the filling task.
        """
        return self._factors.get((serving, filling), PRIOR_FACTOR)

    def added(self, serving: str, filling: tuple[Filling, ...]) -> float:
        """Return the utilisation that filling tasks add."""
        return sum(
            self.factor(serving, task.image) * task.weight for task in filling
        )

    def heaviness(self, filling: str) -> float:
        """Return the mean factor of an image over those it has met.

        :param filling: image of filling tasks.
        """
        known = [
            value
            for (_, item), value in self._factors.items()
            if item == filling
        ]
        return sum(known) / len(known) if known else PRIOR_FACTOR

    def export(self) -> LearnedFactors:
        """Return what was learned, to be kept for a successor."""
        return LearnedFactors(
            tuple((*pair, value) for pair, value in self._factors.items()),
            tuple(self._rest.items()),
        )

    def adopt(self, learned: LearnedFactors) -> None:
        """Take over what a predecessor has learned."""
        self._factors = {
            (serving, filling): value
            for serving, filling, value in learned.factors
        }
        self._rest = dict(learned.rest_ratios)

    def own_load(self, task: Serving, filling: tuple[Filling, ...]) -> float:
        """Estimate the utilisation of a task without filling tasks."""
        added = self.added(task.image, filling)
        return max(0.0, task.utilisation - TRUSTED_PART * added)

    def learn(
        self, serving: str, growth: float, filling: tuple[Filling, ...]
    ) -> None:
        """Take a measurement.

        :param serving: image of the serving task.
        :param growth: its utilisation above that without filling tasks.
        :param filling: the filling tasks beside it.
        """
        weights: dict[str, float] = {}
        for task in filling:
            weights[task.image] = weights.get(task.image, 0.0) + task.weight
        power = sum(weight * weight for weight in weights.values())
        error = growth - self.added(serving, filling)
        gain = LEARNING_STEP * error / (power + LEARNING_FLOOR)
        for image, weight in weights.items():
            if weight <= 0:
                continue
            new = self.factor(serving, image) + gain * weight
            self._factors[serving, image] = min(MAX_FACTOR, max(0.0, new))


def emergency_paces(
    serving: tuple[Serving, ...],
    filling: tuple[Filling, ...],
    factors: PairFactors,
    *,
    everything: bool,
) -> tuple[int, ...]:
    """Return the paces after a target has been missed in spite of a cut.

    :param serving: the worker's serving tasks, as last measured.
    :param filling: the worker's filling tasks.
    :param factors: what was learned of pairs; some of it is wrong.
    :param everything: stop tasks too that were never seen to press.
    :returns: percents from 0 to 100, in the order of ``filling``.
    """
    missed = [task.image for task in serving if task.at_target]
    return tuple(
        0
        if everything
        or any(
            factors.factor(image, item.image) * item.share > NEGLIGIBLE
            for image in missed
        )
        else item.pace
        for item in filling
    )


def paces(
    serving: tuple[Serving, ...],
    filling: tuple[Filling, ...],
    factors: PairFactors,
) -> tuple[int, ...]:
    """Return the pace of each filling task for the next interval.

    Pace is given back in steps as long as no serving task gets into danger
    by what was learned; only tasks that press on one in danger are cut.

    :param serving: the worker's serving tasks, as last measured.
    :param filling: the worker's filling tasks.
    :param factors: what was learned of pairs.
    :returns: percents from 0 to 100, in the order of ``filling``.
    """
    wanted = tuple(
        dataclasses.replace(item, pace=min(FULL_PACE, item.pace + RISE))
        for item in filling
    )
    limits = [item.pace for item in wanted]
    for task in serving:
        own = task.utilisation - factors.added(task.image, filling)
        expected = own + factors.added(task.image, wanted)
        if max(expected, task.utilisation) <= task.danger:
            continue
        cut = _cut_for(task, own, filling, factors)
        limits = [min(limit, new) for limit, new in zip(limits, cut)]
    return tuple(limits)


def _cut_for(
    task: Serving,
    own: float,
    filling: tuple[Filling, ...],
    factors: PairFactors,
) -> list[int]:
    """Return the paces at which a serving task reaches its aim."""
    adding = [
        factors.factor(task.image, item.image) * item.share for item in filling
    ]
    pressing = sum(value for value in adding if value > HARMLESS)
    harmless = sum(value for value in adding if value <= HARMLESS)
    room = max(0.0, task.aim - own - harmless)
    share = min(1.0, room / pressing) if pressing > 0 else 1.0
    return [
        int(FULL_PACE * share) if value > HARMLESS else FULL_PACE
        for value in adding
    ]


def affordable_pace(
    serving: tuple[Serving, ...],
    joining: tuple[Filling, ...],
    candidate: Filling,
    factors: PairFactors,
) -> int:
    """Return the pace at which a filling task could join a worker.

    :param serving: the worker's serving tasks, as last measured.
    :param joining: filling tasks there that no measurement shows yet.
    :param candidate: the filling task.
    :param factors: what was learned of pairs.
    :returns: percent from 0 to 100.
    """
    pace = FULL_PACE
    for task in serving:
        adds = factors.factor(task.image, candidate.image) * candidate.share
        if adds <= HARMLESS:
            continue
        room = task.aim - task.utilisation - factors.added(task.image, joining)
        pace = min(pace, int(FULL_PACE * max(0.0, room) / adds))
    return pace
