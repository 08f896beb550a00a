"""The agent role: runs tasks and requests on one worker host."""

import random

import trio

from citronrail import adapters
from citronrail import coordination
from citronrail.daemon import _application
from citronrail.daemon import _ports_of_settings as parts
from citronrail.daemon import _process_settings
from citronrail import membership
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import routing
from citronrail import scheduling

WORKER_RETRY_S = 0.5


class AgentRole:
    """Everything that runs in an agent.

    :param cfg: settings of the process, with role ``agent``.
    :param boot_id: identity of this run.
    :param rng: source of chance.
    """

    def __init__(
        self,
        cfg: _process_settings.ProcessSettings,
        boot_id: identifiers.BootId,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._boot_id = boot_id
        self._worker = adapters.HttpWorker(cfg.worker_url)
        self._ledger = coordination.CapacityLedger()
        self.app = _application.Application(cfg.node_id, cfg.times.drain_s)
        curve = parts.curve_files(cfg)
        self.hub = adapters.ZmqPeerHub(
            self._introduce, curve=curve, insecure=curve is None, rng=rng
        )
        self._backend_server = adapters.HttpBackendServer()
        self.requests = routing.RequestRunner(
            self.hub,
            self._backend_server,
            limits=routing.RunnerLimits(
                cfg.limits.slots, cfg.limits.connections
            ),
        )
        self.links = membership.EntryLinks(
            self.hub, self.hub, parts.peer_addresses(cfg), self._status
        )
        self.tasks = scheduling.TaskRunner(
            self.hub,
            self._worker,
            self._ledger,
            self.links,
            identifiers.DataCentreName(cfg.data_centre),
        )
        self.local_port = parts.HttpPort(
            adapters.agent_app(self.requests, self._ready),
            cfg.addresses.local,
            'local',
            cfg.times.drain_s,
        )
        self._leaving = False

    async def run(self, handle_signals: bool = True) -> None:
        """Run until a planned stop is complete.

        :param handle_signals: see :meth:`Application.run`.
        """
        await self._await_worker()
        app = self.app
        app.add('peers', self.hub.run)
        app.add('links', self.links.run)
        app.add('tasks', self.tasks.run, self.tasks.drain)
        app.add('requests', self.requests.run, self.requests.drain)
        app.add('local port', self.local_port.run)
        app.add('leaving', _idle, self._leave)
        try:
            await app.run(handle_signals)
        finally:
            with trio.CancelScope(shield=True):
                await self._worker.aclose()
                await self._backend_server.aclose()

    async def _await_worker(self) -> None:
        """Learn the capacity, which Hello and the ledger need."""
        self._capacity = (await self._worker.info()).capacity
        self._ledger.set_capacity(self._capacity)

    async def _leave(self) -> None:
        """Tell the entries to send no new work before anything drains."""
        self._leaving = True
        await self.links.announce()

    def _ready(self) -> bool:
        return self.app.ready and self.tasks.ready

    def _introduce(self) -> messages.Hello:
        cfg = self._cfg
        return messages.Hello(
            node_id=identifiers.NodeId(cfg.node_id),
            boot_id=self._boot_id,
            role='agent',
            clock=0.0,
            data_centre=identifiers.DataCentreName(cfg.data_centre),
            rack=cfg.rack,
            capacity=self._ledger.capacity,
            tasks=self._known_tasks(),
        )

    def _known_tasks(self) -> tuple[messages.RunningTask, ...]:
        tasks = getattr(self, 'tasks', None)
        return tasks.running_tasks() if tasks is not None else ()

    def _status(self) -> membership.AgentStatus:
        return membership.AgentStatus(
            load=self.requests.load(),
            free=self._ledger.free,
            backends=self.requests.backends(),
            leaving=self._leaving,
            ready=self.tasks.ready and not self._leaving,
        )


async def _idle(
    *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    task_status.started()
    await trio.sleep_forever()
