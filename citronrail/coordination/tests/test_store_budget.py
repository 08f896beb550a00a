"""Tests of the store call limits and the priority of uses."""

import collections

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from citronrail import coordination
from citronrail import errors
from citronrail import ports
from standins import key_value

USES = tuple(coordination.StoreUse)


async def _generate_load(budgeted, use, served, rate, seconds):
    """Call at a fixed rate and count served and refused calls."""
    store = budgeted.for_use(use)

    async def call():
        try:
            await store.txn([], [ports.Put('/k', b'v')])
            served[use] += 1
        except errors.StoreBudgetExceeded:
            served[use, 'refused'] += 1

    async with trio.open_nursery() as nursery:
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            nursery.start_soon(call)
            await trio.sleep(1 / rate)


async def test_queries_are_throttled_first_and_leases_last(autojump_clock):
    """Guards leases and commits against an excess of queries."""
    memory = key_value.MemoryStore()
    budget = coordination.StoreBudget(100, 100)
    budgeted = coordination.BudgetedStore(memory, budget)
    served = collections.Counter()
    async with trio.open_nursery() as nursery:
        for use in USES:
            nursery.start_soon(_generate_load, budgeted, use, served, 60, 20)
    lease = coordination.StoreUse.LEASE
    assert served[lease, 'refused'] == 0
    assert [served[use] for use in USES] == sorted(served[use] for use in USES)
    assert served[coordination.StoreUse.QUERY] < 100
    assert memory.calls['txn'] == sum(served[use] for use in USES)


@hypothesis.given(
    rate=st.integers(1, 400),
    bursts=st.lists(
        st.tuples(st.sampled_from(USES), st.integers(1, 50)), max_size=12
    ),
)
def test_rate_is_never_exceeded(rate, bursts):
    """Guards the platform's rate limit under any mix of bursts."""

    async def run():
        memory = key_value.MemoryStore()
        budget = coordination.StoreBudget(rate, rate)
        budgeted = coordination.BudgetedStore(memory, budget)
        started_at = trio.current_time()

        async def call_once(use):
            try:
                await budgeted.for_use(use).get('/k')
            except errors.StoreBudgetExceeded:
                return
            elapsed_s = trio.current_time() - started_at
            # A full bucket, the overdraft for leases, and the tokens
            # refilled since the start.
            bound = max(1, rate) * (2 + elapsed_s) + 1
            assert memory.calls['get'] <= bound

        async with trio.open_nursery() as nursery:
            for use, count in bursts:
                for _ in range(count):
                    nursery.start_soon(call_once, use)
                await trio.sleep(0.1)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def test_counts_by_use(autojump_clock):
    """Guards the call counts that operators size the store by."""
    budget = coordination.StoreBudget(100, 100)
    budgeted = coordination.BudgetedStore(key_value.MemoryStore(), budget)
    store = budgeted.for_use(coordination.StoreUse.SETTINGS)
    await store.get('/k')
    async with store.watch('/k', 1):
        await trio.sleep(100)
    assert budget.calls == {
        (coordination.StoreUse.SETTINGS, 'get'): 1,
        (coordination.StoreUse.SETTINGS, 'watch'): 1,
    }


async def test_refused_call_had_no_effect(autojump_clock):
    """Guards the verdict `not run` for a call that the budget refused."""
    memory = key_value.MemoryStore()
    budget = coordination.StoreBudget(0.001, 0.001)
    budgeted = coordination.BudgetedStore(memory, budget)
    store = budgeted.for_use(coordination.StoreUse.QUERY)
    with pytest.raises(errors.StoreBudgetExceeded):
        await store.get('/k')
    assert memory.calls['get'] == 0
