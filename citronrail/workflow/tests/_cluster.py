"""Simulated cluster: entries, agents and workers on a virtual clock."""

import dataclasses
import functools
import random

import msgspec
import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import load_settings
from citronrail.model import workflows
from citronrail import ports
from citronrail import workflow
from standins import key_value
from standins import memory_peers
from standins import task_worker

CONFIG_KEY = 'op/config'
QUEUE = workflows.Queue(
    name='queue',
    host='host',
    prefix='/q/',
    service=identifiers.ServiceName('pool'),
    max_attempts=3,
    stretch=2.0,
    objective_s=1.0,
)
BATCH_QUEUE = dataclasses.replace(
    QUEUE, name='batch', prefix='/b/', priority=2
)
CONFIG = workflows.OperatorConfig(version=1, queues=(QUEUE, BATCH_QUEUE))
ANNOUNCE_S = 0.5


def one_step(count=1, **fields) -> workflows.WorkflowSpec:
    """Return a job of one step."""
    fields.setdefault('cpu_millis', 100)
    fields.setdefault('memory_mb', 100)
    fields.setdefault('estimate_s', 1.0)
    return workflows.WorkflowSpec(
        'argument', (workflows.StepSpec(count, **fields),)
    )


def chain(*counts: int) -> workflows.WorkflowSpec:
    """Return a job of steps of which each depends on the previous one."""
    steps = tuple(
        workflows.StepSpec(
            count,
            cpu_millis=100,
            memory_mb=100,
            estimate_s=1.0,
            after=(number - 1,) if number else (),
        )
        for number, count in enumerate(counts)
    )
    return workflows.WorkflowSpec('argument', steps)


class Entry:
    """An entry; cancelling ``scope`` acts like a kill."""

    def __init__(
        self, cluster: 'SimulatedCluster', name: str, boot: int
    ) -> None:
        self.name = name
        self.scope = trio.CancelScope()
        self.store = cluster.store_of(name)
        self.link = key_value.StoreLink(self.store, cluster.rng)
        if cluster.load.relay:
            self.store = workflow.ObservedStore(self.link)
        self.follow_retry_s = (
            workflow.FAST_MAX_RETRY_S
            if cluster.load.fast_takeover
            else workflow.MAX_RETRY_S
        )
        self.hub = memory_peers.MemoryHub(
            cluster.network, _peer(name, boot, 'entry')
        )
        self.leader = workflow.LeaderView()
        self.operators = workflow.OperatorView(
            CONFIG_KEY,
            lambda data: msgspec.msgpack.decode(
                data, type=workflows.OperatorConfig
            ),
            lambda key: (
                key.removeprefix('op/evacuate/')
                if key.startswith('op/evacuate/')
                else None
            ),
        )
        self.election = workflow.Election(
            self.store,
            self.hub,
            self.leader,
            self.operators,
            cluster.bounds,
            f'tcp://{name}',
            1.0,
            load=cluster.load,
        )
        self.relay = self._make_relay(name) if cluster.load.relay else None
        self.service = workflow.CallerService(
            self.store,
            self.hub,
            self.election,
            self.leader,
            load=cluster.load,
            relay=self.relay,
            bounds=cluster.bounds,
        )

    def _make_relay(self, name: str) -> workflow.Relay:
        self.ring = workflow.EntryRing(
            self.hub,
            self.leader,
            self.store,
            self.hub.set_entries,
            f'tcp://{name}',
            'dc',
            lambda: self.election.token,
        )
        return workflow.Relay(self.hub, self.ring, self.store)

    async def run(self) -> None:
        """Run until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    workflow.follow, self.store, 'op/', self.operators
                )
                nursery.start_soon(
                    functools.partial(
                        workflow.follow, max_retry_s=self.follow_retry_s
                    ),
                    self.store,
                    workflow.CONTROL_PREFIX,
                    self.leader,
                )
                nursery.start_soon(self.election.run)
                if self.relay is not None:
                    nursery.start_soon(self.store.run)
                    nursery.start_soon(self.ring.run)
                    nursery.start_soon(self.relay.run)


class Agent:
    """The agent of a worker; cancelling ``scope`` acts like a kill."""

    def __init__(
        self,
        cluster: 'SimulatedCluster',
        name: str,
        boot: int,
        worker: task_worker.MemoryTaskWorker,
    ) -> None:
        self.name = name
        self.worker = worker
        self.scope = trio.CancelScope()
        self.hub = memory_peers.MemoryHub(
            cluster.network, _peer(name, boot, 'agent')
        )
        self.agent = workflow.WorkerAgent(
            worker, self.hub, cluster.bounds.max_lease_s
        )

    async def run(self) -> None:
        """Run until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.agent.run)
                while True:
                    faults = self.worker.faults
                    if not (faults.silent or faults.down):
                        self.agent.announce(self.worker.life())
                    await trio.sleep(ANNOUNCE_S)


class SimulatedCluster:
    """A cluster whose processes can be killed, disconnected and restarted.

    :param seed: seed of the random generator.
    :param entries: number of entries.
    :param workers: number of workers, each with an agent.
    :param load: parts for hard load that are on.
    """

    def __init__(
        self,
        seed=1,
        entries=2,
        workers=3,
        *,
        load=load_settings.OFF,
        **capacity,
    ) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.store = key_value.MemoryStore()
        self.network = memory_peers.MemoryNetwork(self.rng)
        self.history = task_worker.RunHistory()
        self.bounds = workflows.Bounds(max_lease_s=6.0)
        self.plans: dict[str, task_worker.TaskPlan] = {}
        self.default_plan = task_worker.TaskPlan()
        self.nursery: trio.Nursery | None = None
        self.entries: dict[str, Entry] = {}
        self.agents: dict[str, Agent] = {}
        self._boots = 0
        self._entry_names = [f'e{n}' for n in range(entries)]
        self._agent_names = [f'a{n}' for n in range(workers)]
        self.workers = [
            task_worker.MemoryTaskWorker(
                f'w{n}', self.history, self.plan_of, self.rng, **capacity
            )
            for n in range(workers)
        ]

    def store_of(self, name: str) -> ports.KeyValueStore:
        """Return the store as an entry reaches it."""
        return self.store

    def plan_of(self, task: str) -> task_worker.TaskPlan:
        """Return the planned behaviour of a task, or of all of its job."""
        job_id = task.partition('.')[0]
        plan = self.plans.get(task) or self.plans.get(job_id)
        return plan or self.default_plan

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all processes and wait for the first scheduler."""
        self.nursery = nursery
        await nursery.start(self.network.run)
        await self.store.txn(
            [], [ports.Put(CONFIG_KEY, msgspec.msgpack.encode(CONFIG))]
        )
        for worker in self.workers:
            await nursery.start(worker.run)
        for name in self._entry_names:
            self.start_entry(name)
        for name, worker in zip(self._agent_names, self.workers):
            self.start_agent(name, worker)
        await self.until(lambda: self.leader is not None)

    @property
    def leader(self) -> Entry | None:
        """The scheduling entry, None if there is none."""
        for entry in self.entries.values():
            if entry.election.term is not None and entry.election.term.loaded:
                return entry
        return None

    def start_entry(self, name: str) -> Entry:
        """Start an entry; if it runs already, it is killed first."""
        if name in self.entries:
            self.kill_entry(name)
        self._boots += 1
        entry = self.entries[name] = Entry(self, name, self._boots)
        self.nursery.start_soon(entry.run)
        return entry

    def kill_entry(self, name: str) -> None:
        """End an entry abruptly."""
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        self.network.remove(entry.hub)
        entry.scope.cancel()

    def start_agent(self, name, worker) -> Agent:
        """Start an agent; if it runs already, it is killed first."""
        if name in self.agents:
            self.kill_agent(name)
        self._boots += 1
        agent = self.agents[name] = Agent(self, name, self._boots, worker)
        self.nursery.start_soon(agent.run)
        return agent

    def kill_agent(self, name: str) -> None:
        """End an agent abruptly."""
        agent = self.agents.pop(name, None)
        if agent is None:
            return
        self.network.remove(agent.hub)
        agent.scope.cancel()

    def cut(self, name: str, cut: bool = True) -> None:
        """Disconnect a process from all others, or reconnect it.

        Processes that are down at the moment are included, so that a cut ends
        for them as well.
        """
        for other in (*self._entry_names, *self._agent_names):
            self.network.faults(name, other).cut = cut
            self.network.faults(other, name).cut = cut

    async def submit(self, job_id: str, spec, queue=QUEUE) -> workflow.Reply:
        """Submit a job to random entries until it is accepted."""
        while True:
            entries = list(self.entries.values())
            if entries:
                entry = self.rng.choice(entries)
                deadline = trio.current_time() + 3.0
                reply = await entry.service.submit(
                    queue, job_id, spec, deadline
                )
                if reply.verdict is workflow.Verdict.DONE:
                    return reply
            await trio.sleep(0.5)

    async def state(self, job_id: str) -> str:
        """Return the state that a random entry shows, '' if it fails."""
        entries = list(self.entries.values())
        if not entries:
            return ''
        entry = self.rng.choice(entries)
        try:
            reply = await entry.service.state(
                job_id, trio.current_time() + 2.0
            )
        except errors.CitronrailError:
            return ''
        return reply.state

    async def until(self, condition, limit_s: float = 60.0) -> float:
        """Wait until a condition holds.

        :returns: seconds that it took.
        """
        began_at = trio.current_time()
        while not condition():
            waited_s = trio.current_time() - began_at
            assert waited_s < limit_s, f'not so after {limit_s} s'
            await trio.sleep(0.05)
        return trio.current_time() - began_at

    async def until_state(
        self, job_id: str, state: str, limit_s: float = 60.0
    ) -> float:
        """Wait until a job is shown in a state."""
        began_at = trio.current_time()
        seen = ''
        while seen != state:
            waited_s = trio.current_time() - began_at
            assert waited_s < limit_s, f'{job_id} is {seen}, not {state}'
            await trio.sleep(0.1)
            seen = await self.state(job_id)
        return trio.current_time() - began_at


def _peer(name: str, boot: int, role: str) -> ports.Peer:
    return ports.Peer(
        node_id=identifiers.NodeId(name),
        boot_id=identifiers.BootId(f'{name}-{boot}'),
        role=role,
        data_centre=identifiers.DataCentreName('dc'),
        address=f'tcp://{name}',
    )
