"""Size and run time of tasks, estimated from what was observed.

Observations are kept for each job and for each team and class. For a job
without observations there are two predictions from its team and class: the
declared value times the observed ratio, which is right for a team whose
declarations are wrong by a constant factor, and the observed values
themselves, which are right when declarations say nothing. The one whose
observations agree better is taken.
"""

import bisect
from collections.abc import Mapping
import dataclasses
import functools
import math

from citronrail.model import identifiers
from citronrail.model import resources

# Observations kept for each key; older ones are dropped first.
WINDOW = 64
# Ratios beyond these are cut, so that a declared value of 0 or a single
# absurd observation stays bounded.
MIN_RATIO = 0.01
MAX_RATIO = 100.0
MAX_JOBS = 10_000


@dataclasses.dataclass(frozen=True)
class WorkKey:
    """What observations are grouped by; ``job`` is '' for all of a class."""

    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    job: str = ''


@dataclasses.dataclass(frozen=True)
class Declared:
    """What a team declared for a task; run time in seconds."""

    resources: resources.Resources
    run_s: float


@dataclasses.dataclass(frozen=True)
class Observed:
    """Peak use of a finished task and its undisturbed run time in seconds.

    ``run_s`` is None when the task did not finish, for instance when it was
    stopped for using too much memory; its use still counts.
    """

    resources: resources.Resources
    run_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Samples:
    """The latest observed values, in order of arrival."""

    values: tuple[float, ...] = ()

    def add(self, value: float) -> 'Samples':
        """Append a value and drop the oldest beyond the window.

        :param value: the observation.
        :returns: the new samples.
        """
        return Samples((*self.values, value)[-WINDOW:])

    @functools.cached_property
    def _ordered(self) -> tuple[float, ...]:
        return tuple(sorted(self.values))

    @functools.cached_property
    def spread(self) -> float:
        """How far the values lie apart.

        The logarithm of the ratio of the 0.9 to the 0.1 quantile.
        """
        ordered = sorted(max(value, 1e-6) for value in self.values)
        if not ordered:
            return 0.0
        last = len(ordered) - 1
        return math.log(
            ordered[round(0.9 * last)] / ordered[round(0.1 * last)]
        )

    def quantile(self, share: float, prior: float, weight: float) -> float:
        """Return a quantile; the prior counts as ``weight`` samples.

        :param share: 0 to 1.
        :param prior: value assumed before any observation.
        :param weight: number of observations that the prior stands for; it
            loses that weight one for one as observations arrive.
        :returns: the value at or above ``share`` of the weight.
        """
        count = len(self.values)
        prior_weight = max(0.0, weight - count)
        weighted = [(value, 1.0) for value in self._ordered]
        if prior_weight > 0.0:
            bisect.insort(weighted, (prior, prior_weight))
        target = share * (count + prior_weight)
        passed = 0.0
        for value, part in weighted:
            passed += part
            if passed >= target - 1e-9:
                return value
        return prior


@dataclasses.dataclass(frozen=True)
class WorkSamples:
    """Observations of one key, with their ratios to the declared values."""

    millicores: Samples = Samples()
    memory: Samples = Samples()
    run: Samples = Samples()
    millicores_ratio: Samples = Samples()
    memory_ratio: Samples = Samples()
    run_ratio: Samples = Samples()


@dataclasses.dataclass(frozen=True)
class EstimateSettings:
    """How much the declared values count.

    ``prior_weight`` is the number of observations that a declared value
    stands for. ``size_quantile`` and ``run_quantile`` are shares.
    """

    prior_weight: float = 2.0
    size_quantile: float = 0.95
    run_quantile: float = 0.5
    memory_margin: float = 1.05


@dataclasses.dataclass(frozen=True)
class Estimates:
    """All observations."""

    settings: EstimateSettings = EstimateSettings()
    samples: Mapping[WorkKey, WorkSamples] = dataclasses.field(
        default_factory=dict
    )


def observe(
    estimates: Estimates, key: WorkKey, declared: Declared, seen: Observed
) -> Estimates:
    """Record what one task used.

    :param estimates: the observations so far.
    :param key: team, class and job of the task.
    :param declared: what was declared for it.
    :param seen: what was observed.
    :returns: the new observations.
    """
    samples = dict(estimates.samples)
    keys = [WorkKey(key.team, key.work_class)]
    if key.job:
        keys.append(key)
    for item in keys:
        known = samples.pop(item, WorkSamples())
        samples[item] = _added(known, seen, declared)
    while len(samples) > MAX_JOBS:
        del samples[next(iter(samples))]
    return dataclasses.replace(estimates, samples=samples)


def expected_run_s(
    estimates: Estimates,
    key: WorkKey,
    declared_run_s: float,
    quantile: float | None = None,
) -> float:
    """Estimate the undisturbed run time of a task.

    :param estimates: the observations.
    :param key: team, class and job.
    :param declared_run_s: what the team declared, in seconds.
    :param quantile: share of tasks that take at most the returned time; None
        uses the setting.
    :returns: seconds.
    """
    share = estimates.settings.run_quantile if quantile is None else quantile
    group = _group(estimates, key)
    return _estimate(
        estimates,
        _own(estimates, key).run,
        group.run,
        group.run_ratio,
        declared_run_s,
        share,
    )


def expected_size(
    estimates: Estimates, key: WorkKey, declared: resources.Resources
) -> resources.Resources:
    """Estimate the peak use of a task.

    :param estimates: the observations.
    :param key: team, class and job.
    :param declared: what the team declared; accelerators are taken as is.
    :returns: processors and memory that ``size_quantile`` of the tasks stay
        within.
    """
    own = _own(estimates, key)
    group = _group(estimates, key)
    share = estimates.settings.size_quantile
    millicores = _estimate(
        estimates,
        own.millicores,
        group.millicores,
        group.millicores_ratio,
        declared.millicores,
        share,
    )
    memory = _estimate(
        estimates,
        own.memory,
        group.memory,
        group.memory_ratio,
        declared.memory_mb,
        share,
    )
    return resources.Resources(
        math.ceil(millicores),
        math.ceil(memory * estimates.settings.memory_margin),
        declared.accelerators,
    )


def has_observations(estimates: Estimates, key: WorkKey, count: int) -> bool:
    """Tell whether at least ``count`` tasks like this one were observed.

    :param estimates: the observations.
    :param key: team, class and job.
    :param count: number of observations needed.
    :returns: True if the job, or its team and class, has that many.
    """
    own = _own(estimates, key)
    seen = max(
        len(own.memory.values), len(_group(estimates, key).memory.values)
    )
    return seen >= count


def _own(estimates: Estimates, key: WorkKey) -> WorkSamples:
    if not key.job:
        return WorkSamples()
    return estimates.samples.get(key, WorkSamples())


def _group(estimates: Estimates, key: WorkKey) -> WorkSamples:
    group = WorkKey(key.team, key.work_class)
    return estimates.samples.get(group, WorkSamples())


def _estimate(
    estimates: Estimates,
    own: Samples,
    group: Samples,
    ratios: Samples,
    declared: float,
    share: float,
) -> float:
    weight = estimates.settings.prior_weight
    if group.spread < ratios.spread:
        prior = group.quantile(share, declared, weight)
    else:
        prior = declared * ratios.quantile(share, 1.0, weight)
    return own.quantile(share, prior, weight)


def _added(
    samples: WorkSamples, seen: Observed, declared: Declared
) -> WorkSamples:
    used = seen.resources
    run, run_ratio = samples.run, samples.run_ratio
    if seen.run_s is not None:
        run = run.add(seen.run_s)
        run_ratio = run_ratio.add(_ratio(seen.run_s, declared.run_s))
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


def _ratio(seen: float, declared: float) -> float:
    if declared <= 0.0:
        return 1.0
    return min(max(seen / declared, MIN_RATIO), MAX_RATIO)
