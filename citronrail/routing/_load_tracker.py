"""Tracks load and health of the agents as seen by one entry."""

import collections
import collections.abc
import dataclasses

from citronrail.model import identifiers
from citronrail.model import settings
from citronrail.model import views
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail.routing import _balancing
from citronrail.routing import _outliers

FULL_BACKOFF_S = 0.05  # a connection becomes free within a few responses
SERVING_CACHE_S = 0.02
LEAVING_BACKOFF_S = 1.5  # heartbeats report the new state once a second


@dataclasses.dataclass(frozen=True)
class _Report:
    """Own requests in progress at the time of the last load report."""

    heard_at: float
    own_requests: int
    own_connections: int


@dataclasses.dataclass(frozen=True)
class _Serving:
    """Cached agents of a service; ``valid_until`` is a local time."""

    valid_until: float
    agents: tuple[views.AgentView, ...]


class LoadTracker:
    """Estimates the current load of agents from reports and own requests.

    Reports are up to a second old. The requests of this entry are counted
    exactly, so only the share of the other entries is taken from the report.

    :param data_centre: where this entry is.
    """

    def __init__(self, data_centre: identifiers.DataCentreName) -> None:
        self._data_centre = data_centre
        self._own_requests: collections.Counter[str] = collections.Counter()
        self._own_connections: collections.Counter[str] = collections.Counter()
        self._serving: dict[str, _Serving] = {}
        self._reports: dict[str, _Report] = {}
        self._health: dict[str, _outliers.Health] = {}
        self._full_until: dict[str, float] = {}

    def record_sent(self, node_id: identifiers.NodeId) -> None:
        """Record that a request was sent to an agent."""
        self._own_requests[node_id] += 1
        self._own_connections[node_id] += 1

    def record_event_stream(self, node_id: identifiers.NodeId) -> None:
        """Record that a response is an event stream, which holds no slot."""
        _decrement(self._own_requests, node_id)

    def record_end(
        self, node_id: identifiers.NodeId, *, event_stream: bool
    ) -> None:
        """Record that a request at an agent ended."""
        _decrement(self._own_connections, node_id)
        if not event_stream:
            _decrement(self._own_requests, node_id)

    def record_refusal(
        self, node_id: identifiers.NodeId, now: float, *, leaving: bool
    ) -> None:
        """Record that an agent refused a request.

        The agent counts as full until it has had time to report its state.

        :param node_id: the agent.
        :param now: local time in seconds.
        :param leaving: whether the agent or its backend servers shut down.
        """
        pause = LEAVING_BACKOFF_S if leaving else FULL_BACKOFF_S
        self._full_until[node_id] = now + pause

    def record_success(self, node_id: identifiers.NodeId) -> None:
        """Record a successful response of an agent's backend server."""
        health = self._health.get(node_id)
        self._health[node_id] = _outliers.after_success(
            health or _outliers.Health()
        )

    def record_failure(self, node_id: identifiers.NodeId, now: float) -> None:
        """Record a failure of an agent or its backend server."""
        old = self._health.get(node_id) or _outliers.Health()
        new = _outliers.after_failure(old, now)
        self._health[node_id] = new
        if new.ejected_until > old.ejected_until:
            observability.emit(
                events.AGENT_EJECTED,
                peer=node_id,
                seconds=round(new.ejected_until - now),
            )

    def candidates(
        self,
        agents: collections.abc.Callable[[], tuple[views.AgentView, ...]],
        service: identifiers.ServiceName,
        cfg: settings.Settings,
        now: float,
    ) -> tuple[_balancing.Candidate, ...]:
        """Return the agents that may receive a request.

        Data centres that are out of service are used only if no other one
        serves the service. If more than half of the agents are ejected, none
        is treated as ejected, because failures everywhere have a cause
        outside the agents.

        :param agents: returns the views of all agents.
        :param service: the requested service.
        :param cfg: the current settings.
        :param now: local time in seconds.
        """
        serving = self._serving_agents(agents, service, now)
        in_service = [
            agent
            for agent in serving
            if cfg.data_centre_in_service(agent.data_centre)
        ]
        listed = [
            self._candidate(agent, now) for agent in in_service or serving
        ]
        ejected = sum(1 for candidate in listed if candidate.load_share == 0)
        if ejected > len(listed) * _outliers.MAX_EJECTED_SHARE:
            listed = [
                dataclasses.replace(candidate, load_share=1.0)
                for candidate in listed
            ]
        return tuple(listed)

    def _serving_agents(
        self,
        agents: collections.abc.Callable[[], tuple[views.AgentView, ...]],
        service: identifiers.ServiceName,
        now: float,
    ) -> tuple[views.AgentView, ...]:
        """Return the agents that serve a service.

        The list is cached briefly, because scanning all agents of a large
        fleet would take most of the time of a request. A cached agent that
        has started to shut down refuses the request itself.
        """
        known = self._serving.get(service)
        if known is None or now >= known.valid_until:
            found = tuple(
                agent
                for agent in agents()
                if _balancing.is_serving(agent, service, now)
            )
            known = _Serving(now + SERVING_CACHE_S, found)
            self._serving[service] = known
        return known.agents

    def remove_absent(
        self, agents: collections.abc.Iterable[views.AgentView]
    ) -> None:
        """Remove the state of agents that are no longer present."""
        present = {agent.node_id for agent in agents}
        self._serving.clear()
        known = {*self._reports, *self._health, *self._full_until}
        for node_id in known - present:
            self._reports.pop(node_id, None)
            self._health.pop(node_id, None)
            self._full_until.pop(node_id, None)

    def _candidate(
        self, agent: views.AgentView, now: float
    ) -> _balancing.Candidate:
        node_id = agent.node_id
        own_requests, own_connections = (
            self._own_requests[node_id],
            self._own_connections[node_id],
        )
        report = self._reports.get(node_id)
        if report is None or report.heard_at != agent.heard_at:
            report = _Report(agent.heard_at, own_requests, own_connections)
            self._reports[node_id] = report
        load = agent.load
        other_requests = max(
            0, load.slots_used + load.queued - report.own_requests
        )
        other_connections = max(
            0, load.connections_used - report.own_connections
        )
        open_connections = own_connections + other_connections
        if self._full_until.get(node_id, 0.0) > now:
            open_connections = max(open_connections, load.connections)
        health = self._health.get(node_id) or _outliers.Health()
        return _balancing.Candidate(
            agent,
            own_requests + other_requests,
            _outliers.load_share(health, now),
            agent.data_centre == self._data_centre,
            open_connections,
        )


def _decrement(
    counter: collections.Counter[str], node_id: identifiers.NodeId
) -> None:
    counter[node_id] -= 1
    if counter[node_id] <= 0:
        del counter[node_id]
