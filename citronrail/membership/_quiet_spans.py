"""Periods in which no entry can have acknowledged an agent."""

import collections.abc
import dataclasses
import math
import typing

import trio

from citronrail import coordination
from citronrail.membership import _acknowledgement
from citronrail.membership import _agent_directory
from citronrail.membership import _entry_mesh
from citronrail.model import identifiers
from citronrail.model import views
from citronrail import scheduling

POLL_INTERVAL_S = 0.25
MAX_READ_AGE_S = 3.0
NEVER = float('-inf')
MAX_CONTACT_TIMEOUT_S = _acknowledgement.CONTACT_TIMEOUT_S * 1.01


HeartbeatLookup = collections.abc.Callable[
    [identifiers.NodeId], _entry_mesh.EntryView | None
]


class MembershipSource(typing.Protocol):
    """Source of the member list and the state of this entry's lease."""

    def membership(self) -> coordination.MembershipState:
        """Return the current state."""
        ...


@dataclasses.dataclass(frozen=True)
class FormerMember:
    """An entry without a membership key that may still be running.

    ``stops_at`` is the local time by which it stops acknowledging agents
    unless another heartbeat of it arrives. ``depends_on_contact`` is set if it
    stops soon after losing contact with this entry; otherwise ``stops_at`` is
    the end of the longest possible outage.
    """

    entry: coordination.EntryMember
    stops_at: float
    depends_on_contact: bool


class FormerMembers:
    """Upper bound of the time at which former members acknowledge agents.

    A new entry does not know the members before it. It assumes the longest
    possible outage until another member sends a smaller bound, based on a read
    of the store that is at least as recent as the first read here.

    :param source: the members as read from the store.
    :param own_id: node id of this entry.
    """

    def __init__(
        self, source: MembershipSource, own_id: identifiers.NodeId
    ) -> None:
        self._source = source
        self._own_id = own_id
        self._members: dict[identifiers.NodeId, coordination.EntryMember] = {}
        self._former: dict[coordination.EntryMember, FormerMember] = {}
        self._first_revision = 0
        self._prior_members_stop_at = math.inf

    @property
    def prior_members_stop_at(self) -> float:
        """Local time by which members unknown to this entry have stopped."""
        return self._prior_members_stop_at

    @property
    def revision(self) -> int:
        """Store revision of the latest read of the members."""
        return self._source.membership().revision

    def former(self) -> tuple[FormerMember, ...]:
        """Return the former members that this entry has seen."""
        return tuple(self._former.values())

    def advertised_until(self, now: float) -> float:
        """Return the bound to send to other entries, as local time.

        :param now: local time in seconds.
        :returns: the end of the longest possible outage while a former member
            may still acknowledge, because other entries do not see its
            heartbeats to this one.
        """
        bounds = [self._prior_members_stop_at]
        for former in self._former.values():
            if former.stops_at > now:
                bounds.append(now + _acknowledgement.OUTAGE_LIMIT_S)
            else:
                bounds.append(former.stops_at)
        return max(bounds)

    def update(self, now: float, latest_heartbeat: HeartbeatLookup) -> None:
        """Update the bounds from the member list and heartbeats.

        :param now: local time in seconds.
        :param latest_heartbeat: returns the last heartbeat of an entry.
        """
        state = self._source.membership()
        if state.revision == 0:
            return
        if self._first_revision == 0:
            self._first_revision = state.revision
            limit_s = _acknowledgement.OUTAGE_LIMIT_S
            self._prior_members_stop_at = (
                now + limit_s if state.has_history else NEVER
            )
        present_members = {entry.node_id: entry for entry in state.entries}
        present_members.pop(self._own_id, None)
        for node_id, entry in self._members.items():
            if present_members.get(node_id) != entry:
                self._former[entry] = self._assess_departed(
                    now, entry, latest_heartbeat(node_id), state.joined_at
                )
        self._members = present_members
        for entry in present_members.values():
            self._former.pop(entry, None)
            self._apply_peer_bound(latest_heartbeat(entry.node_id))
        self._update_former(now, latest_heartbeat)

    def _assess_departed(
        self,
        now: float,
        entry: coordination.EntryMember,
        view: _entry_mesh.EntryView | None,
        joined_at: float,
    ) -> FormerMember:
        """Determine when a member without a membership key stops.

        It depends on contact with this entry only if it received a heartbeat
        that was sent after this entry joined.
        """
        same_boot = view is not None and view.boot_id == entry.boot_id
        if (
            view is not None
            and same_boot
            and view.acknowledged_sent_at > joined_at
        ):
            stops_at = max(now, view.heard_at + MAX_CONTACT_TIMEOUT_S)
            return FormerMember(entry, stops_at, True)
        stops_at = now + _acknowledgement.OUTAGE_LIMIT_S
        return FormerMember(entry, stops_at, False)

    def _update_former(
        self, now: float, latest_heartbeat: HeartbeatLookup
    ) -> None:
        for former in self.former():
            view = latest_heartbeat(former.entry.node_id)
            same_boot = (
                view is not None and view.boot_id == former.entry.boot_id
            )
            if view is not None and same_boot and former.depends_on_contact:
                stops_at = view.heard_at + MAX_CONTACT_TIMEOUT_S
                self._former[former.entry] = dataclasses.replace(
                    former, stops_at=max(former.stops_at, stops_at)
                )
            elif former.stops_at < now - _acknowledgement.OUTAGE_LIMIT_S:
                del self._former[former.entry]

    def _apply_peer_bound(self, view: _entry_mesh.EntryView | None) -> None:
        if view is None or view.view_revision < self._first_revision:
            return
        self._prior_members_stop_at = min(
            self._prior_members_stop_at, view.former_members_until
        )


class AgentSilence:
    """Determines for how long agents have not been acknowledged.

    :param directory: agents known to this entry.
    :param mesh: heartbeats of the other entries.
    :param source: the members as read from the store.
    :param former_members: bound for former members.
    :param own_id: node id of this entry.
    """

    def __init__(
        self,
        directory: _agent_directory.AgentDirectory,
        mesh: _entry_mesh.EntryMesh,
        source: MembershipSource,
        former_members: FormerMembers,
        own_id: identifiers.NodeId,
    ) -> None:
        self._directory = directory
        self._mesh = mesh
        self._source = source
        self._former_members = former_members
        self._own_id = own_id

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Track the members until cancelled."""
        task_status.started()
        while True:
            now = trio.current_time()
            self._former_members.update(now, self._mesh.view)
            self._forget_departed_entries(now)
            self._directory.allow_acknowledging(self._may_acknowledge(now))
            await trio.sleep(POLL_INTERVAL_S)

    def _forget_departed_entries(self, now: float) -> None:
        state = self._source.membership()
        if state.read_at > now - MAX_READ_AGE_S:
            self._mesh.forget({entry.node_id for entry in state.entries})

    def agents(self) -> tuple[views.AgentView, ...]:
        """Return the last known state of each agent."""
        return self._directory.agents()

    def quiet_spans(
        self, node_id: identifiers.NodeId
    ) -> tuple[scheduling.QuietSpan, ...]:
        """Return the periods without acknowledgements, one for each entry.

        :param node_id: node id of the agent.
        :returns: a span for this entry, one for unknown earlier members, and
            one for each other member and known former member.
        """
        now = trio.current_time()
        state = self._source.membership()
        # Update first, so that a member that has just left the list is
        # counted among the former members.
        self._former_members.update(now, self._mesh.view)
        # An entry that joined after the read may acknowledge unnoticed.
        own_span = scheduling.QuietSpan(
            self._directory.last_ack(node_id), min(now, state.read_at)
        )
        prior_members = scheduling.QuietSpan(
            self._former_members.prior_members_stop_at, math.inf
        )
        members = (
            self._span_of(entry, node_id, now)
            for entry in state.entries
            if entry.node_id != self._own_id
        )
        former = (
            self._span_of_former(entry, node_id, now)
            for entry in self._former_members.former()
        )
        return (own_span, prior_members, *members, *former)

    def _span_of(
        self,
        entry: coordination.EntryMember,
        node_id: identifiers.NodeId,
        now: float,
    ) -> scheduling.QuietSpan:
        view = self._mesh.view(entry.node_id)
        if view is None or view.boot_id != entry.boot_id:
            return scheduling.QuietSpan(now, now)
        last_ack = view.last_acks.get(node_id)
        if last_ack is None:
            return scheduling.QuietSpan(now, now)
        return scheduling.QuietSpan(last_ack, view.sent_after)

    def _span_of_former(
        self, former: FormerMember, node_id: identifiers.NodeId, now: float
    ) -> scheduling.QuietSpan:
        if former.stops_at <= now:
            return scheduling.QuietSpan(former.stops_at, math.inf)
        return self._span_of(former.entry, node_id, now)

    def _may_acknowledge(self, now: float) -> bool:
        state = self._source.membership()
        other_ids = {entry.node_id for entry in state.entries} | {
            view.node_id for view in self._mesh.entries()
        }
        other_ids.discard(self._own_id)
        entry_views = [self._mesh.view(node_id) for node_id in other_ids]
        return _acknowledgement.may_acknowledge(
            now,
            state.lease_holds,
            state.last_contact,
            [
                view.acknowledged_sent_at if view else NEVER
                for view in entry_views
            ],
        )
