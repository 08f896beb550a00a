"""An outage of the key-value store under load."""

import dataclasses
import time

import trio

from drills import _history
from drills import _records
from drills import _world

TASK_S = 2.0
LEAD_S = 3.0
RECOVERY_S = 60.0


@dataclasses.dataclass(frozen=True)
class _Window:
    """Work completed within a time."""

    requests: int
    failed: int
    tasks: int
    work_s: float


async def outage(world: _world.World, seconds: float) -> _records.Figures:
    """Compare the work done in an outage with the same time without one.

    :param world: the fleet.
    :param seconds: length of the outage.
    """
    calls: list[_records.Call] = []
    stop = trio.Event()
    # Long tasks end in the outage; short ones can't be started in it.
    long = {
        f'po-long{n}-{n}': LEAD_S + seconds * (1.2 + 0.2 * n) for n in range(4)
    }
    wanted = {**dict.fromkeys(long, 2), 'po-short-1': round(seconds) * 6}
    async with trio.open_nursery() as nursery:
        for method in ('GET', 'POST'):
            nursery.start_soon(
                world.callers.keep_calling,
                _world.SERVICE,
                'po',
                calls,
                stop,
                0.04,
                '/quick?ms=5',
                method,
            )
        for job, run_s in long.items():
            await world.start_job(job, 2, run_s)
        await world.start_job('po-short-1', wanted['po-short-1'], TASK_S)
        await trio.sleep(LEAD_S)
        normal_at = (time.monotonic(), time.time())
        await trio.sleep(seconds)
        outage_at = (time.monotonic(), time.time())
        await world.outage(seconds)
        stop.set()
    done = await world.finished(wanted, RECOVERY_S + seconds)
    await trio.sleep(_world.SETTLE_S)
    runs = world.runs('po-')
    normal = _work(world, calls, normal_at, seconds)
    without = _work(world, calls, outage_at, seconds)
    lost, doubled = _history.not_finished_once(runs, wanted)
    stopped = sum(run.event in ('stopped', 'failed') for run in runs)
    mixed, cut = _history.wrong_answers(calls)
    share = without.work_s / normal.work_s if normal.work_s else 0.0
    violations = lost + doubled + stopped + mixed + cut + without.failed
    return _records.Figures(
        len(runs) + len(calls),
        violations,
        f'{without.failed} refused, {lost} lost',
        proved=done and without.tasks > 0,
        notes=(
            f'in {seconds:.0f} s without an outage: {normal.requests}'
            f' requests, {normal.tasks} tasks ended, {normal.work_s:.0f} s of'
            f' task work',
            f'in an outage of {seconds:.0f} s: {without.requests} requests,'
            f' {without.failed} failed, {without.tasks} tasks ended,'
            f' {without.work_s:.0f} s of task work ({share:.0%})',
            f'{lost} tasks lost, {doubled} doubled, {stopped} stopped;'
            f' {_world.counts(calls)}',
        ),
    )


def _work(
    world: _world.World,
    calls: list[_records.Call],
    since: tuple[float, float],
    seconds: float,
) -> _Window:
    """Sum up one window; ``since`` is on the monotonic and Unix clocks."""
    monotonic, unix = since
    until = monotonic + seconds
    runs = world.runs('po-')
    within = [c for c in calls if unix <= c.began < unix + seconds - 0.5]
    whole = sum(c.answer is _records.Answer.WHOLE for c in within)
    ended = sum(
        run.event == 'finished' and monotonic <= run.ended < until
        for run in runs
    )
    work_s = sum(
        max(0.0, min(run.ended, until) - max(run.started, monotonic))
        for run in runs
    )
    return _Window(whole, len(within) - whole, ended, work_s)
