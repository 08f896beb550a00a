"""Agent side of the heartbeats between entries and agents."""

import collections.abc
import dataclasses
import typing

import trio

from citronrail import errors
from citronrail.membership import _entry_list
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail import observability
from citronrail.observability.catalogue import membership as events
from citronrail import ports

HEARTBEAT_INTERVAL_S = 1.0
SENT_TIMES_KEPT = 32
# Range claims of an entry are ignored after this time without an
# acknowledgement from it.
CLAIM_LIFETIME_S = 8.0


@dataclasses.dataclass(frozen=True)
class AgentStatus:
    """State of the agent that each heartbeat carries."""

    load: messages.AgentLoad
    free: resources.Resources
    backends: tuple[messages.BackendState, ...]
    leaving: bool
    ready: bool


class EntryConnector(typing.Protocol):
    """Interface of a peer hub to change its connections."""

    def set_entries(self, addresses: collections.abc.Sequence[str]) -> None:
        """Connect to these addresses and disconnect from all others."""
        ...


@dataclasses.dataclass(frozen=True)
class _LinkState:
    """Last acknowledgement of one entry; times are local."""

    boot_id: identifiers.BootId
    answered_at: float
    permit_until: float
    settings_version: int
    ranges: tuple[messages.RangeClaim, ...]


class EntryLinks:
    """Sends heartbeats to all entries and evaluates their replies.

    :param hub: connections to the peers.
    :param connector: changes which entries the hub is connected to.
    :param seeds: entry addresses from the process settings; they stay
        connected so that the agent can always find an entry.
    :param status: returns the state for the next heartbeat.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        connector: EntryConnector,
        seeds: tuple[str, ...],
        status: collections.abc.Callable[[], AgentStatus],
    ) -> None:
        self._hub = hub
        self._connector = connector
        self._seeds = seeds
        self._status = status
        self._entries: tuple[messages.EntryAddress, ...] = ()
        self._links: dict[identifiers.NodeId, _LinkState] = {}
        self._sent_at: dict[int, float] = {}
        self._seq = 0
        self._settings = settings_model.Settings()
        self._last_ack_at = float('-inf')
        self._highest_fencing: dict[identifiers.RangeId, int] = {}
        hub.subscribe(messages.HeartbeatAck, self._on_ack)
        hub.subscribe(messages.SettingsUpdate, self._on_settings)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Send a heartbeat to every entry each second."""
        self._connector.set_entries(self._seeds)
        task_status.started()
        while True:
            await self.send_heartbeats()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to every connected entry now."""
        self._seq += 1
        self._sent_at[self._seq] = trio.current_time()
        self._sent_at.pop(self._seq - SENT_TIMES_KEPT, None)
        status = self._status()
        heartbeat = messages.Heartbeat(
            boot_id=self._hub.boot_id,
            seq=self._seq,
            clock=trio.current_time(),
            load=status.load,
            free=status.free,
            backends=status.backends,
            settings_version=self._settings.version,
            leaving=status.leaving,
            ready=status.ready,
            entries_known=_entry_list.checksum(self._entries),
        )
        await self._send_to_all(heartbeat)

    async def push_backends(self) -> None:
        """Report changed backend servers to all entries immediately."""
        status = self._status()
        await self._send_to_all(
            messages.BackendUpdate(
                self._hub.boot_id, status.backends, status.leaving
            )
        )

    @property
    def settings(self) -> settings_model.Settings:
        """Latest settings for agents; the version never decreases."""
        return self._settings

    @property
    def permit_until(self) -> float:
        """Local time until which tasks may start, 0 without a permit.

        A permit is valid only if this agent has the settings version that it
        was issued for.
        """
        valid_permits = [
            link.permit_until
            for link in self._links.values()
            if link.settings_version <= self._settings.version
        ]
        newest_version = max(
            (link.settings_version for link in self._links.values()), default=0
        )
        if newest_version > self._settings.version:
            return 0.0
        return max(valid_permits, default=0.0)

    @property
    def last_ack_at(self) -> float:
        """Local sending time of the latest acknowledged heartbeat."""
        return self._last_ack_at

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the owner of a range as known to this agent.

        :param range_id: the range.
        :returns: the claimant with the highest fencing token among entries
            that replied recently; None without one, or if a higher token
            has been seen before.
        """
        limit = trio.current_time() - CLAIM_LIFETIME_S
        latest_claim: tuple[int, identifiers.NodeId] | None = None
        for node_id, link in self._links.items():
            if link.answered_at < limit:
                continue
            for claim in link.ranges:
                candidate = (int(claim.fencing), node_id)
                if claim.range_id == range_id and (
                    latest_claim is None or candidate > latest_claim
                ):
                    latest_claim = candidate
        if latest_claim is None or latest_claim[0] < self._highest_fencing.get(
            range_id, 0
        ):
            return None
        return latest_claim[1]

    async def _send_to_all(self, message: object) -> None:
        for peer in self._hub.peers('entry'):
            try:
                await self._hub.send(peer.node_id, message)
            except errors.PeerUnreachable:
                continue

    async def _on_ack(
        self, peer: ports.Peer, msg: messages.HeartbeatAck, _payload: bytes
    ) -> None:
        sent_at = self._sent_at.get(msg.seq)
        if msg.boot_id != peer.boot_id or sent_at is None:
            observability.emit(events.BOOT_ID_MISMATCH, peer=peer.node_id)
            return
        self._last_ack_at = max(self._last_ack_at, sent_at)
        self._links[peer.node_id] = _LinkState(
            boot_id=peer.boot_id,
            answered_at=trio.current_time(),
            permit_until=msg.permit_until,
            settings_version=msg.settings_version,
            ranges=msg.ranges,
        )
        for claim in msg.ranges:
            highest_fencing = self._highest_fencing.get(claim.range_id, 0)
            self._highest_fencing[claim.range_id] = max(
                highest_fencing, int(claim.fencing)
            )
        if msg.entries:
            self._update_entries(msg.entries)

    def _update_entries(
        self, entries: tuple[messages.EntryAddress, ...]
    ) -> None:
        if entries == self._entries:
            return
        self._entries = entries
        live = {entry.node_id for entry in entries}
        for node_id in list(self._links):
            if node_id not in live:
                del self._links[node_id]
        addresses = {*self._seeds, *(entry.address for entry in entries)}
        observability.emit(events.ENTRIES_CHANGED, entries=len(entries))
        self._connector.set_entries(sorted(addresses))

    async def _on_settings(
        self, peer: ports.Peer, msg: messages.SettingsUpdate, _payload: bytes
    ) -> None:
        if msg.settings.version <= self._settings.version:
            return
        self._settings = msg.settings
        observability.emit(
            events.SETTINGS_RECEIVED,
            version=msg.settings.version,
            peer=peer.node_id,
        )
