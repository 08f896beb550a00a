"""How long each entry has certainly not acknowledged an agent."""

import collections.abc
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
NEVER = float('-inf')
CONTACT_WITH_MARGIN_S = _acknowledgement.CONTACT_S * 1.01


class MembershipSource(typing.Protocol):
    """Gives the members and the state of the own store lease."""

    def membership(self) -> coordination.MembershipState:
        """Return the present state."""
        ...


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
        self._known: dict[identifiers.NodeId, coordination.EntryMember] = {}
        self._first_revision = 0
        self._before_us = float('inf')
        self._departed = NEVER

    @property
    def until(self) -> float:
        """Local time after which no former member acknowledges."""
        return max(self._before_us, self._departed)

    @property
    def revision(self) -> int:
        """Revision of the latest read of the members."""
        return self._source.membership().revision

    def update(
        self,
        now: float,
        heard: collections.abc.Callable[
            [identifiers.NodeId], _entry_mesh.EntryView | None
        ],
    ) -> None:
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
        for node_id, entry in self._known.items():
            if present.get(node_id) != entry:
                self._note_departure(now, entry, heard(node_id))
        self._known = present
        for node_id in present:
            self._note_bound(heard(node_id))

    def _note_departure(
        self,
        now: float,
        entry: coordination.EntryMember,
        view: _entry_mesh.EntryView | None,
    ) -> None:
        """Bound the acknowledgements of a member whose key is gone."""
        known = view is not None and view.boot_id == entry.boot_id
        if view is not None and known and view.knows_us_at > NEVER:
            until = max(now, view.heard_at + CONTACT_WITH_MARGIN_S)
        else:
            until = now + _acknowledgement.OUTAGE_LIMIT_S
        self._departed = max(self._departed, until)

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
            self._directory.allow_acknowledging(self._may_acknowledge(now))
            await trio.sleep(POLL_INTERVAL_S)

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
        spans = [
            scheduling.QuietSpan(self._directory.last_ack(node_id), now),
            scheduling.QuietSpan(self._outsiders.until, math.inf),
        ]
        for entry in self._source.membership().entries:
            if entry.node_id != self._own:
                spans.append(self._span_of(entry, node_id, now))
        return tuple(spans)

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
