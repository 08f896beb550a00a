"""Adapters of the decision modules to the scheduler's protocols."""

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
from citronrail.scheduling import _decision_metrics as metrics
from citronrail.scheduling import _decision_state as decision_state
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

# Maximum number of batch tasks in the order of a round, which starts a few
# hundred tasks.
ROUND_LIMIT = 400
# Time after which a replica may share a worker with another replica of its
# service. Otherwise a data centre could not be drained while a service has a
# replica on each worker.
SIBLING_WAIT_S = 2.0
# Maximum deferral as a multiple of the expected run time. A longer deferral
# would cost more throughput than the interference that it avoids.
DEFER_RUNS = 4.0
MAX_COLOCATED_TASKS = 4096


class PlacementDecider:
    """:class:`protocols.PlacementPolicy` over the selected policy.

    :param state: state shared by the policies.
    :param policy_cfg: name and parameters of the policy.
    :raises ConfigError: if they are unknown or out of range.
    """

    def __init__(
        self,
        state: decision_state.DecisionState,
        policy_cfg: settings.PolicySettings,
    ) -> None:
        self._state = state
        self.policy = placement.placement_policy(policy_cfg)
        self._colocated_since: dict[specs.TaskId, float] = {}

    def use(self, policy_cfg: settings.PolicySettings) -> None:
        """Switch to another policy that operators selected.

        :param policy_cfg: name and parameters of the policy.
        :raises ConfigError: if they are unknown or out of range; the policy
            is unchanged then.
        """
        self.policy = placement.placement_policy(policy_cfg)

    def choose(
        self,
        request: protocols.PlacementRequest,
        candidates: tuple[views.AgentView, ...],
        now: float,
    ) -> identifiers.NodeId | protocols.Refusal | None:
        """Choose among candidates; see the protocol.

        :param request: the task to place.
        :param candidates: agents with enough free capacity.
        :param now: local monotonic time in seconds.
        :returns: a node id, or None to retry later.
        """
        state = self._state
        state.store_places(candidates)
        hosts = admission.with_holds(
            [state.candidate(agent, now) for agent in candidates],
            state.holds,
            request.task,
            now,
        )
        places: Mapping[identifiers.ServiceName, Mapping[str, int]] = {}
        if request.service is not None:
            places = {
                request.service: state.replica_places(
                    request.siblings, request.sibling_places
                )
            }
        context = types.PlacementContext(
            now, state.rng, state.interference, state.trials, places
        )
        decision = placement.choose(
            self._policy_with_requested_reservation(),
            self._convert_request(request, candidates, now),
            hosts,
            context,
        )
        return self._record_decision(request, decision, now)

    def _policy_with_requested_reservation(self) -> placement.Policy:
        """Return the policy, changed to reserve the requested amounts.

        The request already contains the reservation of the estimator.
        """
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
        """Tell whether all candidates have had a sibling for long enough."""
        siblings = frozenset(request.siblings)
        if any(agent.node_id not in siblings for agent in candidates):
            self._colocated_since.pop(request.task, None)
            return False
        since = self._colocated_since.setdefault(request.task, now)
        while len(self._colocated_since) > MAX_COLOCATED_TASKS:
            del self._colocated_since[next(iter(self._colocated_since))]
        return now - since >= SIBLING_WAIT_S

    def _convert_request(
        self,
        request: protocols.PlacementRequest,
        candidates: tuple[views.AgentView, ...],
        now: float,
    ) -> types.PlacementRequest:
        avoid = frozenset(request.avoid) | worker_health.avoided_workers(
            self._state.health, request.task
        )
        may_join_sibling = self._may_join_sibling(request, candidates, now)
        if not may_join_sibling:
            avoid |= frozenset(request.siblings)
        return types.PlacementRequest(
            request.task,
            request.team,
            request.work_class,
            request.resources,
            service=request.service,
            urgent=request.priority is specs.Priority.URGENT,
            avoid=avoid,
            may_join_sibling=may_join_sibling,
            waited_s=self._state.waited_s(request.task, now),
            defer_limit_s=DEFER_RUNS * request.expected_run_s,
        )

    def _record_decision(
        self,
        request: protocols.PlacementRequest,
        decision: types.Decision,
        now: float,
    ) -> identifiers.NodeId | None:
        state = self._state
        placed = isinstance(decision, types.Placed)
        if isinstance(decision, types.NotPlaced) and decision.deferred:
            state.record_deferral(request.task, now)
        result = 'placed' if placed else 'deferred'
        metrics.PLACEMENTS.labels(self.policy.name, result).inc()
        if not isinstance(decision, types.Placed):
            return None
        state.trials = score.record_placement(state.trials, decision)
        metrics.EXPECTED_SLOWDOWN.observe(decision.expected_slowdown)
        if decision.trial:
            metrics.PLACEMENT_TRIALS.inc()
        state.holds = tuple(
            hold for hold in state.holds if hold.task != request.task
        )
        state.assume_running(
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

    :param state: state shared by the policies.
    :param cfg: parameters of the quotas.
    """

    def __init__(
        self,
        state: decision_state.DecisionState,
        cfg: quotas.QuotaSettings,
    ) -> None:
        self._state = state
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

        :param pending: all groups with tasks that are ready to start.
        :param usage: reservations by team.
        :param capacity: capacity of all workers in service.
        :param teams: quotas from the settings.
        :param now: Unix time in seconds.
        :returns: allowances in the order in which tasks should start.
        """
        self._state.use = dict(usage)
        self._state.teams = dict(teams)
        self._count_borrowed(usage, teams)
        replicas = [item for item in pending if item.service is not None]
        batch = [item for item in pending if item.service is None]
        max_tasks_per_group = max(8, ROUND_LIMIT // max(1, len(batch) // 8))
        tasks = [
            self._task(group, index)
            for group in batch
            for index in range(min(group.count, max_tasks_per_group))
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

    :param state: state shared by the policies.
    """

    def __init__(self, state: decision_state.DecisionState) -> None:
        self._state = state

    def record(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        failed: bool,
        now: float,
    ) -> None:
        """Record the outcome of an attempt.

        :param worker: node id of the worker's agent.
        :param attempt: the attempt that ended.
        :param failed: True if it failed, False if it finished.
        :param now: local monotonic time in seconds.
        """
        before = self._state.health
        after = worker_health.task_ended(
            before,
            evidence.TaskEnd(worker, attempt.task, not failed, now),
        )
        self._state.health = after
        _emit_health(before, after, attempt.task.owner)

    def healthy(
        self,
        worker: identifiers.NodeId,
        now: float,  # noqa: ARG002
    ) -> bool:
        """Tell whether a failure on a worker is evidence against the job.

        :param worker: node id of the worker's agent.
        :param now: local monotonic time in seconds.
        :returns: False on probation, and if it fails jobs that succeeded on
            other workers.
        """
        return worker_health.is_evidence_against_job(
            self._state.health, worker
        )

    def may_start(self, worker: identifiers.NodeId, now: float) -> bool:
        """Tell whether one more task may be started on a worker now.

        :param worker: node id of the worker's agent.
        :param now: local monotonic time in seconds.
        :returns: see :func:`worker_health.may_start`.
        """
        return worker_health.may_start(self._state.health, worker, now)

    def started(
        self,
        worker: identifiers.NodeId,
        attempt: specs.AttemptId,
        now: float,
    ) -> None:
        """Record that an attempt was assigned, possibly as a trial.

        :param worker: node id of the worker's agent.
        :param attempt: the attempt.
        :param now: local monotonic time in seconds.
        """
        before = self._state.health
        after = worker_health.task_started(before, worker, attempt.task, now)
        self._state.health = after
        if worker in worker_health.unhealthy_states(after):
            observability.emit(
                events.WORKER_TRIAL_STARTED, node_id=worker, task=attempt.task
            )


def build_policies(
    policy_cfg: settings.PolicySettings, rng: random.Random
) -> protocols.Policies:
    """Build all policies of one process, with shared state.

    :param policy_cfg: name and parameters of the placement policy.
    :param rng: source of random choices.
    :returns: the policies.
    :raises ConfigError: if the placement policy is unknown or a parameter
        out of range.
    """
    state = decision_state.DecisionState(rng)
    cfg = quotas.QuotaSettings()
    placement_decider = PlacementDecider(state, policy_cfg)
    estimator = estimate_adapter.EstimateDecider(
        state, lambda: placement_decider.policy
    )
    return protocols.Policies(
        placement=placement_decider,
        quotas=QuotaDecider(state, cfg),
        health=HealthDecider(state),
        pressure=pressure_adapter.PressureDecider(state, time.time),
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
            reason='its tasks fail on several healthy workers',
        )
    metrics.JOBS_PARKED.set(sum(job.parked for job in after.jobs.values()))
