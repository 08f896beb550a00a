"""Tests of runs whose worker is lost between the commit and the order.

Such a run used to be neither ordered nor discarded, so that its task stayed
assigned forever. If the worker was restarting, the order could even reach the
new incarnation.
"""

import dataclasses

import trio

from citronrail import adapters
from citronrail import errors
from citronrail.model import messages
from citronrail.model import workflows
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _leadership
from citronrail.workflow import _operator_view
from citronrail.workflow import _order_sender
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow.tests import _cluster

TOKEN = 5
LIFE = messages.WorkerLife('w0', 1, 'pool', 'dc', 'ready', 4000, 8000, 0)


class _Hub:
    """Records messages, or fails to send them."""

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


def _take(scheduler_state, report):
    reports = _reports.Reports(scheduler_state, workflows.Bounds(), TOKEN)
    reports.take('a0', report, trio.current_time(), 0.0)


def _assigned():
    """Return a state with one run that is committed but not ordered."""
    now = trio.current_time()
    scheduler_state = _scheduler_state.SchedulerState(
        lambda name: _cluster.QUEUE
    )
    _take(scheduler_state, _report())
    record = documents.JobRecord(
        'j1', 'queue', 'pool', 0.0, _cluster.one_step()
    )
    scheduler_state.add_job(record, now, 0.0)
    policy = _round.Policy(
        lambda name: _cluster.QUEUE, frozenset(), _interference.PairFactors()
    )
    (attempt,) = _round.place(scheduler_state, policy, now, 0.0)
    operators = _operator_view.OperatorView(
        'c', lambda data: None, lambda k: None
    )
    leadership = _leadership.Leadership(
        ports.Compare('leader', TOKEN), lambda: now + 100
    )
    hub = _Hub()
    sender = _order_sender.OrderSender(
        hub, scheduler_state, leadership, operators, 6.0
    )
    sender.queue_starts([attempt])
    return scheduler_state, attempt, sender, hub


async def test_committed_run_is_ordered(autojump_clock):
    """A committed run is ordered if its worker is available."""
    scheduler_state, attempt, sender, hub = _assigned()
    await sender.send()
    assert attempt.ordered
    assert [start.run for start in hub.starts()] == [1]


async def test_run_of_lost_agent_is_discarded(autojump_clock):
    """A task must not stay assigned to a worker that was lost."""
    scheduler_state, attempt, sender, hub = _assigned()
    scheduler_state.mark_disconnected('a0')
    await sender.send()
    assert not hub.starts()
    assert attempt.task.waiting


async def test_unsendable_order_is_discarded(autojump_clock):
    """A task waits again if its agent is lost while the order is sent."""
    scheduler_state, attempt, sender, hub = _assigned()
    hub.reachable = False
    await sender.send()
    assert attempt.task.waiting


async def test_order_is_not_sent_to_another_incarnation(autojump_clock):
    """Orders for an earlier incarnation must not reach the current one."""
    scheduler_state, attempt, sender, hub = _assigned()
    new_life = dataclasses.replace(LIFE, worker_id='w9', born_ms=2)
    _take(scheduler_state, _report(new_life))
    await sender.send()
    assert not hub.starts()
    assert attempt.task.waiting


async def test_cancelled_run_is_not_ordered(autojump_clock):
    """A job that is cancelled after the commit must not be started."""
    scheduler_state, attempt, sender, hub = _assigned()
    scheduler_state.cancel_job('j1', 0.0, 0.0)
    await sender.send()
    assert not hub.starts()
    assert not attempt.task.attempts


async def test_run_is_not_ordered_if_the_capacity_has_shrunk(autojump_clock):
    """Guards against starts beyond a capacity that shrank during a commit.

    A commit waits for seconds while the store is down, and the placement was
    made with the capacity from before (LIMIT).
    """
    scheduler_state, attempt, sender, hub = _assigned()
    _take(scheduler_state, _report(dataclasses.replace(LIFE, cpu_millis=50)))
    await sender.send()
    assert not hub.starts()
    assert attempt.task.waiting


async def test_orders_of_a_wide_gang_fit_their_messages(autojump_clock):
    """Guards against orders that are never sent, as they are too long.

    The worker was taken for disconnected, and its runs were placed anew.
    """
    scheduler_state, _, sender, hub = _assigned()
    step = workflows.StepSpec(600, cpu_millis=1, memory_mb=1, gang=True)
    spec = workflows.WorkflowSpec('\U0001f600' * 8000, (step,))
    record = documents.JobRecord('wide', 'queue', 'pool', 0.0, spec)
    now = trio.current_time()
    scheduler_state.add_job(record, now, 0.0)
    policy = _round.Policy(
        lambda name: _cluster.QUEUE, frozenset(), _interference.PairFactors()
    )
    sender.queue_starts(_round.place(scheduler_state, policy, now, 0.0))
    await sender.send()
    starts = [item for item in hub.starts() if item.task.startswith('wide')]
    assert len({start.task for start in starts}) == len(starts) == 600
    sizes = [len(messages.pack(orders)) for orders in hub.sent]
    assert max(sizes) < adapters.PeerLimits().max_message_bytes
