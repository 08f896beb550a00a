"""Tests of the summary of each queue in the log."""

import dataclasses

from citronrail import observability
from citronrail.workflow import _queue_summary
from citronrail.workflow import _round
from citronrail.workflow import _wait_reason
from citronrail.workflow.tests import _fleet

Reason = _wait_reason.Reason
STEP = dataclasses.replace(_fleet.REBUILD, task_count=3)


def _summary(fleet):
    stages = [
        stage
        for job in fleet.state.jobs.values()
        for stage in job.ready_stages(0.0)
    ]
    by_service = _round.candidates_by_service(
        fleet.state.workers.values(), frozenset(), fleet.now
    )
    return _queue_summary.summarise(
        '2', stages, lambda job: 'pool', by_service, fleet.factors, fleet.now
    )


def test_summary_tells_waiting_tasks_from_running_ones():
    """Guards against logs that don't show why an order is late."""
    fleet = _fleet.Fleet(memory_mb=6_400)
    fleet.submit('1', STEP)
    fleet.place()
    assert _summary(fleet).unlisted == 2
    fleet.step(5.0)
    first = next(fleet.state.jobs['1'].attempts())
    first.set_pace(0, fleet.now)
    summary = _summary(fleet)
    assert summary.jobs == 1
    assert summary.waiting == {Reason.NO_ROOM: 1}
    assert (summary.longest, summary.waiting_s) == ('1.0.0', 5.0)
    assert summary.longest_reason == Reason.NO_ROOM.value
    assert (summary.unlisted, summary.running) == (0, 2)
    assert (summary.pace, summary.held) == (50, 1)


def test_summary_names_stopped_runs_once(monkeypatch):
    """Guards against stopped runs that no line counts, or two lines do."""
    lines = []
    monkeypatch.setattr(
        observability, 'emit', lambda kind, **fields: lines.append(fields)
    )
    fleet = _fleet.Fleet()
    fleet.submit('1', STEP)
    fleet.place()
    fleet.step(5.0)
    summaries = _queue_summary.QueueSummaries(fleet.state.stopped_runs)
    fleet.state.stop_run(next(fleet.state.jobs['1'].attempts()), 'a reason')
    lines.clear()
    for _ in range(2):
        summaries.log(
            fleet.state.jobs.values(),
            lambda job: 'pool',
            {},
            fleet.factors,
            fleet.now,
            0.0,
        )
    assert [line['stopped'] for line in lines] == ['1 a reason', 'none']
    assert not summaries.due(fleet.now + 0.9)
