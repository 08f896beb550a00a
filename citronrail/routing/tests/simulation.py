"""In-memory simulation of entry, agents and backend servers with faults."""

import collections
import contextlib
import dataclasses
import random

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import settings
from citronrail.model import specs
from citronrail import ports
from citronrail import routing
from citronrail.routing.tests import fakes
from standins import memory_peers

__all__ = ['messages']
SERVICE = identifiers.ServiceName('orders')
DATA_CENTRE = identifiers.DataCentreName('leicester')
MAX_RUN_S = 5.0


@dataclasses.dataclass
class Behaviour:
    """Behaviour of backend servers; shares are between 0 and 1."""

    service_s: float = 0.01
    not_reached: float = 0.0
    failing: float = 0.0
    failing_midway: float = 0.0
    hanging: float = 0.0
    status: int = 200
    chunk_bytes: int = 10
    chunks: int = 3
    feed: tuple[bytes, ...] = ()


@dataclasses.dataclass
class Run:
    """One run at a backend server; times are on the simulation's clock."""

    agent: str
    body: bytes
    started: float
    ended: float = float('inf')


class FakeResponse:
    """A response that identifies the request that it belongs to."""

    def __init__(self, run, behaviour, fails_midway):
        self.status = behaviour.status
        kind = 'text/event-stream' if behaviour.feed else 'text/plain'
        self.headers = (('content-type', kind),)
        self._run = run
        self._behaviour = behaviour
        self._fails_midway = fails_midway

    async def chunks(self):
        """Yield the body."""
        if self._behaviour.feed:
            for part in self._behaviour.feed:
                yield part
            await trio.sleep_forever()
        expected_body = expected(self._run.body, self._behaviour)
        size = self._behaviour.chunk_bytes
        for offset in range(0, len(expected_body), size):
            await trio.sleep(0.001)
            if self._fails_midway and offset >= len(expected_body) // 2:
                raise errors.BackendFailed('broke off', step='test')
            yield expected_body[offset : offset + size]


def expected(body, behaviour):
    """Return the complete response body to a request."""
    size = behaviour.chunk_bytes * behaviour.chunks
    return (body * (size // max(1, len(body)) + 1))[:size]


class FakeBackendServer:
    """A backend server that records its runs."""

    def __init__(self, agent, behaviour, rng, runs):
        self._agent = agent
        self.behaviour = behaviour
        self._rng = rng
        self._runs = runs

    @contextlib.asynccontextmanager
    async def run(self, req):
        """Run a request and yield its response."""
        behaviour = self.behaviour
        await trio.sleep(0.0005)
        if self._rng.random() < behaviour.not_reached:
            raise errors.BackendNotReached('refused', step='test')
        run = Run(self._agent, req.body, trio.current_time())
        self._runs.append(run)
        try:
            if self._rng.random() < behaviour.hanging:
                await trio.sleep(MAX_RUN_S)
            await trio.sleep(self._rng.uniform(0, 2 * behaviour.service_s))
            if self._rng.random() < behaviour.failing:
                raise errors.BackendFailed('failed', step='test')
            midway = self._rng.random() < behaviour.failing_midway
            yield FakeResponse(run, behaviour, midway)
        finally:
            run.ended = trio.current_time()


class FakeCaller:
    """Response writer of a caller that may read slowly."""

    def __init__(self, pause_s=0.0):
        self.status = 0
        self.body = b''
        self.complete = False
        self.received_problem = None
        self.pause_s = pause_s

    async def start(self, status, headers, outcome):
        """Receive status and headers."""
        assert self.status == 0 and self.received_problem is None
        self.status = status

    async def write(self, data):
        """Receive body data."""
        await trio.sleep(self.pause_s)
        self.body += data

    async def finish(self):
        """Receive the end of the response."""
        self.complete = True

    async def problem(self, problem):
        """Receive a problem response."""
        assert self.status == 0
        self.received_problem = problem

    @property
    def outcome(self):
        """Outcome as known to the caller."""
        if self.received_problem is not None:
            return self.received_problem.outcome
        return (
            outcomes.Outcome.DONE
            if self.complete
            else outcomes.Outcome.UNKNOWN
        )


class Simulation:
    """An entry with agents and backend servers on one virtual clock.

    :param rng: the only random number generator.
    :param behaviour: behaviour of the backend servers.
    :param agents: number of agents.
    """

    def __init__(self, rng, behaviour=None, agents=3, limits=None):
        self.rng = rng
        self.behaviour = behaviour or Behaviour()
        self.runs = []
        self.network = memory_peers.MemoryNetwork(rng)
        self.entry = self._hub('entry-1', 'entry')
        self.keeper = fakes.MemoryKeyStore()
        self.settings = settings.Settings(
            services={
                SERVICE: specs.ServiceSpec(
                    SERVICE, 'team', 'class', 1, None, max_run_s=MAX_RUN_S
                )
            }
        )
        self.runners = {}
        self.hubs = {}
        for number in range(agents):
            name = f'agent-{number}'
            self.hubs[name] = self._hub(name, 'agent')
            self.runners[name] = routing.RequestRunner(
                self.hubs[name],
                FakeBackendServer(name, self.behaviour, rng, self.runs),
                limits=limits,
                max_run_s=lambda _: MAX_RUN_S,
            )
        self.views = {}
        self.router = routing.RequestRouter(
            self.entry,
            routing.KeyService(
                self.entry, self.keeper, lambda _: self.entry.node_id
            ),
            lambda: tuple(self.views.values()),
            lambda: self.settings,
            data_centre=DATA_CENTRE,
            rng=rng,
        )

    def _hub(self, name, role):
        peer = ports.Peer(
            identifiers.NodeId(name),
            identifiers.new_boot_id(),
            role,
            DATA_CENTRE,
        )
        return memory_peers.MemoryHub(self.network, peer)

    def faults(self, **values):
        """Set the faults of the links between the entry and all agents."""
        for name in self.runners:
            for pair in (('entry-1', name), (name, 'entry-1')):
                link = self.network.faults(*pair)
                for field, value in values.items():
                    setattr(link, field, value)

    @contextlib.asynccontextmanager
    async def running(self):
        """Run all components until the context exits."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.run)
            await nursery.start(self.router.run)
            for runner in self.runners.values():
                await nursery.start(runner.run)
            nursery.start_soon(self._heartbeats)
            await trio.sleep(0.01)
            yield nursery
            nursery.cancel_scope.cancel()

    async def _heartbeats(self):
        """Announce the backend servers and report load every second."""
        while True:
            now = trio.current_time()
            for name, runner in self.runners.items():
                if not runner.leaving:
                    runner.announce(SERVICE, f'http://{name}', 1)
                self.views[name] = fakes.agent_view(
                    self.hubs[name].peer, runner, now
                )
            await trio.sleep(1)

    async def call(
        self, body, method='POST', caller=None, timeout_ms=2000, **headers
    ):
        """Send a request and return its caller."""
        caller = caller or FakeCaller()
        pairs = {'citronrail-timeout-ms': str(timeout_ms)}
        for name, value in headers.items():
            pairs[name.replace('_', '-')] = value
        request = routing.CallerRequest(
            identifiers.RequestId('request-' + body.decode()),
            SERVICE,
            method,
            '/',
            tuple(pairs.items()),
            body,
        )
        await self.router.handle(request, caller)
        return caller

    def drain_service(self, draining):
        """Start or stop draining the service in the settings."""
        spec = dataclasses.replace(
            self.settings.services[SERVICE], draining=draining
        )
        self.settings = dataclasses.replace(
            self.settings, services={SERVICE: spec}
        )

    def count(self):
        """Return the number of runs per request body."""
        return collections.Counter(run.body for run in self.runs)


def discarding_call(world, body, **options):
    """Return a function that sends a request and discards the response."""

    async def call():
        await world.call(body, **options)

    return call


def seeded_rng(seed):
    """Return the only random number generator of a test."""
    return random.Random(seed)
