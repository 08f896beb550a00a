"""The control loop of the policy measurement, over the shipped decisions."""

import dataclasses
import random

from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.scheduling import _context as scheduler_context
from citronrail.scheduling import _drain_order as drain_order
from citronrail.scheduling import _estimates as estimates
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

# Time after which the tasks of a lost host get a new attempt.
LOST_AGENT_S = 22.0
HOLD_S = 15.0
STARVED_HOLD_S = 120.0
MIN_OBSERVATIONS = 3
QUOTAS = quotas.QuotaSettings()
LIMITS = scheduler_context.Limits()


@dataclasses.dataclass(frozen=True)
class Contender:
    """A set of decisions to measure.

    ``drains``: a leaving data centre is drained in order and ramped up on its
    return; otherwise its tasks are stopped at once.
    """

    name: str
    placement: placement.Policy
    drains: bool = False
    round_robin: bool = False


class Controller:
    """Runs one contender against one workload.

    :param load: what happens in the run.
    :param contender: the decisions.
    :param seed: for random choices of the policy and of the fleet.
    """

    def __init__(
        self, load: workload.Workload, contender: Contender, seed: int
    ) -> None:
        self.load = load
        self.contender = contender
        self.fleet = cluster.Cluster(load, seed, contender.round_robin)
        self.evictions = 0
        self.starts = 0
        self._rng = random.Random(f'policy/{seed}')
        self._arrivals = list(reversed(load.arrivals))
        self._pending: dict[specs.TaskId, cluster.Task] = {}
        self._running: dict[specs.TaskId, cluster.Task] = {}
        self._model = interference.InterferenceModel()
        self._estimates = estimates.Estimates()
        self._health = evidence.HealthRecord()
        self._pressure = pressure.PressureState()
        self._pressure_cfg = pressure.PressureSettings()
        self._trials = types.TrialLedger()
        self._holds: tuple[admission.Hold, ...] = ()
        self._usage: dict[str, dict[specs.TaskId, object]] = {}
        self._host_load: dict[str, float] = {}
        self._returned_at: dict[str, float] = {}
        self._out: str | None = None
        self._replaced_by: dict[specs.TaskId, specs.TaskId] = {}
        self._deferred: dict[specs.TaskId, float] = {}
        self._teams = _teams(load.deployment)
        for item in workload.replicas(load.deployment):
            self._pending[item.task] = cluster.Task(item, 0.0)

    def tick(self, now: float) -> None:
        """Advance the fleet by one second and decide."""
        self._arrive(now)
        self._faults(now)
        for ended in self.fleet.advance(now, 1.0):
            self._take_end(ended, now)
        self._learn(now)
        outage = self.load.store_outage
        stopped = outage is not None and outage[0] <= now < outage[1]
        self._relieve(now, may_evict=not stopped)
        if not stopped:
            self._drain(now)
            self._place(now)
        self.fleet.serve(now, 1.0)

    def _arrive(self, now: float) -> None:
        while self._arrivals and self._arrivals[-1][0] <= now:
            at, work = self._arrivals.pop()
            self._pending[work.task] = cluster.Task(work, at)

    def _faults(self, now: float) -> None:
        hosts = list(self.fleet.hosts.values())
        faulty = hosts[self.load.faulty_index]
        if self.load.lost_host_at == now:
            for ended in self.fleet.lose(faulty, now):
                self._take_end(ended, now)
        if self.load.broken_from == now:
            faulty.broken = True
        if self.load.data_centre_out is None:
            return
        out_at, back_at = self.load.data_centre_out
        if now == out_at:
            self._out = faulty.data_centre
            if not self.contender.drains:
                self._stop_all(now)
        if now == back_at and self._out:
            if self.contender.drains:
                self._returned_at[self._out] = now
            self._out = None

    def _stop_all(self, now: float) -> None:
        for task in self._running.values():
            host = self.fleet.hosts[task.node_id]
            if host.data_centre == self._out:
                self.fleet.stop(task, checkpoint=False, now=now)
                self.evictions += not task.work.service

    def _take_end(self, ended: cluster.Ended, now: float) -> None:
        task, work = ended.task, ended.task.work
        del self._running[work.task]
        if ended.state in ('finished', 'failed'):
            self._health = worker_health.task_ended(
                self._health,
                evidence.TaskEnd(
                    ended.node_id, work.task, ended.state == 'finished', now
                ),
            )
        else:
            self._health = worker_health.trial_abandoned(
                self._health, ended.node_id, work.task, now
            )
        if ended.state in ('finished', 'out of memory'):
            whole = ended.state == 'finished' and task.saved_s == 0.0
            self._estimates = estimates.observe(
                self._estimates,
                _key(work),
                estimates.Declared(work.declared, work.declared_run_s),
                estimates.Observed(work.true, ended.run_s if whole else None),
            )
        self.evictions += ended.state == 'out of memory'
        if ended.state == 'lost':
            task.ready_at = now + LOST_AGENT_S
        leaves = work.service and ended.state == 'stopped' and task.share < 0
        if ended.state != 'finished' and not leaves:
            self._pending[work.task] = task

    def _learn(self, now: float) -> None:
        measured = []
        for node_id, usage in self.fleet.reports(now):
            measured += [interference.measurement(u, 0.0) for u in usage]
            self._usage[node_id] = {u.attempt.task: u for u in usage}
            if usage:
                self._host_load[node_id] = usage[0].host_load
        self._model = interference.learn(self._model, measured, now)

    def _relieve(self, now: float, may_evict: bool) -> None:
        predictions = interference.Predictions(self._model, now)
        hosts = [
            self._host_pressure(host, predictions)
            for host in self.fleet.hosts.values()
            if host.up
        ]
        cfg = self._pressure_cfg
        if not may_evict:
            cfg = dataclasses.replace(cfg, max_evictions_a_minute=0)
        self._pressure, actions = pressure.relieve(
            self._pressure, hosts, now, cfg
        )
        for action in actions:
            task = self._running[action.task]
            match action:
                case pressure.Throttle(share=share):
                    task.share = share
                case pressure.Evict(checkpoint=checkpoint):
                    self.fleet.stop(task, checkpoint, now)
                    self.evictions += 1

    def _host_pressure(
        self, host: cluster.Host, predictions: interference.Predictions
    ) -> pressure.HostPressure:
        usage = self._usage.get(host.node_id, {})
        services = {
            key: item
            for key, item in usage.items()
            if key.owner.startswith('service:')
        }
        memory = sum(item.usage.memory_mb for item in usage.values())
        tasks = tuple(
            pressure.PressureTask(
                task.work.task,
                task.work.service,
                task.work.priority,
                task.done_s - task.saved_s,
                task.work.checkpointable,
                task.share < 1.0,
                task.stops_at is not None,
                sum(
                    predictions.pair(
                        (item.work_class, task.work.work_class),
                        item.host_load,
                    ).mean
                    for item in services.values()
                ),
            )
            for task in host.tasks.values()
        )
        return pressure.HostPressure(
            host.node_id,
            max((i.slowdown for i in services.values()), default=1.0),
            memory / host.capacity.memory_mb,
            tasks,
        )

    def _drain(self, now: float) -> None:
        if self._out is None or not self.contender.drains:
            return
        here = [
            task
            for task in self._running.values()
            if self.fleet.hosts[task.node_id].data_centre == self._out
        ]
        stopping = [task for task in here if task.stops_at is not None]
        leaving_s = now - self.load.data_centre_out[0]
        steps = drain_order.drain_steps(
            [
                self._drain_task(task, leaving_s, now)
                for task in here
                if task.stops_at is None
            ],
            len(stopping),
            drain_order.DrainSettings(
                LIMITS.moves_a_round, LIMITS.drain_grace_s
            ),
        )
        for step in steps:
            self._carry_out(step, now)

    def _carry_out(self, step: drain_order.DrainStep, now: float) -> None:
        task = self._running[step.task]
        match step.action:
            case drain_order.DrainAction.REPLACE:
                index = 100 + len(self._replaced_by)
                task_id = specs.TaskId(step.task.owner, index)
                self._replaced_by[step.task] = task_id
                work = dataclasses.replace(task.work, task=task_id)
                self._pending[task_id] = cluster.Task(work, now)
            case drain_order.DrainAction.STOP:
                self.fleet.stop(task, checkpoint=False, now=now)
                if task.work.service:
                    # Its replacement runs already; it does not come back.
                    task.share = -1.0
                else:
                    self.evictions += 1
            case drain_order.DrainAction.CHECKPOINT:
                self.fleet.stop(task, checkpoint=True, now=now)
                self.evictions += 1

    def _drain_task(
        self, task: cluster.Task, leaving_s: float, now: float
    ) -> drain_order.DrainTask:
        work = task.work
        return drain_order.DrainTask(
            work.task,
            self._replacement(work.task, now) if work.service else None,
            now - task.started_at,
            max(0.0, self._expected_run_s(task) - (now - task.started_at)),
            leaving_s,
            work.checkpointable,
            work.priority is specs.Priority.URGENT,
        )

    def _replacement(
        self, task: specs.TaskId, now: float
    ) -> drain_order.Replacement:
        successor = self._replaced_by.get(task)
        if successor is None:
            return drain_order.Replacement.NONE
        running = self._running.get(successor)
        if running is None or now < (
            running.started_at + cluster.SERVICE_START_S
        ):
            return drain_order.Replacement.STARTING
        return drain_order.Replacement.ANSWERS

    def _place(self, now: float) -> None:
        self._holds = tuple(h for h in self._holds if h.until > now)
        hosts = [self._candidate(h, now) for h in self.fleet.hosts.values()]
        context = types.PlacementContext(
            now,
            self._rng,
            self._model,
            self._trials,
            admission.count_replicas(hosts),
        )
        replicas = [t for t in self._pending.values() if t.work.service]
        for task in replicas:
            self._place_one(task, hosts, context, now)
        claims = []
        for entry in self._order(now):
            task = self._pending[entry.task.task]
            if not self._place_one(task, hosts, context, now):
                if quota_reclaim.may_reclaim(entry, now, QUOTAS):
                    claims.append(task)
                self._hold_if_starved(task, hosts, now)
        self._reclaim(replicas_left(replicas) + claims, hosts, now)

    def _order(self, now: float) -> tuple[quotas.QueueEntry, ...]:
        pending = [
            quotas.PendingTask(
                task.work.task,
                task.work.team,
                placement.reservation_of(
                    self.contender.placement, self._request(task, now)
                ),
                task.work.priority,
                task.ready_at,
                None,
                self._expected_run_s(task),
            )
            for task in self._pending.values()
            if not task.work.service and task.ready_at <= now
        ]
        return quotas.queue_order(
            pending, self._use(), self._teams, now, QUOTAS
        )

    def _use(self) -> dict[str, resources.Resources]:
        return quotas.team_use(
            (task.work.team, task.reservation)
            for task in self._running.values()
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
            self.contender.placement,
            request,
            admission.with_holds(hosts, self._holds, request.task, now),
            context.continued(self._trials, admission.count_replicas(hosts)),
        )
        if isinstance(decision, types.NotPlaced):
            if decision.deferred:
                self._deferred.setdefault(request.task, now)
            return False
        self._deferred.pop(request.task, None)
        self._trials = score.record_placement(self._trials, decision)
        index = [h.node_id for h in hosts].index(decision.node_id)
        del self._pending[request.task]
        self._running[request.task] = task
        self.fleet.start(task, decision.node_id, decision.reservation, now)
        self.starts += 1
        self._health = worker_health.task_started(
            self._health, decision.node_id, request.task, now
        )
        self._holds = tuple(h for h in self._holds if h.task != request.task)
        host = hosts[index].with_occupant(_occupant(task))
        full = worker_health.one_at_a_time(self._health, host.node_id)
        hosts[index] = dataclasses.replace(host, accepting=not full)
        return True

    def _request(
        self, task: cluster.Task, now: float
    ) -> types.PlacementRequest:
        work = task.work
        estimated = None
        key = _key(work)
        if estimates.has_observations(self._estimates, key, MIN_OBSERVATIONS):
            estimated = estimates.expected_size(
                self._estimates, key, work.declared
            )
        return types.PlacementRequest(
            work.task,
            work.team,
            work.work_class,
            work.declared,
            estimated,
            work.service,
            work.priority is specs.Priority.URGENT,
            avoid=worker_health.avoided_workers(self._health, work.task),
            waited_s=now - self._deferred.get(work.task, now),
        )

    def _expected_run_s(self, task: cluster.Task) -> float:
        return estimates.expected_run_s(
            self._estimates, _key(task.work), task.work.declared_run_s
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
            host.data_centre != self._out,
            host.up
            and worker_health.may_start(self._health, host.node_id, now)
            and self._ramp_open(host, now),
            self._host_load.get(host.node_id, 0.5),
        )

    def _ramp_open(self, host: cluster.Host, now: float) -> bool:
        since = self._returned_at.get(host.data_centre)
        if since is None:
            return True
        here = [
            other.node_id
            for other in self.fleet.hosts.values()
            if other.up and other.data_centre == host.data_centre
        ]
        share = ramps.ramp_share(now - since, LIMITS)
        return host.node_id in ramps.usable(here, share)

    def _hold_if_starved(
        self, task: cluster.Task, hosts: list[types.Candidate], now: float
    ) -> None:
        waited_s = now - task.ready_at
        if waited_s < QUOTAS.starve_s or self._holds:
            return
        request = self._request(task, now)
        hold = quota_reclaim.hold_for_starved(
            request,
            placement.reservation_of(self.contender.placement, request),
            hosts,
            self._shared(),
            now + STARVED_HOLD_S,
        )
        if hold is not None:
            self._holds = (*self._holds, hold)

    def _shared(self) -> list[quota_reclaim.RunningTask]:
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
            for task in self._running.values()
        ]

    def _reclaim(
        self,
        claims: list[cluster.Task],
        hosts: list[types.Candidate],
        now: float,
    ) -> None:
        held = {hold.task for hold in self._holds}
        requests = []
        for task in claims:
            if task.work.task in held:
                continue
            request = self._request(task, now)
            size = placement.reservation_of(self.contender.placement, request)
            requests.append(
                dataclasses.replace(
                    request,
                    declared=size,
                    urgent=request.urgent or bool(task.work.service),
                )
            )
        if not requests:
            return
        found = quota_reclaim.reclaim(
            requests,
            admission.with_holds(hosts, self._holds, None, now),
            self._shared(),
            self._use(),
            self._teams,
            pressure.evictions_left(self._pressure, now, self._pressure_cfg),
        )
        size_of = {item.task: item.declared for item in requests}
        for item in found:
            hold = admission.Hold(
                item.node_id,
                item.claimant,
                size_of[item.claimant],
                now + HOLD_S,
            )
            self._holds = (*self._holds, hold)
            for victim in item.victims:
                task = self._running[victim.task]
                self.fleet.stop(task, checkpoint=True, now=now)
                self.evictions += 1
            self._pressure = pressure.count_evictions(
                self._pressure, len(item.victims), now
            )


def replicas_left(replicas: list[cluster.Task]) -> list[cluster.Task]:
    """Return the replicas that found no host."""
    return [task for task in replicas if not task.node_id]


def _teams(
    deployment: workload.Deployment,
) -> dict[str, settings.TeamSettings]:
    part = workload.WORKERS / len(workload.TEAMS)
    quota = resources.Resources(
        int(deployment.capacity.millicores * part),
        int(deployment.capacity.memory_mb * part),
    )
    return {name: settings.TeamSettings(quota) for name in workload.TEAMS}


def _key(work: workload.Work) -> estimates.WorkKey:
    return estimates.WorkKey(work.team, work.work_class, work.task.owner)


def _occupant(task: cluster.Task) -> types.Occupant:
    return types.Occupant(
        task.work.task,
        task.work.work_class,
        task.reservation,
        task.work.service,
        max(0.0, task.share),
    )
