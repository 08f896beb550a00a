"""Load balancing: chooses an agent for a request."""

import collections.abc
import dataclasses
import random

from citronrail.model import identifiers
from citronrail.model import settings
from citronrail.model import views

DEFAULT_DISTANCE_MS = 1.5  # one-way latency between data centres
DEFAULT_LATENCY_MS = 5.0  # of agents without any response yet
# Exponent of the inverse cost that weights the choice between two agents. The
# average latencies of equal agents can differ by a third, and an agent that
# always lost the comparison would get no new measurements. An agent with twice
# the cost is chosen 1 time in 65.
COST_EXPONENT = 6
STALE_AFTER_S = 3.0  # three missed heartbeats


@dataclasses.dataclass(frozen=True)
class TwoChoices:
    """Two random agents, preferring the cheaper one (power of two choices).

    This avoids herding to the agent with the lowest load in stale reports.
    """

    distance_ms: float = DEFAULT_DISTANCE_MS


@dataclasses.dataclass(frozen=True)
class LeastLoaded:
    """The agent with the lowest expected response time."""

    distance_ms: float = DEFAULT_DISTANCE_MS


@dataclasses.dataclass(frozen=True)
class RoundRobin:
    """Each agent in turn, regardless of load."""


@dataclasses.dataclass(frozen=True)
class RandomAgent:
    """A random agent, regardless of load."""


Policy = TwoChoices | LeastLoaded | RoundRobin | RandomAgent


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An agent that may receive a request.

    ``in_progress`` is the estimated number of requests that it runs or
    queues, and ``open_connections`` adds its event streams to them.
    ``load_share`` is the share of its normal load that it may receive, from 0
    to 1, and ``same_data_centre`` tells whether it is in the data centre of
    this entry.
    """

    agent: views.AgentView
    in_progress: int
    load_share: float = 1.0
    same_data_centre: bool = True
    open_connections: int = 0

    @property
    def full(self) -> bool:
        """Whether the agent has no free connection."""
        return self.open_connections >= self.agent.load.connections


def parse_balancing_policy(policy_settings: settings.PolicySettings) -> Policy:
    """Return the policy for the operators' settings.

    :param policy_settings: name and parameters of the policy;
        ``distance_ms`` is in milliseconds.
    :returns: the policy.
    :raises ValueError: if the name or a parameter is unknown.
    """
    unknown = set(policy_settings.parameters) - {'distance_ms'}
    if unknown:
        raise ValueError(f'unknown parameter {min(unknown)}')
    distance_ms = float(
        policy_settings.parameters.get('distance_ms', DEFAULT_DISTANCE_MS)
    )
    match policy_settings.name:
        case 'two_choices':
            return TwoChoices(distance_ms)
        case 'least_loaded':
            return LeastLoaded(distance_ms)
        case 'round_robin':
            return RoundRobin()
        case 'random':
            return RandomAgent()
        case _:
            raise ValueError(
                f'unknown balancing policy {policy_settings.name}'
            )


def is_serving(
    agent: views.AgentView, service: identifiers.ServiceName, now: float
) -> bool:
    """Return whether an agent is expected to accept a request.

    :param agent: view of the agent.
    :param service: the requested service.
    :param now: local time in seconds.
    :returns: False for agents that are leaving, are not ready, miss
        heartbeats or do not serve the service.
    """
    if (
        agent.leaving
        or not agent.ready
        or now - agent.heard_at > STALE_AFTER_S
    ):
        return False
    return any(
        backend.service == service and not backend.leaving
        for backend in agent.backends
    )


def cost_ms(candidate: Candidate, distance_ms: float) -> float:
    """Return the expected response time.

    :param candidate: an agent and its load.
    :param distance_ms: one-way latency to another data centre.
    :returns: milliseconds.
    """
    load = candidate.agent.load
    latency_ms = load.latency_ms or DEFAULT_LATENCY_MS
    slots = max(1, load.slots)
    load_per_slot = candidate.in_progress / slots
    queued_per_slot = max(0, candidate.in_progress + 1 - slots) / slots
    distance = 0.0 if candidate.same_data_centre else 2 * distance_ms
    return (
        latency_ms * (1 + 0.5 * min(load_per_slot, 1.0) + queued_per_slot)
        + distance
    )


def choose(
    policy: Policy,
    candidates: collections.abc.Sequence[Candidate],
    *,
    rng: random.Random,
    turn: int,
) -> Candidate | None:
    """Choose an agent with a free connection.

    :param policy: the balancing policy.
    :param candidates: agents that may receive the request.
    :param rng: random number generator.
    :param turn: sequence number of this choice, for round robin.
    :returns: the chosen agent, None if there is none.
    """
    with_capacity = [
        candidate
        for candidate in candidates
        if not candidate.full and candidate.load_share > 0
    ]
    # An agent that ramps up after an ejection is considered only for its
    # share of the requests.
    considered = [
        candidate
        for candidate in with_capacity
        if candidate.load_share >= 1 or rng.random() < candidate.load_share
    ]
    pool = considered or with_capacity
    if not pool:
        return None
    match policy:
        case TwoChoices(distance_ms):
            pair = rng.sample(pool, min(2, len(pool)))
            weights = [
                cost_ms(one, distance_ms) ** -COST_EXPONENT for one in pair
            ]
            return rng.choices(pair, weights)[0]
        case LeastLoaded(distance_ms):
            return min(pool, key=lambda choice: cost_ms(choice, distance_ms))
        case RoundRobin():
            ordered = sorted(pool, key=lambda choice: choice.agent.node_id)
            return ordered[turn % len(ordered)]
        case RandomAgent():
            return rng.choice(pool)
