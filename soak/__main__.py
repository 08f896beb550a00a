"""Run with ``python -m soak``; exit status 1 if an invariant was violated."""

import argparse
import collections.abc
import pathlib
import random
import sys
import tempfile

from loguru import logger
import trio

from soak import _run
from soak import _stops

DEFAULT_FAULT_SECONDS = 12.0


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run the soak test for each seed in turn.

    :param argv: command-line arguments without the program name.
    :returns: exit status.
    """
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument(
        '--seed', type=int, help='first seed; random if absent'
    )
    parser.add_argument(
        '--seeds',
        type=int,
        default=1,
        help='number of consecutive seeds to run',
    )
    parser.add_argument(
        '--stops',
        action='store_true',
        help='planned stops under connections in use, instead of faults',
    )
    parser.add_argument('--seconds', type=float, default=DEFAULT_FAULT_SECONDS)
    parser.add_argument(
        '--keep',
        type=pathlib.Path,
        help='new directory in which to keep the logs',
    )
    args = parser.parse_args(argv)
    first = args.seed
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    logger.remove()  # silence the stand-ins; processes log to files
    failed = 0
    with tempfile.TemporaryDirectory(prefix='citronrail-soak-') as name:
        root = args.keep or pathlib.Path(name)
        for seed in range(first, first + args.seeds):
            directory = root / str(seed)
            directory.mkdir(parents=True)
            if args.stops:
                stops = trio.run(_stops.run, seed, directory)
                failed += not stops.passed
                _print_stops(stops)
                continue
            result = trio.run(_run.run, seed, args.seconds, directory)
            failed += bool(result.violations)
            _print(result)
    print(f'{args.seeds - failed} of {args.seeds} seeds passed')
    return 1 if failed else 0


def _print(result: _run.Result) -> None:
    print(
        f'seed {result.seed}: {result.accepted} of {result.submitted} jobs '
        f'accepted, {result.starts} starts, {len(result.faults)} faults, '
        f'{len(result.violations)} invariant violations',
        flush=True,
    )
    for line in result.violations:
        print(f'  {line}')
    if result.violations:
        for line in result.faults:
            print(f'  fault: {line}')


def _print_stops(result: _stops.Result) -> None:
    print(
        f'seed {result.seed} ({result.conditions}): '
        f'{sum(result.statuses.values())} answered {result.statuses}, '
        f'{len(result.lost)} lost, {result.raced} raced, {result.late} late, '
        f'{len(result.killed)} killed, {len(result.ended)} ended',
        flush=True,
    )
    if not result.passed:
        for line in (*result.lost, *result.steps):
            print(f'  {line}')


if __name__ == '__main__':
    sys.exit(main())
