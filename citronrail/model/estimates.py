"""Estimates of the size and run time of tasks from observations.

Observations are stored by job and by team and class. For a job without
observations, there are two predictors based on its team and class: the
declared value multiplied by the observed ratio, which is accurate if the
team's declarations are wrong by a constant factor, and the observed values
themselves, which are accurate if declarations don't correlate with them. The
predictor whose observations have the smaller spread is used.
"""

import bisect
from collections.abc import Mapping
import dataclasses
import functools
import math

from citronrail.model import identifiers
from citronrail.model import resources

# Number of observations stored for each key; the oldest are dropped first.
MAX_SAMPLES_PER_KEY = 64
# Ratios of observed to declared values are clamped to this range, to bound the
# effect of tiny declared values and of outliers. The ratio to a declared value
# of 0 counts as 1.
MIN_RATIO = 0.01
MAX_RATIO = 100.0
MAX_KEYS = 10_000


@dataclasses.dataclass(frozen=True)
class WorkKey:
    """Key of observations; an empty ``job`` stands for the whole class."""

    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    job: str = ''


@dataclasses.dataclass(frozen=True)
class Declared:
    """Declared size and run time (in seconds) of a task."""

    resources: resources.Resources
    run_s: float


@dataclasses.dataclass(frozen=True)
class Observed:
    """Peak usage of a task and its run time without interference, in seconds.

    ``run_s`` is None if the task did not finish, for instance because it was
    stopped for using too much memory. Its usage is still recorded.
    """

    resources: resources.Resources
    run_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Samples:
    """The most recent observed values, in order of arrival."""

    values: tuple[float, ...] = ()

    def add(self, value: float) -> 'Samples':
        """Append a value, and drop the oldest one if the window is full.

        :param value: the observed value.
        :returns: the new samples.
        """
        return Samples((*self.values, value)[-MAX_SAMPLES_PER_KEY:])

    @functools.cached_property
    def _sorted_values(self) -> tuple[float, ...]:
        return tuple(sorted(self.values))

    @functools.cached_property
    def spread(self) -> float:
        """Logarithm of the ratio of the 0.9 quantile to the 0.1 quantile."""
        ordered = sorted(max(value, 1e-6) for value in self.values)
        if not ordered:
            return 0.0
        last = len(ordered) - 1
        return math.log(
            ordered[round(0.9 * last)] / ordered[round(0.1 * last)]
        )

    def quantile(self, quantile: float, prior: float, weight: float) -> float:
        """Return a quantile of the samples and a weighted prior value.

        :param quantile: the quantile, 0 to 1.
        :param prior: value assumed without any observations.
        :param weight: number of samples that the prior counts as, reduced by
            one for each observed value.
        :returns: the smallest value whose cumulative weight reaches the
            quantile.
        """
        count = len(self.values)
        prior_weight = max(0.0, weight - count)
        weighted = [(value, 1.0) for value in self._sorted_values]
        if prior_weight > 0.0:
            bisect.insort(weighted, (prior, prior_weight))
        target = quantile * (count + prior_weight)
        cumulative = 0.0
        for value, item_weight in weighted:
            cumulative += item_weight
            if cumulative >= target - 1e-9:
                return value
        return prior


@dataclasses.dataclass(frozen=True)
class WorkSamples:
    """Observed values of one key, and their ratios to the declared values."""

    millicores: Samples = Samples()
    memory: Samples = Samples()
    run: Samples = Samples()
    millicores_ratio: Samples = Samples()
    memory_ratio: Samples = Samples()
    run_ratio: Samples = Samples()


@dataclasses.dataclass(frozen=True)
class EstimateSettings:
    """Parameters of the estimates.

    ``prior_weight`` is the number of observations that a declared value
    counts as. ``size_quantile`` and ``run_quantile`` are the estimated
    quantiles, 0 to 1. ``memory_margin`` is a factor for estimated memory.
    """

    prior_weight: float = 2.0
    size_quantile: float = 0.95
    run_quantile: float = 0.5
    memory_margin: float = 1.05


@dataclasses.dataclass(frozen=True)
class Estimates:
    """Observations of all keys."""

    settings: EstimateSettings = EstimateSettings()
    samples: Mapping[WorkKey, WorkSamples] = dataclasses.field(
        default_factory=dict
    )


def observe(
    estimates: Estimates, key: WorkKey, declared: Declared, observed: Observed
) -> Estimates:
    """Record the observed size and run time of one task.

    :param estimates: the observations so far.
    :param key: team, class and job of the task.
    :param declared: its declared values.
    :param observed: its observed values.
    :returns: the new observations.
    """
    samples = dict(estimates.samples)
    keys = [WorkKey(key.team, key.work_class)]
    if key.job:
        keys.append(key)
    for item in keys:
        previous = samples.pop(item, WorkSamples())
        samples[item] = _with_observation(previous, observed, declared)
    while len(samples) > MAX_KEYS:
        del samples[next(iter(samples))]
    return dataclasses.replace(estimates, samples=samples)


def expected_run_s(
    estimates: Estimates,
    key: WorkKey,
    declared_run_s: float,
    quantile: float | None = None,
) -> float:
    """Estimate the run time of a task without interference.

    :param estimates: the observations.
    :param key: team, class and job.
    :param declared_run_s: declared run time in seconds.
    :param quantile: quantile of the run times; None uses the setting.
    :returns: run time in seconds.
    """
    chosen_quantile = (
        estimates.settings.run_quantile if quantile is None else quantile
    )
    class_samples = _class_samples(estimates, key)
    return _estimate(
        estimates,
        _job_samples(estimates, key).run,
        class_samples.run,
        class_samples.run_ratio,
        declared_run_s,
        chosen_quantile,
    )


def expected_size(
    estimates: Estimates, key: WorkKey, declared: resources.Resources
) -> resources.Resources:
    """Estimate the peak usage of a task.

    :param estimates: the observations.
    :param key: team, class and job.
    :param declared: declared size; its accelerators are returned unchanged.
    :returns: the ``size_quantile`` of processors and memory, the latter with
        a margin.
    """
    job_samples = _job_samples(estimates, key)
    class_samples = _class_samples(estimates, key)
    quantile = estimates.settings.size_quantile
    millicores = _estimate(
        estimates,
        job_samples.millicores,
        class_samples.millicores,
        class_samples.millicores_ratio,
        declared.millicores,
        quantile,
    )
    memory = _estimate(
        estimates,
        job_samples.memory,
        class_samples.memory,
        class_samples.memory_ratio,
        declared.memory_mb,
        quantile,
    )
    return resources.Resources(
        math.ceil(millicores),
        math.ceil(memory * estimates.settings.memory_margin),
        declared.accelerators,
    )


def has_observations(estimates: Estimates, key: WorkKey, count: int) -> bool:
    """Tell whether there are enough observations for a key.

    :param estimates: the observations.
    :param key: team, class and job.
    :param count: number of observations required.
    :returns: True if the job, or its team and class, has at least ``count``.
    """
    job_samples = _job_samples(estimates, key)
    observed = max(
        len(job_samples.memory.values),
        len(_class_samples(estimates, key).memory.values),
    )
    return observed >= count


def _job_samples(estimates: Estimates, key: WorkKey) -> WorkSamples:
    if not key.job:
        return WorkSamples()
    return estimates.samples.get(key, WorkSamples())


def _class_samples(estimates: Estimates, key: WorkKey) -> WorkSamples:
    class_samples = WorkKey(key.team, key.work_class)
    return estimates.samples.get(class_samples, WorkSamples())


def _estimate(
    estimates: Estimates,
    job_samples: Samples,
    class_samples: Samples,
    ratios: Samples,
    declared: float,
    quantile: float,
) -> float:
    weight = estimates.settings.prior_weight
    if class_samples.spread < ratios.spread:
        prior = class_samples.quantile(quantile, declared, weight)
    else:
        prior = declared * ratios.quantile(quantile, 1.0, weight)
    return job_samples.quantile(quantile, prior, weight)


def _with_observation(
    samples: WorkSamples, observed: Observed, declared: Declared
) -> WorkSamples:
    used = observed.resources
    run, run_ratio = samples.run, samples.run_ratio
    if observed.run_s is not None:
        run = run.add(observed.run_s)
        run_ratio = run_ratio.add(_ratio(observed.run_s, declared.run_s))
    declared_size = declared.resources
    return WorkSamples(
        samples.millicores.add(used.millicores),
        samples.memory.add(used.memory_mb),
        run,
        samples.millicores_ratio.add(
            _ratio(used.millicores, declared_size.millicores)
        ),
        samples.memory_ratio.add(
            _ratio(used.memory_mb, declared_size.memory_mb)
        ),
        run_ratio,
    )


def _ratio(observed: float, declared: float) -> float:
    if declared <= 0.0:
        return 1.0
    return min(max(observed / declared, MIN_RATIO), MAX_RATIO)
