"""Adapter of pressure mitigation and quota reclaim to the protocol."""

from collections.abc import Callable
from collections.abc import Sequence
import typing

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.model import views
from citronrail import observability
from citronrail.observability.catalogue import decisions as events
from citronrail.scheduling import _decision_metrics as metrics
from citronrail.scheduling import _decision_state as decision_state
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _policies as protocols
from citronrail.scheduling import _pressure as pressure
from citronrail.scheduling import _quota_reclaim as quota_reclaim
from citronrail.scheduling import _quotas as quotas

# Duration of a hold on reclaimed capacity. It covers the checkpoints of the
# evicted tasks; after it, any task may use the capacity.
RECLAIM_HOLD_S = 15.0


class PressureDecider:
    """:class:`protocols.PressurePolicy`.

    :param state: state shared by the policies.
    :param unix_time: returns the Unix time in seconds.
    :param cfg: thresholds and durations.
    """

    def __init__(
        self,
        state: decision_state.DecisionState,
        unix_time: Callable[[], float],
        cfg: pressure.PressureSettings | None = None,
    ) -> None:
        self._state = state
        self._unix_time = unix_time
        self._cfg = cfg or pressure.PressureSettings()
        # Evicted attempts that are still running, with the eviction time.
        self._stopping: dict[specs.AttemptId, float] = {}

    def relieve(
        self,
        running: tuple[protocols.RunningView, ...],
        agents: tuple[views.AgentView, ...],
        waiting: tuple[protocols.PlacementRequest, ...],
        now: float,
    ) -> tuple[protocols.PressureAction, ...]:
        """Decide on actions; see the protocol.

        :param running: running attempts of the shard.
        :param agents: all agents, with their latest load.
        :param waiting: urgent tasks and replicas that could not be placed.
        :param now: local monotonic time in seconds.
        :returns: actions, those that lose the least work first.
        """
        state = self._state
        state.store_places(agents)
        self._stopping = {
            item.attempt: self._stopping[item.attempt]
            for item in running
            if item.attempt in self._stopping
        }
        running_by_task = {item.attempt.task: item for item in running}
        state.pressure, actions = pressure.relieve(
            state.pressure,
            self._host_pressures(running, agents, now),
            now,
            self._cfg,
        )
        pressure_actions = [
            self._convert_action(item, running_by_task, now)
            for item in actions
        ]
        pressure_actions += self._reclaim_capacity(
            running, agents, waiting, now
        )
        return tuple(pressure_actions)

    def _host_pressures(
        self,
        running: Sequence[protocols.RunningView],
        agents: Sequence[views.AgentView],
        now: float,
    ) -> list[pressure.HostPressure]:
        running_by_host: dict[
            identifiers.NodeId, list[protocols.RunningView]
        ] = {}
        for item in running:
            running_by_host.setdefault(item.node_id, []).append(item)
        return [
            self._host_pressure(
                agent, running_by_host.get(agent.node_id, []), now
            )
            for agent in agents
        ]

    def _host_pressure(
        self,
        agent: views.AgentView,
        running: Sequence[protocols.RunningView],
        now: float,
    ) -> pressure.HostPressure:
        usage = self._state.usage_on(agent.node_id, now)
        services = [
            item
            for item in usage
            if decision_state.service_of(item.attempt.task) is not None
        ]
        memory_mb = sum(item.usage.memory_mb for item in usage)
        predictions = types.PlacementContext(
            now, self._state.rng, self._state.interference
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
                            (service.work_class, item.work_class),
                            service.host_load,
                        ).mean
                        for service in services
                    ),
                )
                for item in running
            ),
        )

    def _convert_action(
        self,
        action: pressure.Action,
        running_by_task: dict[specs.TaskId, protocols.RunningView],
        now: float,
    ) -> protocols.PressureAction:
        running_view = running_by_task[action.task]
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
                return protocols.Throttle(running_view.attempt, share)
            case pressure.Evict():
                return self._evict(running_view, 'pressure', now)
            case _:
                typing.assert_never(action)

    def _evict(
        self, running_view: protocols.RunningView, reason: str, now: float
    ) -> protocols.Evict:
        self._stopping[running_view.attempt] = now
        metrics.EVICTIONS.labels(reason).inc()
        if not running_view.checkpointable:
            lost_s = max(0.0, self._unix_time() - running_view.started_at)
            metrics.LOST_WORK_SECONDS.inc(lost_s)
        observability.emit(
            events.TASK_EVICTED,
            task=running_view.attempt.task,
            node_id=running_view.node_id,
            reason=reason,
        )
        return protocols.Evict(running_view.attempt, reason)

    def _reclaim_capacity(
        self,
        running: Sequence[protocols.RunningView],
        agents: Sequence[views.AgentView],
        waiting: Sequence[protocols.PlacementRequest],
        now: float,
    ) -> list[protocols.PressureAction]:
        state = self._state
        held_tasks = {hold.task for hold in state.holds if hold.until > now}
        state.holds = tuple(h for h in state.holds if h.until > now)
        requests = [
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
            if item.task not in held_tasks
        ]
        if not requests:
            return []
        hosts = admission.with_holds(
            [
                state.candidate(agent, now)
                for agent in agents
                if agent.ready and not agent.leaving
            ],
            state.holds,
            None,
            now,
        )
        evictions_left = pressure.evictions_left(
            state.pressure, now, self._cfg
        )
        use = quotas.team_use((item.team, item.resources) for item in running)
        use.update(state.use)
        reclaims = quota_reclaim.reclaim(
            requests,
            hosts,
            [self._running_task(item) for item in running],
            use,
            state.teams,
            evictions_left,
        )
        return self._evict_victims(reclaims, requests, running, now)

    def _running_task(
        self, item: protocols.RunningView
    ) -> quota_reclaim.RunningTask:
        run_s = max(0.0, self._unix_time() - item.started_at)
        return quota_reclaim.RunningTask(
            item.attempt.task,
            item.team,
            item.node_id,
            item.resources,
            item.priority,
            item.service,
            run_s,
            item.checkpointable,
            item.attempt in self._stopping,
            max(0.0, item.expected_run_s - run_s),
        )

    def _evict_victims(
        self,
        reclaims: Sequence[quota_reclaim.Reclaim],
        requests: Sequence[types.PlacementRequest],
        running: Sequence[protocols.RunningView],
        now: float,
    ) -> list[protocols.PressureAction]:
        running_by_task = {item.attempt.task: item for item in running}
        request_by_task = {item.task: item for item in requests}
        pressure_actions: list[protocols.PressureAction] = []
        for item in reclaims:
            request = request_by_task[item.claimant]
            hold = admission.Hold(
                item.node_id,
                request.task,
                request.declared,
                now + RECLAIM_HOLD_S,
            )
            self._state.holds = (*self._state.holds, hold)
            for victim in item.victims:
                running_view = running_by_task[victim.task]
                pressure_actions.append(
                    self._evict(running_view, 'urgent', now)
                )
            observability.emit(
                events.CAPACITY_RECLAIMED,
                count=len(item.victims),
                node_id=item.node_id,
                task=request.task,
                team=request.team,
            )
        self._state.pressure = pressure.count_evictions(
            self._state.pressure, len(pressure_actions), now
        )
        return pressure_actions
