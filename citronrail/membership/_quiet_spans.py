"""How long each entry has certainly not acknowledged an agent."""

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
FRESH_READ_S = 3.0
NEVER = float('-inf')
CONTACT_WITH_MARGIN_S = _acknowledgement.CONTACT_S * 1.01


Heard = collections.abc.Callable[
    [identifiers.NodeId], _entry_mesh.EntryView | None
]


class MembershipSource(typing.Protocol):
    """Gives the members and the state of the own store lease."""

    def membership(self) -> coordination.MembershipState:
        """Return the present state."""
        ...


@dataclasses.dataclass(frozen=True)
class FormerMember:
    """An entry whose membership key is gone, though it may still run.

    ``stops_at`` is the local time by which it has certainly stopped to
    acknowledge agents, as long as no further heartbeat of it comes.
    ``in_contact`` tells whether it stops soon after losing contact with this
    entry; if not, ``stops_at`` is the longest outage.
    """

    entry: coordination.EntryMember
    stops_at: float
    in_contact: bool


class Outsiders:
    """Bounds until when former members may acknowledge agents.

    A new entry can't know who was a member before it. It assumes the longest
    outage until another member, whose read of the store is at least as
    recent as the first one here, tells a lower bound.

    :param source: the members as read from the store.
    :param own: identity of this entry.
    """

    def __init__(
        self, source: MembershipSource, own: identifiers.NodeId
    ) -> None:
        self._source = source
        self._own = own
        self._members: dict[identifiers.NodeId, coordination.EntryMember] = {}
        self._former: dict[coordination.EntryMember, FormerMember] = {}
        self._first_revision = 0
        self._before_us = math.inf

    @property
    def before_us(self) -> float:
        """Local time by which members of before this entry have stopped."""
        return self._before_us

    @property
    def revision(self) -> int:
        """Revision of the latest read of the members."""
        return self._source.membership().revision

    def former(self) -> tuple[FormerMember, ...]:
        """Return the former members that this entry knew."""
        return tuple(self._former.values())

    def told_until(self, now: float) -> float:
        """Return the local time that other entries may rely on.

        :param now: local time in seconds.
        :returns: the end of the longest outage while a former member keeps
            contact with this entry, since others don't hear of it.
        """
        bounds = [self._before_us]
        for former in self._former.values():
            if former.stops_at > now:
                bounds.append(now + _acknowledgement.OUTAGE_LIMIT_S)
            else:
                bounds.append(former.stops_at)
        return max(bounds)

    def update(self, now: float, heard: Heard) -> None:
        """Take in the latest read of the members and their heartbeats.

        :param now: local time in seconds.
        :param heard: gives the last heartbeat of an entry.
        """
        state = self._source.membership()
        if state.revision == 0:
            return
        if self._first_revision == 0:
            self._first_revision = state.revision
            limit_s = _acknowledgement.OUTAGE_LIMIT_S
            self._before_us = now + limit_s if state.has_history else NEVER
        present = {entry.node_id: entry for entry in state.entries}
        present.pop(self._own, None)
        for node_id, entry in self._members.items():
            if present.get(node_id) != entry:
                self._former[entry] = self._departed(
                    now, entry, heard(node_id), state.joined_at
                )
        self._members = present
        for entry in present.values():
            self._former.pop(entry, None)
            self._note_bound(heard(entry.node_id))
        self._follow_former(now, heard)

    def _departed(
        self,
        now: float,
        entry: coordination.EntryMember,
        view: _entry_mesh.EntryView | None,
        joined_at: float,
    ) -> FormerMember:
        """Judge a member whose key is gone.

        It needs contact with this entry to go on only if it received a
        heartbeat that was sent after this entry joined.
        """
        known = view is not None and view.boot_id == entry.boot_id
        if view is not None and known and view.knows_us_at > joined_at:
            stops_at = max(now, view.heard_at + CONTACT_WITH_MARGIN_S)
            return FormerMember(entry, stops_at, True)
        stops_at = now + _acknowledgement.OUTAGE_LIMIT_S
        return FormerMember(entry, stops_at, False)

    def _follow_former(self, now: float, heard: Heard) -> None:
        for former in self.former():
            view = heard(former.entry.node_id)
            same = view is not None and view.boot_id == former.entry.boot_id
            if view is not None and same and former.in_contact:
                stops_at = view.heard_at + CONTACT_WITH_MARGIN_S
                self._former[former.entry] = dataclasses.replace(
                    former, stops_at=max(former.stops_at, stops_at)
                )
            elif former.stops_at < now - _acknowledgement.OUTAGE_LIMIT_S:
                del self._former[former.entry]

    def _note_bound(self, view: _entry_mesh.EntryView | None) -> None:
        if view is None or view.view_revision < self._first_revision:
            return
        self._before_us = min(self._before_us, view.outsiders_until)


class AgentSilence:
    """Agents and how long they have certainly not been acknowledged.

    :param directory: this entry's own view.
    :param mesh: heartbeats of the other entries.
    :param source: the members as read from the store.
    :param outsiders: bound for former members.
    :param own: identity of this entry.
    """

    def __init__(
        self,
        directory: _agent_directory.AgentDirectory,
        mesh: _entry_mesh.EntryMesh,
        source: MembershipSource,
        outsiders: Outsiders,
        own: identifiers.NodeId,
    ) -> None:
        self._directory = directory
        self._mesh = mesh
        self._source = source
        self._outsiders = outsiders
        self._own = own

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow the members until cancelled."""
        task_status.started()
        while True:
            now = trio.current_time()
            self._outsiders.update(now, self._mesh.view)
            self._forget(now)
            self._directory.allow_acknowledging(self._may_acknowledge(now))
            await trio.sleep(POLL_INTERVAL_S)

    def _forget(self, now: float) -> None:
        state = self._source.membership()
        if state.read_at > now - FRESH_READ_S:
            self._mesh.forget({entry.node_id for entry in state.entries})

    def agents(self) -> tuple[views.AgentView, ...]:
        """Return the last known state of each agent."""
        return self._directory.agents()

    def quiet_spans(
        self, node_id: identifiers.NodeId
    ) -> tuple[scheduling.QuietSpan, ...]:
        """Return how long each entry has not acknowledged an agent.

        :param node_id: node id of the agent.
        :returns: a span for this entry, for each other member, and one for
            all former members.
        """
        now = trio.current_time()
        state = self._source.membership()
        # A member that has just left the list must be among the former ones.
        self._outsiders.update(now, self._mesh.view)
        # An entry that joined after the read may acknowledge unseen.
        own = scheduling.QuietSpan(
            self._directory.last_ack(node_id), min(now, state.read_at)
        )
        before = scheduling.QuietSpan(self._outsiders.before_us, math.inf)
        members = (
            self._span_of(entry, node_id, now)
            for entry in state.entries
            if entry.node_id != self._own
        )
        former = (
            self._span_of_former(entry, node_id, now)
            for entry in self._outsiders.former()
        )
        return (own, before, *members, *former)

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
        others = {entry.node_id for entry in state.entries} | {
            view.node_id for view in self._mesh.entries()
        }
        others.discard(self._own)
        views_of = [self._mesh.view(node_id) for node_id in others]
        return _acknowledgement.may_acknowledge(
            now,
            state.lease_holds,
            state.last_contact,
            [view.knows_us_at if view else NEVER for view in views_of],
        )
