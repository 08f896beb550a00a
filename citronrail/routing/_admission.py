"""Early refusal of requests that cannot be answered in time."""

import collections.abc
import dataclasses

from citronrail.routing import _balancing


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request may be sent."""


@dataclasses.dataclass(frozen=True)
class Wait:
    """No agent can take it now, but one may in time."""

    reason: str


@dataclasses.dataclass(frozen=True)
class TooLate:
    """It could not be answered before its deadline."""

    reason: str


Admission = Admitted | Wait | TooLate


def expected_wait_s(
    candidates: collections.abc.Iterable[_balancing.Candidate],
) -> float:
    """Return the least time until an agent can start a request.

    :param candidates: agents that may get it.
    :returns: seconds; infinite if there are none.
    """
    return min((_wait_s(one) for one in candidates), default=float('inf'))


def admit(
    candidates: collections.abc.Sequence[_balancing.Candidate],
    *,
    now: float,
    start_before: float,
) -> Admission:
    """Decide on a request before it is sent.

    :param candidates: agents that may get it.
    :param now: local time in seconds.
    :param start_before: latest time at which a run is of use.
    :returns: whether to send it now, wait for room, or refuse it.
    """
    if now >= start_before:
        return TooLate('the deadline has passed')
    if not candidates:
        return Wait('no backend server is available')
    if now + expected_wait_s(candidates) > start_before:
        return TooLate('the queues are longer than the deadline allows')
    if all(one.full or one.share == 0 for one in candidates):
        return Wait('all agents are full')
    return Admitted()


def _wait_s(candidate: _balancing.Candidate) -> float:
    load = candidate.agent.load
    slots = max(1, load.slots)
    ahead = max(0, candidate.busy + 1 - slots)
    latency_ms = load.latency_ms or _balancing.DEFAULT_LATENCY_MS
    return ahead / slots * latency_ms / 1000
