"""Runs drill points concurrently on fleets and reports results."""

import dataclasses
import json
import pathlib
import random
import sys
import time

import httpx
import trio

from drills import _env
from drills import _points
from drills import _records
from standins import fleet
from standins import processes

MAX_CONNECTIONS = 600
MAX_CONCURRENT_FLEETS = 3  # 17 processes per fleet
STARTUP_ERRORS = (
    OSError,
    TimeoutError,
    httpx.HTTPError,
    processes.ProcessEndedError,
)
FLEET_PLAN = fleet.FleetPlan(
    workers=4,
    entries=3,
    millicores=8000,
    memory_mb=16_000,
    data_centres=('leicester', 'birmingham'),
    times={'load_balancer_wait_s': 1.0},
    # A worker that refuses would hide a fault in capacity accounting.
    worker={'switches': {'admit_over_capacity': True}},
)


async def run_points(
    points: tuple[_points.Point, ...], folder: pathlib.Path, seed: int
) -> tuple[_records.Result, ...]:
    """Run points concurrently by group, each group on its own fleet.

    :param points: points to run.
    :param folder: empty directory for settings and logs.
    :param seed: seed of all random choices.
    :returns: the results in the order of the points.
    """
    results: dict[str, _records.Result] = {}
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_FLEETS)

    async def run(group: str) -> None:
        group_points = tuple(p for p in points if p.group == group)
        rng = random.Random(f'{seed} {group}')
        try:
            await run_group(group_points, folder / group, rng, results)
        finally:
            limiter.release_on_behalf_of(group)

    async with trio.open_nursery() as nursery:
        # In the order of the points, so that the slowest group starts first.
        for group in dict.fromkeys(point.group for point in points):
            await limiter.acquire_on_behalf_of(group)
            nursery.start_soon(run, group)
    return tuple(results[point.name] for point in points)


async def run_group(
    points: tuple[_points.Point, ...],
    folder: pathlib.Path,
    rng: random.Random,
    results: dict[str, _records.Result],
    plan: fleet.FleetPlan = FLEET_PLAN,
) -> None:
    """Run points in sequence on a fleet of their own.

    :param points: points to run.
    :param folder: directory for settings and logs.
    :param rng: random number generator.
    :param results: mapping to which results are added, by point name.
    :param plan: processes of the fleet.
    """
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    async with httpx.AsyncClient(
        timeout=15.0, limits=limits, trust_env=False
    ) as client:
        with processes.ProcessGroup(folder / 'logs') as group:
            system = fleet.Fleet(plan, folder, group)
            env = _env.Environment(system, client, rng)
            try:
                await env.set_up()
            except (AssertionError, *STARTUP_ERRORS) as exc:
                for point in points:
                    results[point.name] = _error_result(point, exc, 0.0)
                return
            for point in points:
                results[point.name] = await _run_point(point, env)


async def _run_point(
    point: _points.Point, env: _env.Environment
) -> _records.Result:
    began = time.monotonic()
    try:
        figures = await point.drill(env)
        took_s = time.monotonic() - began
        result = _records.Result(point.name, point.bound, figures, took_s)
    except Exception as exc:  # noqa: BLE001 - reported as inconclusive
        result = _error_result(point, exc, time.monotonic() - began)
    try:
        await env.clear_failures()
    except STARTUP_ERRORS as exc:
        print(f'{point.name}: failures not cleared: {exc!r}', file=sys.stderr)
    print(
        f'{time.monotonic() - began:6.1f} s  {result.table_row()}', flush=True
    )
    return result


def _error_result(
    point: _points.Point, exc: BaseException, took_s: float
) -> _records.Result:
    figures = _records.Figures(0, 0, '-', proved=False, notes=(repr(exc),))
    return _records.Result(point.name, point.bound, figures, took_s)


def report(
    results: tuple[_records.Result, ...], path: pathlib.Path, seed: int
) -> int:
    """Print the table of results and write it as JSON.

    :param results: results of all points.
    :param path: JSON file to write.
    :param seed: seed of the run.
    :returns: exit code, 0 if every point held.
    """
    print(f'\nseed {seed}')
    for result in results:
        print(result.table_row())
        for note in result.figures.notes:
            print(f'{"":13}{note}')
    path.parent.mkdir(exist_ok=True)
    data = [
        {**dataclasses.asdict(result), 'verdict': result.verdict.value}
        for result in results
    ]
    path.write_text(json.dumps({'seed': seed, 'points': data}, indent=1))
    held = sum(r.verdict is _records.Verdict.HELD for r in results)
    print(f'drills: {held} of {len(results)} points held')
    return 0 if held == len(results) else 1
