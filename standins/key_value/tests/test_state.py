"""Tests of the stand-in store, on which other checks rely."""

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import errors
from citronrail import ports
from standins import key_value

KEYS = st.sampled_from(['/a', '/b', '/a/1'])
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just('put'), KEYS, st.binary(max_size=3)),
        st.tuples(st.just('delete'), KEYS),
        st.tuples(st.just('leased'), KEYS, st.integers(1, 5)),
        st.tuples(st.just('pass'), st.integers(1, 4)),
        st.tuples(st.just('lapse')),
    ),
    max_size=30,
)


def _apply(state, operations):
    """Yield all keys and values after each operation."""
    now = 0.0
    for operation in operations:
        match operation:
            case ('put', key, value):
                state.txn([], [ports.Put(key, value)])
            case ('delete', key):
                state.txn([], [ports.Delete(key)])
            case ('leased', key, ttl_s):
                lease_id = state.grant_lease(ttl_s, now)
                state.txn([], [ports.Put(key, b'leased', lease_id)])
            case ('pass', seconds):
                now += seconds
                state.expire_leases(now)
            case ('lapse',):
                state.lapse_leases()
        yield {item.key: item.value for item in state.list('/').items}


@hypothesis.given(OPERATIONS)
def test_history_replays_to_current_state(operations):
    """Guards against watches or stale reads of a state that never existed."""
    state = key_value.StoreState()
    states = {state.revision: {}}
    for present in _apply(state, operations):
        states[state.revision] = present
    replayed, seen = {}, 0
    for event in state.events_from('/', 1):
        assert event.revision >= seen
        seen = event.revision
        replayed[event.key] = event.value
    final = {k: v for k, v in replayed.items() if v is not None}
    assert final == states[state.revision]
    for revision, known in states.items():
        listing = state.list('/', behind=state.revision - revision)
        assert {x.key: x.value for x in listing.items} == known
        assert listing.revision == revision


@hypothesis.given(OPERATIONS, OPERATIONS)
def test_compaction_keeps_current_state(before, after):
    """Guards against compaction that changes what is stored."""
    compacted, whole = key_value.StoreState(), key_value.StoreState()
    for _ in zip(_apply(compacted, before), _apply(whole, before)):
        pass
    compacted.compact(compacted.revision)
    with pytest.raises(errors.StoreCompacted):
        compacted.events_from('/', compacted.revision)
    for _ in zip(_apply(compacted, after), _apply(whole, after)):
        assert compacted.list('/') == whole.list('/')


def test_history_is_bounded():
    """Guards against unbounded memory use in long drills."""
    state = key_value.StoreState(history_events=10)
    for _ in range(1000):
        state.txn([], [ports.Put('/k', b'v')])
    assert len(state.events_from('/', state.compacted_revision + 1)) <= 10


def test_rewritten_key_leaves_its_lease():
    """Guards against removing a key with a lease it no longer belongs to."""
    state = key_value.StoreState()
    old, new = state.grant_lease(5, 0), state.grant_lease(50, 0)
    state.txn([], [ports.Put('/k', b'1', old)])
    state.txn([], [ports.Put('/k', b'2', new)])
    state.expire_leases(10)
    assert state.get('/k').value == b'2'
