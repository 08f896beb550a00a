"""Size and run time of tasks, estimated from what was observed.

Observations are kept for each job and for each team and class. For a job
without observations, the declared value is corrected by the ratio of observed
to declared values of the same team and class, so that a team whose
declarations are wrong by a constant factor is corrected from its first jobs.
"""

from collections.abc import Mapping
import dataclasses
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
        weighted = [(value, 1.0) for value in self.values]
        if prior_weight > 0.0:
            weighted.append((prior, prior_weight))
        target = share * (count + prior_weight)
        passed = 0.0
        for value, part in sorted(weighted):
            passed += part
            if passed >= target - 1e-9:
                return value
        return prior


@dataclasses.dataclass(frozen=True)
class WorkSamples:
    """Observations of one key.

    For a job the values are absolute; for a team and class they are ratios
    of the observed to the declared value.
    """

    millicores: Samples = Samples()
    memory: Samples = Samples()
    run: Samples = Samples()


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
    if key.job:
        own = samples.pop(key, WorkSamples())
        samples[key] = _added(own, seen, Declared(resources.Resources(), 0.0))
    group = WorkKey(key.team, key.work_class)
    shared = samples.pop(group, WorkSamples())
    samples[group] = _added(shared, seen, declared)
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
    own = _own(estimates, key).run
    group = _group(estimates, key).run
    return _estimate(estimates, own, group, declared_run_s, share)


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
        estimates, own.millicores, group.millicores, declared.millicores, share
    )
    memory = _estimate(
        estimates, own.memory, group.memory, declared.memory_mb, share
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
    declared: float,
    share: float,
) -> float:
    weight = estimates.settings.prior_weight
    ratio = group.quantile(share, 1.0, weight)
    return own.quantile(share, declared * ratio, weight)


def _added(
    samples: WorkSamples, seen: Observed, declared: Declared
) -> WorkSamples:
    """Add absolute values, or ratios where something was declared."""
    run = samples.run
    if seen.run_s is not None:
        run = run.add(_ratio(seen.run_s, declared.run_s))
    return WorkSamples(
        samples.millicores.add(
            _ratio(seen.resources.millicores, declared.resources.millicores)
        ),
        samples.memory.add(
            _ratio(seen.resources.memory_mb, declared.resources.memory_mb)
        ),
        run,
    )


def _ratio(seen: float, declared: float) -> float:
    if declared <= 0.0:
        return seen
    return min(max(seen / declared, MIN_RATIO), MAX_RATIO)
