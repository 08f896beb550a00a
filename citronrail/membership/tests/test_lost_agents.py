"""Tests that tasks of silent agents are not restarted while they run."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from citronrail import coordination
from citronrail import membership
from citronrail.membership import _quiet_spans
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail import ports
from citronrail import scheduling
from standins import memory_peers

LEASE_S = 5.0
AGENT = 'agent-1'
ACK_VALID_S = 10.0
WORKER_LEASE_S = 10.0


class _Store:
    """Membership keys bound to leases."""

    def __init__(self):
        self.expires_at = {}
        self.members = {}
        self.revision = 1
        self.has_history = False

    def expire(self):
        for name, at in list(self.expires_at.items()):
            if at <= trio.current_time():
                del self.expires_at[name]
                del self.members[name]
                self.revision += 1


class _MembershipSource:
    """One entry's view of the store; its connection can be cut."""

    def __init__(self, store, peer):
        self.store = store
        self.member = coordination.EntryMember(
            peer.node_id, peer.boot_id, f'tcp://{peer.node_id}'
        )
        self.cut = False
        self.held_until = float('-inf')
        self.last_contact = float('-inf')
        self.joined_at = float('-inf')
        self.view = ()
        self.revision = 0
        self.has_history = store.has_history

    async def run(self):
        while True:
            self.store.expire()
            if not self.cut:
                self._renew_membership()
            await trio.sleep(1.0)

    def _renew_membership(self):
        name = self.member.node_id
        now = trio.current_time()
        if self.store.members.get(name) != self.member:
            self.store.members[name] = self.member
            self.store.revision += 1
            self.joined_at = now
        self.store.expires_at[name] = now + LEASE_S
        self.held_until = now + 0.99 * LEASE_S
        self.last_contact = now
        self.view = tuple(self.store.members.values())
        self.revision = self.store.revision

    def membership(self):
        return coordination.MembershipState(
            self.view,
            self.revision,
            self.last_contact,
            trio.current_time() < self.held_until,
            self.joined_at,
            self.last_contact,
            has_history=self.has_history,
        )


class _Settings:
    settings = settings_model.Settings(version=1)
    fresh_at = 0.0

    def observe(self, settings, fresh_at):
        """Ignore settings; these tests concern acknowledgements only."""


@dataclasses.dataclass
class _Entry:
    name: str
    hub: memory_peers.MemoryHub
    source: _MembershipSource
    silence: membership.AgentSilence
    scope: trio.CancelScope
    components: tuple

    def tasks_ended_at(self):
        return scheduling.agent_tasks_ended_at(self.silence.quiet_spans(AGENT))


class _Simulation:
    def __init__(self, nursery, seed):
        self.nursery = nursery
        self.network = memory_peers.MemoryNetwork(random.Random(seed))
        self.store = _Store()
        self.entries = {}
        self.boots = 0
        self.tasks_last_until = 3.0 + WORKER_LEASE_S

    def add_entry(self, name):
        self.boots += 1
        peer = ports.Peer(name, f'boot-{self.boots}', 'entry', 'leicester')
        hub = memory_peers.MemoryHub(self.network, peer)
        source = _MembershipSource(self.store, peer)
        directory = membership.AgentDirectory(hub, _Settings(), tuple, tuple)
        former_members = membership.FormerMembers(source, name)
        mesh = membership.EntryMesh(
            hub, _Settings(), directory, tuple, former_members
        )
        silence = membership.AgentSilence(
            directory, mesh, source, former_members, name
        )
        components = (directory.run, mesh.run, silence.run, source.run)
        entry = _Entry(
            name, hub, source, silence, trio.CancelScope(), components
        )
        self.entries[name] = entry
        self.nursery.start_soon(self._run_entry, entry)
        return entry

    async def _run_entry(self, entry):
        with entry.scope:
            async with trio.open_nursery() as nursery:
                for component in entry.components:
                    nursery.start_soon(component)

    def kill_entry(self, name):
        entry = self.entries.pop(name, None)
        if entry is not None:
            entry.scope.cancel()
            self.network.remove(entry.hub)

    def renew_leases(self):
        """Renew the worker leases of the tasks unless they have expired.

        Ended tasks stay ended, so a later acknowledgement cannot invalidate an
        earlier verdict.
        """
        now = trio.current_time()
        acknowledged = now - self.links.last_ack_at < ACK_VALID_S
        if acknowledged and now < self.tasks_last_until:
            self.tasks_last_until = now + WORKER_LEASE_S

    def cut(self, left, right, cut):
        self.network.faults(left, right).cut = cut
        self.network.faults(right, left).cut = cut

    async def start(self):
        await self.nursery.start(self.network.run)
        self.add_entry('entry-1')
        self.add_entry('entry-2')
        peer = ports.Peer(AGENT, 'boot-agent', 'agent', 'leicester')
        hub = memory_peers.MemoryHub(self.network, peer)
        self.links = membership.EntryLinks(
            hub,
            hub,
            (),
            lambda: membership.AgentStatus(
                messages.AgentLoad(), resources.Resources(), (), False, True
            ),
        )
        await self.nursery.start(self.links.run)
        # Entries started from now on find ranges that have had an owner.
        self.store.has_history = True


_NAMES = ('entry-1', 'entry-2')
_STEPS = st.one_of(
    st.tuples(st.just('store'), st.sampled_from(_NAMES), st.booleans()),
    st.tuples(st.just('link'), st.sampled_from(_NAMES), st.booleans()),
    st.tuples(st.just('mesh'), st.just(''), st.booleans()),
    st.tuples(st.just('kill'), st.sampled_from(_NAMES), st.just(True)),
    st.tuples(st.just('start'), st.sampled_from(_NAMES), st.just(True)),
)


def _apply_step(simulation, step):
    kind, name, on = step
    match kind:
        case 'store' if name in simulation.entries:
            simulation.entries[name].source.cut = on
        case 'link':
            simulation.cut(name, AGENT, on)
        case 'mesh':
            simulation.cut('entry-1', 'entry-2', on)
        case 'kill':
            simulation.kill_entry(name)
        case 'start' if name not in simulation.entries:
            simulation.add_entry(name)


async def _run_steps(steps, seed):
    """Return the times at which an entry reported running tasks as ended."""
    violations = []
    async with trio.open_nursery() as nursery:
        simulation = _Simulation(nursery, seed)
        await simulation.start()
        await trio.sleep(3.0)
        for pause_s, step in steps:
            _apply_step(simulation, step)
            for _ in range(int(pause_s)):
                await trio.sleep(1.0)
                simulation.renew_leases()
                violations.extend(_find_violations(simulation))
        nursery.cancel_scope.cancel()
    return violations


def _find_violations(simulation):
    now = trio.current_time()
    for entry in simulation.entries.values():
        ended_at = entry.tasks_ended_at()
        if (
            ended_at is not None
            and ended_at <= now < simulation.tasks_last_until
        ):
            yield entry.name, now


def _run(steps, seed):
    return trio.run(
        _run_steps,
        steps,
        seed,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


@hypothesis.given(
    steps=st.lists(
        st.tuples(st.integers(1, 40), _STEPS), min_size=1, max_size=8
    ),
    seed=st.integers(0, 99),
)
@hypothesis.settings(max_examples=40)
def test_running_tasks_are_never_reported_ended(steps, seed):
    """Guards against a second attempt while the first still runs.

    Entries are cut off from the store, the agent and each other, killed and
    restarted, in any order.
    """
    assert not _run(steps, seed)


# The agent and entry-2 are partitioned from entry-1, then entry-2 from the
# store.
_PARTITION = [
    (10, ('link', 'entry-1', True)),
    (1, ('mesh', '', True)),
    (60, ('store', 'entry-2', True)),
]


def test_partition_ends_no_running_task():
    """Guards a partition in which unlimited acknowledgement fails."""
    assert not _run(_PARTITION, 1)


# First case: a former member kept contact with entry-1 and so continued to
# acknowledge. Second case: an entry cut off from the store did not know a
# member that had joined since.
_REGRESSION_STEPS = {
    'former member in contact': [
        (18, ('store', 'entry-2', True)),
        (65, ('link', 'entry-1', False)),
        (29, ('link', 'entry-1', True)),
        (29, ('kill', 'entry-2', True)),
    ],
    'member that joined unseen': [
        (6, ('kill', 'entry-2', True)),
        (33, ('mesh', '', False)),
        (39, ('link', 'entry-1', True)),
        (41, ('store', 'entry-1', True)),
        (10, ('start', 'entry-2', True)),
    ],
}


@pytest.mark.parametrize('name', sorted(_REGRESSION_STEPS))
def test_regression_sequences(name):
    """Guards against two faults found by the property test above."""
    assert not _run(_REGRESSION_STEPS[name], 1)


def test_missing_acknowledgement_limit_is_detected(
    monkeypatch,
):
    """Checks that the test detects acknowledgement without a limit."""
    monkeypatch.setattr(
        _quiet_spans._acknowledgement, 'may_acknowledge', lambda *_: True
    )
    assert _run(_PARTITION, 1)


def test_tasks_of_a_lost_agent_end_eventually():
    """Guards against lost tasks that are never restarted."""

    async def scenario():
        async with trio.open_nursery() as nursery:
            simulation = _Simulation(nursery, 1)
            await simulation.start()
            await trio.sleep(10.0)
            for name in _NAMES:
                simulation.cut(name, AGENT, True)
            await trio.sleep(30.0)
            for entry in simulation.entries.values():
                ended_at = entry.tasks_ended_at()
                assert ended_at is not None
                assert ended_at <= trio.current_time()
            nursery.cancel_scope.cancel()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
