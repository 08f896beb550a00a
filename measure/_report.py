"""Tables, targets and plots of the policy benchmark."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib
import statistics

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

LEARNED = 'learned'
ROUND_ROBIN = 'learned+round_robin'
BASELINES = ('first_fit', 'least_loaded', 'random')


@dataclasses.dataclass(frozen=True)
class Figures:
    """Results of one run.

    Latencies in milliseconds. ``batch_throughput`` is the mean number of
    processors doing useful work, net of lost work. ``work_completed`` is in
    processor-seconds from the drain of a data centre until 60 s after its
    return; None in other scenarios.
    """

    scenario: str
    deployment: str
    policy: str
    seed: int
    p99_ms: float
    p999_ms: float
    batch_throughput: float
    evictions: int
    work_completed: float | None


@dataclasses.dataclass(frozen=True)
class Ratio:
    """Ratio to the best baseline: mean and range over the seeds."""

    baseline: str
    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        return f'{self.mean:5.2f} ({self.low:.2f}-{self.high:.2f})'


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return a quantile of ordered values, 0.0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def table(figures: Sequence[Figures]) -> str:
    """Return all figures, ratios and targets as text.

    :param figures: the figures of all runs.
    :returns: several tables.
    """
    lines = [_header()]
    for deployment, scenario in _cells(figures):
        cell = _cell(figures, deployment, scenario)
        for policy in dict.fromkeys(item.policy for item in cell):
            lines.append(_policy_line(cell, deployment, scenario, policy))
        lines.append('')
    lines.append(_targets(figures))
    return '\n'.join(lines)


def plot(figures: Sequence[Figures], build: pathlib.Path) -> None:
    """Draw one plot for each figure.

    :param figures: the figures of all runs.
    :param build: directory for the images.
    """
    names = ('p99_ms', 'p999_ms', 'batch_throughput', 'evictions')
    for deployment in dict.fromkeys(item.deployment for item in figures):
        of_deployment = [
            item for item in figures if item.deployment == deployment
        ]
        for name in names:
            _plot_one(of_deployment, deployment, name, build)


def ratio(
    cell: Sequence[Figures],
    policy: str,
    value: Callable[[Figures], float],
    lower_is_better: bool,
    baselines: Sequence[str] = BASELINES,
) -> Ratio:
    """Compare a policy with the best baseline of a scenario.

    The best baseline is the one with the best mean over the seeds; the
    ratio is then taken seed by seed.

    :param cell: runs of one scenario and deployment.
    :param policy: the policy to compare.
    :param value: returns the figure of a run.
    :param lower_is_better: whether the least value is the best.
    :param baselines: policies to choose the best from.
    :returns: the ratio.
    """
    means = {name: _mean(cell, name, value) for name in baselines}
    best_of = min if lower_is_better else max
    best = best_of(means, key=lambda name: means[name])
    by_seed = {item.seed: item for item in cell if item.policy == best}
    ratios = [
        _ratio_or_one(value(item), value(by_seed[item.seed]))
        for item in cell
        if item.policy == policy
    ]
    return Ratio(best, statistics.mean(ratios), min(ratios), max(ratios))


def _cells(figures: Sequence[Figures]) -> list[tuple[str, str]]:
    return list(
        dict.fromkeys((item.deployment, item.scenario) for item in figures)
    )


def _cell(
    figures: Sequence[Figures], deployment: str, scenario: str
) -> list[Figures]:
    return [
        item
        for item in figures
        if (item.deployment, item.scenario) == (deployment, scenario)
    ]


def _mean(
    cell: Sequence[Figures], policy: str, value: Callable[[Figures], float]
) -> float:
    return statistics.mean(value(i) for i in cell if i.policy == policy)


def _ratio_or_one(value: float, base: float) -> float:
    if base == 0.0:
        return 1.0 if value == 0.0 else float(value)
    return value / base


def _header() -> str:
    return (
        f'{"deployment":11s} {"scenario":24s} {"policy":19s}'
        f' {"p99 ms":>8s} {"p99.9 ms":>8s} {"batch":>6s} {"evict":>6s}'
        f' {"work":>7s}  p99 ratio         batch ratio'
    )


def _policy_line(
    cell: Sequence[Figures], deployment: str, scenario: str, policy: str
) -> str:
    work = ''
    if any(item.work_completed is not None for item in cell):
        completed = _mean(cell, policy, lambda i: i.work_completed or 0.0)
        work = f'{completed:.0f}'
    p99 = ratio(cell, policy, lambda i: i.p99_ms, True)
    batch = ratio(cell, policy, lambda i: i.batch_throughput, False)
    return (
        f'{deployment:11s} {scenario:24s} {policy:19s}'
        f' {_mean(cell, policy, lambda i: i.p99_ms):8.0f}'
        f' {_mean(cell, policy, lambda i: i.p999_ms):8.0f}'
        f' {_mean(cell, policy, lambda i: i.batch_throughput):6.1f}'
        f' {_mean(cell, policy, lambda i: i.evictions):6.1f}'
        f' {work:>7s} {p99} {batch}'
    )


def _targets(figures: Sequence[Figures]) -> str:
    lines = ['targets for learned against the best baseline (mean, range):']
    for deployment, scenario in _cells(figures):
        cell = _cell(figures, deployment, scenario)
        cell_name = f'{deployment} / {scenario}'
        p99 = ratio(cell, LEARNED, lambda i: i.p99_ms, True)
        shifted = scenario in ('noisy wave', 'load shift')
        lines.append(_verdict(cell_name, 'p99', p99, 0.7 if shifted else 1.05))
        batch = ratio(cell, LEARNED, lambda i: i.batch_throughput, False)
        wrong = scenario == 'wrong sizes'
        lines.append(
            _verdict(cell_name, 'batch', batch, -1.1 if wrong else -0.95)
        )
        best = p99.baseline
        evictions = ratio(
            cell, LEARNED, lambda i: float(i.evictions), True, [best]
        )
        lines.append(_verdict(cell_name, 'evictions', evictions, 0.5))
        if all(item.work_completed is not None for item in cell):
            work = ratio(
                cell, LEARNED, lambda i: i.work_completed or 0.0, False
            )
            lines.append(_verdict(cell_name, 'work completed', work, -1.2))
        routing = ratio(cell, LEARNED, lambda i: i.p99_ms, True, [ROUND_ROBIN])
        lines.append(_verdict(cell_name, 'p99 routing', routing, 1.05))
    return '\n'.join(lines)


def _verdict(cell_name: str, name: str, found: Ratio, limit: float) -> str:
    """Format a target; a negative limit is a lower bound."""
    met = found.mean >= -limit if limit < 0 else found.mean <= limit
    sign = '>=' if limit < 0 else '<='
    return (
        f'  {"met   " if met else "MISSED"} {cell_name:38s} {name:15s}'
        f' {found} {sign} {abs(limit)} of {found.baseline}'
    )


def _plot_one(
    figures: Sequence[Figures],
    deployment: str,
    name: str,
    build: pathlib.Path,
) -> None:
    scenarios = list(dict.fromkeys(item.scenario for item in figures))
    policies = list(dict.fromkeys(item.policy for item in figures))
    figure, axes = pyplot.subplots(figsize=(12, 5))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        positions, means, low, high = [], [], [], []
        for position, scenario in enumerate(scenarios):
            values = [
                float(getattr(item, name))
                for item in figures
                if (item.scenario, item.policy) == (scenario, policy)
            ]
            if not values:
                continue
            mean = statistics.mean(values)
            positions.append(position + number * width)
            means.append(mean)
            low.append(mean - min(values))
            high.append(max(values) - mean)
        axes.bar(positions, means, width, yerr=[low, high], label=policy)
    axes.set_xticks(range(len(scenarios)), scenarios, rotation=20)
    axes.set_ylabel(name)
    axes.set_title(f'{deployment}: {name}, mean and range over the seeds')
    if name.endswith('_ms'):
        axes.set_yscale('log')
    axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(build / f'measure-{deployment}-{name}.png')
    pyplot.close(figure)
