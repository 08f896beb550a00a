"""How much filling tasks raise the tail latency of serving tasks.

Answers noisy tasks that arrive in waves: which pair of images meets decides
by how much a tail grows, and it shows only in late and rough measurements.

A serving task is taken as a queue: its tail is the tail at rest divided by
one less its utilisation. Its own load and each filling task beside it add to
the utilisation, a filling task by a factor of the pair of images times the
share of the worker's processors that it uses. In these terms the effects add
up, so that what was measured at low load tells what would happen at high
load.

The own load of each group of equal serving tasks and the factor of each pair
are estimates with a variance. A measurement moves what is least certain most
(a Kalman filter without covariances), so one clear measurement of a new pair
is enough, and many rough ones of a known pair move it little.
"""

import dataclasses
import math

from citronrail.model import workflows

# Over half of the pairs that were seen press with 1.0 to 1.5, the others
# hardly at all.
PRIOR_FACTOR = 0.5
PRIOR_VARIANCE = 0.36
FACTOR_DRIFT = 0.01  # variance that a factor gains in a second
MAX_FACTOR = 6.0
PRIOR_LOAD_VARIANCE = 0.04
LOAD_DRIFT = 0.004  # variance that an own load gains in a second
TAIL_NOISE = 0.06  # standard deviation of a measured tail, as a share of it
LEAST_NOISE = 0.015  # standard deviation of a measured utilisation
MAX_UTILISATION = 0.99
REST_RATIO = 0.2  # tail at rest as a share of the target, before it is seen
LEAST_LOAD = 0.22  # utilisation at the least tail that is ever measured
DANGER_RATIO = 0.75  # of the latency target; above it pace is cut
# The measured tail is rough; from here on the real one may be over.
AT_TARGET_RATIO = 0.93
AIM_RATIO = 0.65  # what a cut aims at
RISE = 40  # percentage points that are given back at once
# A filling task that adds less utilisation than this is left alone.
HARMLESS = 0.03
NEGLIGIBLE = 0.01  # utilisation that can't be what misses a target
FULL_PACE = 100
ASSUMED_LOAD = 0.45  # utilisation of a serving task before it is measured
CAUTION = 0.5  # standard deviations that a factor may be above its mean


@dataclasses.dataclass(frozen=True)
class Serving:
    """A task that serves, by its image and its utilisation.

    ``rest_ratio`` is its tail at rest as a share of its target, ``own_load``
    its utilisation without the filling tasks beside it.
    """

    image: str
    utilisation: float
    rest_ratio: float = REST_RATIO
    own_load: float = ASSUMED_LOAD

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
    """A filling task; ``share`` of the worker's processors at full pace.

    ``seen_pace`` is the pace during the span of the latest measurement, in
    percent.
    """

    image: str
    share: float
    pace: int = FULL_PACE
    seen_pace: float = FULL_PACE

    @property
    def weight(self) -> float:
        """Share of the worker's processors at the present pace."""
        return self.share * self.pace / FULL_PACE

    @property
    def seen_weight(self) -> float:
        """Share of the worker's processors in the latest measurement."""
        return self.share * self.seen_pace / FULL_PACE


def filling_task(
    step: workflows.StepSpec,
    total_cpu: int,
    pace: int = FULL_PACE,
    seen_pace: float = FULL_PACE,
) -> Filling:
    """Return a task of a filling step on a worker.

    :param step: the task's step.
    :param total_cpu: processors of the worker, in thousandths of a core.
    :param pace: its present pace, in percent.
    :param seen_pace: its pace in the latest measurement, in percent.
    """
    share = step.cpu_millis / max(1, total_cpu)
    return Filling(step.image, share, pace, seen_pace)


@dataclasses.dataclass
class _Estimate:
    """A figure that measurements move; ``at`` is a local time."""

    mean: float
    variance: float
    at: float

    def drift(self, rate: float, most: float, now: float) -> None:
        """Become less certain with time."""
        elapsed_s = max(0.0, now - self.at)
        self.variance = min(most, self.variance + rate * elapsed_s)
        self.at = now

    def move(self, weight: float, error: float, total: float) -> None:
        """Take a part of an error, by this figure's part of the variance."""
        gain = self.variance * weight / total
        self.mean += gain * error
        self.variance *= max(0.0, 1.0 - gain * weight)


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

    ``factors`` holds the serving image, the filling image, the factor and
    its variance.
    """

    factors: tuple[tuple[str, str, float, float], ...] = ()
    rest_ratios: tuple[tuple[str, float], ...] = ()


class PairFactors:
    """Learned factors of pairs of images, and loads of serving tasks."""

    def __init__(self) -> None:
        self._factors: dict[tuple[str, str], _Estimate] = {}
        self._own: dict[str, _Estimate] = {}  # by group
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
        """Return the factor of a pair, a prior if it is new.

        :param serving: image of the serving task.
        :param filling: image of the filling task.
        """
        known = self._factors.get((serving, filling))
        return PRIOR_FACTOR if known is None else known.mean

    def cautious_factor(self, serving: str, filling: str) -> float:
        """Return what the factor of a pair may well be.

        :param serving: image of the serving task.
        :param filling: image of the filling task.
        """
        known = self._factors.get((serving, filling))
        if known is None:
            return PRIOR_FACTOR + CAUTION * math.sqrt(PRIOR_VARIANCE)
        return known.mean + CAUTION * math.sqrt(known.variance)

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
            value.mean
            for (_, item), value in self._factors.items()
            if item == filling
        ]
        return sum(known) / len(known) if known else PRIOR_FACTOR

    def export(self) -> LearnedFactors:
        """Return what was learned, to be kept for a successor."""
        return LearnedFactors(
            tuple(
                (*pair, value.mean, value.variance)
                for pair, value in self._factors.items()
            ),
            tuple(self._rest.items()),
        )

    def adopt(self, learned: LearnedFactors, now: float) -> None:
        """Take over what a predecessor has learned.

        :param learned: what the store has kept.
        :param now: local time in seconds.
        """
        self._factors = {
            (serving, filling): _Estimate(mean, variance, now)
            for serving, filling, mean, variance in learned.factors
        }
        self._rest = dict(learned.rest_ratios)

    def own_load(self, group: str) -> float:
        """Return the utilisation of a group's tasks on their own.

        :param group: serving tasks that share a load.
        """
        known = self._own.get(group)
        return ASSUMED_LOAD if known is None else known.mean

    def forget(self, group: str) -> None:
        """Drop the load of a group that has ended."""
        self._own.pop(group, None)

    def learn(
        self,
        group: str,
        task: Serving,
        filling: tuple[Filling, ...],
        now: float,
    ) -> None:
        """Take a measurement.

        :param group: serving tasks that share the measured task's load.
        :param task: the measured task.
        :param filling: the filling tasks beside it.
        :param now: local time in seconds.
        """
        own = self._own.setdefault(
            group, _Estimate(task.utilisation, PRIOR_LOAD_VARIANCE, now)
        )
        own.drift(LOAD_DRIFT, PRIOR_LOAD_VARIANCE, now)
        weights: dict[str, float] = {}
        for item in filling:
            weight = weights.get(item.image, 0.0) + item.seen_weight
            weights[item.image] = weight
        parts = [
            (self._factor_estimate(task.image, image, now), weight)
            for image, weight in weights.items()
            if weight > 0
        ]
        noise = LEAST_NOISE + TAIL_NOISE * (1.0 - task.utilisation)
        total = noise * noise + own.variance
        total += sum(part.variance * w * w for part, w in parts)
        error = task.utilisation - own.mean
        error -= sum(part.mean * w for part, w in parts)
        own.move(1.0, error, total)
        own.mean = min(1.0, max(0.0, own.mean))
        for part, weight in parts:
            part.move(weight, error, total)
            part.mean = min(MAX_FACTOR, max(0.0, part.mean))

    def _factor_estimate(
        self, serving: str, filling: str, now: float
    ) -> _Estimate:
        found = self._factors.setdefault(
            (serving, filling), _Estimate(PRIOR_FACTOR, PRIOR_VARIANCE, now)
        )
        found.drift(FACTOR_DRIFT, PRIOR_VARIANCE, now)
        return found


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
        expected = task.own_load + factors.added(task.image, wanted)
        if expected <= task.danger:
            continue
        cut = _cut_for(task, filling, factors)
        limits = [min(limit, new) for limit, new in zip(limits, cut)]
    return tuple(limits)


def _cut_for(
    task: Serving,
    filling: tuple[Filling, ...],
    factors: PairFactors,
) -> list[int]:
    """Return the paces at which a serving task reaches its aim."""
    adding = [
        factors.factor(task.image, item.image) * item.share for item in filling
    ]
    pressing = sum(value for value in adding if value > HARMLESS)
    harmless = sum(value for value in adding if value <= HARMLESS)
    room = max(0.0, task.aim - task.own_load - harmless)
    share = min(1.0, room / pressing) if pressing > 0 else 1.0
    return [
        int(FULL_PACE * share) if value > HARMLESS else FULL_PACE
        for value in adding
    ]


def affordable_pace(
    serving: tuple[Serving, ...],
    beside: tuple[Filling, ...],
    candidate: Filling,
    factors: PairFactors,
) -> int:
    """Return the pace at which a filling task could join a worker.

    :param serving: the worker's serving tasks, as last measured.
    :param beside: filling tasks that are there or will be.
    :param candidate: the filling task.
    :param factors: what was learned of pairs.
    :returns: percent from 0 to 100.
    """
    pace = FULL_PACE
    for task in serving:
        adds = (
            factors.cautious_factor(task.image, candidate.image)
            * candidate.share
        )
        if adds <= HARMLESS:
            continue
        taken = sum(
            factors.cautious_factor(task.image, item.image) * item.share
            for item in beside
        )
        room = task.aim - task.own_load - taken
        pace = min(pace, int(FULL_PACE * max(0.0, room) / adds))
    return pace
