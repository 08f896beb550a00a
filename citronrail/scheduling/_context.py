"""Limits and dependencies shared by all shards of a scheduler."""

import collections.abc
import dataclasses
import random

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import views
from citronrail.ports import peers
from citronrail.scheduling import _interfaces
from citronrail.scheduling import _policies
from citronrail.scheduling import _reservations


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a scheduler; times in seconds.

    ``starts_a_round`` limits the duration of a round and the number of
    starts in one commit; ``moves_a_round`` limits how many checkpoints
    are requested at once. A replacement counts as ready when its backend
    server is announced, or after ``replica_ready_s``. A replica that
    shares a worker with another one of its service is moved after
    ``replica_settled_s``. When a data centre or worker is taken out of
    service, tasks that can't be checkpointed may keep running there if they
    are expected to finish within ``drain_grace_s``.
    """

    round_s: float = 0.1
    upkeep_s: float = 1.0
    starts_a_round: int = 200
    moves_a_round: int = 16
    start_window_s: float = 2.0
    permit_s: float = 2.5
    replica_ready_s: float = 15.0
    replica_settled_s: float = 30.0
    drain_grace_s: float = 60.0
    ramp_s: float = 30.0
    ramp_first_share: float = 0.1


@dataclasses.dataclass
class FleetUsage:
    """Reservations by team, taken from the agents' usage reports."""

    by_node: dict[identifiers.NodeId, tuple[messages.TeamReservation, ...]] = (
        dataclasses.field(default_factory=dict)
    )

    def by_team(self) -> dict[identifiers.TeamName, resources.Resources]:
        """Return the sum over all agents."""
        total: dict[identifiers.TeamName, resources.Resources] = {}
        for reserved in self.by_node.values():
            for item in reserved:
                before = total.get(item.team, resources.Resources())
                total[item.team] = before + item.reserved
        return total


@dataclasses.dataclass(frozen=True)
class Context:
    """Dependencies of the shards.

    ``wall_clock`` returns Unix time in seconds. ``ramps`` holds, for each data
    centre that was put back in service, the share of its agents that may be
    used now.
    """

    hub: peers.PeerHub
    settings: _interfaces.SettingsView
    agents: _interfaces.AgentsView
    policies: _policies.Policies
    range_of: collections.abc.Callable[[str], identifiers.RangeId]
    rng: random.Random
    wall_clock: collections.abc.Callable[[], float]
    limits: Limits
    reservations: _reservations.Reservations
    usage: FleetUsage
    ramps: dict[str, float]

    def views(self) -> dict[identifiers.NodeId, views.AgentView]:
        """Return the agents by node id."""
        return {view.node_id: view for view in self.agents.agents()}

    def settings_fresh_until(self) -> float:
        """Return the local time until which starts may be sent."""
        return self.settings.fresh_at + self.limits.permit_s
