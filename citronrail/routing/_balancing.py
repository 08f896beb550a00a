"""Choice of an agent for a request."""

import collections.abc
import dataclasses
import random

from citronrail.model import identifiers
from citronrail.model import settings
from citronrail.model import views

DEFAULT_DISTANCE_MS = 1.5  # one way between data centres
DEFAULT_LATENCY_MS = 5.0  # for agents that have not answered anything yet
# Averages of a few answers differ by this factor between equal agents. An
# agent that always lost for such a difference would get no new answers.
NOISE_FACTOR = 1.25
STALE_S = 3.0  # three lost heartbeats


@dataclasses.dataclass(frozen=True)
class TwoChoices:
    """The better of two random agents; avoids herds on stale load."""

    distance_ms: float = DEFAULT_DISTANCE_MS


@dataclasses.dataclass(frozen=True)
class LeastLoaded:
    """The agent with the least expected time."""

    distance_ms: float = DEFAULT_DISTANCE_MS


@dataclasses.dataclass(frozen=True)
class RoundRobin:
    """Each agent in turn, whatever its load."""


@dataclasses.dataclass(frozen=True)
class RandomAgent:
    """Any agent, whatever its load."""


Policy = TwoChoices | LeastLoaded | RoundRobin | RandomAgent


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An agent that may get a request.

    ``busy`` counts the requests it works on or queues, as far as known now,
    and ``open_count`` these and its feeds.
    ``share`` is the part of its normal load that it may get, 0 to 1.
    """

    agent: views.AgentView
    busy: int
    share: float = 1.0
    near: bool = True
    open_count: int = 0

    @property
    def full(self) -> bool:
        """Whether the agent has no free connection."""
        return self.open_count >= self.agent.load.connections


def policy_of(named: settings.PolicySettings) -> Policy:
    """Return the policy that operators chose.

    :param named: name and parameters; ``distance_ms`` is in milliseconds.
    :returns: the policy.
    :raises ValueError: if the name or a parameter is unknown.
    """
    unknown = set(named.parameters) - {'distance_ms'}
    if unknown:
        raise ValueError(f'unknown parameter {min(unknown)}')
    distance_ms = float(
        named.parameters.get('distance_ms', DEFAULT_DISTANCE_MS)
    )
    match named.name:
        case 'two_choices':
            return TwoChoices(distance_ms)
        case 'least_loaded':
            return LeastLoaded(distance_ms)
        case 'round_robin':
            return RoundRobin()
        case 'random':
            return RandomAgent()
        case _:
            raise ValueError(f'unknown balancing policy {named.name}')


def serves(
    agent: views.AgentView, service: identifiers.ServiceName, now: float
) -> bool:
    """Tell whether an agent can be expected to accept a request.

    :param agent: what is known of the agent.
    :param service: the service asked for.
    :param now: local time in seconds.
    :returns: False for agents that leave, are silent or lack the service.
    """
    if agent.leaving or not agent.ready or now - agent.heard_at > STALE_S:
        return False
    return any(
        backend.service == service and not backend.leaving
        for backend in agent.backends
    )


def cost_ms(candidate: Candidate, distance_ms: float) -> float:
    """Return the expected time to an answer.

    :param candidate: an agent and its load.
    :param distance_ms: one-way time to another data centre.
    :returns: milliseconds.
    """
    load = candidate.agent.load
    latency_ms = load.latency_ms or DEFAULT_LATENCY_MS
    slots = max(1, load.slots)
    ahead = candidate.busy / slots
    waiting = max(0, candidate.busy + 1 - slots) / slots
    distance = 0.0 if candidate.near else 2 * distance_ms
    return latency_ms * (1 + 0.5 * min(ahead, 1.0) + waiting) + distance


def choose(
    policy: Policy,
    candidates: collections.abc.Sequence[Candidate],
    *,
    rng: random.Random,
    turn: int,
) -> Candidate | None:
    """Choose an agent with a free connection.

    :param policy: how to choose.
    :param candidates: agents that may get the request.
    :param rng: source of chance.
    :param turn: number of this choice, for taking turns.
    :returns: the chosen one, None if there is none.
    """
    free = [
        candidate
        for candidate in candidates
        if not candidate.full and candidate.share > 0
    ]
    # An agent that returns after an ejection takes part now and then only.
    taking_part = [
        candidate
        for candidate in free
        if candidate.share >= 1 or rng.random() < candidate.share
    ]
    pool = taking_part or free
    if not pool:
        return None
    match policy:
        case TwoChoices(distance_ms):
            pair = rng.sample(pool, min(2, len(pool)))
            costs = [cost_ms(one, distance_ms) for one in pair]
            if max(costs) < NOISE_FACTOR * min(costs):
                return pair[0]
            return pair[costs.index(min(costs))]
        case LeastLoaded(distance_ms):
            return min(pool, key=lambda one: cost_ms(one, distance_ms))
        case RoundRobin():
            ordered = sorted(pool, key=lambda one: one.agent.node_id)
            return ordered[turn % len(ordered)]
        case RandomAgent():
            return rng.choice(pool)
