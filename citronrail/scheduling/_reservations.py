"""Reservations of this process that agents don't report yet."""

import dataclasses

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.model import views

# An agent that rejected a start for lack of capacity gets no starts for this
# time, so that its next heartbeat can update the view.
COOLDOWN_S = 1.0
MAX_AGE_S = 30.0  # reservations not confirmed or released by then are dropped


@dataclasses.dataclass(frozen=True)
class _Reservation:
    amount: resources.Resources
    team: identifiers.TeamName
    made_at: float
    confirmed_at: float | None = None


class Reservations:
    """Attempts assigned by any shard of this process, by node.

    They are subtracted from the free amounts that agents report, until a
    heartbeat arrives that was sent after the start was confirmed.
    """

    def __init__(self) -> None:
        self._by_node: dict[
            identifiers.NodeId, dict[specs.AttemptId, _Reservation]
        ] = {}
        self._cooldown_until: dict[identifiers.NodeId, float] = {}

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
        """Record that the agent includes the attempt in its own amounts."""
        reservations = self._by_node.get(node, {})
        if attempt in reservations:
            reservations[attempt] = dataclasses.replace(
                reservations[attempt], confirmed_at=now
            )

    def release(
        self, node: identifiers.NodeId, attempt: specs.AttemptId
    ) -> None:
        """Release a reservation, if there is one."""
        self._by_node.get(node, {}).pop(attempt, None)

    def start_cooldown(self, node: identifiers.NodeId, now: float) -> None:
        """Begin the cooldown of a node that rejected a start."""
        self._cooldown_until[node] = now + COOLDOWN_S

    def in_cooldown(self, node: identifiers.NodeId, now: float) -> bool:
        """Tell whether a node is in its cooldown after rejecting a start."""
        return self._cooldown_until.get(node, 0.0) > now

    def free(self, view: views.AgentView, now: float) -> resources.Resources:
        """Return the free amounts of an agent after reservations.

        :param view: the agent's latest state.
        :param now: local time in seconds.
        :returns: the free amounts, which may be negative.
        """
        reservations = self._by_node.get(view.node_id)
        if not reservations:
            return view.free
        free = view.free
        for attempt, item in tuple(reservations.items()):
            reported = (
                item.confirmed_at is not None
                and view.heard_at > item.confirmed_at
            )
            if reported or item.made_at + MAX_AGE_S < now:
                del reservations[attempt]
            else:
                free = free - item.amount
        return free

    def by_team(self) -> dict[identifiers.TeamName, resources.Resources]:
        """Return the sum of reservations of each team."""
        total: dict[identifiers.TeamName, resources.Resources] = {}
        for reservations in self._by_node.values():
            for item in reservations.values():
                before = total.get(item.team, resources.Resources())
                total[item.team] = before + item.amount
        return total
