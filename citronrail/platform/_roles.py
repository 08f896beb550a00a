"""The programs of the platform: entry and agent."""

import functools
import random

import trio

from citronrail import adapters
from citronrail.daemon import parts
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import daemon as events
from citronrail.platform import _announcement_app
from citronrail.platform import _caller_app
from citronrail.platform import _http_apps
from citronrail.platform import _operator_documents
from citronrail.platform import _settings
from citronrail.platform import _store
from citronrail.platform import _worker
from citronrail import ports
from citronrail import workflow

DRAIN_SHARE = 0.75  # of the grace period between the two stop signals
# All requests are answered this long before the process has drained. That
# covers the time to close their connections where the loop is slow.
ANSWER_MARGIN_S = 0.8
METRICS_PORT = 9464  # also set in deploy/system.toml
# The load balancer probes once a second and removes an entry after two failed
# probes.
LOAD_BALANCER_WAIT_S = 2.4
# With fast takeover: processes that lost power together start within about
# this time of each other.
FAST_RECONNECT_S = 3.0


class _Process:
    """Components of both programs: store, peer connections and metrics."""

    def __init__(
        self,
        cfg: _settings.Settings,
        boot_id: identifiers.BootId,
        rng: random.Random,
        role: str,
    ) -> None:
        self.cfg = cfg
        self._boot_id = boot_id
        self._role = role
        self.address = (
            f'tcp://{cfg.ip}:{cfg.peer_ports[0]}' if role == 'entry' else ''
        )
        self._platform_store = _store.PlatformStore(cfg.store_address)
        self.store: ports.KeyValueStore = self._platform_store
        self.observed: workflow.ObservedStore | None = None
        if cfg.load.relay and role == 'entry':
            self.store = self.observed = workflow.ObservedStore(self.store)
        self.hub = adapters.ZmqPeerHub(
            self._hello,
            listen=self.address,
            insecure=True,
            limits=adapters.PeerLimits(
                fast_reconnect_s=(
                    FAST_RECONNECT_S if cfg.load.fast_takeover else 0.0
                )
            ),
            rng=rng,
        )
        self.leader = workflow.LeaderView()
        self.follow_retry_s = (
            workflow.FAST_MAX_RETRY_S
            if cfg.load.fast_takeover
            else workflow.MAX_RETRY_S
        )
        self.app = parts.Application(
            cfg.node_id, cfg.bounds.grace_s * DRAIN_SHARE
        )
        metrics = self.port(
            _http_apps.metrics_app(), f'{cfg.ip}:{METRICS_PORT}', 'metrics'
        )
        self.app.add('metrics port', metrics.run)
        self.app.add(
            'loop monitor', functools.partial(parts.monitor_loop, cfg.node_id)
        )
        self.app.on_reload(self._check_settings)

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            node_id=identifiers.NodeId(self.cfg.node_id),
            boot_id=self._boot_id,
            role=self._role,
            clock=0.0,
            data_centre=identifiers.DataCentreName(self.cfg.data_centre),
            address=self.address,
        )

    async def _check_settings(self) -> None:
        """Log whether the settings file has changed since the start.

        Changes take effect at the next start only: the platform restarts a
        process to change its addresses or limits.
        """
        try:
            changed = _settings.load(self.cfg.path) != self.cfg
        except errors.ConfigError as exc:
            observability.emit(events.SETTINGS_READ, result=exc)
            return
        result = 'changed, in effect after a restart' if changed else 'same'
        observability.emit(events.SETTINGS_READ, result=result)

    async def follow_leader(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow the scheduling leader and stay connected to it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(
                    workflow.follow, max_retry_s=self.follow_retry_s
                ),
                self.store,
                workflow.CONTROL_PREFIX,
                self.leader,
            )
            nursery.start_soon(
                workflow.connect_to_leader,
                self.leader,
                self.hub.set_entries,
                self.hub.node_id,
            )
            task_status.started()

    async def follow_leader_view(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow the scheduling leader without connecting to it."""
        await workflow.follow(
            self.store,
            workflow.CONTROL_PREFIX,
            self.leader,
            task_status=task_status,
        )

    async def aclose(self) -> None:
        """Close the connections to the store."""
        await self._platform_store.aclose()

    def port(
        self, app: adapters.AsgiApp, address: str, name: str
    ) -> parts.HttpPort:
        """Create an HTTP port that drains with the process."""
        return parts.HttpPort(
            app, address, name, self.cfg.bounds.grace_s * DRAIN_SHARE
        )


async def run_entry(
    cfg: _settings.Settings, boot_id: identifiers.BootId, rng: random.Random
) -> None:
    """Run an entry until it has stopped.

    :param cfg: settings of the process.
    :param boot_id: identity of this run of the process.
    :param rng: random number generator.
    """
    process = _Process(cfg, boot_id, rng, 'entry')
    app = process.app
    operator_view = workflow.OperatorView(
        _operator_documents.CONFIG_KEY,
        _operator_documents.decode_config,
        _operator_documents.evacuated_data_centre,
    )
    election = workflow.Election(
        process.store,
        process.hub,
        process.leader,
        operator_view,
        cfg.bounds,
        process.address,
        cfg.processor_share,
        load=cfg.load,
    )
    relay = _relay(process, election)
    service = workflow.CallerService(
        process.store,
        process.hub,
        election,
        process.leader,
        load=cfg.load,
        relay=relay,
        bounds=cfg.bounds,
    )
    callers = process.port(
        _caller_app.caller_app(
            service,
            lambda: operator_view.config,
            lambda: app.drain_ends_at - ANSWER_MARGIN_S,
        ),
        cfg.callers_address,
        'callers',
    )
    ready = process.port(
        _caller_app.ready_app(
            lambda: app.ready and workflow.serves_callers(operator_view, relay)
        ),
        cfg.ready_address,
        'ready',
    )

    async def follow_operators(
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await workflow.follow(
            process.store,
            _operator_documents.PREFIX,
            operator_view,
            max_retry_s=process.follow_retry_s,
            task_status=task_status,
        )

    async def await_load_balancer() -> None:
        await trio.sleep(LOAD_BALANCER_WAIT_S)

    app.add('peers', process.hub.run)
    app.add('operators', follow_operators)
    if relay is None:
        app.add('leader', process.follow_leader)
    else:
        app.add('store health', relay.store.run)
        app.add('leader', process.follow_leader_view)
        app.add('ring', relay.ring.run)
        app.add('relay', relay.run)
    app.add('ready port', ready.run)
    app.add('callers port', callers.run, callers.drain)
    # Components drain in reverse order. Leadership is handed over after the
    # wait for the load balancer, by which time an entry that was restarted
    # before this one may be available again.
    app.add('election', election.run, election.drain)
    app.add('balancer', parts.idle, await_load_balancer)
    app.add('candidacy', parts.idle, election.retire)
    await _run(process)


def _relay(
    process: _Process, election: workflow.Election
) -> workflow.Relay | None:
    """Create the relay of an entry, None if it is off."""
    if process.observed is None:
        return None
    ring = workflow.EntryRing(
        process.hub,
        process.leader,
        process.observed,
        process.hub.set_entries,
        process.address,
        process.cfg.data_centre,
        lambda: election.token,
    )
    return workflow.Relay(process.hub, ring, process.observed)


async def run_agent(
    cfg: _settings.Settings, boot_id: identifiers.BootId, rng: random.Random
) -> None:
    """Run an agent until it has stopped.

    :param cfg: settings of the process.
    :param boot_id: identity of this run of the process.
    :param rng: random number generator.
    """
    process = _Process(cfg, boot_id, rng, 'agent')
    worker = _worker.PlatformWorker(cfg.worker_address)
    agent = workflow.WorkerAgent(worker, process.hub, cfg.bounds.max_lease_s)
    port = process.port(
        _announcement_app.announcement_app(agent, cfg.service),
        cfg.announcements_address,
        'announcements',
    )
    app = process.app
    app.add('peers', process.hub.run)
    app.add('agent', agent.run)
    app.add('announcements port', port.run)
    app.add('leader', process.follow_leader)
    try:
        await _run(process)
    finally:
        with trio.CancelScope(shield=True):
            await worker.aclose()


async def _run(process: _Process) -> None:
    try:
        await process.app.run()
    finally:
        with trio.CancelScope(shield=True):
            await process.aclose()
