"""Guards against two owners under drawn faults, and shows naive ones fail."""

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from citronrail.coordination import _extension
from citronrail.coordination import _peer_clock
from citronrail.coordination import _promises
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


async def _play(steps):
    async with trio.open_nursery() as nursery:
        fleet = _fleet.Fleet(nursery)
        for name in 'abc':
            await fleet.start(name)
        await fleet.pass_time(14)
        for pause_s, step in steps:
            await _apply(fleet, nursery, step)
            await fleet.pass_time(pause_s)
        # Afterwards everything heals, and every range gets an owner.
        fleet.store.set_faults(**_simulated.CALM)
        fleet.network.cut.clear()
        for name in list(fleet.nodes):
            fleet.freeze(name, False)
        await fleet.start('z')
        await fleet.pass_time(150)
        owned = [node.committing() for node in fleet.nodes.values()]
        assert set().union(*owned) == set(range(8))
        nursery.cancel_scope.cancel()


@hypothesis.settings(max_examples=25)
@hypothesis.given(STEPS)
def test_never_two_owners(steps):
    """Guards requirements 2 and 7 against any mix of these faults."""
    _simulated.run(_play, steps)


async def _owner_loses_the_store(kill=''):
    """Cut one owner from the store while its peers still hear it."""
    async with trio.open_nursery() as nursery:
        fleet = _fleet.Fleet(nursery)
        for name in 'abc':
            await fleet.start(name)
        await fleet.pass_time(30)
        before = fleet.nodes['a'].owned()
        fleet.nodes['a'].store.cut = True
        await fleet.pass_time(4.5)
        if kill:
            # The members restart while the store's lease of a has run out.
            await fleet.pass_time(1.0)
            for name in 'bc':
                fleet.kill(name)
                fleet.cut('a', name, True)
                await fleet.start(name)
        await fleet.pass_time(60)
        fleet.network.cut.clear()
        assert before and not before & fleet.nodes['a'].committing()
        fleet.nodes['a'].store.cut = False
        await fleet.pass_time(30)
        owned = [node.committing() for node in fleet.nodes.values()]
        assert set().union(*owned) == set(range(8))
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('margin_s', [0.2, _takeover.TAKEOVER_MARGIN_S])
@pytest.mark.parametrize('kill', ['', 'members'])
def test_owner_cut_from_the_store_yields(kill, margin_s, monkeypatch):
    """Guards against a cut-off owner that peers keep alive for ever."""
    monkeypatch.setattr(_takeover, 'TAKEOVER_MARGIN_S', margin_s)
    _simulated.run(_owner_loses_the_store, kill)


def _no_wait(monkeypatch):
    refuse = _promises.PromiseBook.refuse

    def refuse_at_once(self, claim, now):
        refuse(self, claim, now)
        return 0.0

    monkeypatch.setattr(_promises.PromiseBook, 'refuse', refuse_at_once)


def _one_promise_is_enough(monkeypatch):
    def until(self, claim, members, last_contact):
        promises = (
            self._promised.get((claim, m), _extension.NEVER) for m in members
        )
        return max(promises, default=_extension.NEVER)

    monkeypatch.setattr(_extension.ExtensionLedger, 'until', until)


def _restart_forgets_promises(monkeypatch):
    init = _promises.PromiseBook.__init__

    def forgetful(self, started_at):
        init(self, started_at - 1000.0)

    monkeypatch.setattr(_promises.PromiseBook, '__init__', forgetful)
    monkeypatch.setattr(_takeover, 'TAKEOVER_MARGIN_S', 0.2)


def _no_lease_deadline(monkeypatch):
    def renewed(self, asked_at):
        self._last_contact = asked_at
        self._held_until = trio.current_time() + 4 * self._ttl_s

    monkeypatch.setattr(_store_lease.StoreLease, '_renewed', renewed)
    monkeypatch.setattr(_peer_clock, 'CLOCK_RATE_MARGIN', 0.0)


@pytest.mark.parametrize(
    'break_it, kill',
    [
        (_no_wait, ''),
        (_one_promise_is_enough, ''),
        (_restart_forgets_promises, 'members'),
        (_no_lease_deadline, ''),
    ],
)
def test_naive_ownership_has_two_owners(break_it, kill, monkeypatch):
    """Shows that the check finds each missing mechanism."""
    break_it(monkeypatch)
    with pytest.raises(BaseExceptionGroup) as caught:
        _simulated.run(_owner_loses_the_store, kill)
    assert caught.group_contains(AssertionError, match='is owned by')
