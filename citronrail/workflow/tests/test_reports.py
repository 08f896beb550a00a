"""Tests of inherited runs on workers that send no list."""

import pytest

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _book
from citronrail.workflow import _documents as documents
from citronrail.workflow import _reports
from citronrail.workflow.tests import _world

TOKEN = 9
JOB = '00000000000000b1'
NOW = 100.0
LEFT_S = 2.0
MAX_LEASE_S = 18.0  # an earlier scheduler may have extended leases until then


def _loaded_book() -> _book.Book:
    """Return a state with one inherited run, on incarnation 1."""
    book = _book.Book(lambda name: _world.QUEUE)
    book.inherited_end_at = NOW + MAX_LEASE_S
    attempt = documents.AttemptRecord(1, 'a0', 'w0', 1)
    task = documents.TaskRecord(last_run=1, attempts=(attempt,))
    book.progress[JOB] = documents.ProgressRecord('running', stages=((task,),))
    record = documents.JobRecord(JOB, 'q', 'pool', 0.0, _world.one_step())
    book.add_job(record, NOW, 0.0)
    return book


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
    book = _loaded_book()
    reports = _reports.Reports(book, workflows.Bounds(), TOKEN)
    life = messages.WorkerLife(
        'w0', born_ms, 'pool', 'dc', 'ready', 4000, 8000, 0
    )
    report = messages.WorkerReport(0, life, token=token, lease_left_s=LEFT_S)
    reports.take('a0', report, NOW, 0.0)
    task = book.jobs[JOB].stages[0].tasks[0]
    book.expire_leases(NOW + LEFT_S - 0.1)
    assert task.attempts
    book.expire_leases(NOW + LEFT_S + 0.1)
    assert bool(task.attempts) is waits
    book.expire_leases(NOW + MAX_LEASE_S + 0.1)
    assert not task.attempts
