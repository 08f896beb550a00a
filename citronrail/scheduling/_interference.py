"""Expected slowdown of one class of work beside another, learned late.

Each ordered pair of classes (the disturbed one, its co-runner) has an
estimate of the excess, which is the share of time that one co-runner adds.
The excess depends linearly on the load of the host. A measurement of a host
with several co-runners is divided among the pairs by their uncertainty (a
Kalman filter with a diagonal covariance). Estimates return to a cautious
prior as they age, so that a pair that changed is noticed.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from citronrail.model import identifiers
from citronrail.model import messages

Pair = tuple[identifiers.WorkClass, identifiers.WorkClass]

# The slope acts on the distance of the load from this point.
REFERENCE_LOAD = 0.5
# A measured slowdown above this is cut: such a value says that the task was
# stalled by something else, and would outweigh hundreds of others.
MAX_SLOWDOWN = 20.0
LOAD_STEPS = 20


@dataclasses.dataclass(frozen=True)
class InterferenceSettings:
    """How measurements are turned into estimates.

    Excesses and deviations are shares of the undisturbed time. ``bound`` is
    the number of standard deviations added to the mean where caution is due.
    A measurement older than ``max_lag_s`` is ignored.
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
    """What is known of one pair; variances fall with measurements."""

    level: float
    slope: float
    level_variance: float
    slope_variance: float
    measured_at: float
    samples: int = 0


@dataclasses.dataclass(frozen=True)
class Measurement:
    """One measured slowdown with the co-runners of the same moment.

    ``co_runners`` maps each class to the number of its tasks beside the
    measured one; a throttled task counts as its share. ``measured_at`` is in
    seconds on the learner's clock.
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

    :param usage: the record; its co-runners are those of its own moment.
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
    """Take measurements into account.

    :param model: the estimates so far.
    :param measurements: in any order; they may be late.
    :param now: local time in seconds.
    :returns: the new estimates.
    """
    pairs = dict(model.pairs)
    for item in measurements:
        age_s = now - item.measured_at
        usable = math.isfinite(item.slowdown) and item.co_runners
        if usable and 0.0 <= age_s <= model.settings.max_lag_s:
            _update(pairs, item, model.settings)
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
        """Add one co-runner of a class of which ``count`` are included.

        :param pair: excess of one co-runner of the class.
        :param count: number of its tasks before.
        :returns: the moments with one more.
        """
        return Moments(
            self.mean + pair.mean,
            self.variance + (2.0 * count + 1.0) * pair.variance,
        )


class Predictions:
    """Predictions of a model at one moment, with computed pairs kept.

    Loads are rounded to twentieths, so that the hosts of a large fleet share
    the computed pairs.

    :param model: the estimates.
    :param now: local time in seconds.
    """

    def __init__(self, model: InterferenceModel, now: float) -> None:
        self.model = model
        self.now = now
        self._pairs: dict[tuple[Pair, int], Moments] = {}

    def pair(self, pair: Pair, host_load: float) -> Moments:
        """Predict the excess that one co-runner adds.

        :param pair: the disturbed class and the class of its co-runner.
        :param host_load: share of the host's processors in use, 0 to 1.
        :returns: the moments of the excess.
        """
        step = round(host_load * LOAD_STEPS)
        found = self._pairs.get((pair, step))
        return self._computed(pair, step) if found is None else found

    def beside(
        self,
        work_class: identifiers.WorkClass,
        co_runners: Mapping[identifiers.WorkClass, float],
        host_load: float,
        included: float = 0.0,
    ) -> Moments:
        """Predict the excess of a class beside co-runners.

        Deviations of different classes are independent; those of tasks of
        one class are the same and add up.

        :param work_class: class of the disturbed work.
        :param co_runners: number of tasks of each class on the host.
        :param host_load: share of the host's processors in use, 0 to 1.
        :param included: how much of ``co_runners`` is the disturbed task
            itself: 1.0 or its share if it is on the host, else 0.0.
        :returns: the moments of the excess.
        """
        step = round(host_load * LOAD_STEPS)
        mean = variance = 0.0
        for other, count in co_runners.items():
            pair = (work_class, other)
            found = self._pairs.get((pair, step))
            if found is None:
                found = self._computed(pair, step)
            if other == work_class:
                count = max(0.0, count - included)
            mean += count * found.mean
            variance += count * count * found.variance
        return Moments(mean, variance)

    def _computed(self, pair: Pair, step: int) -> Moments:
        found = _pair_moments(self.model, pair, step / LOAD_STEPS, self.now)
        self._pairs[pair, step] = found
        return found


def pair_excess(
    model: InterferenceModel,
    pair: Pair,
    host_load: float,
    now: float,
    bound: float | None = None,
) -> float:
    """Predict the share of time that one co-runner adds.

    :param model: the estimates.
    :param pair: the disturbed class and the class of its co-runner.
    :param host_load: share of the host's processors in use, 0 to 1.
    :param now: local time in seconds.
    :param bound: standard deviations above the mean; None uses the setting.
    :returns: the excess, at least 0.
    """
    moments = _pair_moments(model, pair, host_load, now)
    width = model.settings.bound if bound is None else bound
    return moments.slowdown(width) - 1.0


def _pair_moments(
    model: InterferenceModel, pair: Pair, host_load: float, now: float
) -> Moments:
    estimate = _aged(model.pairs.get(pair), now, model.settings)
    offset = host_load - REFERENCE_LOAD
    return Moments(
        max(0.0, estimate.level + estimate.slope * offset),
        estimate.level_variance + estimate.slope_variance * offset**2,
    )


def is_measured(
    model: InterferenceModel, pair: Pair, now: float, min_samples: int = 3
) -> bool:
    """Tell whether a pair has enough recent measurements to be trusted.

    :param model: the estimates.
    :param pair: the disturbed class and the class of its co-runner.
    :param now: local time in seconds.
    :param min_samples: measurements needed.
    :returns: False also when the estimate has aged back to the prior.
    """
    estimate = model.pairs.get(pair)
    if estimate is None or estimate.samples < min_samples:
        return False
    prior = model.settings.prior_deviation**2
    aged = _aged(estimate, now, model.settings)
    return aged.level_variance < 0.75 * prior


def _prior(cfg: InterferenceSettings, at: float) -> PairEstimate:
    return PairEstimate(
        cfg.prior_excess,
        cfg.prior_slope,
        cfg.prior_deviation**2,
        cfg.slope_deviation**2,
        at,
    )


def _aged(
    estimate: PairEstimate | None, now: float, cfg: InterferenceSettings
) -> PairEstimate:
    """Move an estimate towards the prior by its age."""
    if estimate is None:
        return _prior(cfg, now)
    age_s = now - estimate.measured_at
    if age_s <= 0.0:
        return estimate
    kept = 0.5 ** (age_s / cfg.half_life_s)
    prior = _prior(cfg, now)
    return PairEstimate(
        prior.level + (estimate.level - prior.level) * kept,
        prior.slope + (estimate.slope - prior.slope) * kept,
        _mix(prior.level_variance, estimate.level_variance, kept),
        _mix(prior.slope_variance, estimate.slope_variance, kept),
        now,
        estimate.samples,
    )


def _mix(prior: float, value: float, kept: float) -> float:
    return prior + (value - prior) * kept


def _update(
    pairs: dict[Pair, PairEstimate],
    item: Measurement,
    cfg: InterferenceSettings,
) -> None:
    offset = item.host_load - REFERENCE_LOAD
    observed = min(max(item.slowdown, 1.0), MAX_SLOWDOWN) - 1.0
    keys = [(item.work_class, other) for other in item.co_runners]
    counts = list(item.co_runners.values())
    known = [_aged(pairs.get(key), item.measured_at, cfg) for key in keys]
    predicted = 0.0
    variance = 0.0
    lag_s = 0.0
    for count, estimate in zip(counts, known):
        predicted += count * (estimate.level + estimate.slope * offset)
        variance += count**2 * (
            estimate.level_variance + estimate.slope_variance * offset**2
        )
        lag_s = max(lag_s, estimate.measured_at - item.measured_at)
    # A measurement older than the estimate counts less, as if the estimate
    # had been made first and then aged.
    noise = (cfg.noise_deviation * (1.0 + observed)) ** 2
    noise *= 2.0 ** (lag_s / cfg.half_life_s)
    error = (observed - predicted) / (variance + noise)
    for key, count, estimate in zip(keys, counts, known):
        pairs[key] = _corrected(
            estimate, count, offset, error, variance + noise, item.measured_at
        )


def _corrected(
    estimate: PairEstimate,
    count: float,
    offset: float,
    error: float,
    variance: float,
    measured_at: float,
) -> PairEstimate:
    level_gain = estimate.level_variance * count
    slope_gain = estimate.slope_variance * count * offset
    return PairEstimate(
        estimate.level + level_gain * error,
        estimate.slope + slope_gain * error,
        estimate.level_variance * (1.0 - level_gain * count / variance),
        estimate.slope_variance
        * (1.0 - slope_gain * count * offset / variance),
        max(measured_at, estimate.measured_at),
        estimate.samples + 1,
    )
