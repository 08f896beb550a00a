"""Admission control: rejects requests that would miss their deadline."""

import collections.abc
import dataclasses

from citronrail.routing import _balancing


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request can be sent now."""


@dataclasses.dataclass(frozen=True)
class Wait:
    """No agent has capacity now, but one may before the deadline."""

    reason: str


@dataclasses.dataclass(frozen=True)
class TooLate:
    """The request can no longer be answered before its deadline."""

    reason: str


Admission = Admitted | Wait | TooLate


def expected_wait_s(
    candidates: collections.abc.Iterable[_balancing.Candidate],
) -> float:
    """Return the shortest expected queueing delay of all candidates.

    :param candidates: agents that may receive the request.
    :returns: delay in seconds; infinity if there are no candidates.
    """
    return min(
        (_wait_s(candidate) for candidate in candidates), default=float('inf')
    )


def admit(
    candidates: collections.abc.Sequence[_balancing.Candidate],
    *,
    now: float,
    start_before: float,
) -> Admission:
    """Decide whether to send a request.

    :param candidates: agents that may receive the request.
    :param now: local time in seconds.
    :param start_before: local time after which the request must not start.
    :returns: whether to send it now, wait for capacity or reject it.
    """
    if now >= start_before:
        return TooLate('the deadline has passed')
    if not candidates:
        return Wait('no backend server is available')
    if now + expected_wait_s(candidates) > start_before:
        return TooLate('the queues are longer than the deadline allows')
    if all(
        candidate.full or candidate.load_share == 0 for candidate in candidates
    ):
        return Wait('all agents are full')
    return Admitted()


def _wait_s(candidate: _balancing.Candidate) -> float:
    load = candidate.agent.load
    slots = max(1, load.slots)
    queued = max(0, candidate.in_progress + 1 - slots)
    latency_ms = load.latency_ms or _balancing.DEFAULT_LATENCY_MS
    return queued / slots * latency_ms / 1000
