"""Placement rounds of the policy benchmark; uses production decisions."""

import dataclasses
import random

from citronrail.model import estimates
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.scheduling import _context as scheduler_context
from citronrail.scheduling import _decision_adapters as adapters
from citronrail.scheduling import _health_evidence as evidence
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_score as score
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _pressure as pressure
from citronrail.scheduling import _quota_reclaim as quota_reclaim
from citronrail.scheduling import _quotas as quotas
from citronrail.scheduling import _ramps as ramps
from citronrail.scheduling import _worker_health as worker_health
from measure import _cluster as cluster
from measure import _workload as workload

HOLD_S = 15.0
STARVED_HOLD_S = 120.0
MIN_OBSERVATIONS = 3
QUOTAS = quotas.QuotaSettings()
PRESSURE = pressure.PressureSettings()

LIMITS = scheduler_context.Limits()


@dataclasses.dataclass
class State:
    """The cluster and the inputs of the decisions."""

    fleet: cluster.Cluster
    pending: dict[specs.TaskId, cluster.Task] = dataclasses.field(
        default_factory=dict
    )
    running: dict[specs.TaskId, cluster.Task] = dataclasses.field(
        default_factory=dict
    )
    deferred: dict[specs.TaskId, float] = dataclasses.field(
        default_factory=dict
    )
    host_load: dict[str, float] = dataclasses.field(default_factory=dict)
    returned_at: dict[str, float] = dataclasses.field(default_factory=dict)
    model: interference.InterferenceModel = interference.InterferenceModel()
    health: evidence.HealthRecord = evidence.HealthRecord()
    trials: types.TrialLedger = types.TrialLedger()
    holds: tuple[admission.Hold, ...] = ()
    drained_data_centre: str | None = None
    evictions: int = 0
    starts: int = 0
    size_estimates: estimates.Estimates = estimates.Estimates()
    pressure_state: pressure.PressureState = pressure.PressureState()


class Placer:
    """Places pending tasks by one policy.

    :param policy: the placement policy.
    :param state: the cluster and the inputs of the decisions.
    :param deployment: determines the quotas of the teams.
    :param seed: seed of the policy's random choices.
    """

    def __init__(
        self,
        policy: placement.Policy,
        state: State,
        deployment: workload.Deployment,
        seed: int,
    ) -> None:
        self.state = state
        self._policy = policy
        self._rng = random.Random(f'policy/{seed}')
        self._teams = _teams(deployment)

    def place(self, now: float) -> None:
        """Place pending tasks and reclaim resources for those entitled."""
        self.state.holds = tuple(h for h in self.state.holds if h.until > now)
        hosts = [
            self._candidate(h, now) for h in self.state.fleet.hosts.values()
        ]
        context = types.PlacementContext(
            now,
            self._rng,
            self.state.model,
            self.state.trials,
            admission.count_replicas(hosts),
        )
        replicas = [t for t in self.state.pending.values() if t.work.service]
        for task in replicas:
            self._place_one(task, hosts, context, now)
        claims = []
        for entry in self._order(now):
            task = self.state.pending[entry.task.task]
            if not self._place_one(task, hosts, context, now):
                if quota_reclaim.may_reclaim(entry, now, QUOTAS):
                    claims.append(task)
                self._hold_if_starved(task, hosts, now)
        self._reclaim(
            [t for t in replicas if not t.node_id] + claims, hosts, now
        )

    def _order(self, now: float) -> tuple[quotas.QueueEntry, ...]:
        pending = [
            quotas.PendingTask(
                task.work.task,
                task.work.team,
                placement.reservation_of(
                    self._policy, self._request(task, now)
                ),
                task.work.priority,
                task.ready_at,
                None,
                self._expected_run_s(task),
            )
            for task in self.state.pending.values()
            if not task.work.service and task.ready_at <= now
        ]
        return quotas.queue_order(
            pending, self._team_use(), self._teams, now, QUOTAS
        )

    def _team_use(self) -> dict[str, resources.Resources]:
        return quotas.team_use(
            (task.work.team, task.reservation)
            for task in self.state.running.values()
            if not task.work.service
        )

    def _place_one(
        self,
        task: cluster.Task,
        hosts: list[types.Candidate],
        context: types.PlacementContext,
        now: float,
    ) -> bool:
        request = self._request(task, now)
        decision = placement.choose(
            self._policy,
            request,
            admission.with_holds(hosts, self.state.holds, request.task, now),
            context.continued(
                self.state.trials, admission.count_replicas(hosts)
            ),
        )
        if isinstance(decision, types.NotPlaced):
            if decision.deferred:
                self.state.deferred.setdefault(request.task, now)
            return False
        self.state.deferred.pop(request.task, None)
        self.state.trials = score.record_placement(self.state.trials, decision)
        index = [h.node_id for h in hosts].index(decision.node_id)
        del self.state.pending[request.task]
        self.state.running[request.task] = task
        self.state.fleet.start(
            task, decision.node_id, decision.reservation, now
        )
        self.state.starts += 1
        self.state.health = worker_health.task_started(
            self.state.health, decision.node_id, request.task, now
        )
        self.state.holds = tuple(
            h for h in self.state.holds if h.task != request.task
        )
        host = hosts[index].with_occupant(_occupant(task))
        has_no_trial_slot = worker_health.one_at_a_time(
            self.state.health, host.node_id
        )
        hosts[index] = dataclasses.replace(
            host, accepting=not has_no_trial_slot
        )
        return True

    def _request(
        self, task: cluster.Task, now: float
    ) -> types.PlacementRequest:
        work = task.work
        estimated = None
        key = key_of(work)
        if estimates.has_observations(
            self.state.size_estimates, key, MIN_OBSERVATIONS
        ):
            estimated = estimates.expected_size(
                self.state.size_estimates, key, work.declared
            )
        return types.PlacementRequest(
            work.task,
            work.team,
            work.work_class,
            work.declared,
            estimated,
            work.service,
            work.priority is specs.Priority.URGENT,
            avoid=worker_health.avoided_workers(self.state.health, work.task),
            waited_s=now - self.state.deferred.get(work.task, now),
            defer_limit_s=adapters.DEFER_RUNS * self._expected_run_s(task),
        )

    def _expected_run_s(self, task: cluster.Task) -> float:
        return estimates.expected_run_s(
            self.state.size_estimates,
            key_of(task.work),
            task.work.declared_run_s,
        )

    def _candidate(self, host: cluster.Host, now: float) -> types.Candidate:
        occupants = tuple(_occupant(task) for task in host.tasks.values())
        reserved = resources.Resources()
        for item in occupants:
            reserved += item.reservation
        return types.Candidate(
            host.node_id,
            host.data_centre,
            host.rack,
            host.capacity,
            reserved,
            occupants,
            host.data_centre != self.state.drained_data_centre,
            host.up
            and worker_health.may_start(self.state.health, host.node_id, now)
            and self._ramp_open(host, now),
            self.state.host_load.get(host.node_id, 0.5),
        )

    def _ramp_open(self, host: cluster.Host, now: float) -> bool:
        since = self.state.returned_at.get(host.data_centre)
        if since is None:
            return True
        local_nodes = [
            other.node_id
            for other in self.state.fleet.hosts.values()
            if other.up and other.data_centre == host.data_centre
        ]
        share = ramps.ramp_share(now - since, LIMITS)
        return host.node_id in ramps.usable(local_nodes, share)

    def _hold_if_starved(
        self, task: cluster.Task, hosts: list[types.Candidate], now: float
    ) -> None:
        waited_s = now - task.ready_at
        if waited_s < QUOTAS.starve_s or self.state.holds:
            return
        request = self._request(task, now)
        hold = quota_reclaim.hold_for_starved(
            request,
            placement.reservation_of(self._policy, request),
            hosts,
            self._running_tasks(),
            now + STARVED_HOLD_S,
        )
        if hold is not None:
            self.state.holds = (*self.state.holds, hold)

    def _running_tasks(self) -> list[quota_reclaim.RunningTask]:
        return [
            quota_reclaim.RunningTask(
                task.work.task,
                task.work.team,
                task.node_id,
                task.reservation,
                task.work.priority,
                task.work.service,
                task.done_s - task.saved_s,
                task.work.checkpointable,
                task.stops_at is not None,
                max(0.0, self._expected_run_s(task) - task.done_s),
            )
            for task in self.state.running.values()
        ]

    def _reclaim(
        self,
        claims: list[cluster.Task],
        hosts: list[types.Candidate],
        now: float,
    ) -> None:
        held = {hold.task for hold in self.state.holds}
        requests = []
        for task in claims:
            if task.work.task in held:
                continue
            request = self._request(task, now)
            size = placement.reservation_of(self._policy, request)
            requests.append(
                dataclasses.replace(
                    request,
                    declared=size,
                    urgent=request.urgent or bool(task.work.service),
                )
            )
        if not requests:
            return
        reclaims = quota_reclaim.reclaim(
            requests,
            admission.with_holds(hosts, self.state.holds, None, now),
            self._running_tasks(),
            self._team_use(),
            self._teams,
            pressure.evictions_left(self.state.pressure_state, now, PRESSURE),
        )
        size_of = {item.task: item.declared for item in requests}
        for item in reclaims:
            hold = admission.Hold(
                item.node_id,
                item.claimant,
                size_of[item.claimant],
                now + HOLD_S,
            )
            self.state.holds = (*self.state.holds, hold)
            for victim in item.victims:
                task = self.state.running[victim.task]
                self.state.fleet.stop(task, checkpoint=True, now=now)
                self.state.evictions += 1
            self.state.pressure_state = pressure.count_evictions(
                self.state.pressure_state, len(item.victims), now
            )


def _teams(
    deployment: workload.Deployment,
) -> dict[str, settings.TeamSettings]:
    part = workload.WORKERS / len(workload.TEAMS)
    quota = resources.Resources(
        int(deployment.capacity.millicores * part),
        int(deployment.capacity.memory_mb * part),
    )
    return {name: settings.TeamSettings(quota) for name in workload.TEAMS}


def key_of(work: workload.Work) -> estimates.WorkKey:
    """Return the key by which observations of a task are grouped."""
    return estimates.WorkKey(work.team, work.work_class, work.task.owner)


def _occupant(task: cluster.Task) -> types.Occupant:
    return types.Occupant(
        task.work.task,
        task.work.work_class,
        task.reservation,
        task.work.service,
        max(0.0, task.share),
    )
