"""Tests of permits, settings and silence reports between nodes."""

import random

import hypothesis
from hypothesis import strategies as st
import trio
import trio.testing

from citronrail import membership
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail import ports
from standins import memory_peers

DATA_CENTRE = 'leicester'
BOUND_S = 3.0


class _Store:
    """Stored settings and the time of their change."""

    def __init__(self):
        self.settings = settings_model.Settings(version=1)
        self.out_at = None

    def take_out(self):
        state = settings_model.DataCentreSettings(False, 2)
        self.settings = settings_model.Settings(2, {DATA_CENTRE: state})
        self.out_at = trio.current_time()


class _Follower:
    """A settings follower whose connection to the store can be cut."""

    def __init__(self, store):
        self.store = store
        self.settings = store.settings
        self.fresh_at = float('-inf')
        self.cut = False

    async def run(self):
        while True:
            if not self.cut:
                self.fresh_at = trio.current_time()
                self.settings = self.store.settings
            await trio.sleep(0.5)

    def observe(self, settings, fresh_at):
        if settings.version >= self.settings.version:
            self.settings = settings
            self.fresh_at = max(self.fresh_at, fresh_at)


class _NoFormerMembers:
    """No former members."""

    revision = 1

    def advertised_until(self, now):
        return now


def _peer(node_id, role):
    return ports.Peer(node_id, f'boot-{node_id}', role, DATA_CENTRE)


def _status():
    return membership.AgentStatus(
        load=messages.AgentLoad(),
        free=resources.Resources(),
        backends=(),
        leaving=False,
        ready=True,
    )


class _Simulation:
    """Two entries and an agent on a simulated network."""

    def __init__(self, seed, delay_s=0.0):
        self.network = memory_peers.MemoryNetwork(random.Random(seed))
        self.store = _Store()
        self.followers = []
        self.directories = []
        self.meshes = []
        for name in ('entry-1', 'entry-2'):
            self._add_entry(name)
        hub = memory_peers.MemoryHub(self.network, _peer('agent-1', 'agent'))
        self.links = membership.EntryLinks(hub, hub, (), _status)
        for sender in ('entry-1', 'entry-2', 'agent-1'):
            for receiver in ('entry-1', 'entry-2', 'agent-1'):
                self.network.faults(sender, receiver).delay_s = delay_s

    def _add_entry(self, name):
        hub = memory_peers.MemoryHub(self.network, _peer(name, 'entry'))
        follower = _Follower(self.store)
        directory = membership.AgentDirectory(hub, follower, tuple, tuple)
        self.followers.append(follower)
        directory.allow_acknowledging(True)
        self.directories.append(directory)
        self.meshes.append(
            membership.EntryMesh(
                hub, follower, directory, tuple, _NoFormerMembers()
            )
        )

    async def start(self, nursery):
        await nursery.start(self.network.run)
        for follower in self.followers:
            nursery.start_soon(follower.run)
        for component in (*self.directories, *self.meshes, self.links):
            await nursery.start(component.run)

    def may_start(self):
        settings = self.links.settings
        return (
            self.links.permit_until > trio.current_time()
            and settings.data_centre_in_service(DATA_CENTRE)
        )


@hypothesis.given(
    seed=st.integers(0, 2**16),
    delay_s=st.floats(0, 20),
    cut_at=st.floats(0, 8),
    out_at=st.floats(0, 8),
    cut=st.sampled_from(['none', 'entry-1', 'both', 'agent']),
)
def test_no_start_after_the_bound(seed, delay_s, cut_at, out_at, cut):
    """Guards against starts in a data centre taken out of service.

    Entries lose the store, the agent loses the entries, and messages are
    delayed and reordered, before or after the data centre is taken out.
    """

    async def scenario():
        simulation = _Simulation(seed, delay_s)
        async with trio.open_nursery() as nursery:
            await simulation.start(nursery)
            nursery.start_soon(_cut_later, simulation, cut, cut_at)
            nursery.start_soon(_take_out_later, simulation, out_at)
            for _ in range(250):
                await trio.sleep(0.1)
                if (
                    simulation.store.out_at is None
                    or not simulation.may_start()
                ):
                    continue
                late_s = trio.current_time() - simulation.store.out_at
                assert late_s <= BOUND_S
            nursery.cancel_scope.cancel()

    _run(scenario)


def test_missing_freshness_bound_is_detected(monkeypatch):
    """Checks that the test above detects a missing freshness bound.

    Without the bound, an entry extends permits while the agent is connected.
    """
    monkeypatch.setattr(
        membership.AgentDirectory,
        '_permit_until',
        lambda _self, _node_id: trio.current_time() + membership.PERMIT_S,
    )
    late = []

    async def scenario():
        simulation = _Simulation(5)
        async with trio.open_nursery() as nursery:
            await simulation.start(nursery)
            await _cut_later(simulation, 'both', 1.0)
            await _take_out_later(simulation, 1.0)
            await trio.sleep(BOUND_S + 1.0)
            late.append(simulation.may_start())
            nursery.cancel_scope.cancel()

    _run(scenario)
    assert late == [True]


async def _cut_later(simulation, cut, delay_s):
    await trio.sleep(delay_s)
    if cut in ('entry-1', 'both'):
        simulation.followers[0].cut = True
    if cut == 'both':
        simulation.followers[1].cut = True
    if cut == 'agent':
        for entry in ('entry-1', 'entry-2'):
            simulation.network.faults(entry, 'agent-1').cut = True


async def _take_out_later(simulation, delay_s):
    await trio.sleep(delay_s)
    simulation.store.take_out()


def _run(scenario):
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_entry_without_store_still_grants_permits():
    """Guards task starts when a single entry loses the store."""

    async def scenario():
        simulation = _Simulation(1, delay_s=0.01)
        async with trio.open_nursery() as nursery:
            await simulation.start(nursery)
            await trio.sleep(5)
            simulation.followers[0].cut = True
            simulation.network.faults('entry-2', 'agent-1').cut = True
            for _ in range(100):
                await trio.sleep(0.1)
                assert simulation.may_start()
            nursery.cancel_scope.cancel()

    _run(scenario)


def test_silence_is_reported_for_unknown_agents():
    """Guards against lost tasks never restarted after an entry restart."""

    async def scenario():
        simulation = _Simulation(1)
        network = simulation.network
        network.faults('agent-1', 'entry-2').cut = True
        async with trio.open_nursery() as nursery:
            await simulation.start(nursery)
            await trio.sleep(2)
            assert (
                simulation.meshes[0].last_ack_by('entry-2', 'agent-1') is None
            )
            network.faults('agent-1', 'entry-1').cut = True
            lost_at = trio.current_time()
            await trio.sleep(10)
            assert simulation.directories[0].last_ack('agent-1') <= lost_at
            bound = simulation.meshes[0].last_ack_by('entry-2', 'agent-1')
            assert bound is not None
            assert bound <= lost_at
            nursery.cancel_scope.cancel()

    _run(scenario)


def test_settings_of_an_agent_never_revert():
    """Guards against a delayed message that restores old settings."""

    async def scenario():
        simulation = _Simulation(3, delay_s=5.0)
        async with trio.open_nursery() as nursery:
            await simulation.start(nursery)
            await trio.sleep(3)
            simulation.store.take_out()
            highest = 0
            for _ in range(200):
                await trio.sleep(0.1)
                assert simulation.links.settings.version >= highest
                highest = simulation.links.settings.version
            assert highest == 2
            nursery.cancel_scope.cancel()

    _run(scenario)
