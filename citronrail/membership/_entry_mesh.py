"""Heartbeats between entries."""

import collections.abc
import dataclasses
import typing

import trio

from citronrail import errors
from citronrail.membership import _agent_directory
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import settings as settings_model
from citronrail import observability
from citronrail.observability.catalogue import membership as events
from citronrail import ports

# An interval of 1 s left gaps between permits that rely on the settings of
# another entry: 0.5 s between confirmations, 1 s between entries and 1 s
# between acknowledgements add up to the 2.5 s of a permit.
HEARTBEAT_INTERVAL_S = 0.5
SENT_TIMES_KEPT = 64
CLOCK_RATE_MARGIN = 0.01
NEVER = float('-inf')
# Longer than the maximum age of the member list by which entries are dropped.
FORGET_AFTER_S = 10.0


class SettingsReceiver(_agent_directory.SettingsSource, typing.Protocol):
    """A settings follower that accepts settings from other entries."""

    def observe(
        self, settings: settings_model.Settings, fresh_at: float
    ) -> None:
        """Apply settings that were the latest at ``fresh_at``."""
        ...


class FormerMemberBound(typing.Protocol):
    """Bounds how long entries that are not members may acknowledge."""

    def advertised_until(self, now: float) -> float:
        """Return the bound to send to other entries, as local time."""
        ...

    @property
    def revision(self) -> int:
        """Store revision of the latest read of the members."""
        ...


@dataclasses.dataclass(frozen=True)
class EntryView:
    """Last heartbeat of another entry, with ages converted to local times.

    The heartbeat was sent between ``sent_after`` and ``heard_at``.
    ``acknowledged_sent_at`` is the sending time of the latest local heartbeat
    that the entry has confirmed; minus infinity if there is none.
    ``last_acks`` maps each agent that the entry reported as silent to the
    latest local time at which it can have acknowledged the agent.
    ``former_members_until`` bounds the acknowledgements by entries that are
    not members at ``view_revision``.
    """

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    heard_at: float
    sent_after: float
    acknowledged_sent_at: float
    settings_version: int
    ranges: tuple[messages.RangeClaim, ...]
    last_acks: dict[identifiers.NodeId, float]
    draining: bool
    view_revision: int
    former_members_until: float


def freshness_lower_bound(
    sent_at: float | None, echo_age_s: float, fresh_age_s: float
) -> float | None:
    """Return a lower bound of the time when a peer's settings were fresh.

    The peer received the local heartbeat, which was sent at ``sent_at``, at
    ``echo_age_s`` before it sent its own heartbeat. It confirmed its settings
    ``fresh_age_s`` before that sending, hence no earlier than
    ``sent_at + echo_age_s - fresh_age_s``. Message delays only make the bound
    earlier.

    :param sent_at: local sending time of the echoed heartbeat, None if
        unknown.
    :param echo_age_s: age of its receipt when the peer sent its heartbeat.
    :param fresh_age_s: age of the peer's confirmation at the same time.
    :returns: a local time, or None if there is no bound.
    """
    if sent_at is None:
        return None
    margin_s = CLOCK_RATE_MARGIN * abs(echo_age_s - fresh_age_s)
    return sent_at + echo_age_s - fresh_age_s - margin_s


class EntryMesh:
    """Exchanges heartbeats with the other entries.

    :param hub: connections to the peers.
    :param settings: follower that accepts settings from other entries.
    :param directory: agents known to this entry.
    :param ranges: returns the ranges that this entry owns now.
    :param former_members: bound for the acknowledgements of former members.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        settings: SettingsReceiver,
        directory: _agent_directory.AgentDirectory,
        ranges: _agent_directory.RangeSource,
        former_members: FormerMemberBound,
    ) -> None:
        self._hub = hub
        self._settings = settings
        self._directory = directory
        self._ranges = ranges
        self._former_members = former_members
        self._views: dict[identifiers.NodeId, EntryView] = {}
        self._sent_at: dict[int, float] = {}
        self._last_received: dict[identifiers.NodeId, tuple[int, float]] = {}
        self._seq = 0
        self.draining = False
        hub.subscribe(messages.EntryHeartbeat, self._on_heartbeat)
        hub.subscribe(messages.SettingsUpdate, self._on_settings)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Send a heartbeat to every entry twice a second."""
        task_status.started()
        while True:
            await self.send_heartbeats()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to every connected entry now."""
        self._seq += 1
        self._sent_at[self._seq] = trio.current_time()
        self._sent_at.pop(self._seq - SENT_TIMES_KEPT, None)
        silent = self._directory.silent(
            reported=self._agents_reported_silent()
        )
        for peer in self._hub.peers('entry'):
            try:
                await self._hub.send(
                    peer.node_id, self._heartbeat(peer.node_id, silent)
                )
            except errors.PeerUnreachable:
                continue

    def entries(self) -> tuple[EntryView, ...]:
        """Return the last heartbeat of every other entry."""
        return tuple(self._views.values())

    def view(self, node_id: identifiers.NodeId) -> EntryView | None:
        """Return the last heartbeat of another entry, or None."""
        return self._views.get(node_id)

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the other entry that claims a range, or None.

        :param range_id: the range.
        :returns: the claimant with the highest fencing token among the
            connected entries; claims of disconnected ones are ignored.
        """
        latest_claim: tuple[int, identifiers.NodeId] | None = None
        connected = {peer.node_id for peer in self._hub.peers('entry')}
        for view in self._views.values():
            if view.node_id not in connected:
                continue
            for claim in view.ranges:
                candidate = (int(claim.fencing), view.node_id)
                if claim.range_id == range_id and (
                    latest_claim is None or candidate > latest_claim
                ):
                    latest_claim = candidate
        return latest_claim[1] if latest_claim else None

    def last_ack_by(
        self, entry: identifiers.NodeId, agent: identifiers.NodeId
    ) -> float | None:
        """Return an upper bound of an entry's last acknowledgement.

        :param entry: the other entry.
        :param agent: the agent in question.
        :returns: the latest possible local time, or None if the entry's last
            heartbeat did not report the agent as silent.
        """
        view = self._views.get(entry)
        return view.last_acks.get(agent) if view else None

    def _heartbeat(
        self,
        node_id: identifiers.NodeId,
        silent: tuple[messages.SilentAgent, ...],
    ) -> messages.EntryHeartbeat:
        now = trio.current_time()
        echo_seq, received_at = self._last_received.get(node_id, (0, now))
        return messages.EntryHeartbeat(
            boot_id=self._hub.boot_id,
            seq=self._seq,
            clock=now,
            settings_version=self._settings.settings.version,
            fresh_age_s=now - self._settings.fresh_at,
            ranges=self._ranges(),
            silent=silent,
            draining=self.draining,
            echo_seq=echo_seq,
            echo_age_s=now - received_at,
            view_revision=self._former_members.revision,
            outsiders_for_s=max(
                0.0, self._former_members.advertised_until(now) - now
            ),
        )

    async def _on_heartbeat(
        self, peer: ports.Peer, msg: messages.EntryHeartbeat, _payload: bytes
    ) -> None:
        if msg.boot_id != peer.boot_id:
            observability.emit(events.BOOT_ID_MISMATCH, peer=peer.node_id)
            return
        now = trio.current_time()
        self._last_received[peer.node_id] = (msg.seq, now)
        echoed_sent_at = self._echoed_sent_at(peer, msg)
        self._views[peer.node_id] = EntryView(
            node_id=peer.node_id,
            boot_id=peer.boot_id,
            heard_at=now,
            sent_after=echoed_sent_at
            + msg.echo_age_s * (1.0 - CLOCK_RATE_MARGIN),
            acknowledged_sent_at=echoed_sent_at,
            settings_version=msg.settings_version,
            ranges=msg.ranges,
            last_acks={
                agent.node_id: now - agent.last_ack_age_s
                for agent in msg.silent
            },
            draining=msg.draining,
            view_revision=msg.view_revision,
            former_members_until=now + msg.outsiders_for_s,
        )
        await self._exchange_settings(peer, msg)

    def _echoed_sent_at(
        self, peer: ports.Peer, msg: messages.EntryHeartbeat
    ) -> float:
        """Return when the latest heartbeat echoed by the peer was sent."""
        known = self._views.get(peer.node_id)
        if known is not None and known.boot_id == peer.boot_id:
            earlier = known.acknowledged_sent_at
        else:
            earlier = NEVER
        return max(earlier, self._sent_at.get(msg.echo_seq, NEVER))

    async def _exchange_settings(
        self,
        peer: ports.Peer,
        msg: messages.EntryHeartbeat,
    ) -> None:
        local = self._settings.settings
        if msg.settings_version == local.version:
            sent_at = self._sent_at.get(msg.echo_seq)
            fresh_at = freshness_lower_bound(
                sent_at, msg.echo_age_s, msg.fresh_age_s
            )
            if fresh_at is not None:
                self._settings.observe(local, fresh_at)
        elif msg.settings_version < local.version:
            await self._send_settings(peer)

    async def _send_settings(self, peer: ports.Peer) -> None:
        update = messages.SettingsUpdate(self._settings.settings)
        try:
            await self._hub.send(peer.node_id, update)
        except errors.PeerUnreachable:
            return

    async def _on_settings(
        self, _peer: ports.Peer, msg: messages.SettingsUpdate, _payload: bytes
    ) -> None:
        # The message may be delayed, so it confirms no freshness.
        self._settings.observe(msg.settings, NEVER)

    def _agents_reported_silent(
        self,
    ) -> collections.abc.Iterator[identifiers.NodeId]:
        for view in self._views.values():
            yield from view.last_acks

    def forget(self, live: collections.abc.Collection[str]) -> None:
        """Drop silent entries that are not members.

        Call it only with a member list that was just read from the store,
        because acknowledgements during an outage no longer depend on contact
        with a dropped entry.

        :param live: node ids of the current members.
        """
        limit = trio.current_time() - FORGET_AFTER_S
        for node_id, view in list(self._views.items()):
            if node_id not in live and view.heard_at < limit:
                del self._views[node_id]
                self._last_received.pop(node_id, None)
