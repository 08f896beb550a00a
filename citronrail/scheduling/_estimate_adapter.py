"""Adapter of the estimates to the scheduler's protocols."""

from collections.abc import Callable

from citronrail.model import estimates
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _decision_state as decision_state
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _placement_types as types

# The protocol identifies tasks by team and class only, so that all jobs of a
# team and class share one key.
ANY_JOB = '*'
# Number of observations required before estimated sizes replace declared ones.
MIN_OBSERVATIONS = 3


class EstimateDecider:
    """:class:`protocols.Estimator` and :class:`protocols.UsageObserver`.

    :param state: state shared by the policies.
    :param policy: returns the current placement policy, which determines how
        many processors are reserved.
    """

    def __init__(
        self,
        state: decision_state.DecisionState,
        policy: Callable[[], placement.Policy],
    ) -> None:
        self._state = state
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
            self._state.estimates, key, declared_run_s
        )

    def reservation(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared: resources.Resources,
    ) -> resources.Resources:
        """Return the amount to reserve for a task.

        :param team: team of the task.
        :param work_class: class of the task.
        :param declared: declared size of the task.
        :returns: the declared size until there are enough observations, then
            the reservation of the placement policy, whose memory is at least
            the declared amount.
        """
        policy = self._policy()
        key = estimates.WorkKey(team, work_class, ANY_JOB)
        observations = self._state.estimates
        if not estimates.has_observations(observations, key, MIN_OBSERVATIONS):
            return declared
        request = types.PlacementRequest(
            specs.TaskId('', 0),
            team,
            work_class,
            declared,
            estimates.expected_size(observations, key, declared),
        )
        return placement.reservation_of(policy, request)

    def observe_usage(
        self,
        node_id: identifiers.NodeId,
        usage: tuple[messages.TaskUsage, ...],
        now: float,
    ) -> None:
        """Process delayed measurements of one worker; see the protocol."""
        self._state.observe_usage(node_id, usage, now)

    def observe_end(
        self,
        spec: specs.TaskSpec,
        state: str,
        run_s: float,
        usage: resources.Resources,
        now: float,  # noqa: ARG002
    ) -> None:
        """Process the run time and peak usage of an attempt that ended.

        The run time is recorded only if the attempt finished and did not
        resume from a checkpoint, the size also if it failed. Services and
        attempts without measured usage are ignored.
        """
        resumed = bool(spec.checkpoint)
        if spec.service is not None or usage == resources.Resources():
            return
        self._state.estimates = estimates.observe(
            self._state.estimates,
            estimates.WorkKey(spec.team, spec.work_class, ANY_JOB),
            estimates.Declared(spec.resources, spec.declared_run_s),
            estimates.Observed(
                usage, run_s if state == 'finished' and not resumed else None
            ),
        )
