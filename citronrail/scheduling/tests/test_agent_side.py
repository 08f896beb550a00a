"""Tests of the checks of an agent and of the detection of lost agents."""

import math

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail.model import specs
from citronrail.ports import worker as workers
from citronrail.scheduling import _agent_loss
from citronrail.scheduling import _local_tasks
from citronrail.scheduling import _start_guard
from citronrail.scheduling import _worker_clock
from citronrail.scheduling.tests import _cluster

NODE = identifiers.NodeId('agent0')
RANGE = identifiers.RangeId(3)
SPEC = specs.TaskSpec(
    identifiers.TeamName('harrowfield'),
    identifiers.WorkClass('rota'),
    resources.Resources(1000, 1000),
    60.0,
)


def _attempt(number=1, index=0):
    return specs.AttemptId(specs.TaskId('rota', index), number)


def _start(number=1, version=1, start_before=10.0):
    return messages.StartTask(
        _attempt(number),
        RANGE,
        identifiers.FencingToken(1),
        SPEC,
        version,
        start_before,
    )


def _guard():
    return _start_guard.StartGuard(
        NODE, identifiers.DataCentreName('Leicester')
    )


def _permits(**fields):
    permits = _cluster.Permits()
    permits.settings = settings_model.Settings(version=1)
    permits.permit_until = 100.0
    for name, value in fields.items():
        setattr(permits, name, value)
    return permits


@pytest.mark.parametrize(
    ('start', 'permits', 'reason'),
    [
        (_start(), _permits(), ''),
        (_start(start_before=5.0), _permits(), 'too late'),
        (_start(start_before=900.0), _permits(), 'too far ahead'),
        (_start(), _permits(permit_until=5.0), 'no permit'),
        (_start(version=2), _permits(), 'not arrived'),
        (
            _start(),
            _permits(
                settings=settings_model.Settings(
                    version=2,
                    data_centres={
                        'Leicester': settings_model.DataCentreSettings(False)
                    },
                )
            ),
            'out of service',
        ),
        (
            _start(),
            _permits(
                settings=settings_model.Settings(
                    version=2, drained_workers=(NODE,)
                )
            ),
            'drained',
        ),
    ],
)
def test_starts_are_refused_with_a_reason(start, permits, reason):
    """Guards against starts that are late, not permitted or misplaced."""
    found = _guard().refusal(start, permits, 5.0)
    assert (found == '') if not reason else (reason in found)


def test_outdated_owners_and_attempts_are_refused():
    """Guards against messages of a previous owner that was paused."""
    guard = _guard()
    assert not guard.is_fenced(RANGE, identifiers.FencingToken(4))
    assert guard.is_fenced(RANGE, identifiers.FencingToken(3))
    assert not guard.is_fenced(identifiers.RangeId(1), 1)
    guard.record(_attempt(2), 0.0)
    assert guard.already_seen(_attempt(1))
    assert guard.already_seen(_attempt(2))
    assert not guard.already_seen(_attempt(3))
    guard.prune(30.0, set())
    assert guard.already_seen(_attempt(2)), 'a copy may still arrive'
    guard.prune(1000.0, {_attempt().task})
    assert guard.already_seen(_attempt(2)), 'the task still runs here'


@hypothesis.given(
    st.lists(
        st.lists(st.floats(0.0, 100.0), min_size=1, max_size=6),
        min_size=1,
        max_size=4,
    ),
    st.floats(0.0, 150.0),
    st.data(),
)
def test_tasks_end_only_after_all_acknowledgements_expired(acks, now, data):
    """Guards against a second attempt while a worker lease may be valid.

    The last report of an entry is correct for the time before it was sent;
    the entry may have acknowledged the agent again afterwards.
    """
    spans = []
    for times in acks:
        sent_at = data.draw(st.floats(0.0, now))
        before = [t for t in times if t <= sent_at]
        last = max(before, default=0.0)
        spans.append(_agent_loss.QuietSpan(last, sent_at))
    ended_at = _agent_loss.agent_tasks_ended_at(tuple(spans))
    if ended_at is None or ended_at > now:
        return
    # No acknowledgement lies between the last one before the end and the end,
    # so that a lease renewed at the last possible moment has expired.
    every = sorted(t for times in acks for t in times if t <= ended_at)
    last = max(every, default=0.0)
    assert ended_at - last >= 22.0


def test_entry_that_does_not_answer_counts_as_acknowledging():
    """Guards against taking an unreachable entry for one that is silent."""
    own = _agent_loss.own_span(10.0, 100.0)
    silent = _agent_loss.acknowledging_span(100.0)
    assert _agent_loss.agent_tasks_ended_at((own, silent)) is None
    gone = _agent_loss.departed_span(50.0)
    ended_at = _agent_loss.agent_tasks_ended_at((own, gone))
    assert ended_at == pytest.approx(72.2)
    assert _agent_loss.agent_tasks_ended_at(()) is None


@hypothesis.given(
    st.floats(-1e4, 1e4), st.floats(0, 5), st.floats(-50, 50), st.floats(0, 1)
)
def test_worker_deadline_is_never_late(offset, delay, ahead, rate):
    """Guards against a start after its deadline due to clock differences."""
    rate_error = (rate - 0.5) * 2 * _worker_clock.CLOCK_RATE_MARGIN

    def worker_at(local):
        return offset + local * (1.0 + rate_error)

    sent, received = 100.0, 100.0 + delay
    clock = _worker_clock.WorkerClock(worker_at(sent), received)
    deadline = received + ahead
    if ahead >= 0:
        assert clock.to_worker(deadline) <= worker_at(deadline) + 1e-6


def test_unanswered_start_is_resolved_only_after_its_deadline():
    """Guards against releasing an attempt that the worker may still start."""
    task = _local_tasks.LocalTask(
        _attempt(),
        RANGE,
        SPEC,
        _local_tasks.LocalState.UNKNOWN,
        1.0,
        start_before=50.0,
    )
    known = {task.attempt: task}

    def listing(clock):
        return workers.WorkerTasks(clock, identifiers.BootId('w'))

    assert _local_tasks.compare_with_listing(known, listing(49.0), 2.0) == ()
    assert _local_tasks.compare_with_listing(known, listing(51.0), 0.5) == ()
    (finding,) = _local_tasks.compare_with_listing(known, listing(51.0), 2.0)
    assert isinstance(finding, _local_tasks.NotStarted)
    assert math.isfinite(task.start_before)
