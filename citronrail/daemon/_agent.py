"""The agent role: runs tasks and requests on one worker host."""

import random

import trio

from citronrail import adapters
from citronrail import coordination
from citronrail.daemon import _application
from citronrail.daemon import _components as components
from citronrail.daemon import _process_settings
from citronrail import errors
from citronrail import membership
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail import observability
from citronrail.observability.catalogue import daemon as events
from citronrail import routing
from citronrail import scheduling

WORKER_RETRY_S = 0.5


async def run_agent(
    cfg: _process_settings.ProcessSettings,
    boot_id: identifiers.BootId,
    rng: random.Random,
) -> None:
    """Run an agent until a planned stop is complete.

    :param cfg: settings of the process, with role ``agent``.
    :param boot_id: boot id of this process.
    :param rng: random generator.
    """
    worker = adapters.HttpWorker(cfg.worker_url)
    backend_server = adapters.HttpBackendServer()
    try:
        capacity = await _capacity_of(worker)
        role = AgentRole(cfg, boot_id, rng, worker, backend_server, capacity)
        await role.app.run()
    finally:
        with trio.CancelScope(shield=True):
            await worker.aclose()
            await backend_server.aclose()


async def _capacity_of(worker: adapters.HttpWorker) -> resources.Resources:
    """Return the worker's capacity, retrying until it responds."""
    while True:
        try:
            return (await worker.info()).capacity
        except errors.CitronrailError as exc:
            observability.emit(events.WORKER_NOT_READY, reason=exc)
            await trio.sleep(WORKER_RETRY_S)


class AgentRole:
    """The components of an agent.

    :param cfg: settings of the process.
    :param boot_id: boot id of this process.
    :param rng: random generator.
    :param worker: the worker on this host.
    :param backend_server: sends requests to the backend servers.
    :param capacity: capacity of the worker.
    """

    def __init__(
        self,
        cfg: _process_settings.ProcessSettings,
        boot_id: identifiers.BootId,
        rng: random.Random,
        worker: adapters.HttpWorker,
        backend_server: adapters.HttpBackendServer,
        capacity: resources.Resources,
    ) -> None:
        self._cfg = cfg
        self._boot_id = boot_id
        self._capacity = capacity
        self._leaving = False
        self._tasks: scheduling.TaskRunner | None = None
        self._ledger = coordination.CapacityLedger(capacity)
        curve = components.curve_files(cfg)
        self.hub = adapters.ZmqPeerHub(
            self._introduce, curve=curve, insecure=curve is None, rng=rng
        )
        self.requests = routing.RequestRunner(
            self.hub,
            backend_server,
            limits=routing.RunnerLimits(
                cfg.limits.slots, cfg.limits.connections
            ),
        )
        self.links = membership.EntryLinks(
            self.hub, self.hub, components.peer_addresses(cfg), self._status
        )
        self._tasks = scheduling.TaskRunner(
            self.hub,
            worker,
            self._ledger,
            self.links,
            identifiers.DataCentreName(cfg.data_centre),
        )
        self.app = self._application()

    def _application(self) -> _application.Application:
        cfg = self._cfg
        app = _application.Application(cfg.node_id, cfg.times.drain_s)
        timelines = observability.TimelineExchange(self.hub, 'agent')
        local_port = components.HttpPort(
            adapters.agent_app(self.requests, self._ready, timelines.own),
            cfg.addresses.local,
            'local',
            cfg.times.drain_s,
        )
        assert self._tasks is not None
        app.add('peers', self.hub.run)
        app.add('links', self.links.run)
        app.add('timelines', timelines.run)
        app.add('local port', local_port.run)
        app.add('tasks', self._tasks.run, self._tasks.drain)
        app.add('requests', self.requests.run, self.requests.drain)
        app.add('membership', components.idle, self._leave)
        return app

    async def _leave(self) -> None:
        """Announce the shutdown to the entries before other drains."""
        self._leaving = True
        await self.links.send_heartbeats()

    def _ready(self) -> bool:
        tasks = self._tasks
        return self.app.ready and tasks is not None and tasks.ready

    def _introduce(self) -> messages.Hello:
        cfg = self._cfg
        tasks = self._tasks
        return messages.Hello(
            node_id=identifiers.NodeId(cfg.node_id),
            boot_id=self._boot_id,
            role='agent',
            clock=0.0,
            data_centre=identifiers.DataCentreName(cfg.data_centre),
            rack=cfg.rack,
            capacity=self._capacity,
            tasks=tasks.running_tasks() if tasks is not None else (),
        )

    def _status(self) -> membership.AgentStatus:
        tasks = self._tasks
        ready = tasks is not None and tasks.ready
        return membership.AgentStatus(
            load=self.requests.load(),
            free=self._ledger.free,
            backends=self.requests.backends(),
            leaving=self._leaving,
            ready=ready and not self._leaving,
        )
