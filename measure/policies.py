"""Measures the scheduling decisions against baselines: ``make measure``.

Each run is one scenario, deployment, seed and contender. Runs are spread over
processes, at most one for each processor.
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
# Work of the return is counted until the ramp is over.
AFTER_RETURN_S = 60

CONTENDERS = (
    control.Contender('learned', placement.LearnedPlacement(), drains=True),
    control.Contender('first_fit', placement.FirstFitPlacement()),
    control.Contender('least_loaded', placement.LeastLoadedPlacement()),
    control.Contender('random', placement.RandomPlacement()),
    control.Contender(
        'learned+round_robin',
        placement.LearnedPlacement(),
        drains=True,
        round_robin=True,
    ),
)
# The drain decisions alone, under a baseline's placement.
DRAINED = control.Contender(
    'least_loaded+drain', placement.LeastLoadedPlacement(), drains=True
)


@dataclasses.dataclass(frozen=True)
class Run:
    """One run to do."""

    scenario: workload.Scenario
    deployment: workload.Deployment
    contender: control.Contender
    seed: int


def run_one(run: Run) -> report.Figures:
    """Carry out one run.

    :param run: what to measure.
    :returns: its figures, counted after the warm-up.
    """
    load = workload.build(run.scenario, run.deployment, run.seed)
    controller = control.Controller(load, run.contender, run.seed)
    fleet = controller.state.fleet
    net = []
    evictions_before = 0
    for now in range(workload.RUN_S):
        if now == workload.WARM_UP_S:
            evictions_before = controller.state.evictions
        net.append(fleet.work_done - fleet.work_lost)
        controller.tick(float(now))
    net.append(fleet.work_done - fleet.work_lost)
    latencies = sorted(
        latency_s
        for at, latency_s in fleet.latencies
        if at >= workload.WARM_UP_S
    )
    span_s = workload.RUN_S - workload.WARM_UP_S
    completed = None
    if load.data_centre_out is not None:
        out_at, back_at = map(int, load.data_centre_out)
        completed = net[back_at + AFTER_RETURN_S] - net[out_at]
    return report.Figures(
        run.scenario.value,
        run.deployment.name,
        run.contender.name,
        run.seed,
        1000 * report.quantile(latencies, 0.99),
        1000 * report.quantile(latencies, 0.999),
        (net[-1] - net[workload.WARM_UP_S]) / span_s / 1000,
        controller.state.evictions - evictions_before,
        None if completed is None else completed / 1000,
    )


def main(arguments: list[str] | None = None) -> int:
    """Measure and report.

    :param arguments: command line, or None for that of the process.
    :returns: exit status; misses of targets are reported, not failures.
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
    runs = [item for item in _runs() if _wanted(item, args.scenario)]
    with concurrent.futures.ProcessPoolExecutor(args.processes) as pool:
        figures = list(pool.map(run_one, runs))
    BUILD.mkdir(exist_ok=True)
    (BUILD / 'measure.json').write_text(
        json.dumps([dataclasses.asdict(item) for item in figures], indent=1)
    )
    print(report.table(figures))
    report.plot(figures, BUILD)
    taken_s = time.monotonic() - started
    print(f'{len(runs)} runs, seeds {SEEDS}, {taken_s:.0f} s')
    return 0


def _runs() -> list[Run]:
    runs = [
        Run(*item)
        for item in itertools.product(
            workload.Scenario,
            (workload.HARROWFIELD, workload.CANTABRICO),
            CONTENDERS,
            SEEDS,
        )
    ]
    runs += [
        Run(workload.Scenario.DATA_CENTRE, deployment, DRAINED, seed)
        for deployment in (workload.HARROWFIELD, workload.CANTABRICO)
        for seed in SEEDS
    ]
    return runs


def _wanted(run: Run, scenario: str | None) -> bool:
    return scenario is None or run.scenario.value == scenario


if __name__ == '__main__':
    sys.exit(main())
