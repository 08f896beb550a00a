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
FACTOR_VARIANCE_PER_S = 0.01  # variance that a factor gains in a second
MAX_FACTOR = 6.0
PRIOR_LOAD_VARIANCE = 0.04
LOAD_VARIANCE_PER_S = 0.004  # variance that an own load gains in a second
TAIL_NOISE_RATIO = (
    0.06  # standard deviation of a measured tail, as a share of it
)
MIN_UTILISATION_NOISE = 0.015  # standard deviation of a measured utilisation
MAX_UTILISATION = 0.99
PRIOR_BASELINE_RATIO = (
    0.2  # tail at rest as a share of the target, before it is seen
)
MIN_MEASURED_UTILISATION = (
    0.22  # utilisation at the least tail that is ever measured
)
THROTTLE_TAIL_RATIO = 0.75  # of the latency target; above it pace is cut
# The measured tail is rough; from here on the real one may be over.
VIOLATION_TAIL_RATIO = 0.93
SETPOINT_TAIL_RATIO = 0.65  # what a cut aims at
MAX_PACE_INCREASE_PERCENT = 40  # percentage points that are given back at once
# A filling task that adds less utilisation than this is left alone.
HARMLESS_UTILISATION = 0.03
NEGLIGIBLE_UTILISATION = 0.01  # utilisation that can't be what misses a target
FULL_PACE_PERCENT = 100
PRIOR_LOAD = 0.45  # utilisation of a serving task before it is measured
CAUTION_DEVIATIONS = (
    0.5  # standard deviations that a factor may be above its mean
)


@dataclasses.dataclass(frozen=True)
class ServingTask:
    """A task that serves, by its image and its utilisation.

    ``rest_ratio`` is its tail at rest as a share of its target, ``own_load``
    its utilisation without the filling tasks beside it.
    """

    image: str
    utilisation: float
    baseline_ratio: float = PRIOR_BASELINE_RATIO
    own_load: float = PRIOR_LOAD

    @property
    def misses_target(self) -> bool:
        """Whether its tail is over its target, or nearly so."""
        return (
            self.utilisation > 1.0 - self.baseline_ratio / VIOLATION_TAIL_RATIO
        )

    @property
    def throttle_threshold(self) -> float:
        """Utilisation above which its target is in danger."""
        return 1.0 - self.baseline_ratio / THROTTLE_TAIL_RATIO

    @property
    def setpoint(self) -> float:
        """Utilisation that is aimed at."""
        return 1.0 - self.baseline_ratio / SETPOINT_TAIL_RATIO


@dataclasses.dataclass(frozen=True)
class BestEffortTask:
    """A filling task; ``share`` of the worker's processors at full pace.

    ``seen_pace`` is the pace during the span of the latest measurement, in
    percent.
    """

    image: str
    cpu_share: float
    pace: int = FULL_PACE_PERCENT
    measured_pace: float = FULL_PACE_PERCENT

    @property
    def current_cpu_share(self) -> float:
        """Share of the worker's processors at the present pace."""
        return self.cpu_share * self.pace / FULL_PACE_PERCENT

    @property
    def measured_cpu_share(self) -> float:
        """Share of the worker's processors in the latest measurement."""
        return self.cpu_share * self.measured_pace / FULL_PACE_PERCENT


def best_effort_task(
    step: workflows.StepSpec,
    total_cpu: int,
    pace: int = FULL_PACE_PERCENT,
    measured_pace: float = FULL_PACE_PERCENT,
) -> BestEffortTask:
    """Return a task of a filling step on a worker.

    :param step: the task's step.
    :param total_cpu: processors of the worker, in thousandths of a core.
    :param pace: its present pace, in percent.
    :param seen_pace: its pace in the latest measurement, in percent.
    """
    share = step.cpu_millis / max(1, total_cpu)
    return BestEffortTask(step.image, share, pace, measured_pace)


@dataclasses.dataclass
class _Estimate:
    """A figure that measurements move; ``at`` is a local time."""

    mean: float
    variance: float
    updated_at: float

    def grow_variance(
        self, rate_per_s: float, maximum: float, now: float
    ) -> None:
        """Become less certain with time."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.variance = min(maximum, self.variance + rate_per_s * elapsed_s)
        self.updated_at = now

    def correct(
        self, coefficient: float, residual: float, residual_variance: float
    ) -> None:
        """Take a part of an error, by this figure's part of the variance."""
        gain = self.variance * coefficient / residual_variance
        self.mean += gain * residual
        self.variance *= max(0.0, 1.0 - gain * coefficient)


def utilisation(ratio: float, baseline_ratio: float) -> float:
    """Return the utilisation that a tail shows.

    :param ratio: the tail as a share of its target.
    :param rest_ratio: the tail at rest as a share of its target.
    """
    if ratio <= baseline_ratio:
        return 0.0
    return min(MAX_UTILISATION, 1.0 - baseline_ratio / ratio)


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
        self._own_loads: dict[str, _Estimate] = {}  # by group
        self._baseline_ratios: dict[str, float] = {}

    def baseline_ratio(self, image: str) -> float:
        """Return the tail at rest of an image as a share of its target."""
        return self._baseline_ratios.get(image, PRIOR_BASELINE_RATIO)

    def observe_tail(self, image: str, ratio: float) -> ServingTask:
        """Take the tail of a serving task.

        :param image: its image.
        :param ratio: its tail as a share of its target.
        """
        baseline = self.baseline_ratio(image)
        if ratio > 0:
            baseline = min(baseline, ratio * (1.0 - MIN_MEASURED_UTILISATION))
            self._baseline_ratios[image] = baseline
        return ServingTask(image, utilisation(ratio, baseline), baseline)

    def factor(self, serving: str, best_effort: str) -> float:
        """Return the factor of a pair, a prior if it is new.

        :param serving: image of the serving task.
        :param filling: image of the filling task.
        """
        known = self._factors.get((serving, best_effort))
        return PRIOR_FACTOR if known is None else known.mean

    def cautious_factor(self, serving: str, best_effort: str) -> float:
        """Return what the factor of a pair may well be.

        :param serving: image of the serving task.
        :param filling: image of the filling task.
        """
        known = self._factors.get((serving, best_effort))
        if known is None:
            return PRIOR_FACTOR + CAUTION_DEVIATIONS * math.sqrt(
                PRIOR_VARIANCE
            )
        return known.mean + CAUTION_DEVIATIONS * math.sqrt(known.variance)

    def added_utilisation(
        self, serving: str, best_effort: tuple[BestEffortTask, ...]
    ) -> float:
        """Return the utilisation that filling tasks add."""
        return sum(
            self.factor(serving, task.image) * task.current_cpu_share
            for task in best_effort
        )

    def mean_factor(self, best_effort: str) -> float:
        """Return the mean factor of an image over those it has met.

        :param filling: image of filling tasks.
        """
        known = [
            value.mean
            for (_, item), value in self._factors.items()
            if item == best_effort
        ]
        return sum(known) / len(known) if known else PRIOR_FACTOR

    def snapshot(self) -> LearnedFactors:
        """Return what was learned, to be kept for a successor."""
        return LearnedFactors(
            tuple(
                (*pair, value.mean, value.variance)
                for pair, value in self._factors.items()
            ),
            tuple(self._baseline_ratios.items()),
        )

    def restore(self, learned: LearnedFactors, now: float) -> None:
        """Take over what a predecessor has learned.

        :param learned: what the store has kept.
        :param now: local time in seconds.
        """
        self._factors = {
            (serving, best_effort): _Estimate(mean, variance, now)
            for serving, best_effort, mean, variance in learned.factors
        }
        self._baseline_ratios = dict(learned.rest_ratios)

    def own_load(self, group: str) -> float:
        """Return the utilisation of a group's tasks on their own.

        :param group: serving tasks that share a load.
        """
        known = self._own_loads.get(group)
        return PRIOR_LOAD if known is None else known.mean

    def forget_load(self, group: str) -> None:
        """Drop the load of a group that has ended."""
        self._own_loads.pop(group, None)

    def learn(
        self,
        group: str,
        task: ServingTask,
        best_effort: tuple[BestEffortTask, ...],
        now: float,
    ) -> None:
        """Take a measurement.

        :param group: serving tasks that share the measured task's load.
        :param task: the measured task.
        :param filling: the filling tasks beside it.
        :param now: local time in seconds.
        """
        own_load_estimate = self._own_loads.setdefault(
            group, _Estimate(task.utilisation, PRIOR_LOAD_VARIANCE, now)
        )
        own_load_estimate.grow_variance(
            LOAD_VARIANCE_PER_S, PRIOR_LOAD_VARIANCE, now
        )
        weights: dict[str, float] = {}
        for item in best_effort:
            weight = weights.get(item.image, 0.0) + item.measured_cpu_share
            weights[item.image] = weight
        parts = [
            (self._factor_estimate(task.image, image, now), weight)
            for image, weight in weights.items()
            if weight > 0
        ]
        noise = MIN_UTILISATION_NOISE + TAIL_NOISE_RATIO * (
            1.0 - task.utilisation
        )
        residual_variance = noise * noise + own_load_estimate.variance
        residual_variance += sum(part.variance * w * w for part, w in parts)
        residual = task.utilisation - own_load_estimate.mean
        residual -= sum(part.mean * w for part, w in parts)
        own_load_estimate.correct(1.0, residual, residual_variance)
        own_load_estimate.mean = min(1.0, max(0.0, own_load_estimate.mean))
        for part, weight in parts:
            part.correct(weight, residual, residual_variance)
            part.mean = min(MAX_FACTOR, max(0.0, part.mean))

    def _factor_estimate(
        self, serving: str, best_effort: str, now: float
    ) -> _Estimate:
        found = self._factors.setdefault(
            (serving, best_effort),
            _Estimate(PRIOR_FACTOR, PRIOR_VARIANCE, now),
        )
        found.grow_variance(FACTOR_VARIANCE_PER_S, PRIOR_VARIANCE, now)
        return found


def paces_after_violation(
    serving: tuple[ServingTask, ...],
    best_effort: tuple[BestEffortTask, ...],
    factors: PairFactors,
    *,
    stop_all: bool,
) -> tuple[int, ...]:
    """Return the paces after a target has been missed in spite of a cut.

    :param serving: the worker's serving tasks, as last measured.
    :param filling: the worker's filling tasks.
    :param factors: what was learned of pairs; some of it is wrong.
    :param everything: stop tasks too that were never seen to press.
    :returns: percents from 0 to 100, in the order of ``filling``.
    """
    missed = [task.image for task in serving if task.misses_target]
    return tuple(
        0
        if stop_all
        or any(
            factors.factor(image, item.image) * item.cpu_share
            > NEGLIGIBLE_UTILISATION
            for image in missed
        )
        else item.pace
        for item in best_effort
    )


def paces(
    serving: tuple[ServingTask, ...],
    best_effort: tuple[BestEffortTask, ...],
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
    raised = tuple(
        dataclasses.replace(
            item,
            pace=min(FULL_PACE_PERCENT, item.pace + MAX_PACE_INCREASE_PERCENT),
        )
        for item in best_effort
    )
    limits = [item.pace for item in raised]
    for task in serving:
        expected = task.own_load + factors.added_utilisation(
            task.image, raised
        )
        if expected <= task.throttle_threshold:
            continue
        throttled = _throttled_paces(task, best_effort, factors)
        limits = [min(limit, new) for limit, new in zip(limits, throttled)]
    return tuple(limits)


def _throttled_paces(
    task: ServingTask,
    best_effort: tuple[BestEffortTask, ...],
    factors: PairFactors,
) -> list[int]:
    """Return the paces at which a serving task reaches its aim."""
    added = [
        factors.factor(task.image, item.image) * item.cpu_share
        for item in best_effort
    ]
    harmful = sum(value for value in added if value > HARMLESS_UTILISATION)
    harmless = sum(value for value in added if value <= HARMLESS_UTILISATION)
    headroom = max(0.0, task.setpoint - task.own_load - harmless)
    share = min(1.0, headroom / harmful) if harmful > 0 else 1.0
    return [
        int(FULL_PACE_PERCENT * share)
        if value > HARMLESS_UTILISATION
        else FULL_PACE_PERCENT
        for value in added
    ]


def admissible_pace(
    serving: tuple[ServingTask, ...],
    co_located: tuple[BestEffortTask, ...],
    candidate: BestEffortTask,
    factors: PairFactors,
) -> int:
    """Return the pace at which a filling task could join a worker.

    :param serving: the worker's serving tasks, as last measured.
    :param beside: filling tasks that are there or will be.
    :param candidate: the filling task.
    :param factors: what was learned of pairs.
    :returns: percent from 0 to 100.
    """
    pace = FULL_PACE_PERCENT
    for task in serving:
        candidate_adds = (
            factors.cautious_factor(task.image, candidate.image)
            * candidate.cpu_share
        )
        if candidate_adds <= HARMLESS_UTILISATION:
            continue
        already_added = sum(
            factors.cautious_factor(task.image, item.image) * item.cpu_share
            for item in co_located
        )
        headroom = task.setpoint - task.own_load - already_added
        pace = min(
            pace, int(FULL_PACE_PERCENT * max(0.0, headroom) / candidate_adds)
        )
    return pace
