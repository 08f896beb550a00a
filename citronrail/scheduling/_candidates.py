"""The candidate workers of a placement round."""

import collections.abc
import dataclasses
import random

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail.model import views
from citronrail.scheduling import _policies
from citronrail.scheduling import _ramps
from citronrail.scheduling import _reservations

MAX_HEARTBEAT_AGE_S = 3.0
# Number of candidates passed to the policy. A larger sample takes more time
# and improves placements little.
SAMPLE_SIZE = 48


@dataclasses.dataclass
class _AgentCapacity:
    """An agent with the free amounts that remain in this round."""

    view: views.AgentView
    free: resources.Resources
    cached_view: views.AgentView | None = None

    def as_view(self) -> views.AgentView:
        """Return the view with the free amounts of this round."""
        if self.cached_view is None:
            self.cached_view = dataclasses.replace(self.view, free=self.free)
        return self.cached_view

    def take(self, amount: resources.Resources) -> None:
        """Reserve an amount."""
        self.free = self.free - amount
        self.cached_view = None


@dataclasses.dataclass(frozen=True)
class Eligibility:
    """Conditions for starting tasks on an agent.

    ``ramps`` maps returned data centres to the share of their agents that may
    be used, from 0.0 to 1.0. All agents of other data centres may be used.
    """

    settings: settings_model.Settings
    ramps: collections.abc.Mapping[str, float]
    may_start: collections.abc.Callable[[identifiers.NodeId], bool]
    now: float

    def allows(self, view: views.AgentView) -> bool:
        """Tell whether an agent may get tasks, apart from ramps."""
        return (
            view.ready
            and not view.leaving
            and view.heard_at + MAX_HEARTBEAT_AGE_S > self.now
            and self.settings.data_centre_in_service(view.data_centre)
            and view.node_id not in self.settings.drained_workers
            and self.may_start(view.node_id)
        )


class Candidates:
    """Eligible agents, with their free amounts during one round.

    :param agents: all known agents.
    :param eligibility: conditions for eligible agents.
    :param reservations: reservations that agents don't report yet.
    :param rng: determines the order in which agents are examined.
    """

    def __init__(
        self,
        agents: tuple[views.AgentView, ...],
        eligibility: Eligibility,
        reservations: _reservations.Reservations,
        rng: random.Random,
    ) -> None:
        now = eligibility.now
        eligible = _apply_ramps(
            [view for view in agents if eligibility.allows(view)],
            eligibility.ramps,
        )
        self._agents = [
            _AgentCapacity(view, reservations.free(view, now))
            for view in eligible
            if not reservations.in_cooldown(view.node_id, now)
        ]
        rng.shuffle(self._agents)
        self._by_node = {agent.view.node_id: agent for agent in self._agents}
        self._cursor = 0
        # Upper bound of each resource over all agents, which rejects most
        # oversized requests without a search.
        self._max_free = resources.Resources()
        for agent in self._agents:
            self._max_free = self._max_free.maximum(agent.free)
        # Sizes for which a complete search found no agent, by allowed data
        # centres.
        self._unplaceable_sizes: dict[
            tuple[identifiers.DataCentreName, ...], list[resources.Resources]
        ] = {}

    def sample(
        self,
        amount: resources.Resources,
        data_centres: tuple[identifiers.DataCentreName, ...],
    ) -> tuple[views.AgentView, ...]:
        """Return up to :data:`SAMPLE_SIZE` agents with enough free capacity.

        :param amount: reservation of the task.
        :param data_centres: allowed data centres; all if empty.
        :returns: views with the free amounts of this round.
        """
        unplaceable = self._unplaceable_sizes.setdefault(data_centres, [])
        if not amount.fits_in(self._max_free) or any(
            size.fits_in(amount) for size in unplaceable
        ):
            return ()
        found: list[views.AgentView] = []
        count = len(self._agents)
        for offset in range(count):
            agent = self._agents[(self._cursor + offset) % count]
            if data_centres and agent.view.data_centre not in data_centres:
                continue
            if amount.fits_in(agent.free):
                found.append(agent.as_view())
                if len(found) == SAMPLE_SIZE:
                    self._cursor = (self._cursor + offset + 1) % count
                    break
        if not found:
            unplaceable.append(amount)
        return tuple(found)

    def take(
        self, node: identifiers.NodeId, amount: resources.Resources
    ) -> None:
        """Reserve an amount on an agent for the rest of the round."""
        self._by_node[node].take(amount)

    def capacity(self) -> resources.Resources:
        """Return the capacity of all eligible agents."""
        total = resources.Resources()
        for agent in self._agents:
            total = total + agent.view.capacity
        return total


def _apply_ramps(
    eligible: list[views.AgentView],
    ramps: collections.abc.Mapping[str, float],
) -> list[views.AgentView]:
    """Filter out agents beyond the ramp share of their data centre."""
    if not ramps:
        return eligible
    selected = [v for v in eligible if v.data_centre not in ramps]
    for name, share in ramps.items():
        in_data_centre = [v for v in eligible if v.data_centre == name]
        usable = _ramps.usable((v.node_id for v in in_data_centre), share)
        selected.extend(v for v in in_data_centre if v.node_id in usable)
    return selected


class FleetSizes:
    """The distinct capacities of workers, by data centre.

    :param agents: all known agents, including those out of service.
    """

    def __init__(self, agents: tuple[views.AgentView, ...]) -> None:
        self._sizes = {(view.data_centre, view.capacity) for view in agents}

    def refusal(
        self,
        amount: resources.Resources,
        data_centres: tuple[identifiers.DataCentreName, ...],
    ) -> _policies.Refusal | None:
        """Return the reason why a task exceeds the capacity of each worker.

        :param amount: declared size of the task.
        :param data_centres: allowed data centres; all if empty.
        :returns: None if some worker is large enough, or no worker is known
            yet.
        """
        allowed = [
            capacity
            for name, capacity in self._sizes
            if not data_centres or name in data_centres
        ]
        if not allowed or any(amount.fits_in(size) for size in allowed):
            return None
        largest = resources.Resources()
        for size in allowed:
            largest = largest.maximum(size)
        return _policies.Refusal(
            f'a task needs {amount.millicores} millicores, '
            f'{amount.memory_mb} MB and {amount.accelerators} accelerators; '
            f'no worker has that much (at most {largest.millicores}, '
            f'{largest.memory_mb} MB and {largest.accelerators})'
        )
