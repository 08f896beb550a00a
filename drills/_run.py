"""Runs points on fleets, side by side, and reports."""

import dataclasses
import json
import pathlib
import random
import sys
import time

import httpx
import trio

from drills import _points
from drills import _records
from drills import _world
from standins import fleet
from standins import processes

MAX_CONNECTIONS = 600
FLEETS_AT_ONCE = 3  # 17 processes each
NOT_READY = (
    OSError,
    TimeoutError,
    httpx.HTTPError,
    processes.ProcessEndedError,
)
PLAN = fleet.FleetPlan(
    workers=4,
    entries=3,
    millicores=8000,
    memory_mb=16_000,
    data_centres=('leicester', 'birmingham'),
    times={'load_balancer_wait_s': 1.0},
    # The worker must not hide a fault of the ledger by refusing.
    worker={'switches': {'admit_over_capacity': True}},
)


async def run_points(
    points: tuple[_points.Point, ...], folder: pathlib.Path, seed: int
) -> tuple[_records.Result, ...]:
    """Run points, those of a group one after another on one fleet.

    :param points: what to run.
    :param folder: an empty folder for settings and logs.
    :param seed: seed of all choices.
    :returns: the results in the order of the points.
    """
    results: dict[str, _records.Result] = {}
    limiter = trio.CapacityLimiter(FLEETS_AT_ONCE)

    async def run(group: str) -> None:
        own = tuple(p for p in points if p.group == group)
        rng = random.Random(f'{seed} {group}')
        try:
            await run_group(own, folder / group, rng, results)
        finally:
            limiter.release_on_behalf_of(group)

    async with trio.open_nursery() as nursery:
        # In the order of the points: the group that takes longest is first.
        for group in dict.fromkeys(point.group for point in points):
            await limiter.acquire_on_behalf_of(group)
            nursery.start_soon(run, group)
    return tuple(results[point.name] for point in points)


async def run_group(
    points: tuple[_points.Point, ...],
    folder: pathlib.Path,
    rng: random.Random,
    results: dict[str, _records.Result],
    plan: fleet.FleetPlan = PLAN,
) -> None:
    """Run points one after another on a fleet of their own.

    :param points: what to run.
    :param folder: folder for settings and logs.
    :param rng: source of chance.
    :param results: where to put the results, by name of the point.
    :param plan: what the fleet consists of.
    """
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    async with httpx.AsyncClient(
        timeout=15.0, limits=limits, trust_env=False
    ) as client:
        with processes.ProcessGroup(folder / 'logs') as group:
            system = fleet.Fleet(plan, folder, group)
            world = _world.World(system, client, rng)
            try:
                await world.set_up()
            except (AssertionError, *NOT_READY) as exc:
                for point in points:
                    results[point.name] = _failed(point, exc, 0.0)
                return
            for point in points:
                results[point.name] = await _run_one(point, world)


async def _run_one(
    point: _points.Point, world: _world.World
) -> _records.Result:
    began = time.monotonic()
    try:
        figures = await point.drill(world)
        took_s = time.monotonic() - began
        result = _records.Result(point.name, point.bound, figures, took_s)
    except Exception as exc:  # noqa: BLE001 - any end but a proof is reported
        result = _failed(point, exc, time.monotonic() - began)
    try:
        await world.heal()
    except NOT_READY as exc:
        print(f'{point.name}: not healed: {exc!r}', file=sys.stderr)
    print(f'{time.monotonic() - began:6.1f} s  {result.line()}', flush=True)
    return result


def _failed(
    point: _points.Point, exc: BaseException, took_s: float
) -> _records.Result:
    figures = _records.Figures(0, 0, '-', proved=False, notes=(repr(exc),))
    return _records.Result(point.name, point.bound, figures, took_s)


def report(
    results: tuple[_records.Result, ...], path: pathlib.Path, seed: int
) -> int:
    """Print the table and write it as JSON.

    :param results: results of all points.
    :param path: JSON file to write.
    :param seed: seed of the run.
    :returns: exit code, 0 if every point held.
    """
    print(f'\nseed {seed}')
    for result in results:
        print(result.line())
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
