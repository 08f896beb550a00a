"""The workers that a placement round can choose from."""

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

HEARD_WITHIN_S = 3.0
SAMPLE = 48  # candidates shown to the policy; more cost time and gain little


@dataclasses.dataclass
class _Slot:
    """An agent and what is left of it in this round."""

    view: views.AgentView
    free: resources.Resources
    shown: views.AgentView | None = None

    def as_view(self) -> views.AgentView:
        """Return the view with the free amounts of this round."""
        if self.shown is None:
            self.shown = dataclasses.replace(self.view, free=self.free)
        return self.shown

    def take(self, amount: resources.Resources) -> None:
        """Reserve an amount."""
        self.free = self.free - amount
        self.shown = None


@dataclasses.dataclass(frozen=True)
class Eligibility:
    """What decides whether an agent may get work now.

    ``ramps`` gives the share of its agents that a returned data centre may
    use, from 0.0 to 1.0; data centres that are not named use all.
    """

    settings: settings_model.Settings
    ramps: collections.abc.Mapping[str, float]
    may_start: collections.abc.Callable[[identifiers.NodeId], bool]
    now: float

    def allows(self, view: views.AgentView) -> bool:
        """Tell whether an agent may get work, its ramp left aside."""
        return (
            view.ready
            and not view.leaving
            and view.heard_at + HEARD_WITHIN_S > self.now
            and self.settings.data_centre_in_service(view.data_centre)
            and view.node_id not in self.settings.drained_workers
            and self.may_start(view.node_id)
        )


class Candidates:
    """Eligible agents with their free amounts during one round.

    :param agents: all known agents.
    :param eligibility: which of them may get work.
    :param reservations: what was given out but isn't reported yet.
    :param rng: order in which agents are looked at.
    """

    def __init__(
        self,
        agents: tuple[views.AgentView, ...],
        eligibility: Eligibility,
        reservations: _reservations.Reservations,
        rng: random.Random,
    ) -> None:
        now = eligibility.now
        eligible = _ramped(
            [view for view in agents if eligibility.allows(view)],
            eligibility.ramps,
        )
        self._slots = [
            _Slot(view, reservations.free(view, now))
            for view in eligible
            if not reservations.cooling(view.node_id, now)
        ]
        rng.shuffle(self._slots)
        self._by_node = {slot.view.node_id: slot for slot in self._slots}
        self._cursor = 0
        # No agent has more of any resource; rejects most sizes at once.
        self._most = resources.Resources()
        for slot in self._slots:
            self._most = self._most.maximum(slot.free)
        # Sizes for which a whole pass found no room, by allowed data centres.
        self._too_big: dict[
            tuple[identifiers.DataCentreName, ...], list[resources.Resources]
        ] = {}

    def sample(
        self,
        amount: resources.Resources,
        data_centres: tuple[identifiers.DataCentreName, ...],
    ) -> tuple[views.AgentView, ...]:
        """Return up to :data:`SAMPLE` agents with room for an amount.

        :param amount: what the task reserves.
        :param data_centres: allowed ones; all if empty.
        :returns: views with the free amounts of this round.
        """
        smallest = self._too_big.setdefault(data_centres, [])
        if not amount.fits_in(self._most) or any(
            size.fits_in(amount) for size in smallest
        ):
            return ()
        found: list[views.AgentView] = []
        count = len(self._slots)
        for step in range(count):
            slot = self._slots[(self._cursor + step) % count]
            if data_centres and slot.view.data_centre not in data_centres:
                continue
            if amount.fits_in(slot.free):
                found.append(slot.as_view())
                if len(found) == SAMPLE:
                    self._cursor = (self._cursor + step + 1) % count
                    break
        if not found:
            smallest.append(amount)
        return tuple(found)

    def take(
        self, node: identifiers.NodeId, amount: resources.Resources
    ) -> None:
        """Reserve an amount on an agent for the rest of the round."""
        self._by_node[node].take(amount)

    def capacity(self) -> resources.Resources:
        """Return the capacity of all eligible agents."""
        total = resources.Resources()
        for slot in self._slots:
            total = total + slot.view.capacity
        return total


def _ramped(
    eligible: list[views.AgentView],
    ramps: collections.abc.Mapping[str, float],
) -> list[views.AgentView]:
    """Leave out agents beyond the share of a data centre that returns."""
    if not ramps:
        return eligible
    kept = [v for v in eligible if v.data_centre not in ramps]
    for name, share in ramps.items():
        here = [v for v in eligible if v.data_centre == name]
        usable = _ramps.usable((v.node_id for v in here), share)
        kept.extend(v for v in here if v.node_id in usable)
    return kept


class FleetSizes:
    """The distinct sizes of workers, by data centre.

    :param agents: all known agents, also those out of service.
    """

    def __init__(self, agents: tuple[views.AgentView, ...]) -> None:
        self._sizes = {(view.data_centre, view.capacity) for view in agents}

    def refusal(
        self,
        amount: resources.Resources,
        data_centres: tuple[identifiers.DataCentreName, ...],
    ) -> _policies.Refusal | None:
        """Tell why a task fits no worker, even an empty one.

        :param amount: declared size of the task.
        :param data_centres: allowed ones; all if empty.
        :returns: None if some worker is large enough, or none is known yet.
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
