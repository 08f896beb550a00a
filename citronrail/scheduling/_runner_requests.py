"""Pending requests of owners to an agent: stops, throttles and queries."""

import dataclasses
import functools

import trio

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _worker_link

STOP_RETRY_INTERVAL_S = 2.0  # until the worker lists the attempt as ended
MAX_PENDING_QUERIES = 1_000  # excess ones are dropped; owners repeat queries

# Placeholder for the specification of an attempt that has ended.
EMPTY_SPEC = specs.TaskSpec(
    identifiers.TeamName(''),
    identifiers.WorkClass(''),
    resources.Resources(),
    0.0,
)


@dataclasses.dataclass(frozen=True)
class Query:
    """Query of an owner for the state of attempts.

    With ``report`` each absent attempt is answered with a report that it is
    lost; otherwise one reply answers for all attempts.
    """

    peer: identifiers.NodeId
    attempts: tuple[specs.AttemptId, ...]
    range_id: identifiers.RangeId
    arrived_at: float
    report: bool


@dataclasses.dataclass(frozen=True)
class _Stop:
    checkpoint: bool
    due_at: float = 0.0


class OwnerRequests:
    """Requests that are not yet executed or answered."""

    def __init__(self) -> None:
        self._stops: dict[specs.AttemptId, _Stop] = {}
        self._cpu_shares: dict[specs.AttemptId, float] = {}
        self._queries: list[Query] = []

    def stop(self, attempt: specs.AttemptId, checkpoint: bool) -> None:
        """Request a stop; one without a checkpoint overrides one with it."""
        current = self._stops.get(attempt)
        if current is None or (current.checkpoint and not checkpoint):
            self._stops[attempt] = _Stop(checkpoint)

    def throttle(self, attempt: specs.AttemptId, share: float) -> None:
        """Request to limit an attempt to a share of its processors."""
        self._cpu_shares[attempt] = share

    def discard(self, attempt: specs.AttemptId) -> None:
        """Remove the requests for an attempt that has ended."""
        self._stops.pop(attempt, None)
        self._cpu_shares.pop(attempt, None)

    def add_query(
        self,
        peer: identifiers.NodeId,
        attempts: tuple[specs.AttemptId, ...],
        range_id: identifiers.RangeId,
        now: float,
        *,
        report: bool,
    ) -> None:
        """Queue a query until a later list of the worker can answer it."""
        if len(self._queries) < MAX_PENDING_QUERIES:
            self._queries.append(Query(peer, attempts, range_id, now, report))

    def take_answerable(self, requested_at: float) -> tuple[Query, ...]:
        """Remove and return the queries that a list can answer.

        :param requested_at: local time at which the list was requested.
        :returns: queries that had arrived by then.
        """
        answerable = tuple(
            q for q in self._queries if q.arrived_at <= requested_at
        )
        self._queries = [
            q for q in self._queries if q.arrived_at > requested_at
        ]
        return answerable

    async def execute_due(self, link: _worker_link.WorkerLink) -> bool:
        """Make the calls to the worker that are due.

        :param link: the worker.
        :returns: True if an attempt was stopped.
        """
        for attempt, share in tuple(self._cpu_shares.items()):
            call = functools.partial(link.port.throttle, attempt, share)
            if await link.try_call('throttle', call):
                self._cpu_shares.pop(attempt, None)
        stopped = False
        for checkpoint in (False, True):
            due = self._due_stops(checkpoint, trio.current_time())
            if due:
                stop = functools.partial(link.port.stop, due, checkpoint)
                stopped |= await link.try_call('stop', stop)
        return stopped

    def _due_stops(
        self, checkpoint: bool, now: float
    ) -> tuple[specs.AttemptId, ...]:
        due = tuple(
            attempt
            for attempt, stop in self._stops.items()
            if stop.checkpoint is checkpoint and stop.due_at <= now
        )
        for attempt in due:
            self._stops[attempt] = _Stop(
                checkpoint, now + STOP_RETRY_INTERVAL_S
            )
        return due
