"""Entry side of the heartbeats between entries and agents."""

import collections.abc
import dataclasses
import typing

import trio

from citronrail import errors
from citronrail.membership import _entry_list
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import settings as settings_model
from citronrail.model import views
from citronrail import observability
from citronrail.observability.catalogue import membership as events
from citronrail import ports

PERMIT_S = 2.5
SILENT_AFTER_S = 3.0
FORGET_AFTER_S = 600.0


class SettingsSource(typing.Protocol):
    """The latest settings and the time of their last confirmation."""

    @property
    def settings(self) -> settings_model.Settings:
        """Latest known settings."""
        ...

    @property
    def fresh_at(self) -> float:
        """Latest local time at which the settings were confirmed."""
        ...


RangeSource = collections.abc.Callable[[], tuple[messages.RangeClaim, ...]]
EntrySource = collections.abc.Callable[[], tuple[messages.EntryAddress, ...]]


def agent_settings(
    settings: settings_model.Settings,
) -> settings_model.Settings:
    """Return the subset of the settings that agents use.

    Services and teams are omitted, so an update of an agent takes a few
    hundred bytes regardless of the size of the document.

    :param settings: the complete settings.
    :returns: settings with the same version.
    """
    return settings_model.Settings(
        version=settings.version,
        data_centres=settings.data_centres,
        drained_workers=settings.drained_workers,
    )


class AgentDirectory:
    """Tracks the state of agents and acknowledges their heartbeats.

    :param hub: connections to the peers.
    :param settings: source of the settings and their freshness.
    :param ranges: returns the ranges that this entry owns now.
    :param entries: returns the live entries.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        settings: SettingsSource,
        ranges: RangeSource,
        entries: EntrySource,
    ) -> None:
        self._hub = hub
        self._settings = settings
        self._ranges = ranges
        self._entries = entries
        self._views: dict[identifiers.NodeId, views.AgentView] = {}
        self._last_ack: dict[identifiers.NodeId, float] = {}
        self._sent_version: dict[identifiers.NodeId, int] = {}
        self._started_at = 0.0
        self._draining = False
        # False until the membership key is written, because other entries
        # do not know of this one before.
        self._may_acknowledge = False
        hub.subscribe(messages.Heartbeat, self._on_heartbeat)
        hub.subscribe(messages.BackendUpdate, self._on_backend_update)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Push new settings to agents and drop agents silent for long."""
        self._started_at = trio.current_time()
        task_status.started()
        while True:
            await self._push_settings()
            self._forget_silent_agents()
            await trio.sleep(0.1)

    def agents(self) -> tuple[views.AgentView, ...]:
        """Return the last known state of every agent.

        :returns: all known agents, including silent ones; see ``heard_at``.
        """
        return tuple(self._views.values())

    def agent(self, node_id: identifiers.NodeId) -> views.AgentView | None:
        """Return the last known state of one agent, or None."""
        return self._views.get(node_id)

    def last_ack(self, node_id: identifiers.NodeId) -> float:
        """Return when this entry last acknowledged an agent.

        :param node_id: the agent.
        :returns: local time in seconds; the start of this entry if it has
            never acknowledged the agent.
        """
        return self._last_ack.get(node_id, self._started_at)

    def silent(
        self, reported: collections.abc.Iterable[identifiers.NodeId] = ()
    ) -> tuple[messages.SilentAgent, ...]:
        """Return the agents not acknowledged for :data:`SILENT_AFTER_S`.

        :param reported: agents that other entries reported silent; they are
            considered even if unknown to this entry.
        :returns: one item for each silent agent, with its current age.
        """
        now = trio.current_time()
        silent = []
        for node_id in {*self._views, *reported}:
            age_s = now - self.last_ack(node_id)
            if age_s < SILENT_AFTER_S:
                continue
            view = self._views.get(node_id)
            boot_id = view.boot_id if view else identifiers.BootId('')
            silent.append(messages.SilentAgent(node_id, boot_id, age_s))
        return tuple(silent)

    def allow_acknowledging(self, allowed: bool) -> None:
        """Set whether heartbeats may be acknowledged.

        :param allowed: see :func:`may_acknowledge`.
        """
        self._may_acknowledge = allowed

    def stop_acknowledging(self) -> None:
        """Stop acknowledging for good, before this entry leaves."""
        self._draining = True

    async def _on_heartbeat(
        self, peer: ports.Peer, msg: messages.Heartbeat, _payload: bytes
    ) -> None:
        if msg.boot_id != peer.boot_id:
            observability.emit(events.BOOT_ID_MISMATCH, peer=peer.node_id)
            return
        known = self._views.get(peer.node_id)
        if known is None or known.boot_id != peer.boot_id:
            observability.emit(
                events.AGENT_JOINED, peer=peer.node_id, boot=peer.boot_id
            )
            self._sent_version.pop(peer.node_id, None)
        self._views[peer.node_id] = views.AgentView(
            node_id=peer.node_id,
            boot_id=peer.boot_id,
            data_centre=peer.data_centre,
            rack=peer.rack,
            capacity=peer.capacity,
            free=msg.free,
            load=msg.load,
            backends=msg.backends,
            heard_at=trio.current_time(),
            leaving=msg.leaving,
            ready=msg.ready,
        )
        await self._send_settings(peer.node_id, msg.settings_version)
        await self._acknowledge(peer, msg)

    async def _acknowledge(
        self, peer: ports.Peer, msg: messages.Heartbeat
    ) -> None:
        if self._draining or not self._may_acknowledge:
            return
        entries = self._entries()
        if _entry_list.checksum(entries) == msg.entries_known:
            entries = ()
        ack = messages.HeartbeatAck(
            boot_id=self._hub.boot_id,
            seq=msg.seq,
            clock=trio.current_time(),
            settings_version=self._settings.settings.version,
            permit_until=self._permit_until(peer.node_id),
            ranges=self._ranges(),
            entries=entries,
        )
        # Also recorded before the send: the agent may receive the message
        # while the send is still in progress or fails.
        self._last_ack[peer.node_id] = trio.current_time()
        try:
            await self._hub.send(peer.node_id, ack)
        except errors.PeerUnreachable:
            return
        self._last_ack[peer.node_id] = trio.current_time()

    def _permit_until(self, node_id: identifiers.NodeId) -> float:
        deadline = self._settings.fresh_at + PERMIT_S
        if deadline <= trio.current_time():
            return 0.0
        try:
            return self._hub.to_peer_clock(node_id, deadline)
        except errors.PeerUnreachable:
            return 0.0

    async def _on_backend_update(
        self, peer: ports.Peer, msg: messages.BackendUpdate, _payload: bytes
    ) -> None:
        view = self._views.get(peer.node_id)
        if view is None or view.boot_id != msg.boot_id:
            return
        self._views[peer.node_id] = dataclasses.replace(
            view, backends=msg.backends, leaving=msg.leaving
        )

    async def _push_settings(self) -> None:
        version = self._settings.settings.version
        for node_id in list(self._views):
            if self._sent_version.get(node_id, 0) < version:
                await self._send_settings(node_id, 0)

    async def _send_settings(
        self, node_id: identifiers.NodeId, known_version: int
    ) -> None:
        settings = self._settings.settings
        if known_version >= settings.version:
            self._sent_version[node_id] = settings.version
            return
        self._sent_version[node_id] = settings.version
        update = messages.SettingsUpdate(agent_settings(settings))
        try:
            await self._hub.send(node_id, update)
        except errors.PeerUnreachable:
            self._sent_version.pop(node_id, None)

    def _forget_silent_agents(self) -> None:
        limit = trio.current_time() - FORGET_AFTER_S
        for node_id, view in list(self._views.items()):
            if view.heard_at < limit:
                del self._views[node_id]
                self._sent_version.pop(node_id, None)
