"""Guards runs that were committed and whose worker is lost before the order.

Found in review: such a run was neither ordered nor given up, and its task
stayed assigned for ever; with a new life of the worker under way the order
could even go to the new life.
"""

import dataclasses

import trio

from citronrail import errors
from citronrail.model import messages
from citronrail.model import workflows
from citronrail import ports
from citronrail.workflow import _book
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _leadership
from citronrail.workflow import _operator_view
from citronrail.workflow import _order_sender
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow.tests import _world

TOKEN = 5
LIFE = messages.WorkerLife('w0', 1, 'pool', 'dc', 'ready', 4000, 8000, 0)


class _Hub:
    """Keeps what was sent, or refuses to send."""

    def __init__(self) -> None:
        self.sent = []
        self.reachable = True

    def peers(self, role):
        return ()

    async def send(self, peer, message, payload=None):
        if not self.reachable:
            raise errors.PeerUnreachable('gone', step='peers.send', peer=peer)
        self.sent.append(message)

    def starts(self):
        return [start for orders in self.sent for start in orders.starts]


def _report(life=LIFE):
    return messages.WorkerReport(TOKEN, life, clock_ms=1000)


def _take(book, report):
    reports = _reports.Reports(book, workflows.Bounds(), TOKEN)
    reports.take('a0', report, trio.current_time(), 0.0)


def _assigned():
    """Return a book with one run that is committed and not ordered."""
    now = trio.current_time()
    book = _book.Book(lambda name: _world.QUEUE)
    _take(book, _report())
    record = documents.JobRecord('j1', 'queue', 'pool', 0.0, _world.one_step())
    book.add_job(record, now, 0.0)
    policy = _round.Policy(
        lambda name: _world.QUEUE, frozenset(), _interference.PairFactors()
    )
    (attempt,) = _round.place(book, policy, now, 0.0)
    operators = _operator_view.OperatorView(
        'c', lambda data: None, lambda k: None
    )
    leadership = _leadership.Leadership(
        ports.Compare('leader', TOKEN), lambda: now + 100
    )
    hub = _Hub()
    sender = _order_sender.OrderSender(hub, book, leadership, operators, 6.0)
    sender.queue_starts([attempt])
    return book, attempt, sender, hub


async def test_committed_run_is_ordered(autojump_clock):
    """Guards the usual case of this page's tests."""
    book, attempt, sender, hub = _assigned()
    await sender.send()
    assert attempt.ordered
    assert [start.run for start in hub.starts()] == [1]


async def test_run_of_a_lost_agent_is_given_up(autojump_clock):
    """Guards a task against staying assigned to nobody."""
    book, attempt, sender, hub = _assigned()
    book.mark_disconnected('a0')
    await sender.send()
    assert not hub.starts()
    assert attempt.task.waiting


async def test_order_that_cannot_be_sent_is_given_up(autojump_clock):
    """Guards a task whose agent is lost while the order is sent."""
    book, attempt, sender, hub = _assigned()
    hub.reachable = False
    await sender.send()
    assert attempt.task.waiting


async def test_order_is_not_sent_to_another_life(autojump_clock):
    """Guards a new life of the worker against orders for the old one."""
    book, attempt, sender, hub = _assigned()
    new_life = dataclasses.replace(LIFE, worker_id='w9', born_ms=2)
    _take(book, _report(new_life))
    await sender.send()
    assert not hub.starts()
    assert attempt.task.waiting


async def test_cancelled_run_is_not_ordered(autojump_clock):
    """Guards cancelled jobs between the commit and the order."""
    book, attempt, sender, hub = _assigned()
    book.cancel_job('j1', 0.0)
    await sender.send()
    assert not hub.starts()
    assert not attempt.task.attempts
