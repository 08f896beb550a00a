"""Load and health of agents as one entry sees them, kept fresh."""

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

FULL_PAUSE_S = 0.05  # room comes free within a few answers
LEAVING_PAUSE_S = 1.5  # a heartbeat with the new state comes each second


@dataclasses.dataclass(frozen=True)
class _Report:
    """Own requests in progress when the agent last reported its load."""

    heard_at: float
    own: int
    own_open: int


class LoadBook:
    """Counts own requests on top of the load that agents report.

    Reports are up to a second old. What this entry sent since then is known
    exactly, so only the other entries' part is taken from the report.

    :param data_centre: where this entry is.
    """

    def __init__(self, data_centre: identifiers.DataCentreName) -> None:
        self._data_centre = data_centre
        self._own: collections.Counter[str] = collections.Counter()
        self._own_open: collections.Counter[str] = collections.Counter()
        self._reports: dict[str, _Report] = {}
        self._health: dict[str, _outliers.Health] = {}
        self._full_until: dict[str, float] = {}

    def sent(self, node_id: identifiers.NodeId) -> None:
        """Note that a request was sent to an agent."""
        self._own[node_id] += 1
        self._own_open[node_id] += 1

    def feed_began(self, node_id: identifiers.NodeId) -> None:
        """Note that a request became a feed, which holds no slot."""
        _decrement(self._own, node_id)

    def ended(self, node_id: identifiers.NodeId, *, feed: bool) -> None:
        """Note that a request at an agent ended."""
        _decrement(self._own_open, node_id)
        if not feed:
            _decrement(self._own, node_id)

    def refused(
        self, node_id: identifiers.NodeId, now: float, *, leaving: bool
    ) -> None:
        """Note that an agent refused a request.

        It is left alone until it has had time to report its new state.

        :param node_id: the agent.
        :param now: local time in seconds.
        :param leaving: whether it refused for longer than a moment.
        """
        pause = LEAVING_PAUSE_S if leaving else FULL_PAUSE_S
        self._full_until[node_id] = now + pause

    def succeeded(self, node_id: identifiers.NodeId) -> None:
        """Note a good answer of an agent's backend server."""
        health = self._health.get(node_id)
        self._health[node_id] = _outliers.after_success(
            health or _outliers.Health()
        )

    def failed(self, node_id: identifiers.NodeId, now: float) -> None:
        """Note a failure of an agent or its backend server."""
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
        agents: collections.abc.Iterable[views.AgentView],
        service: identifiers.ServiceName,
        cfg: settings.Settings,
        now: float,
    ) -> tuple[_balancing.Candidate, ...]:
        """List the agents that may get a request.

        Data centres out of service are used only if no other serves it. At
        most half of the agents stay ejected, since failures everywhere have
        another cause than the agents.

        :param agents: what is known of all agents.
        :param service: the service asked for.
        :param cfg: the operators' configuration.
        :param now: local time in seconds.
        """
        serving = [
            agent for agent in agents if _balancing.serves(agent, service, now)
        ]
        in_service = [
            agent
            for agent in serving
            if cfg.data_centre_in_service(agent.data_centre)
        ]
        listed = [
            self._candidate(agent, now) for agent in in_service or serving
        ]
        ejected = sum(1 for one in listed if one.share == 0)
        if ejected > len(listed) * _outliers.MAX_EJECTED_SHARE:
            listed = [dataclasses.replace(one, share=1.0) for one in listed]
        return tuple(listed)

    def forget_absent(
        self, agents: collections.abc.Iterable[views.AgentView]
    ) -> None:
        """Drop what is kept of agents that are gone."""
        present = {agent.node_id for agent in agents}
        known = {*self._reports, *self._health, *self._full_until}
        for node_id in known - present:
            self._reports.pop(node_id, None)
            self._health.pop(node_id, None)
            self._full_until.pop(node_id, None)

    def _candidate(
        self, agent: views.AgentView, now: float
    ) -> _balancing.Candidate:
        node_id = agent.node_id
        own, own_open = self._own[node_id], self._own_open[node_id]
        report = self._reports.get(node_id)
        if report is None or report.heard_at != agent.heard_at:
            report = _Report(agent.heard_at, own, own_open)
            self._reports[node_id] = report
        load = agent.load
        others = max(0, load.slots_used + load.queued - report.own)
        others_open = max(0, load.connections_used - report.own_open)
        open_count = own_open + others_open
        if self._full_until.get(node_id, 0.0) > now:
            open_count = max(open_count, load.connections)
        health = self._health.get(node_id) or _outliers.Health()
        return _balancing.Candidate(
            agent,
            own + others,
            _outliers.share(health, now),
            agent.data_centre == self._data_centre,
            open_count,
        )


def _decrement(
    counter: collections.Counter[str], node_id: identifiers.NodeId
) -> None:
    counter[node_id] -= 1
    if counter[node_id] <= 0:
        del counter[node_id]
