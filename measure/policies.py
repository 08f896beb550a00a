"""Benchmarks the scheduling decisions against baselines: ``make measure``.

Each run combines a scenario, deployment, seed and variant. Runs are spread
over processes, at most one for each processor.
"""

import argparse
import concurrent.futures
import dataclasses
import itertools
import json
import os
import pathlib
import sys
import time

from citronrail.scheduling import _placement as placement
from measure import _control as control
from measure import _report as report
from measure import _workload as workload

SEEDS = (11, 23, 47)
MAX_PROCESSES = 10
BUILD = pathlib.Path('build')
# Completed work is counted until the ramp after the return has ended.
AFTER_RETURN_WINDOW_S = 60

VARIANTS = (
    control.Variant('learned', placement.LearnedPlacement(), drains=True),
    control.Variant('first_fit', placement.FirstFitPlacement()),
    control.Variant('least_loaded', placement.LeastLoadedPlacement()),
    control.Variant('random', placement.RandomPlacement()),
    control.Variant(
        'learned+round_robin',
        placement.LearnedPlacement(),
        drains=True,
        round_robin=True,
    ),
)
# The drain decisions with the placement of a baseline.
DRAIN_VARIANT = control.Variant(
    'least_loaded+drain', placement.LeastLoadedPlacement(), drains=True
)


@dataclasses.dataclass(frozen=True)
class Run:
    """Parameters of one run."""

    scenario: workload.Scenario
    deployment: workload.Deployment
    variant: control.Variant
    seed: int


def measure_run(run: Run) -> report.Figures:
    """Simulate one run.

    :param run: parameters of the run.
    :returns: its results after the warm-up.
    """
    load = workload.draw_workload(run.scenario, run.deployment, run.seed)
    controller = control.Controller(load, run.variant, run.seed)
    fleet = controller.state.fleet
    net_work = []
    evictions_before = 0
    for now in range(workload.RUN_S):
        if now == workload.WARM_UP_S:
            evictions_before = controller.state.evictions
        net_work.append(fleet.work_done - fleet.work_lost)
        controller.tick(float(now))
    net_work.append(fleet.work_done - fleet.work_lost)
    latencies = sorted(
        latency_s
        for at, latency_s in fleet.latencies
        if at >= workload.WARM_UP_S
    )
    span_s = workload.RUN_S - workload.WARM_UP_S
    completed = None
    if load.data_centre_out is not None:
        out_at, back_at = map(int, load.data_centre_out)
        completed = (
            net_work[back_at + AFTER_RETURN_WINDOW_S] - net_work[out_at]
        )
    return report.Figures(
        run.scenario.value,
        run.deployment.name,
        run.variant.name,
        run.seed,
        1000 * report.quantile(latencies, 0.99),
        1000 * report.quantile(latencies, 0.999),
        (net_work[-1] - net_work[workload.WARM_UP_S]) / span_s / 1000,
        controller.state.evictions - evictions_before,
        None if completed is None else completed / 1000,
    )


def main(arguments: list[str] | None = None) -> int:
    """Measure and report.

    :param arguments: command line, or None for that of the process.
    :returns: exit status; missed targets are reported without failing.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--scenario', help='only this scenario')
    parser.add_argument(
        '--processes',
        type=int,
        default=min(MAX_PROCESSES, os.cpu_count() or 1),
    )
    args = parser.parse_args(arguments)
    started = time.monotonic()
    runs = [item for item in _runs() if _is_selected(item, args.scenario)]
    with concurrent.futures.ProcessPoolExecutor(args.processes) as pool:
        figures = list(pool.map(measure_run, runs))
    BUILD.mkdir(exist_ok=True)
    (BUILD / 'measure.json').write_text(
        json.dumps([dataclasses.asdict(item) for item in figures], indent=1)
    )
    print(report.table(figures))
    report.plot(figures, BUILD)
    elapsed_s = time.monotonic() - started
    print(f'{len(runs)} runs, seeds {SEEDS}, {elapsed_s:.0f} s')
    return 0


def _runs() -> list[Run]:
    runs = [
        Run(*item)
        for item in itertools.product(
            workload.Scenario,
            (workload.HARROWFIELD, workload.CANTABRICO),
            VARIANTS,
            SEEDS,
        )
    ]
    runs += [
        Run(workload.Scenario.DATA_CENTRE, deployment, DRAIN_VARIANT, seed)
        for deployment in (workload.HARROWFIELD, workload.CANTABRICO)
        for seed in SEEDS
    ]
    return runs


def _is_selected(run: Run, scenario: str | None) -> bool:
    return scenario is None or run.scenario.value == scenario


if __name__ == '__main__':
    sys.exit(main())
