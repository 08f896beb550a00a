"""Agents as the scheduler sees them, with silence seen by all entries."""

import collections.abc
import typing

import trio

from citronrail.model import identifiers
from citronrail.model import views
from citronrail.scheduling import _agent_loss

DEPARTED_KEPT_S = 120.0


class Directory(typing.Protocol):
    """What this entry knows of agents, from their heartbeats."""

    def agents(self) -> tuple[views.AgentView, ...]:
        """Return the last known state of every agent."""
        ...

    def last_ack(self, node_id: identifiers.NodeId) -> float:
        """Return when this entry last acknowledged an agent."""
        ...


class EntryNews(typing.Protocol):
    """Last heartbeat of another entry."""

    @property
    def node_id(self) -> identifiers.NodeId:
        """Node id of the entry."""
        ...

    @property
    def sent_after(self) -> float:
        """Local time after which the heartbeat was certainly sent."""
        ...

    @property
    def last_acks(
        self,
    ) -> collections.abc.Mapping[identifiers.NodeId, float]:
        """Latest local times of acknowledgement of the silent agents."""
        ...


class Mesh(typing.Protocol):
    """Heartbeats of other entries."""

    def entries(self) -> collections.abc.Sequence[EntryNews]:
        """Return the last heartbeat of each other entry."""
        ...


class FleetView:
    """Joins what all entries say about agents.

    :param directory: this entry's own knowledge.
    :param mesh: heartbeats of the other entries.
    :param node_id: node id of this entry.
    :param members: node ids of the entries whose store lease had not expired
        when the store was last read.
    """

    def __init__(
        self,
        directory: Directory,
        mesh: Mesh,
        node_id: identifiers.NodeId,
        members: collections.abc.Callable[
            [], collections.abc.Collection[identifiers.NodeId]
        ],
    ) -> None:
        self._directory = directory
        self._mesh = mesh
        self._node_id = node_id
        self._members = members
        self._present: set[identifiers.NodeId] = set()
        self._departed_at: dict[identifiers.NodeId, float] = {}

    def agents(self) -> tuple[views.AgentView, ...]:
        """Return the last known state of every agent."""
        return self._directory.agents()

    def quiet_spans(
        self, node_id: identifiers.NodeId
    ) -> tuple[_agent_loss.QuietSpan, ...]:
        """Return how long each entry has not acknowledged an agent.

        :param node_id: node id of the agent.
        :returns: own span first, then those of the other entries.
        """
        now = trio.current_time()
        self._follow_members(now)
        news = {view.node_id: view for view in self._mesh.entries()}
        spans = [_agent_loss.own_span(self._directory.last_ack(node_id), now)]
        for entry in self._present:
            view = news.get(entry)
            if view is None or node_id not in view.last_acks:
                spans.append(_agent_loss.acknowledging_span(now))
            else:
                spans.append(
                    _agent_loss.QuietSpan(
                        view.last_acks[node_id], view.sent_after
                    )
                )
        spans.extend(
            _agent_loss.departed_span(at) for at in self._departed_at.values()
        )
        return tuple(spans)

    def _follow_members(self, now: float) -> None:
        """Note entries that left; their acknowledgements ended by then."""
        present = {m for m in self._members() if m != self._node_id}
        for entry in self._present - present:
            self._departed_at[entry] = now
        self._present = present
        self._departed_at = {
            entry: at
            for entry, at in self._departed_at.items()
            if at + DEPARTED_KEPT_S > now and entry not in present
        }
