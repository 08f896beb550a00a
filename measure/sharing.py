"""Simulates worker sharing: ``python -m measure.sharing``.

Compares the scheduler's decisions with no sharing and with sharing without
pacing of filling tasks. Prints means over all seeds.
"""

import argparse
import concurrent.futures
import statistics
import sys
import time

from loguru import logger

from measure import _shared_workers

SEEDS = 12
MAX_PROCESSES = 3
LOADS = {
    'many heavy pairs': _shared_workers.Load(heavy_share=0.55),
    'some heavy pairs': _shared_workers.Load(heavy_share=0.4),
    'no heavy pairs': _shared_workers.Load(heavy_share=0.0),
    'roomy': _shared_workers.Load(serving_jobs=4),
}


def simulate_day(
    name: str, variant: _shared_workers.Variant, seed: int
) -> _shared_workers.Outcome:
    """Simulate one day of a load."""
    logger.remove()
    return _shared_workers.SharedWorkers(LOADS[name], seed, variant).run()


def main() -> int:
    """Measure and print.

    :returns: exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=SEEDS)
    parser.add_argument('--load', choices=LOADS, action='append')
    args = parser.parse_args()
    started_at = time.monotonic()
    names = args.load or list(LOADS)
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        futs = {
            (name, variant): [
                pool.submit(simulate_day, name, variant, seed)
                for seed in range(args.seeds)
            ]
            for name in names
            for variant in _shared_workers.Variant
        }
        for (name, variant), runs in futs.items():
            _print(f'{name}, {variant.value}', [fut.result() for fut in runs])
    print(f'{time.monotonic() - started_at:.0f} s')
    return 0


def _print(name: str, outcomes: list[_shared_workers.Outcome]) -> None:
    def mean(field: str) -> float:
        return statistics.fmean(
            getattr(outcome, field) for outcome in outcomes
        )

    worths = [outcome.worth for outcome in outcomes]
    error = statistics.stdev(worths) / len(worths) ** 0.5 if worths[1:] else 0
    print(
        f'{name:26} worth {mean("worth"):.3f} +- {error:.3f}  '
        f'plain {mean("plain"):.3f}  filling {mean("filling"):.3f}  '
        f'serving {mean("serving"):.3f}  harmed {mean("harmed_s"):6.1f} s  '
        f'thrown away {mean("thrown_away_s"):5.1f} s',
        flush=True,
    )


if __name__ == '__main__':
    sys.exit(main())
