"""Control loop of the policy benchmark; uses the production decisions."""

import dataclasses

from citronrail.model import estimates
from citronrail.model import messages
from citronrail.model import specs
from citronrail.scheduling import _context as scheduler_context
from citronrail.scheduling import _drain_order as drain_order
from citronrail.scheduling import _health_evidence as evidence
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _pressure as pressure
from citronrail.scheduling import _worker_health as worker_health
from measure import _cluster as cluster
from measure import _placing as placing
from measure import _workload as workload

# Delay until the tasks of a lost host get a new attempt.
LOST_AGENT_TIMEOUT_S = 22.0
LIMITS = scheduler_context.Limits()


@dataclasses.dataclass(frozen=True)
class Variant:
    """A combination of decisions to measure.

    With ``drains`` a leaving data centre is drained gradually and ramped up on
    its return; otherwise its tasks are stopped at once.
    """

    name: str
    placement: placement.Policy
    drains: bool = False
    round_robin: bool = False


class Controller:
    """Runs one variant against one workload.

    :param load: workload and faults of the run.
    :param variant: the decisions to use.
    :param seed: seed of the policy and of the cluster.
    """

    def __init__(
        self, load: workload.Workload, variant: Variant, seed: int
    ) -> None:
        self.load = load
        self.variant = variant
        self.state = placing.State(
            cluster.Cluster(load, seed, variant.round_robin)
        )
        self._placer = placing.Placer(
            variant.placement, self.state, load.deployment, seed
        )
        self._arrivals = list(reversed(load.arrivals))
        self._usage: dict[str, dict[specs.TaskId, messages.TaskUsage]] = {}
        self._replaced_by: dict[specs.TaskId, specs.TaskId] = {}
        for item in workload.replicas(load.deployment):
            self.state.pending[item.task] = cluster.Task(item, 0.0)

    def tick(self, now: float) -> None:
        """Advance the cluster by one second and make all decisions."""
        self._add_arrivals(now)
        self._inject_faults(now)
        for ended in self.state.fleet.advance(now, 1.0):
            self._handle_task_end(ended, now)
        self._update_interference_model(now)
        outage = self.load.store_outage
        placement_stopped = outage is not None and outage[0] <= now < outage[1]
        self._relieve_pressure(now, may_evict=not placement_stopped)
        if not placement_stopped:
            self._drain(now)
            self._placer.place(now)
        self.state.fleet.serve_requests(now, 1.0)

    def _add_arrivals(self, now: float) -> None:
        while self._arrivals and self._arrivals[-1][0] <= now:
            at, work = self._arrivals.pop()
            self.state.pending[work.task] = cluster.Task(work, at)

    def _inject_faults(self, now: float) -> None:
        hosts = list(self.state.fleet.hosts.values())
        faulty = hosts[self.load.faulty_index]
        if self.load.lost_host_at == now:
            for ended in self.state.fleet.fail_host(faulty, now):
                self._handle_task_end(ended, now)
        if self.load.broken_from == now:
            faulty.broken = True
        if self.load.data_centre_out is None:
            return
        out_at, back_at = self.load.data_centre_out
        if now == out_at:
            self.state.drained_data_centre = faulty.data_centre
            if not self.variant.drains:
                self._stop_all(now)
        if now == back_at and self.state.drained_data_centre:
            if self.variant.drains:
                self.state.returned_at[self.state.drained_data_centre] = now
            self.state.drained_data_centre = None

    def _stop_all(self, now: float) -> None:
        for task in self.state.running.values():
            host = self.state.fleet.hosts[task.node_id]
            if host.data_centre == self.state.drained_data_centre:
                self.state.fleet.stop(task, checkpoint=False, now=now)
                self.state.evictions += not task.work.service

    def _handle_task_end(self, ended: cluster.EndedTask, now: float) -> None:
        task, work = ended.task, ended.task.work
        del self.state.running[work.task]
        if ended.state in ('finished', 'failed'):
            self.state.health = worker_health.task_ended(
                self.state.health,
                evidence.TaskEnd(
                    ended.node_id, work.task, ended.state == 'finished', now
                ),
            )
        else:
            self.state.health = worker_health.trial_abandoned(
                self.state.health, ended.node_id, work.task, now
            )
        if ended.state in ('finished', 'out of memory'):
            ran_uninterrupted = (
                ended.state == 'finished' and task.saved_s == 0.0
            )
            self.state.size_estimates = estimates.observe(
                self.state.size_estimates,
                placing.key_of(work),
                estimates.Declared(work.declared, work.declared_run_s),
                estimates.Observed(
                    work.true, ended.run_s if ran_uninterrupted else None
                ),
            )
        self.state.evictions += ended.state == 'out of memory'
        if ended.state == 'lost':
            task.ready_at = now + LOST_AGENT_TIMEOUT_S
        was_replaced = (
            work.service and ended.state == 'stopped' and task.share < 0
        )
        if ended.state != 'finished' and not was_replaced:
            self.state.pending[work.task] = task

    def _update_interference_model(self, now: float) -> None:
        measured = []
        for node_id, usage in self.state.fleet.reports(now):
            measured += [interference.measurement(u, 0.0) for u in usage]
            self._usage[node_id] = {u.attempt.task: u for u in usage}
            if usage:
                self.state.host_load[node_id] = usage[0].host_load
        self.state.model = interference.learn(self.state.model, measured, now)

    def _relieve_pressure(self, now: float, may_evict: bool) -> None:
        predictions = interference.Predictions(self.state.model, now)
        hosts = [
            self._host_pressure(host, predictions)
            for host in self.state.fleet.hosts.values()
            if host.up
        ]
        cfg = placing.PRESSURE
        if not may_evict:
            cfg = dataclasses.replace(cfg, max_evictions_a_minute=0)
        self.state.pressure_state, actions = pressure.relieve(
            self.state.pressure_state, hosts, now, cfg
        )
        for action in actions:
            task = self.state.running[action.task]
            match action:
                case pressure.Throttle(share=share):
                    task.share = share
                case pressure.Evict(checkpoint=checkpoint):
                    self.state.fleet.stop(task, checkpoint, now)
                    self.state.evictions += 1

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
        if self.state.drained_data_centre is None or not self.variant.drains:
            return
        local_tasks = [
            task
            for task in self.state.running.values()
            if self.state.fleet.hosts[task.node_id].data_centre
            == self.state.drained_data_centre
        ]
        stopping = [task for task in local_tasks if task.stops_at is not None]
        leaving_s = now - self.load.data_centre_out[0]
        steps = drain_order.drain_steps(
            [
                self._drain_task(task, leaving_s, now)
                for task in local_tasks
                if task.stops_at is None
            ],
            len(stopping),
            drain_order.DrainSettings(
                LIMITS.moves_a_round, LIMITS.drain_grace_s
            ),
        )
        for step in steps:
            self._apply_drain_step(step, now)

    def _apply_drain_step(
        self, step: drain_order.DrainStep, now: float
    ) -> None:
        task = self.state.running[step.task]
        match step.action:
            case drain_order.DrainAction.REPLACE:
                index = 100 + len(self._replaced_by)
                task_id = specs.TaskId(step.task.owner, index)
                self._replaced_by[step.task] = task_id
                work = dataclasses.replace(task.work, task=task_id)
                self.state.pending[task_id] = cluster.Task(work, now)
            case drain_order.DrainAction.STOP:
                self.state.fleet.stop(task, checkpoint=False, now=now)
                if task.work.service:
                    # Its replacement already runs, so it isn't queued again.
                    task.share = -1.0
                else:
                    self.state.evictions += 1
            case drain_order.DrainAction.CHECKPOINT:
                self.state.fleet.stop(task, checkpoint=True, now=now)
                self.state.evictions += 1

    def _drain_task(
        self, task: cluster.Task, leaving_s: float, now: float
    ) -> drain_order.DrainTask:
        work = task.work
        ran_s = now - task.started_at
        return drain_order.DrainTask(
            work.task,
            self._replacement(work.task, now) if work.service else None,
            ran_s,
            max(0.0, work.declared_run_s - task.done_s),
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
        running = self.state.running.get(successor)
        if running is None or now < (
            running.started_at + cluster.SERVICE_START_S
        ):
            return drain_order.Replacement.STARTING
        return drain_order.Replacement.ANSWERS
