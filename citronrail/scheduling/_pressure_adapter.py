"""Pressure relief and reclaimed capacity behind the scheduler's protocol."""

from collections.abc import Callable
from collections.abc import Sequence
import typing

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.model import views
from citronrail import observability
from citronrail.observability.catalogue import decisions as events
from citronrail.scheduling import _decision_memory as decision_memory
from citronrail.scheduling import _decision_metrics as metrics
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _policies as protocols
from citronrail.scheduling import _pressure as pressure
from citronrail.scheduling import _quota_reclaim as quota_reclaim
from citronrail.scheduling import _quotas as quotas

# Long enough for a checkpoint; the room goes back to all after it.
HOLD_S = 15.0


class PressureDecider:
    """:class:`protocols.PressurePolicy`.

    :param memory: shared records.
    :param unix_time: returns the Unix time in seconds.
    :param cfg: thresholds.
    """

    def __init__(
        self,
        memory: decision_memory.DecisionMemory,
        unix_time: Callable[[], float],
        cfg: pressure.PressureSettings | None = None,
    ) -> None:
        self._memory = memory
        self._unix_time = unix_time
        self._cfg = cfg or pressure.PressureSettings()
        # Attempts already told to leave, until they are gone from `running`.
        self._stopping: dict[specs.AttemptId, float] = {}

    def relieve(
        self,
        running: tuple[protocols.RunningView, ...],
        agents: tuple[views.AgentView, ...],
        waiting: tuple[protocols.PlacementRequest, ...],
        now: float,
    ) -> tuple[protocols.Relief, ...]:
        """Decide on relief; see the protocol.

        :param running: running attempts of the shard.
        :param agents: all agents, with their latest load.
        :param waiting: urgent tasks and replicas that found no worker.
        :param now: local monotonic time in seconds.
        :returns: reliefs, cheapest lost work first.
        """
        memory = self._memory
        memory.remember_places(agents)
        self._stopping = {
            item.attempt: self._stopping[item.attempt]
            for item in running
            if item.attempt in self._stopping
        }
        attempts = {item.attempt.task: item for item in running}
        memory.pressure, actions = pressure.relieve(
            memory.pressure, self._hosts(running, agents, now), now, self._cfg
        )
        reliefs = [self._relief(item, attempts, now) for item in actions]
        reliefs += self._reclaimed(running, agents, waiting, now)
        return tuple(reliefs)

    def _hosts(
        self,
        running: Sequence[protocols.RunningView],
        agents: Sequence[views.AgentView],
        now: float,
    ) -> list[pressure.HostPressure]:
        by_host: dict[identifiers.NodeId, list[protocols.RunningView]] = {}
        for item in running:
            by_host.setdefault(item.node_id, []).append(item)
        return [
            self._host(agent, by_host.get(agent.node_id, []), now)
            for agent in agents
        ]

    def _host(
        self,
        agent: views.AgentView,
        running: Sequence[protocols.RunningView],
        now: float,
    ) -> pressure.HostPressure:
        usage = self._memory.usage_on(agent.node_id, now)
        services = [
            item
            for item in usage
            if decision_memory.service_of(item.attempt.task) is not None
        ]
        memory_mb = sum(item.usage.memory_mb for item in usage)
        predictions = types.PlacementContext(
            now, self._memory.rng, self._memory.interference
        ).predictions
        return pressure.HostPressure(
            agent.node_id,
            max((item.slowdown for item in services), default=1.0),
            memory_mb / max(1, agent.capacity.memory_mb),
            tuple(
                pressure.PressureTask(
                    item.attempt.task,
                    item.service,
                    item.priority,
                    self._unix_time() - item.started_at,
                    item.checkpointable,
                    item.share < 1.0,
                    item.attempt in self._stopping,
                    sum(
                        predictions.pair(
                            (victim.work_class, item.work_class),
                            victim.host_load,
                        ).mean
                        for victim in services
                    ),
                )
                for item in running
            ),
        )

    def _relief(
        self,
        action: pressure.Action,
        attempts: dict[specs.TaskId, protocols.RunningView],
        now: float,
    ) -> protocols.Relief:
        view = attempts[action.task]
        match action:
            case pressure.Throttle(node_id, task, share):
                change = 'throttled' if share < 1.0 else 'lifted'
                metrics.THROTTLES.labels(change).inc()
                observability.emit(
                    events.TASK_THROTTLED,
                    task=task,
                    node_id=node_id,
                    share=share,
                )
                return protocols.Throttle(view.attempt, share)
            case pressure.Evict():
                return self._evict(view, 'pressure', now)
            case _:
                typing.assert_never(action)

    def _evict(
        self, view: protocols.RunningView, reason: str, now: float
    ) -> protocols.Evict:
        self._stopping[view.attempt] = now
        metrics.EVICTIONS.labels(reason).inc()
        if not view.checkpointable:
            lost_s = max(0.0, self._unix_time() - view.started_at)
            metrics.LOST_WORK_SECONDS.inc(lost_s)
        observability.emit(
            events.TASK_EVICTED,
            task=view.attempt.task,
            node_id=view.node_id,
            reason=reason,
        )
        return protocols.Evict(view.attempt, reason)

    def _reclaimed(
        self,
        running: Sequence[protocols.RunningView],
        agents: Sequence[views.AgentView],
        waiting: Sequence[protocols.PlacementRequest],
        now: float,
    ) -> list[protocols.Relief]:
        memory = self._memory
        held = {hold.task for hold in memory.holds if hold.until > now}
        memory.holds = tuple(h for h in memory.holds if h.until > now)
        claims = [
            types.PlacementRequest(
                item.task,
                item.team,
                item.work_class,
                item.resources,
                service=item.service,
                urgent=True,
                avoid=frozenset(item.avoid) | frozenset(item.siblings),
            )
            for item in waiting
            if item.task not in held
        ]
        if not claims:
            return []
        hosts = admission.with_holds(
            [
                memory.candidate(agent, now)
                for agent in agents
                if agent.ready and not agent.leaving
            ],
            memory.holds,
            None,
            now,
        )
        left = pressure.evictions_left(memory.pressure, now, self._cfg)
        use = quotas.team_use((item.team, item.resources) for item in running)
        use.update(memory.use)
        found = quota_reclaim.reclaim(
            claims,
            hosts,
            [self._shared(item) for item in running],
            use,
            memory.teams,
            left,
        )
        return self._carried_out(found, claims, running, now)

    def _shared(
        self, item: protocols.RunningView
    ) -> quota_reclaim.RunningTask:
        ran_s = max(0.0, self._unix_time() - item.started_at)
        return quota_reclaim.RunningTask(
            item.attempt.task,
            item.team,
            item.node_id,
            item.resources,
            item.priority,
            item.service,
            ran_s,
            item.checkpointable,
            item.attempt in self._stopping,
            max(0.0, item.expected_run_s - ran_s),
        )

    def _carried_out(
        self,
        found: Sequence[quota_reclaim.Reclaim],
        claims: Sequence[types.PlacementRequest],
        running: Sequence[protocols.RunningView],
        now: float,
    ) -> list[protocols.Relief]:
        by_task = {item.attempt.task: item for item in running}
        claim_of = {item.task: item for item in claims}
        reliefs: list[protocols.Relief] = []
        for item in found:
            claim = claim_of[item.claimant]
            hold = admission.Hold(
                item.node_id, claim.task, claim.declared, now + HOLD_S
            )
            self._memory.holds = (*self._memory.holds, hold)
            for victim in item.victims:
                view = by_task[victim.task]
                reliefs.append(self._evict(view, 'urgent', now))
            observability.emit(
                events.CAPACITY_RECLAIMED,
                count=len(item.victims),
                node_id=item.node_id,
                task=claim.task,
                team=claim.team,
            )
        self._memory.pressure = pressure.count_evictions(
            self._memory.pressure, len(reliefs), now
        )
        return reliefs
