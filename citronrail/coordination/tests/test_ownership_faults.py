"""Property tests of range ownership: never two owners under faults.

Variants without one of the safety mechanisms must fail the same check.
"""

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from citronrail.coordination import _granted_promises
from citronrail.coordination import _peer_clock
from citronrail.coordination import _received_promises
from citronrail.coordination import _store_lease
from citronrail.coordination import _takeover
from citronrail.coordination.tests import _fleet
from citronrail.coordination.tests import _simulated

NAMES = st.sampled_from('abcd')
STEPS = st.lists(
    st.tuples(
        st.floats(0.2, 7.0),
        st.one_of(
            st.tuples(st.just('restart'), NAMES),
            st.tuples(st.just('kill'), NAMES),
            st.tuples(st.just('freeze'), NAMES, st.booleans()),
            st.tuples(st.just('cut store'), NAMES, st.booleans()),
            st.tuples(st.just('cut'), NAMES, NAMES, st.booleans()),
            st.tuples(st.just('drain'), NAMES),
            st.tuples(
                st.just('faults'),
                st.sampled_from(
                    [
                        {'outage': True},
                        {'outage': False},
                        {'hang': True},
                        {'hang': False},
                        {'lose_answers': 2},
                        {'delay_s': 0.8},
                        {'delay_s': 0.0},
                        {'stale_by': 3},
                        {'stale_by': 0},
                    ]
                ),
            ),
            st.just(('drop watches',)),
        ),
    ),
    max_size=14,
)


async def _apply(fleet, nursery, step):
    match step:
        case ('restart', name):
            if name in fleet.nodes:
                fleet.kill(name)
            await fleet.start(name)
        case ('faults', switches):
            fleet.store.set_faults(**switches)
        case ('drop watches',):
            fleet.store.drop_watches()
        case ('cut', one, other, cut):
            fleet.cut(one, other, cut)
        case (_, name, *_) if name not in fleet.nodes:
            return
        case ('kill', name):
            fleet.kill(name)
        case ('freeze', name, frozen):
            fleet.freeze(name, frozen)
        case ('cut store', name, cut):
            fleet.nodes[name].store.cut = cut
        case ('drain', name):
            nursery.start_soon(fleet.nodes[name].ownership.drain)


async def _run_steps(steps):
    async with trio.open_nursery() as nursery:
        fleet = _fleet.Fleet(nursery)
        for name in 'abc':
            await fleet.start(name)
        await fleet.advance(14)
        for pause_s, step in steps:
            await _apply(fleet, nursery, step)
            await fleet.advance(pause_s)
        # Once all faults are cleared, every range must get an owner.
        fleet.store.set_faults(**_simulated.NO_FAULTS)
        fleet.network.cut.clear()
        for name in list(fleet.nodes):
            fleet.freeze(name, False)
        await fleet.start('z')
        await fleet.advance(150)
        owned = [node.committing() for node in fleet.nodes.values()]
        assert set().union(*owned) == set(range(8))
        nursery.cancel_scope.cancel()


@hypothesis.settings(max_examples=25)
@hypothesis.given(STEPS)
def test_never_two_owners(steps):
    """Guards against two owners of a range under any mix of faults."""
    _simulated.run(_run_steps, steps)


async def _run_store_partition(kill=''):
    """Cut one owner off the store while its peers stay connected."""
    async with trio.open_nursery() as nursery:
        fleet = _fleet.Fleet(nursery)
        for name in 'abc':
            await fleet.start(name)
        await fleet.advance(30)
        before = fleet.nodes['a'].owned()
        fleet.nodes['a'].store.cut = True
        await fleet.advance(4.5)
        if kill:
            # The members restart after the store lease of a has expired.
            await fleet.advance(1.0)
            for name in 'bc':
                fleet.kill(name)
                fleet.cut('a', name, True)
                await fleet.start(name)
        await fleet.advance(60)
        fleet.network.cut.clear()
        assert before and not before & fleet.nodes['a'].committing()
        fleet.nodes['a'].store.cut = False
        await fleet.advance(30)
        owned = [node.committing() for node in fleet.nodes.values()]
        assert set().union(*owned) == set(range(8))
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('margin_s', [0.2, _takeover.TAKEOVER_MARGIN_S])
@pytest.mark.parametrize('kill', ['', 'members'])
def test_owner_without_store_loses_ranges(kill, margin_s, monkeypatch):
    """Guards against promises that extend an ownership indefinitely."""
    monkeypatch.setattr(_takeover, 'TAKEOVER_MARGIN_S', margin_s)
    _simulated.run(_run_store_partition, kill)


def _skip_promise_wait(monkeypatch):
    refuse = _granted_promises.GrantedPromises.refuse

    def refuse_at_once(self, claim, now):
        refuse(self, claim, now)
        return 0.0

    monkeypatch.setattr(
        _granted_promises.GrantedPromises, 'refuse', refuse_at_once
    )


def _accept_any_promise(monkeypatch):
    def until(self, claim, members, last_contact):
        promises = (
            self._promised.get((claim, m), _received_promises.NEVER)
            for m in members
        )
        return max(promises, default=_received_promises.NEVER)

    monkeypatch.setattr(
        _received_promises.ReceivedPromises, 'promised_until', until
    )


def _ignore_earlier_grants(monkeypatch):
    init = _granted_promises.GrantedPromises.__init__

    def init_without_earlier_grants(self, started_at):
        init(self, started_at - 1000.0)

    monkeypatch.setattr(
        _granted_promises.GrantedPromises,
        '__init__',
        init_without_earlier_grants,
    )
    monkeypatch.setattr(_takeover, 'TAKEOVER_MARGIN_S', 0.2)


def _overlong_lease_deadline(monkeypatch):
    def renewed(self, requested_at):
        self._last_contact = requested_at
        self._held_until = trio.current_time() + 4 * self._ttl_s

    monkeypatch.setattr(_store_lease.StoreLease, '_record_renewal', renewed)
    monkeypatch.setattr(_peer_clock, 'CLOCK_RATE_MARGIN', 0.0)


@pytest.mark.parametrize(
    'disable_mechanism, kill',
    [
        (_skip_promise_wait, ''),
        (_accept_any_promise, ''),
        (_ignore_earlier_grants, 'members'),
        (_overlong_lease_deadline, ''),
    ],
)
def test_missing_mechanism_is_detected(disable_mechanism, kill, monkeypatch):
    """Checks that the test detects each missing safety mechanism."""
    disable_mechanism(monkeypatch)
    with pytest.raises(BaseExceptionGroup) as caught:
        _simulated.run(_run_store_partition, kill)
    assert caught.group_contains(AssertionError, match='is owned by')


async def _newcomer_takes_over(member_answers):
    """Let an entry outside the owner's list take over; return the time."""
    async with trio.open_nursery() as nursery:
        fleet = _fleet.Fleet(nursery)
        for name in 'ab':
            await fleet.start(name)
        await fleet.advance(30)
        wanted = fleet.nodes['a'].owned()
        for name in 'ab':
            fleet.nodes[name].store.cut = True
        await fleet.advance(3)
        if not member_answers:
            fleet.kill('b')
        await fleet.start('d')
        begun = trio.current_time()
        while not wanted <= fleet.nodes['d'].owned():
            await fleet.advance(0.5)
            assert trio.current_time() < begun + 200
        nursery.cancel_scope.cancel()
        return trio.current_time() - begun


@pytest.mark.parametrize(
    'member_answers, earliest_s, latest_s',
    [(True, 4, 15), (False, 120, 135)],
)
def test_newcomer_asks_the_members(member_answers, earliest_s, latest_s):
    """Guards promises that an entry outside the list knows nothing of."""
    taken_s = _simulated.run(_newcomer_takes_over, member_answers)
    assert earliest_s <= taken_s <= latest_s
