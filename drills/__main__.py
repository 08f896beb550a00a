"""Run with ``python -m drills``; injects failures and checks invariants."""

import argparse
import pathlib
import sys
import tempfile

import trio

from drills import _points
from drills import _run

OUTPUT = pathlib.Path('build/drills.json')


def main() -> int:
    """Run all points or the selected ones.

    :returns: exit code, 0 if every point held.
    """
    parser = argparse.ArgumentParser(prog='drills', description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    names = [point.name for point in _points.POINTS]
    parser.add_argument('--point', choices=names, action='append')
    parser.add_argument(
        '--keep',
        type=pathlib.Path,
        help='new directory in which to keep the logs',
    )
    parser.add_argument(
        '--outage-seconds', type=float, default=_points.DEFAULT_OUTAGE_S
    )
    args = parser.parse_args()
    points = tuple(
        p
        for p in _points.with_outage(args.outage_seconds)
        if not args.point or p.name in args.point
    )
    with tempfile.TemporaryDirectory(prefix='citronrail-drills-') as name:
        folder = args.keep or pathlib.Path(name)
        results = trio.run(_run.run_points, points, folder, args.seed)
    return _run.report(results, OUTPUT, args.seed)


if __name__ == '__main__':
    sys.exit(main())
