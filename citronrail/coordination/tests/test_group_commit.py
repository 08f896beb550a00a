"""Tests of group commit: reported commits take effect exactly once."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from citronrail import coordination
from citronrail.coordination import _group_commit
from citronrail.coordination.tests import _simulated
from citronrail import errors
from citronrail.model import codec
from citronrail import observability
from citronrail import ports
from standins import key_value

OWNER_KEY = '/citronrail/ranges/0'
KEY = '/citronrail/shards/0'


@dataclasses.dataclass(frozen=True)
class NameList:
    """A document that reveals duplicate and lost changes."""

    names: tuple[str, ...] = ()


def _append(name):
    return lambda doc: NameList((*doc.names, name))


def _stored_names(memory):
    item = memory.state.get(KEY)
    if item is None:
        return ()
    envelope = codec.decode(item.value, _group_commit.Envelope)
    return codec.decode(envelope.body, NameList).names


def _take_ownership(memory, fencing, guarded=True):
    """Assign the range to a new owner immediately."""
    value = str(fencing).encode()
    result = memory.state.txn([], [ports.Put(OWNER_KEY, value)])
    guard = ports.Compare(OWNER_KEY, result.revision)
    if not guarded:
        guard = ports.Compare('/never written', 0)
    return coordination.CommitScope(guard, fencing, lambda: True)


@pytest.mark.parametrize(
    'released, fenced, numbers',
    [(True, False, [1223]), (False, False, [1221]), (True, True, [1221])],
)
async def test_planned_release_logs_no_warning(
    released, fenced, numbers, autojump_clock
):
    """Guards against a warning at every planned release."""
    recorder = observability.Recorder('test')
    observability.use_recorder(recorder)
    memory = key_value.MemoryStore()
    doc = coordination.GroupCommitDocument(
        memory,
        KEY,
        NameList(),
        _take_ownership(memory, 1),
        random.Random(1),
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(doc.run)
        await doc.commit(_append('a'))
        if released:
            doc.release()
        if fenced:
            _take_ownership(memory, 2)
            with pytest.raises(errors.Fenced):
                await doc.commit(_append('b'))
        nursery.cancel_scope.cancel()
    ends = [r.number for r in recorder.records() if r.number in (1221, 1223)]
    assert ends == numbers


async def _commit_names(doc, owner, outcomes, rng):
    async def commit(name):
        try:
            await doc.commit(_append(name))
            outcomes[name] = 'done'
        except errors.CitronrailError as exc:
            outcomes[name] = exc.outcome.value

    async with trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(commit, f'{owner}{number}')
            await trio.sleep(rng.random() * 0.5)


async def _run_two_owners(faults, seed, guarded=True):
    """Let a second owner take over while the first continues.

    :returns: outcomes reported to callers, names stored when the second owner
        had loaded the document, and names stored at the end.
    """
    memory = key_value.MemoryStore()
    outcomes = {}
    rng = random.Random(seed)
    loaded = ()

    async def own(fencing, owner):
        nonlocal loaded
        scope = _take_ownership(memory, fencing, guarded)
        doc = coordination.GroupCommitDocument(
            memory, KEY, NameList(), scope, random.Random(f'{seed}{owner}')
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(doc.run)
            if fencing == 2:
                loaded = doc.value.names
            await _commit_names(doc, owner, outcomes, rng)
            await doc.drain()
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_simulated.apply_faults, memory, faults)
        async with trio.open_nursery() as owners:
            owners.start_soon(own, 1, 'a')
            await trio.sleep(rng.random() * 4)
            owners.start_soon(own, 2, 'b')
        await trio.sleep(60)
        nursery.cancel_scope.cancel()
    memory.set_faults(**_simulated.NO_FAULTS)
    await memory.get(KEY)  # lets delayed writes take effect
    return outcomes, loaded, _stored_names(memory)


def _violations(outcomes, loaded, stored):
    violations = [f'{x} doubled' for x in stored if stored.count(x) > 1]
    for name, outcome in outcomes.items():
        if outcome == 'done' and name not in stored:
            violations.append(f'{name} committed but lost')
        if outcome == 'not run' and name in stored:
            violations.append(f'{name} reported as not run but stored')
    late = [x for x in stored if x.startswith('a') and x not in loaded]
    return violations + [f'{x} committed by a fenced owner' for x in late]


@hypothesis.given(_simulated.FAULTS, st.integers(0, 99))
def test_commits_under_faults_and_takeover(faults, seed):
    """Guards against lost, duplicate and unfenced commits."""
    stale = any('stale_by' in switches for _, switches in faults)
    outcomes, loaded, stored = _simulated.run(_run_two_owners, faults, seed)
    violations = _violations(outcomes, loaded, stored)
    if stale:  # the second owner may first have loaded a stale document
        violations = [x for x in violations if 'fenced' not in x]
    assert violations == []
    assert len(outcomes) == 24


@pytest.mark.parametrize('naive', ['no guard', 'no commit id'])
def test_missing_commit_mechanism_is_detected(naive, monkeypatch):
    """Checks that the test above detects a missing guard or read-back."""
    if naive == 'no commit id':
        find = coordination.GroupCommitDocument._find_commit

        async def find_nothing(self, commit_id):
            return await find(self, 'another id')

        monkeypatch.setattr(
            coordination.GroupCommitDocument, '_find_commit', find_nothing
        )
    violations = _violations(
        *_simulated.run(
            _run_two_owners,
            [(0.1, {'lose_every': 3}), (9.0, {})],
            5,
            naive != 'no guard',
        )
    )
    expected = 'fenced' if naive == 'no guard' else 'doubled'
    assert any(expected in text for text in violations)


def _make_document(memory, holds=lambda: True, **options):
    scope = _take_ownership(memory, 1)
    scope = dataclasses.replace(scope, holds=holds)
    return coordination.GroupCommitDocument(
        memory, KEY, NameList(), scope, random.Random(1), **options
    )


async def test_changes_of_an_interval_share_a_transaction(
    nursery, autojump_clock
):
    """Guards the store against one write for each change."""
    memory = key_value.MemoryStore()
    doc = _make_document(memory)
    await nursery.start(doc.run)
    async with trio.open_nursery() as callers:
        for number in range(100):
            callers.start_soon(doc.commit, _append(str(number)))
            await trio.sleep(0.01)
    assert len(doc.value.names) == 100
    assert memory.calls['txn'] <= 7


async def test_failing_change_does_not_affect_others(nursery, autojump_clock):
    """Guards against one invalid change that fails a whole group."""
    doc = _make_document(key_value.MemoryStore())
    await nursery.start(doc.run)
    results = []

    def bad(doc):
        raise ValueError('bad')

    async def commit(change):
        try:
            results.append((await doc.commit(change)).names)
        except ValueError:
            results.append('bad')

    async with trio.open_nursery() as callers:
        for change in (_append('a'), bad, _append('b')):
            callers.start_soon(commit, change)
    assert 'bad' in results and sorted(doc.value.names) == ['a', 'b']


async def test_large_document_is_refused_before_the_limit(
    nursery, autojump_clock
):
    """Guards a shard against a document that the store would reject."""
    memory = key_value.MemoryStore()
    doc = _make_document(memory, limit_bytes=1000)
    await nursery.start(doc.run)
    await doc.commit(_append('x' * 800))
    with pytest.raises(errors.DocumentFull):
        await doc.commit(_append('y' * 300))
    assert (await doc.commit(_append('z'))).names[1] == 'z'
    assert (await doc.commit(lambda doc: NameList())).names == ()


@pytest.mark.parametrize(
    'faults, outcome',
    [
        ({'outage': True}, errors.Fenced),
        ({'hang': True}, errors.StoreOutcomeUnknown),
    ],
)
async def test_outage_longer_than_the_ownership(
    nursery, autojump_clock, faults, outcome
):
    """Guards callers against endless waits and wrong outcomes."""
    memory = key_value.MemoryStore()
    ends_at = trio.current_time() + 5
    doc = _make_document(memory, holds=lambda: trio.current_time() < ends_at)
    await nursery.start(doc.run)
    memory.set_faults(**faults)
    with pytest.raises(outcome), trio.fail_after(20):
        await doc.commit(_append('a'))
    with pytest.raises(errors.Fenced):
        await doc.commit(_append('b'))


async def test_outage_shorter_than_the_ownership(nursery, autojump_clock):
    """Guards against failing a commit that can still succeed."""
    memory = key_value.MemoryStore()
    doc = _make_document(memory)
    await nursery.start(doc.run)
    memory.set_faults(outage=True)
    with trio.move_on_after(3):
        await doc.commit(_append('a'))
    memory.set_faults(outage=False)
    assert (await doc.commit(_append('b'))).names == ('a', 'b')


async def test_queued_changes_are_bounded(
    nursery, autojump_clock, monkeypatch
):
    """Guards the owner's memory during a long outage."""
    monkeypatch.setattr(_group_commit, 'MAX_PENDING_CHANGES', 10)
    memory = key_value.MemoryStore()
    doc = _make_document(memory)
    await nursery.start(doc.run)
    memory.set_faults(outage=True)
    nursery.start_soon(doc.commit, _append('first'))
    await trio.sleep(0.05)
    for number in range(10):
        nursery.start_soon(doc.commit, _append(str(number)))
    await trio.sleep(0.05)
    with pytest.raises(errors.StoreUnavailable):
        await doc.commit(_append('too many'))
    memory.set_faults(outage=False)
    await doc.drain()
    assert len(doc.value.names) == 11
