"""One placement round of a shard."""

import collections.abc
import dataclasses

import trio

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _batch
from citronrail.scheduling import _candidates
from citronrail.scheduling import _context
from citronrail.scheduling import _pending
from citronrail.scheduling import _policies
from citronrail.scheduling import _shard_state

# A round yields to other tasks of the process after this many placement
# choices, so that hundreds of them don't delay callers' requests.
CHOICES_PER_CHECKPOINT = 4
_NO_FREE_WORKER = _policies.Refusal('no worker has room now')
# Tasks of a group that the policy may decline before the rest of the group
# waits for the next round.
MAX_DECLINED_PER_GROUP = 2


@dataclasses.dataclass(frozen=True)
class RoundPlan:
    """Result of a round.

    ``waiting`` holds urgent tasks and replicas that could not be placed.
    ``blocked`` holds the jobs that fit no known worker, with the reason. They
    stay pending, because a larger worker may be absent only temporarily.
    """

    assignments: tuple[_attempt_changes.Assignment, ...] = ()
    parked: tuple[_batch.BlockedJob, ...] = ()
    blocked: tuple[_batch.BlockedJob, ...] = ()
    waiting: tuple[_policies.PlacementRequest, ...] = ()


class _Round:
    """State of one round while it runs."""

    def __init__(
        self,
        state: _shard_state.ShardState,
        candidates: _candidates.Candidates,
        context: _context.Context,
        agents: collections.abc.Mapping[identifiers.NodeId, views.AgentView],
    ) -> None:
        self._state = state
        self._candidates = candidates
        self._context = context
        self._agents = agents
        self._fleet_sizes = _candidates.FleetSizes(tuple(agents.values()))
        self._choices = 0
        self._now = trio.current_time()
        self._unix_now = context.wall_clock()
        self.assignments: list[_attempt_changes.Assignment] = []
        self.parked: list[_batch.BlockedJob] = []
        self.blocked: list[_batch.BlockedJob] = []
        self.waiting: list[_policies.PlacementRequest] = []

    @property
    def remaining_starts(self) -> int:
        limit = self._context.limits.starts_a_round
        return limit - len(self.assignments)

    async def place_group(
        self, pending_group: _policies.PendingGroup, allowed: int
    ) -> None:
        """Place up to ``allowed`` tasks of a group."""
        group = self._state.groups[pending_group.owner]
        count = min(allowed, pending_group.count, self.remaining_starts)
        placed: list[identifiers.NodeId] = []
        declined = 0
        for task in _pending.ready_tasks(group, count, self._unix_now):
            request = _pending.placement_request(
                group, task, pending_group, self._agents, placed
            )
            choice = self._choose(request, group)
            await self._checkpoint()
            if choice is _NO_FREE_WORKER:
                self._add_waiting(request)
                self._add_blocked(group)
                return
            if isinstance(choice, _policies.Refusal):
                self.parked.append(
                    _batch.BlockedJob(pending_group.owner, choice.reason)
                )
                return
            if choice is None:
                declined += 1
                self._add_waiting(request)
                if declined >= MAX_DECLINED_PER_GROUP:
                    return
                continue
            placed.append(choice)
            self._candidates.take(choice, request.resources)
            self.assignments.append(
                _attempt_changes.Assignment(
                    request.task, choice, group.generation
                )
            )

    async def _checkpoint(self) -> None:
        self._choices += 1
        if self._choices % CHOICES_PER_CHECKPOINT == 0:
            await trio.lowlevel.checkpoint()

    def _choose(
        self,
        request: _policies.PlacementRequest,
        group: _shard_state.TaskGroup,
    ) -> identifiers.NodeId | _policies.Refusal | None:
        sampled = self._candidates.sample(
            request.resources, group.data_centres
        )
        if not sampled:
            return _NO_FREE_WORKER
        if request.avoid:
            # Workers on which the task failed are excluded only while others
            # are available, so that a small fleet can still run it.
            not_avoided = tuple(
                v for v in sampled if v.node_id not in request.avoid
            )
            sampled = not_avoided or sampled
            if not not_avoided:
                request = dataclasses.replace(request, avoid=())
        return self._context.policies.placement.choose(
            request, sampled, self._now
        )

    def _add_blocked(self, group: _shard_state.TaskGroup) -> None:
        refusal = self._fleet_sizes.refusal(
            group.resources, group.data_centres
        )
        if refusal is not None:
            self.blocked.append(_batch.BlockedJob(group.owner, refusal.reason))

    def _add_waiting(self, request: _policies.PlacementRequest) -> None:
        urgent = request.priority is specs.Priority.URGENT
        if urgent or request.service is not None:
            self.waiting.append(request)


async def plan_round(
    state: _shard_state.ShardState, context: _context.Context
) -> RoundPlan:
    """Choose workers for pending tasks.

    :param state: the shard.
    :param context: dependencies shared by all shards.
    :returns: the plan, which is not applied yet.
    """
    estimator = context.policies.estimator
    pending = _pending.pending_groups(state, estimator, context.wall_clock())
    if not pending:
        return RoundPlan()
    now = trio.current_time()
    agents = context.views()
    candidates = _candidates.Candidates(
        tuple(agents.values()),
        _candidates.Eligibility(
            context.settings.settings,
            context.ramps,
            lambda node: context.policies.health.may_start(node, now),
            now,
        ),
        context.reservations,
        context.rng,
    )
    usage = context.usage.by_team()
    for team, amount in context.reservations.by_team().items():
        usage[team] = usage[team] + amount if team in usage else amount
    allowances = context.policies.quotas.order(
        pending,
        usage,
        candidates.capacity(),
        context.settings.settings.teams,
        context.wall_clock(),
    )
    by_owner = {
        pending_group.owner: pending_group for pending_group in pending
    }
    placement_round = _Round(state, candidates, context, agents)
    for allowance in allowances:
        if placement_round.remaining_starts <= 0:
            break
        await placement_round.place_group(
            by_owner[allowance.owner], allowance.count
        )
    return RoundPlan(
        tuple(placement_round.assignments),
        tuple(placement_round.parked),
        tuple(placement_round.blocked),
        tuple(placement_round.waiting),
    )
