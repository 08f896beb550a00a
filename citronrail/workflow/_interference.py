"""Model of how best-effort tasks raise the tail latency of serving tasks.

Interfering tasks arrive in bursts. The interference depends on the pair of
images, serving and best-effort, and is only visible in delayed and noisy
latency measurements.

A serving task is modelled as a single queue: its tail latency is the baseline
tail latency divided by (1 - utilisation). The utilisation is the sum of the
task's own load and a term for each best-effort task on the same worker: the
pair's interference factor times the share of the worker's processors that
the best-effort task uses. Since effects are additive in utilisation,
measurements at low load predict the tail at high load.

The own load of each group of equal serving tasks and the factor of each pair
are estimated by a Kalman filter without covariances: a measurement corrects
the least certain estimates most, so one clear measurement of a new pair is
enough, while noisy measurements hardly move a well-known factor.
"""

import collections.abc
import dataclasses
import math
import typing

from citronrail.model import bounded
from citronrail.model import recency
from citronrail.model import workflows

# More than half of the observed pairs have a factor of 1.0 to 1.5, the others
# one close to 0.
PRIOR_FACTOR = 0.5
PRIOR_VARIANCE = 0.36
FACTOR_VARIANCE_PER_S = 0.01  # growth of a factor's variance
MAX_FACTOR = 6.0
MAX_PAIRS = 20_000  # in memory; images may get new names for ever
MAX_IMAGES = 2_000
# Encoded size of a stored row beside its names, and of the length of a name.
ROW_BYTES = 24
NAME_BYTES = 5
RATIO_BYTES_SHARE = 0.25  # of the stored estimates
PRIOR_LOAD_VARIANCE = 0.04
LOAD_VARIANCE_PER_S = 0.004  # growth of an own load's variance
# Standard deviations of the measurement noise.
TAIL_NOISE_RATIO = 0.06  # of the measured tail
MIN_UTILISATION_NOISE = 0.015
MAX_UTILISATION = 0.99
# Baseline tail as a share of the latency target, before any measurement.
PRIOR_BASELINE_RATIO = 0.2
# Utilisation assumed at the lowest tail measured so far.
MIN_MEASURED_UTILISATION = 0.22
# Tails as shares of the latency target.
THROTTLE_TAIL_RATIO = 0.75  # above it best-effort tasks are throttled
# Below 1.0, since the true tail may be above a noisy measurement.
VIOLATION_TAIL_RATIO = 0.93
SETPOINT_TAIL_RATIO = 0.65  # what throttling aims for
MAX_PACE_INCREASE_PERCENT = 40  # percentage points in one step
# A best-effort task that adds less utilisation than this isn't throttled.
HARMLESS_UTILISATION = 0.03
# Added utilisation that is too low to be the cause of a missed target.
NEGLIGIBLE_UTILISATION = 0.01
FULL_PACE_PERCENT = 100
PRIOR_LOAD = 0.45  # utilisation of a serving task before any measurement
# Standard deviations added to the mean of a factor for a cautious estimate.
CAUTION_DEVIATIONS = 0.5


@dataclasses.dataclass(frozen=True)
class ServingTask:
    """A latency-critical task.

    ``baseline_ratio`` is its baseline tail as a share of its latency target,
    ``own_load`` its utilisation without co-located best-effort tasks.
    """

    image: str
    utilisation: float
    baseline_ratio: float = PRIOR_BASELINE_RATIO
    own_load: float = PRIOR_LOAD

    @property
    def misses_target(self) -> bool:
        """Whether its measured tail is at or near its latency target."""
        return (
            self.utilisation > 1.0 - self.baseline_ratio / VIOLATION_TAIL_RATIO
        )

    @property
    def throttle_threshold(self) -> float:
        """Utilisation above which best-effort tasks are throttled."""
        return 1.0 - self.baseline_ratio / THROTTLE_TAIL_RATIO

    @property
    def setpoint(self) -> float:
        """Utilisation that throttling aims for."""
        return 1.0 - self.baseline_ratio / SETPOINT_TAIL_RATIO


@dataclasses.dataclass(frozen=True)
class BestEffortTask:
    """A best-effort task.

    ``cpu_share`` is its share of the worker's processors at full pace,
    ``measured_pace`` its mean pace in percent during the latest measurement.
    """

    image: str
    cpu_share: float
    pace: int = FULL_PACE_PERCENT
    measured_pace: float = FULL_PACE_PERCENT

    @property
    def current_cpu_share(self) -> float:
        """Share of the worker's processors at the current pace."""
        return self.cpu_share * self.pace / FULL_PACE_PERCENT

    @property
    def measured_cpu_share(self) -> float:
        """Share of the worker's processors during the latest measurement."""
        return self.cpu_share * self.measured_pace / FULL_PACE_PERCENT


def best_effort_task(
    step: workflows.StepSpec,
    total_cpu: int,
    pace: int = FULL_PACE_PERCENT,
    measured_pace: float = FULL_PACE_PERCENT,
) -> BestEffortTask:
    """Return a best-effort task of a step on a worker.

    :param step: the task's step.
    :param total_cpu: processors of the worker, in thousandths of a core.
    :param pace: current pace in percent.
    :param measured_pace: mean pace in percent during the latest measurement.
    """
    cpu_share = step.cpu_millis / max(1, total_cpu)
    return BestEffortTask(step.image, cpu_share, pace, measured_pace)


_Row = typing.TypeVar('_Row', bound=tuple[str | float, ...])


@dataclasses.dataclass
class _Estimate:
    """A scalar estimate; ``updated_at`` is local time in seconds."""

    mean: float
    variance: float
    updated_at: float

    def grow_variance(
        self, rate_per_s: float, maximum: float, now: float
    ) -> None:
        """Grow the variance by the time since the last update."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.variance = min(maximum, self.variance + rate_per_s * elapsed_s)
        self.updated_at = now

    def correct(
        self, coefficient: float, residual: float, residual_variance: float
    ) -> None:
        """Apply this estimate's part of a measurement residual.

        :param coefficient: coefficient of this estimate in the measurement.
        :param residual: measured value minus predicted value.
        :param residual_variance: variance of the residual.
        """
        gain = self.variance * coefficient / residual_variance
        self.mean += gain * residual
        self.variance *= max(0.0, 1.0 - gain * coefficient)


def utilisation(ratio: float, baseline_ratio: float) -> float:
    """Return the utilisation implied by a tail latency.

    :param ratio: the tail as a share of the latency target.
    :param baseline_ratio: the baseline tail as a share of the target.
    """
    if ratio <= baseline_ratio:
        return 0.0
    return min(MAX_UTILISATION, 1.0 - baseline_ratio / ratio)


@dataclasses.dataclass(frozen=True)
class LearnedFactors:
    """Learned estimates as they are stored.

    ``factors`` holds the serving image, the best-effort image, the factor and
    its variance; ``rest_ratios`` the image and its baseline ratio.
    """

    factors: tuple[
        tuple[str, str, bounded.SignedNumber, bounded.SignedNumber], ...
    ] = ()
    rest_ratios: tuple[tuple[str, bounded.SignedNumber], ...] = ()


def _newest(
    rows: collections.abc.Iterable[_Row], max_bytes: int
) -> tuple[_Row, ...]:
    """Return the first rows within a bound on their size, in reverse order.

    :param rows: names and numbers, the newest row first.
    :param max_bytes: bound on the encoded size of all rows.
    """
    chosen = []
    for row in rows:
        max_bytes -= ROW_BYTES + sum(
            len(item.encode()) + NAME_BYTES
            for item in row
            if isinstance(item, str)
        )
        if max_bytes < 0:
            break
        chosen.append(row)
    return tuple(reversed(chosen))


class PairFactors:
    """Interference factors of pairs of images, and loads of serving tasks."""

    def __init__(self) -> None:
        # In both, the least recently updated estimate is first.
        self._factors: dict[tuple[str, str], _Estimate] = {}
        self._own_loads: dict[str, _Estimate] = {}  # by group
        self._baseline_ratios: dict[str, float] = {}

    def baseline_ratio(self, image: str) -> float:
        """Return the baseline tail of an image as a share of its target."""
        return self._baseline_ratios.get(image, PRIOR_BASELINE_RATIO)

    def observe_tail(self, image: str, ratio: float) -> ServingTask:
        """Update the baseline of an image with a measured tail.

        :param image: image of the serving task.
        :param ratio: measured tail as a share of the latency target.
        :returns: the task with the utilisation that the tail implies.
        """
        baseline = self.baseline_ratio(image)
        if ratio > 0:
            baseline = min(baseline, ratio * (1.0 - MIN_MEASURED_UTILISATION))
            recency.put_last(
                self._baseline_ratios, image, baseline, MAX_IMAGES
            )
        return ServingTask(image, utilisation(ratio, baseline), baseline)

    def factor(self, serving: str, best_effort: str) -> float:
        """Return the mean factor of a pair, or the prior if it is new.

        :param serving: image of the serving task.
        :param best_effort: image of the best-effort task.
        """
        known = self._factors.get((serving, best_effort))
        return PRIOR_FACTOR if known is None else known.mean

    def cautious_factor(self, serving: str, best_effort: str) -> float:
        """Return the factor of a pair plus a margin for its uncertainty.

        :param serving: image of the serving task.
        :param best_effort: image of the best-effort task.
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
        """Return the utilisation that best-effort tasks add."""
        return sum(
            self.factor(serving, task.image) * task.current_cpu_share
            for task in best_effort
        )

    def mean_factor(self, best_effort: str) -> float:
        """Return the mean factor of an image over its known pairs.

        :param best_effort: image of best-effort tasks.
        """
        known = [
            value.mean
            for (_, item), value in self._factors.items()
            if item == best_effort
        ]
        return sum(known) / len(known) if known else PRIOR_FACTOR

    def likeness(self, first: str, second: str, unknown: float) -> float:
        """Return how alike best-effort images affect two serving images.

        :param first: image of serving tasks.
        :param second: image of other serving tasks.
        :param unknown: result if no best-effort image was measured with both.
        :returns: 1.0 if the factors are equal, 0.0 if they differ by 1 or
            more on average.
        """
        differences = [
            abs(value.mean - self._factors[second, item].mean)
            for (serving, item), value in self._factors.items()
            if serving == first and (second, item) in self._factors
        ]
        if not differences:
            return unknown
        return max(0.0, 1.0 - sum(differences) / len(differences))

    def snapshot(self, max_bytes: int) -> LearnedFactors:
        """Return the estimates to store for the next scheduler.

        :param max_bytes: bound on their encoded size. Those that were updated
            longest ago are left out.
        """
        ratio_bytes = int(max_bytes * RATIO_BYTES_SHARE)
        return LearnedFactors(
            _newest(
                (
                    (*pair, value.mean, value.variance)
                    for pair, value in reversed(self._factors.items())
                ),
                max_bytes - ratio_bytes,
            ),
            _newest(reversed(self._baseline_ratios.items()), ratio_bytes),
        )

    def restore(self, learned: LearnedFactors, now: float) -> None:
        """Restore the estimates of an earlier scheduler.

        :param learned: the stored estimates.
        :param now: local time in seconds.
        """
        self._factors = {
            (serving, best_effort): _Estimate(mean, variance, now)
            for serving, best_effort, mean, variance in learned.factors
        }
        self._baseline_ratios = dict(learned.rest_ratios)

    def own_load(self, group: str) -> float:
        """Return the utilisation of a group's tasks without interference.

        :param group: name of a group of serving tasks that share a load.
        """
        known = self._own_loads.get(group)
        return PRIOR_LOAD if known is None else known.mean

    def forget_load(self, group: str) -> None:
        """Delete the load estimate of a group that has ended."""
        self._own_loads.pop(group, None)

    def learn(
        self,
        group: str,
        task: ServingTask,
        best_effort: tuple[BestEffortTask, ...],
        now: float,
    ) -> None:
        """Update the estimates with a measurement.

        :param group: name of the group that the measured task belongs to.
        :param task: the measured task.
        :param best_effort: co-located best-effort tasks.
        :param now: local time in seconds.
        """
        own_load_estimate = self._own_loads.setdefault(
            group, _Estimate(task.utilisation, PRIOR_LOAD_VARIANCE, now)
        )
        own_load_estimate.grow_variance(
            LOAD_VARIANCE_PER_S, PRIOR_LOAD_VARIANCE, now
        )
        image_shares: dict[str, float] = {}
        for item in best_effort:
            image_share = (
                image_shares.get(item.image, 0.0) + item.measured_cpu_share
            )
            image_shares[item.image] = image_share
        estimates = [
            (self._factor_estimate(task.image, image, now), image_share)
            for image, image_share in image_shares.items()
            if image_share > 0
        ]
        noise = MIN_UTILISATION_NOISE + TAIL_NOISE_RATIO * (
            1.0 - task.utilisation
        )
        residual_variance = noise * noise + own_load_estimate.variance
        residual_variance += sum(
            estimate.variance * share * share for estimate, share in estimates
        )
        residual = task.utilisation - own_load_estimate.mean
        residual -= sum(estimate.mean * share for estimate, share in estimates)
        own_load_estimate.correct(1.0, residual, residual_variance)
        own_load_estimate.mean = min(1.0, max(0.0, own_load_estimate.mean))
        for estimate, image_share in estimates:
            estimate.correct(image_share, residual, residual_variance)
            estimate.mean = min(MAX_FACTOR, max(0.0, estimate.mean))

    def _factor_estimate(
        self, serving: str, best_effort: str, now: float
    ) -> _Estimate:
        pair = (serving, best_effort)
        found = self._factors.get(pair)
        if found is None:
            found = _Estimate(PRIOR_FACTOR, PRIOR_VARIANCE, now)
        recency.put_last(self._factors, pair, found, MAX_PAIRS)
        found.grow_variance(FACTOR_VARIANCE_PER_S, PRIOR_VARIANCE, now)
        return found


def paces_after_violation(
    serving: tuple[ServingTask, ...],
    best_effort: tuple[BestEffortTask, ...],
    factors: PairFactors,
    *,
    stop_all: bool,
) -> tuple[int, ...]:
    """Return the paces while throttling fails to restore a latency target.

    The learned factors must be wrong then, so any task that may contribute
    is stopped.

    :param serving: the worker's serving tasks, as last measured.
    :param best_effort: the worker's best-effort tasks.
    :param factors: learned interference factors.
    :param stop_all: also stop tasks whose learned interference is negligible.
    :returns: percentages from 0 to 100, in the order of ``best_effort``.
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
    max_increase: int = MAX_PACE_INCREASE_PERCENT,
) -> tuple[int, ...]:
    """Return the pace of each best-effort task for the next interval.

    Paces are raised in steps while every serving task is predicted to stay
    below its throttle threshold. Above it, the best-effort tasks that
    interfere with that serving task are throttled.

    :param serving: the worker's serving tasks, as last measured.
    :param best_effort: the worker's best-effort tasks.
    :param factors: learned interference factors.
    :param max_increase: by how many percentage points a pace may rise.
    :returns: percentages from 0 to 100, in the order of ``best_effort``.
    """
    raised = tuple(
        dataclasses.replace(
            item,
            pace=min(FULL_PACE_PERCENT, item.pace + max_increase),
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
    """Return the paces that bring a serving task to its setpoint."""
    added = [
        factors.factor(task.image, item.image) * item.cpu_share
        for item in best_effort
    ]
    harmful = sum(value for value in added if value > HARMLESS_UTILISATION)
    harmless = sum(value for value in added if value <= HARMLESS_UTILISATION)
    headroom = max(0.0, task.setpoint - task.own_load - harmless)
    pace_ratio = min(1.0, headroom / harmful) if harmful > 0 else 1.0
    return [
        int(FULL_PACE_PERCENT * pace_ratio)
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
    """Return the highest pace at which a best-effort task may join a worker.

    :param serving: the worker's serving tasks, as last measured.
    :param co_located: best-effort tasks that run or start on the worker.
    :param candidate: the best-effort task.
    :param factors: learned interference factors.
    :returns: percentage from 0 to 100.
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
