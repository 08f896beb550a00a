"""Simulated entries, agents and workers in one process, with port faults."""

import dataclasses
import random

import trio

from citronrail import coordination
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail.model import specs
from citronrail.model import views
from citronrail import ports
from citronrail import scheduling
from standins import key_value
from standins import memory_peers
from standins import worker as worker_standin

CAPACITY = resources.Resources(4000, 8000, 0)
DATA_CENTRES = ('Leicester', 'Birmingham', 'Wolverhampton')
HEARTBEAT_INTERVAL_S = 1.0
SHARD = identifiers.RangeId(0)


class PausableHub(memory_peers.MemoryHub):
    """Peer hub of a process that can be paused and resumed.

    Messages that the process was about to send when it was paused are sent
    unchanged after it resumes.
    """

    stopped = False

    async def send(self, peer, message, payload=None):
        while self.stopped:
            await trio.sleep(0.05)
        await super().send(peer, message, payload)


class PausableStore:
    """Access of one process to the store, paused with the process."""

    def __init__(self, store) -> None:
        self._store = store
        self.stopped = False

    async def get(self, key):
        await self._wait()
        return await self._store.get(key)

    async def txn(self, compares, writes):
        await self._wait()
        return await self._store.txn(compares, writes)

    async def _wait(self):
        while self.stopped:
            await trio.sleep(0.05)


class Permits:
    """Settings and permits of an agent, set by the simulated entries."""

    def __init__(self) -> None:
        self.settings = settings_model.Settings()
        self.permit_until = 0.0
        self.last_ack_at = float('-inf')
        self.owner: identifiers.NodeId | None = None

    def owner_of(self, range_id):
        return self.owner


@dataclasses.dataclass
class Agent:
    """A host; its worker keeps running when the agent process restarts."""

    name: str
    data_centre: str
    worker: worker_standin.MemoryWorker
    permits: Permits
    hub: memory_peers.MemoryHub | None = None
    runner: scheduling.TaskRunner | None = None
    ledger: coordination.CapacityLedger | None = None
    scope: trio.CancelScope | None = None
    boots: int = 0
    partitioned: bool = False


@dataclasses.dataclass
class Entry:
    """An entry process with its scheduler."""

    name: str
    hub: PausableHub
    store: PausableStore
    scheduler: scheduling.JobScheduler
    scope: trio.CancelScope
    fencing: int = 0
    lease_until: float = 0.0
    paused: bool = False


@dataclasses.dataclass(frozen=True)
class Owned:
    """Test double of :class:`citronrail.coordination.OwnedRange`."""

    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    deadline: float
    commits_allowed: bool
    guard: ports.Compare


class EntryPorts:
    """The settings, agents and ranges that one entry sees."""

    def __init__(self, cluster, name: str) -> None:
        self._cluster = cluster
        self._name = name

    @property
    def settings(self):
        return self._cluster.owner_settings or self._cluster.settings

    @property
    def fresh_at(self):
        entry = self._cluster.entries[self._name]
        if entry.paused or self._cluster.store.faults.outage:
            return float('-inf')
        return trio.current_time()

    def agents(self):
        found = []
        for agent in self._cluster.agents.values():
            view = self._cluster.views.get(agent.name)
            if view is not None:
                found.append(view)
        return tuple(found)

    def quiet_spans(self, node_id):
        now = trio.current_time()
        # Includes acknowledgements of entries that have died since, because
        # membership keeps those too.
        last = self._cluster.last_acks.get(node_id, 0.0)
        return (scheduling.QuietSpan(last, now),)

    def find(self, range_id):
        entry = self._cluster.entries.get(self._name)
        now = trio.current_time()
        if entry is None or entry.lease_until <= now or not entry.fencing:
            return None
        return Owned(
            SHARD,
            identifiers.FencingToken(entry.fencing),
            entry.lease_until,
            True,
            self._cluster.guards[entry.fencing],
        )


class Cluster:
    """Runs entries, agents and workers on a shared in-memory store.

    Only range 0 is used; every job belongs to it.
    """

    def __init__(self, nursery, seed: int = 1, agents: int = 3) -> None:
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.store = key_value.MemoryStore()
        self.network = memory_peers.MemoryNetwork(self.rng)
        self.checkpoints = worker_standin.MemoryCheckpoints()
        self.settings = settings_model.Settings(version=1)
        self.entries: dict[str, Entry] = {}
        self.agents: dict[str, Agent] = {}
        self.views: dict[str, views.AgentView] = {}
        self.guards: dict[int, ports.Compare] = {}
        self.fencing = 0
        self.policies = scheduling.default_policies
        self.limits = scheduling.Limits(replica_ready_s=3.0)
        self.agent_count = agents
        self.exclusive_jobs: set[str] = set()
        self.last_acks: dict[str, float] = {}
        self.pause_permits = False
        self.owner_settings: settings_model.Settings | None = None

    async def start(self) -> None:
        """Start the network, the agents, heartbeats and lease renewal."""
        await self.nursery.start(self.network.run)
        for number in range(self.agent_count):
            await self.add_agent(f'agent{number}', number)
        self.nursery.start_soon(self._heartbeat_loop)
        self.nursery.start_soon(self._lease_loop)

    async def add_agent(self, name: str, number: int) -> Agent:
        cfg = worker_standin.WorkerSettings(
            capacity=CAPACITY,
            switches=worker_standin.Switches(admit_over_capacity=True),
        )
        agent = Agent(
            name,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            worker_standin.MemoryWorker(
                cfg, identifiers.BootId(f'w{number}'), self.checkpoints
            ),
            Permits(),
        )
        self.agents[name] = agent
        await self.boot_agent(agent)
        return agent

    async def boot_agent(self, agent: Agent) -> None:
        """Start or restart the agent process of a host."""
        self.kill_agent(agent)
        agent.boots += 1
        agent.permits = Permits()
        agent.hub = memory_peers.MemoryHub(
            self.network,
            ports.Peer(
                identifiers.NodeId(agent.name),
                identifiers.BootId(f'{agent.name}-{agent.boots}'),
                'agent',
                identifiers.DataCentreName(agent.data_centre),
                capacity=CAPACITY,
            ),
        )
        agent.ledger = coordination.CapacityLedger(CAPACITY)
        agent.runner = scheduling.TaskRunner(
            agent.hub,
            agent.worker,
            agent.ledger,
            agent.permits,
            identifiers.DataCentreName(agent.data_centre),
        )
        agent.scope = trio.CancelScope()
        self.nursery.start_soon(self._run_in, agent.scope, agent.runner.run)

    def kill_agent(self, agent: Agent) -> None:
        if agent.scope is not None:
            agent.scope.cancel()
            self.network.remove(agent.hub)
            agent.scope = None

    async def _run_in(self, scope, run) -> None:
        with scope:
            await run()

    async def add_entry(self, name: str, own_shard: bool = True) -> Entry:
        """Start an entry; with ``own_shard`` it takes over the shard."""
        store = PausableStore(self.store)
        hub = PausableHub(
            self.network,
            ports.Peer(
                identifiers.NodeId(name),
                identifiers.BootId(f'{name}-{self.rng.random()}'),
                'entry',
                identifiers.DataCentreName(DATA_CENTRES[0]),
            ),
        )
        view = EntryPorts(self, name)
        rng = random.Random(self.rng.random())

        def make_document(owned):
            return coordination.GroupCommitDocument(
                store,
                f'/citronrail/shards/{owned.range_id}',
                scheduling.ShardState(),
                coordination.CommitScope(
                    owned.guard,
                    owned.fencing,
                    lambda: (
                        (found := view.find(SHARD)) is not None
                        and found.fencing == owned.fencing
                    ),
                ),
                rng,
            )

        scheduler = scheduling.JobScheduler(
            hub,
            view,
            view,
            view,
            make_document,
            self.policies(),
            lambda name: SHARD,
            rng,
            wall_clock=lambda: 1_000_000.0 + trio.current_time(),
            limits=self.limits,
        )
        entry = Entry(name, hub, store, scheduler, trio.CancelScope())
        self.entries[name] = entry
        self.nursery.start_soon(self._run_in, entry.scope, scheduler.run)
        await trio.sleep(0.01)
        if own_shard:
            await self.take_over(entry)
        return entry

    async def take_over(self, entry: Entry) -> None:
        """Make an entry the owner of the shard, as range ownership does."""
        self.fencing += 1
        key = '/citronrail/ranges/0'
        while True:
            try:
                written = await self.store.txn(
                    [], [ports.Put(key, str(self.fencing).encode())]
                )
                break
            except Exception:  # noqa: BLE001 - store faults of the test
                await trio.sleep(0.2)
        self.guards[self.fencing] = ports.Compare(key, written.revision)
        entry.fencing = self.fencing
        entry.lease_until = trio.current_time() + 5.0
        await entry.scheduler.acquired(
            EntryPorts(self, entry.name).find(SHARD)
        )

    async def pause_entry(self, entry: Entry, seconds: float) -> None:
        """Pause an entry process for a number of seconds."""
        entry.paused = entry.hub.stopped = entry.store.stopped = True
        entry.hub.freeze()
        await trio.sleep(seconds)
        entry.paused = entry.hub.stopped = entry.store.stopped = False
        await entry.hub.thaw()

    async def partition_agent(self, agent: Agent, seconds: float) -> None:
        """Partition an agent from all entries for a number of seconds."""
        self._set_partitioned(agent, True)
        await trio.sleep(seconds)
        self._set_partitioned(agent, False)
        for entry in self.entries.values():
            self.send_hello(agent, entry)

    def _set_partitioned(self, agent: Agent, cut: bool) -> None:
        agent.partitioned = cut
        for name in ('entry1', 'entry2', 'entry3'):
            self.network.faults(agent.name, name).cut = cut
            self.network.faults(name, agent.name).cut = cut

    async def restart_agent(self, agent: Agent) -> None:
        """Restart an agent process while its worker keeps running."""
        await self.boot_agent(agent)
        while not agent.runner.ready:
            await trio.sleep(0.1)
        for entry in self.entries.values():
            self.send_hello(agent, entry)

    def set_network_faults(self, **faults) -> None:
        """Set message delays, losses and duplicates on all links."""
        for entry in ('entry1', 'entry2', 'entry3'):
            for agent in self.agents:
                for pair in ((entry, agent), (agent, entry)):
                    link = self.network.faults(*pair)
                    for name, value in faults.items():
                        setattr(link, name, value)

    def kill_entry(self, name: str) -> None:
        entry = self.entries.pop(name)
        entry.scope.cancel()
        self.network.remove(entry.hub)

    @property
    def owner(self) -> Entry | None:
        now = trio.current_time()
        for entry in self.entries.values():
            if entry.fencing == self.fencing and entry.lease_until > now:
                return entry
        return None

    async def _lease_loop(self) -> None:
        """Renew the owner's lease; another entry takes over an expired one."""
        while True:
            await trio.sleep(0.5)
            now = trio.current_time()
            if self.store.faults.outage:
                continue
            owner = self.owner
            if owner is not None:
                if not owner.paused:
                    owner.lease_until = now + 5.0
                continue
            for entry in self.entries.values():
                held = max(
                    (e.lease_until for e in self.entries.values()),
                    default=0.0,
                )
                if not entry.paused and held + 2.0 < now:
                    await self.take_over(entry)
                    break

    async def _heartbeat_loop(self) -> None:
        """Let entries acknowledge agents each second and grant permits."""
        while True:
            for agent in self.agents.values():
                if agent.scope is None or agent.partitioned:
                    continue
                self._acknowledge(agent)
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def _acknowledge(self, agent: Agent) -> None:
        now = trio.current_time()
        for entry in self.entries.values():
            if entry.paused:
                continue
            self.last_acks[agent.name] = now
            agent.permits.last_ack_at = now
            if not self.store.faults.outage and not self.pause_permits:
                agent.permits.permit_until = now + 2.5
                agent.permits.settings = self.settings
        agent.permits.owner = (
            identifiers.NodeId(self.owner.name) if self.owner else None
        )
        self.views[agent.name] = views.AgentView(
            identifiers.NodeId(agent.name),
            agent.hub.boot_id,
            identifiers.DataCentreName(agent.data_centre),
            agent.name,
            CAPACITY,
            agent.ledger.free,
            messages.AgentLoad(),
            (),
            now,
            ready=agent.runner.ready,
        )

    def send_hello(self, agent: Agent, entry: Entry) -> None:
        """Send an agent's :class:`Hello`, as after a reconnection."""
        hello = messages.Hello(
            identifiers.NodeId(agent.name),
            agent.hub.boot_id,
            'agent',
            trio.current_time(),
            identifiers.DataCentreName(agent.data_centre),
            tasks=agent.runner.running_tasks(),
        )
        self.network.post(agent.hub, entry.name, messages.pack(hello), b'')

    def set_data_centre(self, name: str, in_service: bool) -> None:
        self.settings = dataclasses.replace(
            self.settings,
            version=self.settings.version + 1,
            data_centres={
                **self.settings.data_centres,
                name: settings_model.DataCentreSettings(
                    in_service,
                    self.settings.version + 1,
                    1_000_000.0 + trio.current_time(),
                ),
            },
        )

    def set_service(self, spec: specs.ServiceSpec) -> None:
        self.settings = dataclasses.replace(
            self.settings,
            version=self.settings.version + 1,
            services={**self.settings.services, spec.name: spec},
        )

    # Records of the workers, independent of the code under test

    def history(self) -> list[worker_standin.HistoryRecord]:
        """Return all starts and ends of attempts in order of time."""
        records = []
        for agent in self.agents.values():
            agent.worker.core.advance()
            records.extend(agent.worker.core.history)
        return sorted(records, key=lambda record: record.at)


def job(name: str = 'rota', tasks: int = 3, **fields) -> specs.JobSpec:
    """Return a small job."""
    return specs.JobSpec(
        identifiers.JobId(name),
        identifiers.TeamName(fields.pop('team', 'harrowfield')),
        identifiers.WorkClass(fields.pop('work_class', 'batch')),
        tasks,
        fields.pop('size', resources.Resources(1000, 1000)),
        declared_run_s=fields.pop('run_s', 5.0),
        **fields,
    )
