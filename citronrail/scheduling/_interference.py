"""Interference model: slowdown of a class of work caused by co-runners.

Each ordered pair of classes (the affected class and the class of a co-runner)
has an estimate of the excess, which is the relative increase in run time per
co-runner. The excess depends linearly on the load of the host. A measurement
with several co-runners updates all of its pairs in proportion to their
uncertainty (a Kalman filter with a diagonal covariance). Measurements may
arrive late. Estimates decay to a conservative prior with age, so that a pair
whose behaviour changed is measured again.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from citronrail.model import identifiers
from citronrail.model import messages

Pair = tuple[identifiers.WorkClass, identifiers.WorkClass]

# Host load at which the excess of a pair equals its level.
REFERENCE_LOAD = 0.5
# Measured slowdowns are clamped to this value. A larger one means that the
# task was stalled by something else, and would outweigh hundreds of others.
MAX_SLOWDOWN = 20.0
LOAD_BUCKETS = 20


@dataclasses.dataclass(frozen=True)
class InterferenceSettings:
    """Parameters of the model.

    Excesses and deviations are relative to the run time without interference.
    ``bound`` is the number of standard deviations that conservative
    predictions add to the mean. Measurements older than ``max_lag_s`` are
    ignored.
    """

    prior_excess: float = 0.12
    prior_deviation: float = 0.2
    prior_slope: float = 0.1
    slope_deviation: float = 0.3
    noise_deviation: float = 0.15
    half_life_s: float = 1800.0
    bound: float = 1.0
    max_lag_s: float = 900.0


@dataclasses.dataclass(frozen=True)
class PairEstimate:
    """Estimate for one pair of classes.

    The excess is ``level`` plus ``slope`` times the difference of the host
    load from the reference load. ``measured_at`` is the local time in seconds
    of the latest measurement, ``samples`` the number of measurements.
    """

    level: float
    slope: float
    level_variance: float
    slope_variance: float
    measured_at: float
    samples: int = 0


@dataclasses.dataclass(frozen=True)
class Measurement:
    """One measured slowdown, with the co-runners at the same time.

    ``co_runners`` maps classes to the number of co-running tasks; a throttled
    task counts as its share. ``measured_at`` is local time in seconds.
    """

    work_class: identifiers.WorkClass
    slowdown: float
    co_runners: Mapping[identifiers.WorkClass, float]
    measured_at: float
    host_load: float = REFERENCE_LOAD


@dataclasses.dataclass(frozen=True)
class InterferenceModel:
    """Estimates of all measured pairs."""

    settings: InterferenceSettings = InterferenceSettings()
    pairs: Mapping[Pair, PairEstimate] = dataclasses.field(
        default_factory=dict
    )


def measurement(
    usage: messages.TaskUsage, clock_offset_s: float
) -> Measurement:
    """Convert a usage record of an agent.

    :param usage: the record; its co-runners are those at the time it was made.
    :param clock_offset_s: seconds to add to the agent's clock readings.
    :returns: the measurement on the local clock.
    """
    shares = usage.co_runner_shares or (1.0,) * len(usage.co_runners)
    counts: dict[identifiers.WorkClass, float] = collections.defaultdict(float)
    for work_class, share in zip(usage.co_runners, shares):
        counts[work_class] += share
    return Measurement(
        usage.work_class,
        usage.slowdown,
        dict(counts),
        usage.measured_at + clock_offset_s,
        usage.host_load,
    )


def learn(
    model: InterferenceModel,
    measurements: Iterable[Measurement],
    now: float,
) -> InterferenceModel:
    """Update a model with measurements.

    :param model: the estimates so far.
    :param measurements: the measurements, in any order and possibly delayed.
    :param now: local time in seconds.
    :returns: the new estimates.
    """
    pairs = dict(model.pairs)
    for measured in measurements:
        age_s = now - measured.measured_at
        usable = math.isfinite(measured.slowdown) and measured.co_runners
        if usable and 0.0 <= age_s <= model.settings.max_lag_s:
            _apply_measurement(pairs, measured, model.settings)
    return dataclasses.replace(model, pairs=pairs)


@dataclasses.dataclass(frozen=True)
class Moments:
    """Mean and variance of an expected excess."""

    mean: float = 0.0
    variance: float = 0.0

    def slowdown(self, bound: float) -> float:
        """Return the expected slowdown with a margin.

        :param bound: standard deviations above the mean.
        :returns: expected time over undisturbed time, at least 1.0.
        """
        return 1.0 + max(0.0, self.mean + bound * math.sqrt(self.variance))

    def plus(self, pair: 'Moments', count: float) -> 'Moments':
        """Add one more co-runner of a class.

        :param pair: moments of the excess per co-runner of the class.
        :param count: number of co-runners of the class that are included
            already.
        :returns: the moments with the additional co-runner.
        """
        return Moments(
            self.mean + pair.mean,
            self.variance + (2.0 * count + 1.0) * pair.variance,
        )


class Predictions:
    """Predictions of a model at one point in time, cached by pair and load.

    Loads are rounded to twentieths, so that the hosts of a large fleet share
    cache entries.

    :param model: the estimates.
    :param now: local time in seconds.
    """

    def __init__(self, model: InterferenceModel, now: float) -> None:
        self.model = model
        self.now = now
        self._pairs: dict[tuple[Pair, int], Moments] = {}

    def pair(self, pair: Pair, host_load: float) -> Moments:
        """Predict the excess that one co-runner adds.

        :param pair: the affected class and the class of the co-runner.
        :param host_load: share of the host's processors in use, 0 to 1.
        :returns: the moments of the excess.
        """
        load_bucket = round(host_load * LOAD_BUCKETS)
        found = self._pairs.get((pair, load_bucket))
        return self._compute(pair, load_bucket) if found is None else found

    def total_excess(
        self,
        work_class: identifiers.WorkClass,
        co_runners: Mapping[identifiers.WorkClass, float],
        host_load: float,
        own_count: float = 0.0,
    ) -> Moments:
        """Predict the total excess of a task with a set of co-runners.

        Errors of different classes are treated as independent, those of
        tasks of the same class as fully correlated.

        :param work_class: class of the affected task.
        :param co_runners: number of tasks of each class on the host.
        :param host_load: share of the host's processors in use, 0 to 1.
        :param own_count: count of the affected task itself in ``co_runners``:
            1.0 or its share if it runs on the host, else 0.0.
        :returns: the moments of the excess.
        """
        load_bucket = round(host_load * LOAD_BUCKETS)
        mean = variance = 0.0
        for other, count in co_runners.items():
            pair = (work_class, other)
            found = self._pairs.get((pair, load_bucket))
            if found is None:
                found = self._compute(pair, load_bucket)
            if other == work_class:
                count = max(0.0, count - own_count)
            mean += count * found.mean
            variance += count * count * found.variance
        return Moments(mean, variance)

    def _compute(self, pair: Pair, load_bucket: int) -> Moments:
        found = _pair_moments(
            self.model, pair, load_bucket / LOAD_BUCKETS, self.now
        )
        self._pairs[pair, load_bucket] = found
        return found


def pair_excess(
    model: InterferenceModel,
    pair: Pair,
    host_load: float,
    now: float,
    bound: float | None = None,
) -> float:
    """Predict the relative increase in run time that one co-runner adds.

    :param model: the estimates.
    :param pair: the affected class and the class of the co-runner.
    :param host_load: share of the host's processors in use, 0 to 1.
    :param now: local time in seconds.
    :param bound: standard deviations above the mean; None uses the setting.
    :returns: the excess, at least 0.
    """
    moments = _pair_moments(model, pair, host_load, now)
    deviations = model.settings.bound if bound is None else bound
    return moments.slowdown(deviations) - 1.0


def _pair_moments(
    model: InterferenceModel, pair: Pair, host_load: float, now: float
) -> Moments:
    estimate = _decayed(model.pairs.get(pair), now, model.settings)
    offset = host_load - REFERENCE_LOAD
    return Moments(
        max(0.0, estimate.level + estimate.slope * offset),
        estimate.level_variance + estimate.slope_variance * offset**2,
    )


def is_measured(
    model: InterferenceModel, pair: Pair, now: float, min_samples: int = 3
) -> bool:
    """Tell whether a pair has enough recent measurements.

    :param model: the estimates.
    :param pair: the affected class and the class of the co-runner.
    :param now: local time in seconds.
    :param min_samples: number of measurements required.
    :returns: False also if the estimate has decayed nearly to the prior.
    """
    estimate = model.pairs.get(pair)
    if estimate is None or estimate.samples < min_samples:
        return False
    prior = model.settings.prior_deviation**2
    decayed = _decayed(estimate, now, model.settings)
    return decayed.level_variance < 0.75 * prior


def _prior(cfg: InterferenceSettings, at: float) -> PairEstimate:
    return PairEstimate(
        cfg.prior_excess,
        cfg.prior_slope,
        cfg.prior_deviation**2,
        cfg.slope_deviation**2,
        at,
    )


def _decayed(
    estimate: PairEstimate | None, now: float, cfg: InterferenceSettings
) -> PairEstimate:
    """Return an estimate after exponential decay towards the prior."""
    if estimate is None:
        return _prior(cfg, now)
    age_s = now - estimate.measured_at
    if age_s <= 0.0:
        return estimate
    weight = 0.5 ** (age_s / cfg.half_life_s)
    prior = _prior(cfg, now)
    return PairEstimate(
        prior.level + (estimate.level - prior.level) * weight,
        prior.slope + (estimate.slope - prior.slope) * weight,
        _interpolate(prior.level_variance, estimate.level_variance, weight),
        _interpolate(prior.slope_variance, estimate.slope_variance, weight),
        now,
        estimate.samples,
    )


def _interpolate(prior: float, value: float, weight: float) -> float:
    return prior + (value - prior) * weight


def _apply_measurement(
    pairs: dict[Pair, PairEstimate],
    measured: Measurement,
    cfg: InterferenceSettings,
) -> None:
    offset = measured.host_load - REFERENCE_LOAD
    observed = min(max(measured.slowdown, 1.0), MAX_SLOWDOWN) - 1.0
    keys = [(measured.work_class, other) for other in measured.co_runners]
    counts = list(measured.co_runners.values())
    priors = [
        _decayed(pairs.get(key), measured.measured_at, cfg) for key in keys
    ]
    predicted = 0.0
    variance = 0.0
    lag_s = 0.0
    for count, estimate in zip(counts, priors):
        predicted += count * (estimate.level + estimate.slope * offset)
        variance += count**2 * (
            estimate.level_variance + estimate.slope_variance * offset**2
        )
        lag_s = max(lag_s, estimate.measured_at - measured.measured_at)
    # The noise grows with the time by which a measurement is older than the
    # estimate, so that it has less weight, as if it had been applied in order
    # and had decayed since.
    noise = (cfg.noise_deviation * (1.0 + observed)) ** 2
    noise *= 2.0 ** (lag_s / cfg.half_life_s)
    normalized_error = (observed - predicted) / (variance + noise)
    for key, count, estimate in zip(keys, counts, priors):
        pairs[key] = _with_correction(
            estimate,
            count,
            offset,
            normalized_error,
            variance + noise,
            measured.measured_at,
        )


def _with_correction(
    estimate: PairEstimate,
    count: float,
    offset: float,
    normalized_error: float,
    variance: float,
    measured_at: float,
) -> PairEstimate:
    level_gain = estimate.level_variance * count
    slope_gain = estimate.slope_variance * count * offset
    return PairEstimate(
        estimate.level + level_gain * normalized_error,
        estimate.slope + slope_gain * normalized_error,
        estimate.level_variance * (1.0 - level_gain * count / variance),
        estimate.slope_variance
        * (1.0 - slope_gain * count * offset / variance),
        max(measured_at, estimate.measured_at),
        estimate.samples + 1,
    )
