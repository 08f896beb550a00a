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

# Other tasks of the process get their turn after this many choices, so
# that a round of hundreds does not delay callers' requests.
CHOICES_A_TURN = 4
_NO_ROOM = _policies.Refusal('no worker has room now')
MISSES_A_GROUP = 2  # a policy that declined twice is asked again next round


@dataclasses.dataclass(frozen=True)
class RoundPlan:
    """Result of a round.

    ``waiting`` are urgent tasks and replicas that found no room. ``blocked``
    tells for jobs that fit no known worker why; they stay pending, because a
    larger worker may only be away.
    """

    assignments: tuple[_attempt_changes.Assignment, ...] = ()
    parked: tuple[_batch.Parking, ...] = ()
    blocked: tuple[_batch.Parking, ...] = ()
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
        self._sizes = _candidates.FleetSizes(tuple(agents.values()))
        self._choices = 0
        self._now = trio.current_time()
        self._unix_now = context.wall_clock()
        self.assignments: list[_attempt_changes.Assignment] = []
        self.parked: list[_batch.Parking] = []
        self.blocked: list[_batch.Parking] = []
        self.waiting: list[_policies.PlacementRequest] = []

    @property
    def room(self) -> int:
        limit = self._context.limits.starts_a_round
        return limit - len(self.assignments)

    async def place_group(
        self, item: _policies.PendingGroup, allowed: int
    ) -> None:
        """Place up to ``allowed`` tasks of a group."""
        group = self._state.groups[item.owner]
        count = min(allowed, item.count, self.room)
        placed: list[identifiers.NodeId] = []
        misses = 0
        for task in _pending.ready_tasks(group, count, self._unix_now):
            request = _pending.placement_request(
                group, task, item, self._agents, placed
            )
            choice = self._choose(request, group)
            await self._give_turn()
            if choice is _NO_ROOM:
                self._note_waiting(request)
                self._note_blocked(group)
                return
            if isinstance(choice, _policies.Refusal):
                self.parked.append(_batch.Parking(item.owner, choice.reason))
                return
            if choice is None:
                misses += 1
                self._note_waiting(request)
                if misses >= MISSES_A_GROUP:
                    return
                continue
            placed.append(choice)
            self._candidates.take(choice, request.resources)
            self.assignments.append(
                _attempt_changes.Assignment(
                    request.task, choice, group.generation
                )
            )

    async def _give_turn(self) -> None:
        self._choices += 1
        if self._choices % CHOICES_A_TURN == 0:
            await trio.lowlevel.checkpoint()

    def _choose(
        self, request: _policies.PlacementRequest, group: _shard_state.Group
    ) -> identifiers.NodeId | _policies.Refusal | None:
        found = self._candidates.sample(request.resources, group.data_centres)
        if not found:
            return _NO_ROOM
        if request.avoid:
            # Workers that failed the task are left out while there are
            # others; a small fleet must not leave the task without any.
            others = tuple(v for v in found if v.node_id not in request.avoid)
            found = others or found
            if not others:
                request = dataclasses.replace(request, avoid=())
        return self._context.policies.placement.choose(
            request, found, self._now
        )

    def _note_blocked(self, group: _shard_state.Group) -> None:
        refusal = self._sizes.refusal(group.resources, group.data_centres)
        if refusal is not None:
            self.blocked.append(_batch.Parking(group.owner, refusal.reason))

    def _note_waiting(self, request: _policies.PlacementRequest) -> None:
        urgent = request.priority is specs.Priority.URGENT
        if urgent or request.service is not None:
            self.waiting.append(request)


async def plan_round(
    state: _shard_state.ShardState, context: _context.Context
) -> RoundPlan:
    """Choose workers for pending tasks.

    :param state: the shard.
    :param context: what shards share.
    :returns: the plan; nothing is changed yet.
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
    order = context.policies.quotas.order(
        pending,
        usage,
        candidates.capacity(),
        context.settings.settings.teams,
        context.wall_clock(),
    )
    by_owner = {item.owner: item for item in pending}
    running = _Round(state, candidates, context, agents)
    for allowance in order:
        if running.room <= 0:
            break
        await running.place_group(by_owner[allowance.owner], allowance.count)
    return RoundPlan(
        tuple(running.assignments),
        tuple(running.parked),
        tuple(running.blocked),
        tuple(running.waiting),
    )
