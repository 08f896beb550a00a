"""Tests a job's path from submission to the acknowledged end of its tasks."""

import collections

import trio

from citronrail.scheduling.tests import _cluster


async def test_job_runs_to_completion(autojump_clock):
    """Guards against a broken step between submission and job end."""
    async with trio.open_nursery() as nursery:
        cluster = _cluster.Cluster(nursery)
        await cluster.start()
        entry = await cluster.add_entry('entry1')
        await trio.sleep(4.0)
        submitted_at = trio.current_time()
        await entry.scheduler.submit(_cluster.job(tasks=9), 'command1')
        await entry.scheduler.submit(_cluster.job(tasks=9), 'command1')
        await trio.sleep(15.0)
        rows = entry.scheduler.rows('jobs')
        history = cluster.history()
        nursery.cancel_scope.cancel()
    assert [(row.state, row.finished) for row in rows] == [('finished', 9)]
    events = collections.Counter(record.event for record in history)
    assert events == {'start': 9, 'finished': 9}
    first = min(r.at for r in history if r.event == 'start')
    assert first - submitted_at < 3.0
