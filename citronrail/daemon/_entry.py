"""The entry role: callers' requests, commands and job shards."""

import random
import time

import trio

from citronrail import adapters
from citronrail import coordination
from citronrail.daemon import _application
from citronrail.daemon import _components as components
from citronrail.daemon import _entry_shards
from citronrail.daemon import _process_settings
from citronrail.daemon import _warm_up
from citronrail import language
from citronrail import membership
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail import routing
from citronrail import scheduling

CONNECT_INTERVAL_S = 0.25


async def run_entry(
    cfg: _process_settings.ProcessSettings,
    boot_id: identifiers.BootId,
    rng: random.Random,
) -> None:
    """Run an entry until a planned stop is complete.

    :param cfg: settings of the process, with role ``entry``.
    :param boot_id: boot id of this process.
    :param rng: random generator.
    """
    assert cfg.store is not None
    store = adapters.EtcdStore(
        cfg.store.endpoints, cfg.store.call_timeout_ms / 1000
    )
    try:
        role = EntryRole(cfg, boot_id, rng, store)
        await role.app.run()
    finally:
        with trio.CancelScope(shield=True):
            await store.aclose()


class EntryRole:
    """The components of an entry.

    :param cfg: settings of the process.
    :param boot_id: boot id of this process.
    :param rng: random generator.
    :param store: the platform's key-value service.
    """

    def __init__(
        self,
        cfg: _process_settings.ProcessSettings,
        boot_id: identifiers.BootId,
        rng: random.Random,
        store: adapters.EtcdStore,
    ) -> None:
        assert cfg.store is not None
        self._cfg = cfg
        self._boot_id = boot_id
        self._rng = rng
        budget = coordination.StoreBudget(
            cfg.store.writes_per_s, cfg.store.reads_per_s
        )
        self.store = coordination.BudgetedStore(store, budget)
        curve = components.curve_files(cfg)
        address = f'tcp://{cfg.addresses.peer}'
        self.hub = adapters.ZmqPeerHub(
            self._introduce,
            listen=address,
            curve=curve,
            insecure=curve is None,
            rng=rng,
        )
        self._build_membership(address)
        self._build_routing(rng)
        policies, placement = _entry_shards.make_placement(rng)
        self.placement = _entry_shards.PlacementUpdater(
            self.follower, placement
        )
        self.shards = _entry_shards.make_scheduler(
            self.hub,
            self.follower,
            self.silence,
            self.ownership,
            self.store.for_use(coordination.StoreUse.SHARD),
            policies,
            rng,
        )
        self.commands = self._make_commands()
        self.ownership.add_listener(self.keys)
        self.ownership.add_listener(self.shards)
        self.app = self._application()

    def _build_membership(self, address: str) -> None:
        for_use = self.store.for_use
        own = identifiers.NodeId(self._cfg.node_id)
        self.follower = coordination.SettingsFollower(
            for_use(coordination.StoreUse.SETTINGS),
            self._cfg.times.settings_confirm_s,
        )
        self.ownership = coordination.RangeOwnership(
            for_use(coordination.StoreUse.LEASE), self.hub, address
        )
        self.directory = membership.AgentDirectory(
            self.hub, self.follower, self.claims, self.entry_addresses
        )
        outsiders = membership.FormerMembers(self.ownership, own)
        self.mesh = membership.EntryMesh(
            self.hub, self.follower, self.directory, self.claims, outsiders
        )
        self.silence = membership.AgentSilence(
            self.directory, self.mesh, self.ownership, outsiders, own
        )

    def _build_routing(self, rng: random.Random) -> None:
        self.keys = routing.OwnedKeyStore(
            self.hub, self.ownership, longest_run_s=self._max_run_s
        )
        key_service = routing.KeyService(self.hub, self.keys, self.owner_of)
        self.router = routing.RequestRouter(
            self.hub,
            key_service,
            self.directory.agents,
            lambda: self.follower.settings,
            data_centre=identifiers.DataCentreName(self._cfg.data_centre),
            rng=rng,
        )

    def _make_commands(self) -> language.CommandService:
        writer = coordination.SettingsWriter(
            self.store.for_use(coordination.StoreUse.SETTINGS),
            self.follower,
            self._rng,
        )
        views = language.EntryOverview(
            self.hub,
            self._cfg.data_centre,
            self.follower,
            self.directory,
            self.mesh,
            lambda: tuple(c.range_id for c in self.claims()),
            self._request_rows,
        )
        checks = language.PolicyValidator(
            {
                language.PolicyKind.BALANCING: routing.parse_balancing_policy,
                language.PolicyKind.PLACEMENT: scheduling.placement_policy,
            }
        )
        facts = language.FleetTracker(
            self.directory.agents,
            self._cfg.known_data_centres,
            checks,
            time.time,
        )
        return language.CommandService(
            self.hub,
            writer,
            language.SchedulerShards(self.shards),
            _entry_shards.RangeDirectory(self.owner_of),
            views,
            facts,
            max_at_once=self._cfg.limits.commands_at_once,
        )

    def _application(self) -> _application.Application:
        cfg = self._cfg
        app = _application.Application(cfg.node_id, cfg.times.drain_s)
        warm_up = _warm_up.WarmUp(
            lambda: len(self.directory.agents()), self.ownership.joined
        )

        def ready() -> bool:
            return app.ready and warm_up.done

        callers = components.HttpPort(
            adapters.caller_app(self.router, ready),
            cfg.addresses.callers,
            'callers',
            cfg.times.drain_s,
        )
        timelines = observability.TimelineExchange(self.hub, 'entry')
        operators = components.HttpPort(
            adapters.operators_app(
                self.commands,
                ready,
                timelines,
                lambda: adapters.connected_processes(
                    self.hub, self._introduce()
                ),
                cfg.limits.command_kb * 1024,
            ),
            cfg.addresses.operators,
            'operators',
            cfg.times.drain_s,
        )
        app.add('peers', self.hub.run)
        app.add('settings', self.follower.run)
        app.add('directory', self.directory.run)
        app.add('mesh', self.mesh.run)
        app.add('placement policy', self.placement.run)
        app.add('shards', self.shards.run)
        app.add('ownership', self.ownership.run, self.ownership.drain)
        app.add('warm-up', warm_up.run)
        app.add('silence', self.silence.run, self._stop_acknowledging)
        app.add('connections', self._update_connections)
        app.add('timelines', timelines.run)
        app.add('commands', self.commands.run, self.commands.drain)
        app.add('operators port', operators.run, operators.drain)
        app.add('callers port', callers.run, callers.drain)
        app.add('requests', self.router.run, self.router.drain)
        app.add('balancer', components.idle, self._wait_for_load_balancer)
        return app

    # Callbacks of the components

    def claims(self) -> tuple[messages.RangeClaim, ...]:
        """Return the ranges that this entry owns and may commit for."""
        return tuple(
            messages.RangeClaim(owned.range_id, owned.fencing)
            for owned in self.ownership.owned()
        )

    def entry_addresses(self) -> tuple[messages.EntryAddress, ...]:
        """Return the members as last read from the store."""
        return tuple(
            messages.EntryAddress(entry.node_id, entry.boot_id, entry.address)
            for entry in self.ownership.entries()
            if not entry.draining
        )

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the owner of a range, from the most recent source."""
        if self.ownership.find(range_id) is not None:
            return self.hub.node_id
        announced_owner = self.mesh.owner_of(range_id)
        return announced_owner or self.ownership.owner_of(range_id)

    def _introduce(self) -> messages.Hello:
        cfg = self._cfg
        return messages.Hello(
            node_id=identifiers.NodeId(cfg.node_id),
            boot_id=self._boot_id,
            role='entry',
            clock=0.0,
            data_centre=identifiers.DataCentreName(cfg.data_centre),
            rack=cfg.rack,
            address=f'tcp://{cfg.addresses.peer}',
        )

    async def _update_connections(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep connections to the current members only."""
        task_status.started()
        while True:
            entries = self.ownership.entries()
            self.hub.set_entries([entry.address for entry in entries])
            await trio.sleep(CONNECT_INTERVAL_S)

    def _max_run_s(self) -> float:
        services = self.follower.settings.services.values()
        return max((spec.max_run_s for spec in services), default=0.0)

    def _request_rows(self) -> tuple[language.RequestRow, ...]:
        now = trio.current_time()
        return tuple(
            language.RequestRow(
                req.request_id,
                self._cfg.node_id,
                req.service,
                'running' if req.attempt else 'waiting',
                req.worker,
                req.attempt,
                round(now - req.started_at, 3),
            )
            for req in self.router.open_requests()
        )

    # Graceful shutdown

    async def _wait_for_load_balancer(self) -> None:
        """Wait until the load balancer has seen that readiness is off."""
        await trio.sleep(self._cfg.times.load_balancer_wait_s)

    async def _stop_acknowledging(self) -> None:
        self.directory.stop_acknowledging()
