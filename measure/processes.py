"""Compares policies on real processes: ``python -m measure.processes``.

Operator commands switch the placement policy in cycles within one run, so
that drift of the machine shows as a difference between cycles. Prints the
rounds and the ratios and writes ``build/processes.json``.
"""

import argparse
import dataclasses
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time

import httpx
import trio

from measure import _process_rounds as rounds
from standins import fleet
from standins import processes

BUILD = pathlib.Path('build')
LEARNED = 'learned'
BASELINES = ('least_loaded', 'first_fit')
CYCLES = 2
SEED = 11
DEPLOYMENTS = (
    rounds.Deployment(
        'harrowfield',
        'harrowfield',
        16,
        60_000,
        2,
        ('leicester', 'birmingham', 'wolverhampton'),
    ),
    rounds.Deployment(
        'cantabrico',
        'cantabrico',
        64,
        250_000,
        8,
        ('santander', 'gijon', 'bilbao'),
    ),
)
# Fields of a round that are compared with a baseline, by column.
RATIOS = {
    'p99': 'p99_ms',
    'wave tasks': 'wave_tasks',
    'out tasks': 'out_tasks',
}


@dataclasses.dataclass(frozen=True)
class Ratio:
    """Ratios of the learned policy to a baseline, one per cycle."""

    deployment: str
    baseline: str
    figure: str
    by_cycle: tuple[float, ...]

    def __str__(self) -> str:
        low, high = min(self.by_cycle), max(self.by_cycle)
        return (
            f'{self.deployment:12}{self.baseline:14}{self.figure:12}'
            f'{statistics.mean(self.by_cycle):6.2f} ({low:.2f}-{high:.2f})'
        )


def ratios(figures: tuple[rounds.Round, ...]) -> tuple[Ratio, ...]:
    """Compare the learned policy with each baseline, cycle by cycle.

    :param figures: the rounds of one deployment.
    :returns: the ratios; a baseline without a result gives infinity.
    """
    by_policy_and_cycle = {(item.policy, item.cycle): item for item in figures}
    cycles = sorted({item.cycle for item in figures})
    baselines = dict.fromkeys(item.policy for item in figures)
    return tuple(
        Ratio(
            figures[0].deployment,
            baseline,
            name,
            tuple(
                _ratio_or_infinity(
                    getattr(by_policy_and_cycle[LEARNED, cycle], field),
                    getattr(by_policy_and_cycle[baseline, cycle], field),
                )
                for cycle in cycles
            ),
        )
        for baseline in baselines
        if baseline != LEARNED
        for name, field in RATIOS.items()
    )


def _ratio_or_infinity(value: float, base: float) -> float:
    return value / base if base else float('inf')


async def measure(
    deployment: rounds.Deployment,
    policies: tuple[str, ...],
    seed: int,
    cycles: int,
) -> tuple[rounds.Round, ...]:
    """Run one deployment from its start to its end.

    :param deployment: the deployment.
    :param policies: placement policies in the order of a cycle.
    :param seed: seed of the interference.
    :param cycles: how often the order of policies is repeated.
    :returns: the rounds in order.
    """
    with tempfile.TemporaryDirectory(prefix='citronrail-rounds-') as name:
        path = pathlib.Path(name)
        with processes.ProcessGroup(path / 'logs') as group:
            system = fleet.Fleet(rounds.plan(deployment, seed), path, group)
            async with _client() as client, _client() as callers:
                runner = rounds.RoundRunner(
                    deployment, system, client, callers
                )
                return await runner.run(policies, cycles)


def _client() -> httpx.AsyncClient:
    return httpx.AsyncClient(
        timeout=rounds.REQUEST_TIMEOUT_S,
        limits=httpx.Limits(max_connections=200),
        trust_env=False,
    )


def _print_rounds(figures: tuple[rounds.Round, ...]) -> None:
    for item in figures:
        counts = [item.by_class[name] for name in rounds.BATCH_CLASSES]
        print(
            f'{item.deployment:12}{item.cycle + 1:5} {item.policy:14}'
            f'{item.p50_ms:7.0f}{item.p99_ms:8.0f}'
            f'{item.mean_slowdown:9.2f}{item.requests:9}{item.refused:8}'
            f'{item.offered_tasks:8}{item.wave_tasks:6}{item.out_tasks:5}'
            f'{item.lost_runs:8}  {"/".join(map(str, counts))}',
            flush=True,
        )


def main(arguments: list[str] | None = None) -> int:
    """Measure and report.

    :param arguments: command line, or None for that of the process.
    :returns: exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', help='only this deployment')
    parser.add_argument('--cycles', type=int, default=CYCLES)
    parser.add_argument('--seed', type=int, default=SEED)
    parser.add_argument(
        '--baseline',
        action='append',
        help='compare with this policy, as NAME or NAME with FIELD = VALUE',
    )
    args = parser.parse_args(arguments)
    policies = (LEARNED, *(args.baseline or BASELINES))
    started_at = time.monotonic()
    loads = [os.getloadavg()[0]]
    figures: list[rounds.Round] = []
    all_ratios: list[Ratio] = []
    print(
        f'{"deployment":12}cycle {"policy":14} p50 ms  p99 ms slowdown'
        ' requests refused offered  wave  out stopped'
        f'  {"/".join(rounds.BATCH_CLASSES)}'
    )
    for deployment in DEPLOYMENTS:
        if args.deployment in (None, deployment.name):
            deployment_rounds = trio.run(
                measure, deployment, policies, args.seed, args.cycles
            )
            _print_rounds(deployment_rounds)
            figures.extend(deployment_rounds)
            all_ratios.extend(ratios(deployment_rounds))
            loads.append(os.getloadavg()[0])
    print('\nlearned over the baseline: mean of the cycles (range)')
    for ratio in all_ratios:
        print(ratio)
    elapsed_s = time.monotonic() - started_at
    load = ', '.join(f'{value:.0f}' for value in loads)
    print(
        f'seed {args.seed}, {elapsed_s:.0f} s, load average before and after'
        f' each deployment {load} on {os.cpu_count()} processors'
    )
    BUILD.mkdir(exist_ok=True)
    result = {
        'seed': args.seed,
        'load_averages': loads,
        'rounds': [dataclasses.asdict(item) for item in figures],
        'ratios': [dataclasses.asdict(item) for item in all_ratios],
    }
    (BUILD / 'processes.json').write_text(json.dumps(result, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main())
