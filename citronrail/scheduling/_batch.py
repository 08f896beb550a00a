"""Changes of one scheduling step that are committed together."""

import dataclasses

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _job_changes
from citronrail.scheduling import _replica_changes
from citronrail.scheduling import _shard_state


@dataclasses.dataclass(frozen=True)
class ServiceTarget:
    """A service and the number of replicas it should have."""

    spec: specs.ServiceSpec
    wanted: int


@dataclasses.dataclass(frozen=True)
class BlockedJob:
    """A job that can't start tasks, with the reason."""

    owner: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Move:
    """A running attempt that is to be moved to another node."""

    attempt: specs.AttemptId
    node: identifiers.NodeId
    reason: str


@dataclasses.dataclass(frozen=True)
class Batch:
    """Changes of one step, applied to the state that is current at the commit.

    ``replaced`` holds replicas that need a replacement, ``ready`` holds
    replacements that are ready to serve.
    """

    started: tuple[specs.AttemptId, ...] = ()
    ended: tuple[_attempt_changes.AttemptEnd, ...] = ()
    parked: tuple[BlockedJob, ...] = ()
    services: tuple[ServiceTarget, ...] = ()
    replaced: tuple[Move, ...] = ()
    ready: tuple[specs.TaskId, ...] = ()
    moves: tuple[Move, ...] = ()
    assignments: tuple[_attempt_changes.Assignment, ...] = ()

    def __bool__(self) -> bool:
        return any(
            getattr(self, field.name) for field in dataclasses.fields(self)
        )

    def apply(
        self, state: _shard_state.ShardState, now: float
    ) -> _shard_state.ShardState:
        """Apply all changes.

        :param state: the shard.
        :param now: Unix time in seconds.
        :returns: the changed shard.
        """
        for attempt in self.started:
            state = _attempt_changes.confirm_started(state, attempt, now)
        for end in self.ended:
            state = _attempt_changes.record_end(state, end, now)
        for blocked_job in self.parked:
            state = _job_changes.park_job(
                state, blocked_job.owner, blocked_job.reason
            )
        for target in self.services:
            state = _replica_changes.adjust_service(
                state, target.spec, target.wanted, now
            )
        for move in self.replaced:
            state = _replica_changes.replace_replica(
                state,
                move.attempt.task.owner,
                move.attempt.task.index,
                move.reason,
            )
        for task in self.ready:
            state = _replica_changes.stop_replaced_replica(
                state, task.owner, task.index, now
            )
        for move in self.moves:
            state = _attempt_changes.move_attempts(
                state, (move.attempt,), move.reason, now
            )
        state = _attempt_changes.assign(state, self.assignments, now)
        return _job_changes.archive_ended_jobs(state, now)
