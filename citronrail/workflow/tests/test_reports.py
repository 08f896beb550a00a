"""Tests of inherited runs on workers that send no list."""

import pytest

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _orders
from citronrail.workflow import _reports
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _worker_view
from citronrail.workflow.tests import _cluster

TOKEN = 9
JOB = '00000000000000b1'
NOW = 100.0
LEFT_S = 2.0
MAX_LEASE_S = 18.0  # an earlier scheduler may have extended leases until then


def _loaded_book(
    progress: documents.ProgressRecord | None = None,
    now: float = NOW,
    jobs: int = 1,
) -> _scheduler_state.SchedulerState:
    """Return a state with one inherited run a job, on incarnation 1.

    :param progress: what was stored of each job.
    :param now: when it is loaded.
    :param jobs: number of jobs.
    """
    scheduler_state = _scheduler_state.SchedulerState(
        lambda name: _cluster.QUEUE
    )
    scheduler_state.inherited_end_at = now + MAX_LEASE_S
    attempt = documents.AttemptRecord(1, 'a0', 'w0', 1)
    task = documents.TaskRecord(last_run=1, attempts=(attempt,))
    for number in range(jobs):
        job_id = f'{int(JOB, 16) + number:016x}'
        scheduler_state.progress[job_id] = (
            progress or documents.ProgressRecord('running', stages=((task,),))
        )
        record = documents.JobRecord(
            job_id, 'q', 'pool', 0.0, _cluster.one_step()
        )
        scheduler_state.add_job(record, now, 0.0)
    return scheduler_state


def listing_report():
    """Return how to create the reports, and one with the inherited run."""
    life = messages.WorkerLife('w0', 1, 'pool', 'dc', 'ready', 4000, 8000, 0)
    row = messages.RunRow(f'{JOB}.0.0.0', 1, '', 50, 100.0)
    report = messages.WorkerReport(TOKEN, life, 5000, (row,), token=TOKEN)
    return (
        lambda state: _reports.Reports(state, workflows.Bounds(), TOKEN),
        report,
    )


def due_orders(view, now):
    """Return the orders that are due for a worker, without starts."""
    return _orders.due_orders(view, [], TOKEN, 6.0, now)


@pytest.mark.parametrize(
    ('born_ms', 'token', 'waits'),
    [(1, TOKEN, False), (2, TOKEN, True), (1, TOKEN - 1, True)],
    ids=['same life', 'crossed lives', 'agent of a predecessor'],
)
def test_agent_reports_lease_end_of_unreachable_worker(born_ms, token, waits):
    """A task of a lost worker restarts early, but never beside a live run.

    In the soak test (seed 100), an order for one incarnation was carried out
    by the next one, whose agent knew of no lease. The new scheduler took the
    lease of the run for expired and started a second run beside it.
    """
    scheduler_state = _loaded_book()
    reports = _reports.Reports(scheduler_state, workflows.Bounds(), TOKEN)
    life = messages.WorkerLife(
        'w0', born_ms, 'pool', 'dc', 'ready', 4000, 8000, 0
    )
    report = messages.WorkerReport(0, life, token=token, lease_left_s=LEFT_S)
    reports.take('a0', report, NOW, 0.0)
    task = scheduler_state.jobs[JOB].stages[0].tasks[0]
    reports.expire_leases(NOW + LEFT_S - 0.1)
    assert task.attempts
    reports.expire_leases(NOW + LEFT_S + 0.1)
    assert bool(task.attempts) is waits
    reports.expire_leases(NOW + MAX_LEASE_S + 0.1)
    assert not task.attempts


def test_worker_that_leaves_is_not_used_again_after_a_late_announcement():
    """Guards against starts on a worker that had announced its stop (DRAIN).

    An agent that was restarted knows no sequence number, so that a late
    announcement from before the drain looks new to it.
    """
    scheduler_state = _scheduler_state.SchedulerState(
        lambda name: _cluster.QUEUE
    )
    reports = _reports.Reports(scheduler_state, workflows.Bounds(), TOKEN)
    for state in ('ready', 'draining', 'ready'):
        life = messages.WorkerLife('w0', 1, 'pool', 'dc', state, 4000, 8000, 0)
        reports.take(
            'a0', messages.WorkerReport(TOKEN, life, clock_ms=1000), NOW, 0.0
        )
    assert not scheduler_state.workers['a0'].usable(NOW)
    next_life = messages.WorkerLife(
        'w0', 2, 'pool', 'dc', 'ready', 4000, 8000, 0
    )
    reports.take(
        'a0', messages.WorkerReport(TOKEN, next_life, clock_ms=1000), NOW, 0.0
    )
    assert scheduler_state.workers['a0'].usable(NOW)


def test_reports_of_a_restarted_agent_are_confirmed():
    """Guards against confirmations of reports that are not applied yet.

    The scheduler kept confirming the last report before the restart, so that
    the agent sent reports without bound until it had sent as many again.
    """
    scheduler_state = _scheduler_state.SchedulerState(
        lambda name: _cluster.QUEUE
    )
    reports = _reports.Reports(scheduler_state, workflows.Bounds(), TOKEN)
    life = messages.WorkerLife('w0', 1, 'pool', 'dc', 'ready', 4000, 8000, 0)

    def confirmed(number) -> int:
        report = messages.WorkerReport(
            TOKEN, life, clock_ms=1000, token=TOKEN, number=number
        )
        reports.take('a0', report, NOW, 0.0)
        view = scheduler_state.workers['a0']
        due = _orders.due_orders(view, [], TOKEN, 8.0, NOW)
        return due.orders.reports if due else 0

    assert confirmed(500) == 500
    scheduler_state.mark_disconnected('a0')
    assert [confirmed(number) for number in (1, 2, 3, 4)] == [0, 2, 0, 4]


def _view_with_lists(*lists) -> _worker_view.WorkerView:
    """Return a view after lists, each a worker's clock and a local time."""
    life = messages.WorkerLife('w0', 1, 'pool', 'dc', 'ready', 4000, 8000, 0)
    view = _worker_view.WorkerView('a0', life)
    for clock_ms, now in lists:
        view.record_list(clock_ms, now)
    return view


def test_late_list_makes_no_lease_shorter():
    """Guards against leases that end under work while lists are late.

    The clock in a list that was applied 7 s late was taken for the present
    time, so that a lease of 8 s ended after one second.
    """
    view = _view_with_lists((1000, NOW), (1500, NOW + 7.5))
    lease_s = 8.0
    true_end_ms = 1000 + 7500 + lease_s * 1000
    until_ms = view.extend_lease(NOW + 7.5, lease_s)
    assert 0.96 * true_end_ms < until_ms <= true_end_ms


@pytest.mark.parametrize('clock_ratio', [0.98, 1.0, 1.02])
def test_lease_ends_by_the_time_that_is_waited_for(clock_ratio):
    """Guards against a second run beside one whose lease still holds (TWICE).

    Lists are up to 6 s late, and the worker's clock may be slow.
    """
    view = _view_with_lists()
    for number in range(400):
        made_at = NOW + 0.5 * number
        applied_at = made_at + (0.01, 2.0, 6.0, 0.3)[number // 10 % 4]
        elapsed_ms = clock_ratio * 0.5 * number * 1000
        view.record_list(1000 + int(elapsed_ms), applied_at)
        until_ms = view.extend_lease(applied_at, 8.0)
        local_end = NOW + (until_ms - 1000) / 1000 / clock_ratio
        assert local_end <= view.lease_ends_at
        # It is no shorter than one from this reading alone.
        assert local_end >= made_at + 0.97 * 8.0 / clock_ratio - 0.01
