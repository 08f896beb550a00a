"""Resources that this process has given out and agents don't yet report."""

import dataclasses

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.model import views

# After a refusal for lack of room an agent gets no start for this long, so
# that its next heartbeat can correct the view.
COOL_OFF_S = 1.0
MAX_AGE_S = 30.0  # a reservation never confirmed nor given back is dropped


@dataclasses.dataclass(frozen=True)
class _Reservation:
    amount: resources.Resources
    team: identifiers.TeamName
    made_at: float
    confirmed_at: float | None = None


class Reservations:
    """Attempts assigned by any shard of this process, by node.

    They are subtracted from the free amounts of agents' heartbeats until a
    heartbeat came that was sent after the start was confirmed.
    """

    def __init__(self) -> None:
        self._by_node: dict[
            identifiers.NodeId, dict[specs.AttemptId, _Reservation]
        ] = {}
        self._cool_until: dict[identifiers.NodeId, float] = {}

    def add(
        self,
        node: identifiers.NodeId,
        attempt: specs.AttemptId,
        amount: resources.Resources,
        team: identifiers.TeamName,
        now: float,
    ) -> None:
        """Reserve resources for an attempt that is about to start."""
        self._by_node.setdefault(node, {})[attempt] = _Reservation(
            amount, team, now
        )

    def confirm(
        self, node: identifiers.NodeId, attempt: specs.AttemptId, now: float
    ) -> None:
        """Note that the agent itself counts the attempt from now on."""
        held = self._by_node.get(node, {})
        if attempt in held:
            held[attempt] = dataclasses.replace(
                held[attempt], confirmed_at=now
            )

    def release(
        self, node: identifiers.NodeId, attempt: specs.AttemptId
    ) -> None:
        """Give back a reservation, if there is one."""
        self._by_node.get(node, {}).pop(attempt, None)

    def cool(self, node: identifiers.NodeId, now: float) -> None:
        """Leave a node alone for a moment after it refused a start."""
        self._cool_until[node] = now + COOL_OFF_S

    def cooling(self, node: identifiers.NodeId, now: float) -> bool:
        """Tell whether a node refused a start a moment ago."""
        return self._cool_until.get(node, 0.0) > now

    def free(self, view: views.AgentView, now: float) -> resources.Resources:
        """Return what an agent has left after our reservations.

        :param view: the agent's latest state.
        :param now: local time in seconds.
        :returns: its free amounts; they may be negative.
        """
        held = self._by_node.get(view.node_id)
        if not held:
            return view.free
        free = view.free
        for attempt, item in tuple(held.items()):
            reported = (
                item.confirmed_at is not None
                and view.heard_at > item.confirmed_at
            )
            if reported or item.made_at + MAX_AGE_S < now:
                del held[attempt]
            else:
                free = free - item.amount
        return free

    def by_team(self) -> dict[identifiers.TeamName, resources.Resources]:
        """Return the sum of reservations of each team."""
        total: dict[identifiers.TeamName, resources.Resources] = {}
        for held in self._by_node.values():
            for item in held.values():
                before = total.get(item.team, resources.Resources())
                total[item.team] = before + item.amount
        return total
