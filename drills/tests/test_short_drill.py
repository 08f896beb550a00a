"""Test of a short drill on real processes."""

import dataclasses
import pathlib
import random

from drills import _points
from drills import _records
from drills import _run
from drills import _short

SEED = 1


async def test_nothing_is_lost_or_run_twice(tmp_path: pathlib.Path) -> None:
    """Guards against work lost, duplicated or mixed up by common failures.

    An entry is killed, an agent frozen and the store stopped, in sequence,
    while tasks run and callers retry orders. The checks use records only, no
    timings.
    """
    point = _points.Point('short', '0 of any kind', 'short', _short.short)
    plan = dataclasses.replace(
        _run.FLEET_PLAN, workers=2, entries=2, data_centres=('leicester',)
    )
    results: dict[str, _records.Result] = {}
    await _run.run_group(
        (point,), tmp_path, random.Random(SEED), results, plan
    )
    result = results['short']
    assert result.verdict is _records.Verdict.HELD, result
