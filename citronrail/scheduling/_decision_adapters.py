"""The decisions behind the protocols that the scheduler works with."""

from collections.abc import Mapping
import dataclasses
import random
import time

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.model import views
from citronrail import observability
from citronrail.observability.catalogue import decisions as events
from citronrail.scheduling import _decision_memory as decision_memory
from citronrail.scheduling import _decision_metrics as metrics
from citronrail.scheduling import _estimate_adapter as estimate_adapter
from citronrail.scheduling import _health_evidence as evidence
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_score as score
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _policies as protocols
from citronrail.scheduling import _pressure_adapter as pressure_adapter
from citronrail.scheduling import _quotas as quotas
from citronrail.scheduling import _worker_health as worker_health

# A round starts a few hundred tasks; more of a group need no place in it.
ROUND_LIMIT = 400
# A replica joins a worker with another one of its service only after this
# time. Without that, a service with a replica on each worker could not leave
# a data centre.
SIBLING_WAIT_S = 2.0
# A wait for a calm worker that is long against the work itself costs more
# throughput than the short disturbance that it spares the services.
DEFER_RUNS = 4.0
MAX_CROWDED_TASKS = 4096


class PlacementDecider:
    """:class:`protocols.PlacementPolicy` over the selected policy.

    :param memory: shared records.
    :param chosen: name and parameters of the policy.
    :raises ConfigError: if they are unknown or out of range.
    """

    def __init__(
        self,
        memory: decision_memory.DecisionMemory,
        chosen: settings.PolicySettings,
    ) -> None:
        self._memory = memory
        self.policy = placement.placement_policy(chosen)
        self._crowded_since: dict[specs.TaskId, float] = {}

    def use(self, chosen: settings.PolicySettings) -> None:
        """Change the policy after operators selected another.

        :param chosen: name and parameters of the policy.
        :raises ConfigError: if they are unknown or out of range; the policy
            then stays as it was.
        """
        self.policy = placement.placement_policy(chosen)

    def choose(
        self,
        request: protocols.PlacementRequest,
        candidates: tuple[views.AgentView, ...],
        now: float,
    ) -> identifiers.NodeId | protocols.Refusal | None:
        """Choose among candidates; see the protocol.

        :param request: the task to place.
        :param candidates: agents in which the task fits now.
        :param now: local monotonic time in seconds.
        :returns: a node id, or None to try again later.
        """
        memory = self._memory
        memory.remember_places(candidates)
        hosts = admission.with_holds(
            [memory.candidate(agent, now) for agent in candidates],
            memory.holds,
            request.task,
            now,
        )
        places: Mapping[identifiers.ServiceName, Mapping[str, int]] = {}
        if request.service is not None:
            places = {
                request.service: memory.replica_places(
                    request.siblings, request.sibling_places
                )
            }
        context = types.PlacementContext(
            now, memory.rng, memory.interference, memory.trials, places
        )
        decision = placement.choose(
            self._reserving_as_asked(),
            self._converted(request, candidates, now),
            hosts,
            context,
        )
        return self._noted(request, decision, now)

    def _reserving_as_asked(self) -> placement.Policy:
        """The request already carries the reservation from the estimator."""
        if isinstance(self.policy, placement.LearnedPlacement):
            return dataclasses.replace(
                self.policy, processors='declared', processor_sharing=1.0
            )
        return self.policy

    def _may_join_sibling(
        self,
        request: protocols.PlacementRequest,
        candidates: tuple[views.AgentView, ...],
        now: float,
    ) -> bool:
        """Tell whether no worker without a sibling was left for a while."""
        siblings = frozenset(request.siblings)
        if any(agent.node_id not in siblings for agent in candidates):
            self._crowded_since.pop(request.task, None)
            return False
        since = self._crowded_since.setdefault(request.task, now)
        while len(self._crowded_since) > MAX_CROWDED_TASKS:
            del self._crowded_since[next(iter(self._crowded_since))]
        return now - since >= SIBLING_WAIT_S

    def _converted(
        self,
        request: protocols.PlacementRequest,
        candidates: tuple[views.AgentView, ...],
        now: float,
    ) -> types.PlacementRequest:
        avoid = frozenset(request.avoid) | worker_health.avoided_workers(
            self._memory.health, request.task
        )
        may_join = self._may_join_sibling(request, candidates, now)
        if not may_join:
            avoid |= frozenset(request.siblings)
        return types.PlacementRequest(
            request.task,
            request.team,
            request.work_class,
            request.resources,
            service=request.service,
            urgent=request.priority is specs.Priority.URGENT,
            avoid=avoid,
            may_join_sibling=may_join,
            waited_s=self._memory.waited_s(request.task, now),
            defer_limit_s=DEFER_RUNS * request.expected_run_s,
        )

    def _noted(
        self,
        request: protocols.PlacementRequest,
        decision: types.Decision,
        now: float,
    ) -> identifiers.NodeId | None:
        memory = self._memory
        placed = isinstance(decision, types.Placed)
        if isinstance(decision, types.NotPlaced) and decision.deferred:
            memory.note_deferred(request.task, now)
        result = 'placed' if placed else 'deferred'
        metrics.PLACEMENTS.labels(self.policy.name, result).inc()
        if not isinstance(decision, types.Placed):
            return None
        memory.trials = score.record_placement(memory.trials, decision)
        metrics.EXPECTED_SLOWDOWN.observe(decision.expected_slowdown)
        if decision.trial:
            metrics.PLACEMENT_TRIALS.inc()
        memory.holds = tuple(
            hold for hold in memory.holds if hold.task != request.task
        )
        memory.assume_running(
            decision.node_id,
            types.Occupant(
                request.task,
                request.work_class,
                decision.reservation,
                request.service,
            ),
            now,
        )
        return decision.node_id


class QuotaDecider:
    """:class:`protocols.QuotaPolicy`.

    :param memory: shared records.
    :param cfg: settings.
    """

    def __init__(
        self,
        memory: decision_memory.DecisionMemory,
        cfg: quotas.QuotaSettings,
    ) -> None:
        self._memory = memory
        self._cfg = cfg

    def order(
        self,
        pending: tuple[protocols.PendingGroup, ...],
        usage: Mapping[identifiers.TeamName, resources.Resources],
        capacity: resources.Resources,
        teams: Mapping[str, settings.TeamSettings],
        now: float,
    ) -> tuple[protocols.Allowance, ...]:
        """Decide which pending tasks may start next; see the protocol.

        Replicas of services come first.

        :param pending: all groups with tasks that could start.
        :param usage: reservations by team.
        :param capacity: capacity of all workers in service.
        :param teams: quotas from the settings.
        :param now: Unix time in seconds.
        :returns: allowances in starting order.
        """
        self._memory.use = dict(usage)
        self._memory.teams = dict(teams)
        self._count_borrowed(usage, teams)
        replicas = [item for item in pending if item.service is not None]
        batch = [item for item in pending if item.service is None]
        share = max(8, ROUND_LIMIT // max(1, len(batch) // 8))
        tasks = [
            self._task(group, index)
            for group in batch
            for index in range(min(group.count, share))
            if group.resources.fits_in(capacity)
        ]
        entries = quotas.queue_order(
            tasks, usage, teams, now, self._cfg, ROUND_LIMIT
        )
        allowances = [
            protocols.Allowance(group.owner, group.count) for group in replicas
        ]
        for entry in entries:
            owner = entry.task.task.owner
            if allowances and allowances[-1].owner == owner:
                count = allowances[-1].count + 1
                allowances[-1] = protocols.Allowance(owner, count)
            else:
                allowances.append(protocols.Allowance(owner, 1))
        return tuple(allowances)

    def _task(
        self, group: protocols.PendingGroup, index: int
    ) -> quotas.PendingTask:
        return quotas.PendingTask(
            specs.TaskId(group.owner, index),
            group.team,
            group.resources,
            group.priority,
            group.pending_since,
            group.finish_before,
            group.expected_run_s,
        )

    def _count_borrowed(
        self,
        usage: Mapping[identifiers.TeamName, resources.Resources],
        teams: Mapping[str, settings.TeamSettings],
    ) -> None:
        metrics.BORROWED_MILLICORES.set(
            sum(
                max(
                    0,
                    used.millicores
                    - teams.get(name, quotas.NO_QUOTA).quota.millicores,
                )
                for name, used in usage.items()
            )
        )


class HealthDecider:
    """:class:`protocols.HealthTracker`.

    :param memory: shared records.
    """

    def __init__(self, memory: decision_memory.DecisionMemory) -> None:
        self._memory = memory

    def record(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        failed: bool,
        now: float,
    ) -> None:
        """Note how an attempt ended.

        :param worker: node id of the worker's agent.
        :param attempt: the attempt that ended.
        :param failed: True if it failed, False if it finished.
        :param now: local monotonic time in seconds.
        """
        before = self._memory.health
        after = worker_health.task_ended(
            before,
            evidence.TaskEnd(worker, attempt.task, not failed, now),
        )
        self._memory.health = after
        _emit_health(before, after, attempt.task.owner)

    def healthy(
        self,
        worker: identifiers.NodeId,
        now: float,  # noqa: ARG002
    ) -> bool:
        """Tell whether failures on a worker speak against the task.

        :param worker: node id of the worker's agent.
        :param now: local monotonic time in seconds.
        :returns: False on probation and while it fails proved jobs.
        """
        return worker_health.is_evidence_against_job(
            self._memory.health, worker
        )

    def may_start(self, worker: identifiers.NodeId, now: float) -> bool:
        """Tell whether a worker may be given one more task now.

        :param worker: node id of the worker's agent.
        :param now: local monotonic time in seconds.
        :returns: see :func:`worker_health.may_start`.
        """
        return worker_health.may_start(self._memory.health, worker, now)

    def started(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        now: float,
    ) -> None:
        """Note that an attempt was assigned, perhaps as a trial.

        :param worker: node id of the worker's agent.
        :param attempt: the attempt.
        :param now: local monotonic time in seconds.
        """
        before = self._memory.health
        after = worker_health.task_started(before, worker, attempt.task, now)
        self._memory.health = after
        if worker in worker_health.unhealthy_states(after):
            observability.emit(
                events.WORKER_TRIAL_STARTED, node_id=worker, task=attempt.task
            )


def build_policies(
    chosen: settings.PolicySettings, rng: random.Random
) -> protocols.Policies:
    """Build all policies of one process over shared records.

    :param chosen: name and parameters of the placement policy.
    :param rng: source of random choices.
    :returns: the policies.
    :raises ConfigError: if the placement policy is unknown or a parameter
        out of range.
    """
    memory = decision_memory.DecisionMemory(rng)
    cfg = quotas.QuotaSettings()
    placing = PlacementDecider(memory, chosen)
    estimator = estimate_adapter.EstimateDecider(
        memory, lambda: placing.policy
    )
    return protocols.Policies(
        placement=placing,
        quotas=QuotaDecider(memory, cfg),
        health=HealthDecider(memory),
        pressure=pressure_adapter.PressureDecider(memory, time.time),
        estimator=estimator,
        observers=(estimator,),
    )


def _emit_health(
    before: evidence.HealthRecord,
    after: evidence.HealthRecord,
    owner: str,
) -> None:
    old = worker_health.unhealthy_states(before)
    new = worker_health.unhealthy_states(after)
    for node_id in new.keys() - old.keys():
        failures = len(after.workers[node_id].failures)
        observability.emit(
            events.WORKER_ON_PROBATION, node_id=node_id, failures=failures
        )
    for node_id in old.keys() - new.keys():
        observability.emit(events.WORKER_HEALTHY, node_id=node_id)
    metrics.WORKERS_ON_PROBATION.set(len(new))
    if worker_health.parked(after, owner) and not worker_health.parked(
        before, owner
    ):
        observability.emit(
            events.JOB_PARKED,
            job_id=owner,
            reason='its tasks fail on distinct healthy workers',
        )
    metrics.JOBS_PARKED.set(sum(job.parked for job in after.jobs.values()))
