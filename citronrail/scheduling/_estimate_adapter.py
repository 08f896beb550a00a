"""Estimates behind the scheduler's protocols."""

from collections.abc import Callable

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _decision_memory as decision_memory
from citronrail.scheduling import _estimates as estimates
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _placement_types as types

# The estimator is asked by team and class only; all jobs share one key.
ANY_JOB = '*'
# Observations needed before batch work reserves fewer processors than it
# declared.
MIN_OBSERVATIONS = 3


class EstimateDecider:
    """:class:`protocols.Estimator` and :class:`protocols.UsageObserver`.

    :param memory: shared records.
    :param policy: returns the placement policy, which decides about
        processors.
    """

    def __init__(
        self,
        memory: decision_memory.DecisionMemory,
        policy: Callable[[], placement.Policy],
    ) -> None:
        self._memory = memory
        self._policy = policy

    def run_s(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared_run_s: float,
    ) -> float:
        """Return the expected run time in seconds."""
        key = estimates.WorkKey(team, work_class, ANY_JOB)
        return estimates.expected_run_s(
            self._memory.estimates, key, declared_run_s
        )

    def reservation(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared: resources.Resources,
    ) -> resources.Resources:
        """Return the amount to reserve for a task.

        :param team: owner of the task.
        :param work_class: its class.
        :param declared: its declared size.
        :returns: memory of at least the declared amount; the processors
            that the placement policy reserves once enough was observed.
        """
        policy = self._policy()
        key = estimates.WorkKey(team, work_class, ANY_JOB)
        known = self._memory.estimates
        if not estimates.has_observations(known, key, MIN_OBSERVATIONS):
            return declared
        request = types.PlacementRequest(
            specs.TaskId('', 0),
            team,
            work_class,
            declared,
            estimates.expected_size(known, key, declared),
        )
        return placement.reservation_of(policy, request)

    def observe_usage(
        self,
        node_id: identifiers.NodeId,
        usage: tuple[messages.TaskUsage, ...],
        now: float,
    ) -> None:
        """Take in late measurements of one worker; see the protocol."""
        self._memory.observe_usage(node_id, usage, now)

    def observe_end(
        self,
        spec: specs.TaskSpec,
        state: str,
        run_s: float,
        usage: resources.Resources,
        now: float,  # noqa: ARG002
    ) -> None:
        """Take in how long an attempt ran and what it used.

        Only whole runs tell a run time; failed ones still tell a size.
        """
        resumed = bool(spec.checkpoint)
        if spec.service is not None or usage == resources.Resources():
            return
        self._memory.estimates = estimates.observe(
            self._memory.estimates,
            estimates.WorkKey(spec.team, spec.work_class, ANY_JOB),
            estimates.Declared(spec.resources, spec.declared_run_s),
            estimates.Observed(
                usage, run_s if state == 'finished' and not resumed else None
            ),
        )
