"""Run with ``python -m soak``; exit status 1 if a promise was broken."""

import argparse
import collections.abc
import pathlib
import random
import sys
import tempfile

from loguru import logger
import trio

from soak import _run

SECONDS = 12.0


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run seeds one after another.

    :param argv: arguments without the program's name.
    :returns: exit status.
    """
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, help='first seed; drawn if absent')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument(
        '--keep', type=pathlib.Path, help='new folder for logs, kept'
    )
    args = parser.parse_args(argv)
    first = args.seed
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    logger.remove()  # the stand-ins' lines; processes log to files
    failed = 0
    with tempfile.TemporaryDirectory(prefix='citronrail-soak-') as name:
        root = args.keep or pathlib.Path(name)
        for seed in range(first, first + args.seeds):
            folder = root / str(seed)
            folder.mkdir(parents=True)
            result = trio.run(_run.run, seed, args.seconds, folder)
            failed += bool(result.broken)
            _print(result)
    print(f'{args.seeds - failed} of {args.seeds} seeds held')
    return 1 if failed else 0


def _print(result: _run.Result) -> None:
    print(
        f'seed {result.seed}: {result.accepted} of {result.submitted} jobs '
        f'accepted, {result.starts} starts, {len(result.faults)} faults, '
        f'{len(result.broken)} promises broken',
        flush=True,
    )
    for line in result.broken:
        print(f'  {line}')
    if result.broken:
        for line in result.faults:
            print(f'  fault: {line}')


if __name__ == '__main__':
    sys.exit(main())
