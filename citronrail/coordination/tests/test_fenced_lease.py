"""Tests of fenced leases: one holder, increasing fencing tokens."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from citronrail import coordination
from citronrail.coordination import _store_lease
from citronrail.coordination.tests import _fleet
from citronrail.coordination.tests import _simulated
from citronrail import errors
from standins import key_value

PAUSES = st.lists(
    st.tuples(st.integers(0, 2), st.floats(0, 9), st.floats(0, 9)),
    max_size=8,
)


async def _contend(kind, pauses, seed, delay_s=0.0):
    """Let three processes contend with pauses; return violations."""
    memory = key_value.MemoryStore()
    memory.set_faults(delay_s=delay_s)
    paths = [_fleet.NodeStore(memory) for _ in range(3)]
    leases = [
        kind(path, 'job', coordination.Member(f'n{number}', 'boot'))
        for number, path in enumerate(paths)
    ]
    tokens, violations = [], []

    async def hold(lease, rng):
        while True:
            try:
                async with trio.open_nursery() as nursery:
                    tokens.append(await nursery.start(lease.run))
                    await trio.sleep(rng.random() * 20)
                    nursery.cancel_scope.cancel()
            except* errors.LeaseLost:
                pass
            else:
                await lease.release()
            await trio.sleep(rng.random())

    async def check():
        while True:
            holders = []
            for path, lease in zip(paths, leases):
                try:
                    lease.check()
                except errors.LeaseLost:
                    continue
                # A paused process cannot act on its lease.
                if not path.cut:
                    holders.append(lease)
            if len(holders) > 1:
                violations.append('two holders')
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        for number, lease in enumerate(leases):
            rng = random.Random(f'{seed}{number}')
            nursery.start_soon(hold, lease, rng)
        nursery.start_soon(check)
        for number, before_s, length_s in pauses:
            await trio.sleep(before_s)
            paths[number].cut = True
            await trio.sleep(length_s)
            paths[number].cut = False
        await trio.sleep(40)
        nursery.cancel_scope.cancel()
    if sorted(set(tokens)) != tokens:
        violations.append('tokens went down')
    assert len(tokens) >= 2
    return violations


@hypothesis.given(PAUSES, st.integers(0, 99))
@hypothesis.settings(max_examples=30)
def test_one_holder_at_a_time(pauses, seed):
    """Guards against a paused holder that continues after its lease."""
    lease = coordination.FencedLease
    assert _simulated.run(_contend, lease, pauses, seed) == []


class IgnoresDeadline(coordination.FencedLease):
    """Ignores the local deadline of its lease."""

    def check(self):
        if self._claim is None:
            raise errors.LeaseLost('not held', step='lease.check')
        return self._claim.fencing


def test_missing_local_deadline_is_detected(monkeypatch):
    """Checks that the test above detects a missing local deadline."""

    async def late(self):
        await trio.sleep(2.0)  # resumes late after a pause
        await renew(self)

    renew = _store_lease.StoreLease._renew
    monkeypatch.setattr(_store_lease.StoreLease, '_renew', late)
    pauses = [(0, 2.0, 5.5), (1, 2.0, 5.5), (2, 2.0, 5.5)] * 3
    assert 'two holders' in _simulated.run(
        _contend, IgnoresDeadline, pauses, 3
    )
    lease = coordination.FencedLease
    assert _simulated.run(_contend, lease, pauses, 3) == []


async def test_guard_fails_after_another_claim(autojump_clock, nursery):
    """Guards against store writes by a holder unaware of its loss."""
    memory = key_value.MemoryStore()
    first, second = (
        coordination.FencedLease(memory, 'job', coordination.Member(n, 'b'))
        for n in 'ab'
    )
    await first.acquire()
    guard = first.guard
    assert (await memory.txn([guard], [])).succeeded
    memory.lapse_leases()
    assert await second.acquire() == 2
    assert not (await memory.txn([guard], [])).succeeded


async def test_lost_reply_leaves_no_stale_claim(autojump_clock):
    """Guards against a lease blocked by a lost reply."""
    memory = key_value.MemoryStore()
    lease = coordination.FencedLease(
        memory, 'job', coordination.Member('a', 'b')
    )
    memory.set_faults(lose_every=2)
    with trio.fail_after(30):
        await lease.acquire()
        await lease.release()
        other = coordination.FencedLease(
            memory, 'job', coordination.Member('c', 'd')
        )
        await other.acquire()
    with pytest.raises(errors.LeaseLost):
        lease.check()
