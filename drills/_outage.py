"""An outage of the key-value store under load."""

import dataclasses
import time

import trio

from drills import _env
from drills import _history
from drills import _records

SHORT_TASK_S = 2.0
WARM_UP_S = 3.0
RECOVERY_S = 60.0


@dataclasses.dataclass(frozen=True)
class _WindowTotals:
    """Totals of the work completed in a time window."""

    requests: int
    failed: int
    tasks: int
    work_s: float


async def outage(env: _env.Environment, seconds: float) -> _records.Figures:
    """Compare the work done in an outage with an equal time before it.

    :param world: the fleet.
    :param seconds: duration of the outage.
    """
    calls: list[_records.Call] = []
    stop = trio.Event()
    # Long tasks end during the outage; short ones cannot start during it.
    long_jobs = {
        f'po-long{n}-{n}': WARM_UP_S + seconds * (1.2 + 0.2 * n)
        for n in range(4)
    }
    expected = {
        **dict.fromkeys(long_jobs, 2),
        'po-short-1': round(seconds) * 6,
    }
    async with trio.open_nursery() as nursery:
        for method in ('GET', 'POST'):
            nursery.start_soon(
                env.callers.call_periodically,
                _env.SERVICE,
                'po',
                calls,
                stop,
                0.04,
                '/quick?ms=5',
                method,
            )
        for job, run_s in long_jobs.items():
            await env.start_job(job, 2, run_s)
        await env.start_job('po-short-1', expected['po-short-1'], SHORT_TASK_S)
        await trio.sleep(WARM_UP_S)
        baseline_started_at = (time.monotonic(), time.time())
        await trio.sleep(seconds)
        outage_started_at = (time.monotonic(), time.time())
        await env.outage(seconds)
        stop.set()
    done = await env.wait_until_finished(expected, RECOVERY_S + seconds)
    await trio.sleep(_env.HISTORY_FLUSH_S)
    runs = env.runs('po-')
    steady = _sum_window(env, calls, baseline_started_at, seconds)
    degraded = _sum_window(env, calls, outage_started_at, seconds)
    lost, doubled = _history.count_lost_and_duplicated(runs, expected)
    stopped = sum(run.event in ('stopped', 'failed') for run in runs)
    mixed, cut = _history.count_wrong_responses(calls)
    share = degraded.work_s / steady.work_s if steady.work_s else 0.0
    violations = lost + doubled + stopped + mixed + cut + degraded.failed
    return _records.Figures(
        len(runs) + len(calls),
        violations,
        f'{degraded.failed} refused, {lost} lost',
        proved=done and degraded.tasks > 0,
        notes=(
            f'in {seconds:.0f} s without an outage: {steady.requests}'
            f' requests, {steady.tasks} tasks ended, {steady.work_s:.0f} s of'
            f' task work',
            f'in an outage of {seconds:.0f} s: {degraded.requests} requests,'
            f' {degraded.failed} failed, {degraded.tasks} tasks ended,'
            f' {degraded.work_s:.0f} s of task work ({share:.0%})',
            f'{lost} tasks lost, {doubled} doubled, {stopped} stopped;'
            f' {_env.summarize(calls)}',
        ),
    )


def _sum_window(
    env: _env.Environment,
    calls: list[_records.Call],
    since: tuple[float, float],
    seconds: float,
) -> _WindowTotals:
    """Sum up a window; ``since`` is its start in monotonic and Unix time."""
    monotonic, unix = since
    until = monotonic + seconds
    runs = env.runs('po-')
    calls_in_window = [
        c for c in calls if unix <= c.began < unix + seconds - 0.5
    ]
    whole = sum(
        c.answer is _records.ResponseKind.COMPLETE for c in calls_in_window
    )
    ended = sum(
        run.event == 'finished' and monotonic <= run.ended < until
        for run in runs
    )
    work_s = sum(
        max(0.0, min(run.ended, until) - max(run.started, monotonic))
        for run in runs
    )
    return _WindowTotals(whole, len(calls_in_window) - whole, ended, work_s)
