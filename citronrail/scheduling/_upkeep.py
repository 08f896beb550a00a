"""Periodic maintenance of a shard, about once a second."""

import dataclasses

import trio

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.scheduling import _agent_loss
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _batch
from citronrail.scheduling import _context
from citronrail.scheduling import _followup
from citronrail.scheduling import _moves
from citronrail.scheduling import _ownership
from citronrail.scheduling import _pending
from citronrail.scheduling import _policies
from citronrail.scheduling import _replica_changes
from citronrail.scheduling import _shard_state


@dataclasses.dataclass(frozen=True)
class UpkeepResult:
    """Required changes; ``throttles`` are sent without a commit."""

    lost: tuple[_attempt_changes.AttemptEnd, ...] = ()
    services: tuple[_batch.ServiceTarget, ...] = ()
    moves: _moves.Moves = _moves.Moves()
    throttles: tuple[_policies.Throttle, ...] = ()


class Upkeep:
    """Decides on lost agents, services, moves and pressure.

    :param owned: the range that this process owns.
    :param context: context shared by all shards.
    """

    def __init__(
        self, owned: _ownership.Ownership, context: _context.Context
    ) -> None:
        self._owned = owned
        self._context = context
        self._leaving = _moves.LeavingNodes()
        self._due_at = 0.0
        self._shares: dict[str, float] = {}

    def lift_inherited(
        self, throttled: tuple[specs.AttemptId, ...]
    ) -> tuple[_policies.Throttle, ...]:
        """Lift limits that were set by a previous owner of the range.

        The pressure policy of this process doesn't know them and would never
        lift them.

        :param throttled: attempts that agents report as throttled.
        :returns: throttles to send.
        """
        return tuple(
            _policies.Throttle(attempt, 1.0)
            for attempt in throttled
            if self._shares.get(str(attempt), 1.0) >= 1.0
        )

    def due(
        self,
        state: _shard_state.ShardState,
        waiting: tuple[_policies.PlacementRequest, ...],
    ) -> UpkeepResult | None:
        """Return the required changes, or None if maintenance isn't due.

        :param state: the committed shard.
        :param waiting: urgent tasks and replicas that could not be placed.
        :returns: the decisions.
        """
        now = trio.current_time()
        if now < self._due_at:
            return None
        self._due_at = now + self._context.limits.upkeep_s
        settings = self._context.settings.settings
        agents = self._context.views()
        moves = _moves.plan_moves(
            state,
            agents,
            self._leaving.update(settings, agents, now),
            self._context.limits,
            self._context.policies.estimator,
            now,
            self._context.wall_clock(),
        )
        throttles, evictions = self._relieve_pressure(
            state, agents, waiting, now
        )
        return UpkeepResult(
            self._lost_attempts(state, now),
            self._service_targets(state, agents),
            dataclasses.replace(moves, moves=(*moves.moves, *evictions)),
            throttles,
        )

    def _lost_attempts(
        self, state: _shard_state.ShardState, now: float
    ) -> tuple[_attempt_changes.AttemptEnd, ...]:
        """Return the attempts on agents whose tasks have certainly ended."""
        node_lost: dict[identifiers.NodeId, bool] = {}
        lost = []
        for attempt, live in _followup.live_attempts(state):
            if live.node not in node_lost:
                spans = self._context.agents.quiet_spans(live.node)
                ended_at = _agent_loss.agent_tasks_ended_at(spans)
                node_lost[live.node] = ended_at is not None and ended_at <= now
            if not node_lost[live.node]:
                continue
            reason = 'agent is lost and its worker leases have lapsed'
            observability.emit(
                catalogue.ATTEMPT_LOST,
                attempt=attempt,
                node=live.node,
                reason=reason,
            )
            lost.append(
                _attempt_changes.AttemptEnd(attempt, 'lost', reason=reason)
            )
        return tuple(lost)

    def _service_targets(
        self, state: _shard_state.ShardState, agents: _moves.Agents
    ) -> tuple[_batch.ServiceTarget, ...]:
        """Return the services whose replicas differ from their target."""
        targets = _moves.service_targets(
            state,
            self._context.settings.settings,
            agents,
            lambda name: self._context.range_of(name) == self._owned.range_id,
        )
        unix_now = self._context.wall_clock()
        return tuple(
            target
            for target in targets
            if _replica_changes.adjust_service(
                state, target.spec, target.wanted, unix_now
            )
            is not state
        )

    def _relieve_pressure(
        self,
        state: _shard_state.ShardState,
        agents: _moves.Agents,
        waiting: tuple[_policies.PlacementRequest, ...],
        now: float,
    ) -> tuple[tuple[_policies.Throttle, ...], tuple[_batch.Move, ...]]:
        running = {
            view.attempt: view
            for view in _running_views(
                state, self._context.policies.estimator, self._shares
            )
        }
        throttles = []
        evictions = []
        for action in self._context.policies.pressure.relieve(
            tuple(running.values()), tuple(agents.values()), waiting, now
        ):
            view = running.get(action.attempt)
            if view is None or view.service is not None:
                continue
            match action:
                case _policies.Throttle(attempt, share):
                    self._shares[str(attempt)] = share
                    throttles.append(action)
                case _policies.Evict(attempt, reason):
                    if view.checkpointable:
                        evictions.append(
                            _batch.Move(attempt, view.node_id, reason)
                        )
        running_attempts = {str(attempt) for attempt in running}
        self._shares = {
            k: v for k, v in self._shares.items() if k in running_attempts
        }
        return tuple(throttles), tuple(evictions)


def _running_views(
    state: _shard_state.ShardState,
    estimator: _policies.Estimator,
    shares: dict[str, float],
) -> tuple[_policies.RunningView, ...]:
    found = []
    for owner, group in state.groups.items():
        if not group.live:
            continue
        amount = _pending.reservation(group, estimator)
        expected_s = _pending.expected_run_s(group, estimator)
        job = group.job
        template = _policies.RunningView(
            attempt=specs.AttemptId(specs.TaskId(owner, 0), 0),
            node_id=identifiers.NodeId(''),
            team=group.team,
            work_class=group.work_class,
            priority=_pending.priority(group),
            resources=amount,
            started_at=0.0,
            expected_run_s=expected_s,
            service=group.service.name if group.service else None,
            checkpointable=job is not None and job.checkpointable,
            exclusive=job is not None and job.exclusive,
        )
        for index, live in group.live.items():
            if live.state is not _shard_state.LiveState.RUNNING:
                continue
            attempt = specs.AttemptId(specs.TaskId(owner, index), live.number)
            found.append(
                dataclasses.replace(
                    template,
                    attempt=attempt,
                    node_id=live.node,
                    started_at=live.since,
                    share=shares.get(str(attempt), 1.0),
                )
            )
    return tuple(found)
