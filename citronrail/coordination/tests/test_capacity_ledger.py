"""Tests of admission control: a host is never overcommitted."""

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import coordination
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs

CAPACITY = resources.Resources(16_000, 60_000, 2)
AMOUNTS = st.builds(
    resources.Resources,
    st.integers(0, 9_000),
    st.integers(0, 40_000),
    st.integers(0, 2),
)
ATTEMPTS = st.builds(
    specs.AttemptId,
    st.builds(specs.TaskId, st.just('job'), st.integers(0, 5)),
    st.integers(1, 3),
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(['admit', 'release', 'observe']), ATTEMPTS, AMOUNTS
    ),
    max_size=40,
)


def _running(attempt, amount):
    spec = specs.TaskSpec('team', 'class', amount, 60.0)
    return messages.RunningTask(attempt, 0, spec, 'running', 0.0)


@hypothesis.given(st.dictionaries(ATTEMPTS, AMOUNTS, max_size=3), STEPS)
def test_admissions_fit_and_totals_are_exact(running, steps):
    """Guards against drifting totals and overcommitment."""
    ledger = coordination.CapacityLedger(CAPACITY)
    ledger.rebuild([_running(a, amount) for a, amount in running.items()])
    held = dict(running)
    for kind, attempt, amount in steps:
        match kind:
            case 'admit' if ledger.admit(attempt, amount).accepted:
                assert all(other.task != attempt.task for other in held)
                held[attempt] = amount
                assert sum(held.values(), resources.Resources()).fits_in(
                    CAPACITY
                )
            case 'release':
                assert ledger.release(attempt) == (attempt in held)
                held.pop(attempt, None)
            case 'observe' if attempt in held:
                ledger.observe(attempt, amount)
                known = held[attempt]
                held[attempt] = resources.Resources(
                    known.millicores,
                    max(known.memory_mb, amount.memory_mb),
                    known.accelerators,
                )
        total = sum(held.values(), resources.Resources())
        assert ledger.reserved == total
        assert ledger.free == CAPACITY - total
        assert ledger.overfull == (not total.fits_in(CAPACITY))
        assert set(ledger.attempts()) == set(held)


@pytest.mark.parametrize('naive', [False, True])
def test_nothing_is_admitted_before_rebuild(naive):
    """Guards against overcommitment after a restart of the agent.

    A ledger that starts as if nothing were running overcommits the host.
    """
    attempt = specs.AttemptId(specs.TaskId('job', 0), 1)
    other = specs.AttemptId(specs.TaskId('job', 1), 1)
    ledger = coordination.CapacityLedger(CAPACITY)
    if naive:
        ledger.rebuild([])
    accepted = ledger.admit(other, CAPACITY).accepted
    on_host = CAPACITY + (CAPACITY if accepted else resources.Resources())
    assert on_host.fits_in(CAPACITY) is not naive
    ledger.rebuild([_running(attempt, CAPACITY)])
    assert not ledger.admit(other, resources.Resources(1)).accepted
    ledger.release(attempt)
    assert ledger.admit(other, CAPACITY).accepted


def test_only_processors_are_overcommitted():
    """Guards memory and accelerators against overcommitment."""
    ledger = coordination.CapacityLedger(CAPACITY, processor_share=1.5)
    ledger.rebuild([])
    first = specs.AttemptId(specs.TaskId('job', 0), 1)
    second = specs.AttemptId(specs.TaskId('job', 1), 1)
    half = resources.Resources(12_000, 30_001, 1)
    assert ledger.admit(first, half).accepted
    assert not ledger.admit(second, half).accepted
    assert ledger.admit(second, resources.Resources(12_000, 1, 0)).accepted
