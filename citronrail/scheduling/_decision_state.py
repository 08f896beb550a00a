"""State that the policies of one process share between decisions.

The decisions are pure functions of immutable data. This module stores the
latest value of each record, and the tasks on each host according to usage
reports and to the placements of this process.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random

from citronrail.model import estimates
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import recency
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _decision_metrics as metrics
from citronrail.scheduling import _health_evidence as evidence
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _pressure as pressure
from citronrail.scheduling import _worker_health as worker_health

# Maximum age of usage that is used in decisions. Reports arrive every few
# seconds, with a delay.
USAGE_MAX_AGE_S = 60.0
# Time for which a placement counts as running without a usage report. By then
# a report would have included it.
ASSUMED_RUNNING_S = 20.0
MAX_DEFERRED_JOBS = 20_000
# Time after the first deferral from which a job may be deferred again. It is
# longer than the longest deferral.
DEFERRAL_EXPIRY_S = 300.0
SERVICE_PREFIX = 'service:'


@dataclasses.dataclass(frozen=True)
class HostUsage:
    """The latest usage of the tasks on a host, by attempt.

    ``measured_at`` is the local time of the newest record, in seconds.
    """

    usage: Mapping[specs.AttemptId, messages.TaskUsage]
    occupants: tuple[types.Occupant, ...]
    host_load: float
    measured_at: float


@dataclasses.dataclass(frozen=True)
class AssumedTask:
    """A task placed by this process that no usage report includes yet."""

    occupant: types.Occupant
    placed_at: float


@dataclasses.dataclass(frozen=True)
class CachedCandidate:
    """A cached candidate, with the inputs from which it was built."""

    known: HostUsage | None
    assumed: tuple[types.Occupant, ...]
    free: resources.Resources
    candidate: types.Candidate


def service_of(task: specs.TaskId) -> identifiers.ServiceName | None:
    """Return the service that a task is a replica of.

    :param task: the task.
    :returns: the name, or None for batch work.
    """
    if not task.owner.startswith(SERVICE_PREFIX):
        return None
    return identifiers.ServiceName(task.owner.removeprefix(SERVICE_PREFIX))


class DecisionState:
    """State shared by the policies.

    :param rng: source of random choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.interference = interference.InterferenceModel()
        self.estimates = estimates.Estimates()
        self.health = evidence.HealthRecord()
        self.pressure = pressure.PressureState()
        self.trials = types.TrialLedger()
        self.holds: tuple[admission.Hold, ...] = ()
        self.use: Mapping[identifiers.TeamName, resources.Resources] = {}
        self.teams: Mapping[str, settings.TeamSettings] = {}
        self._usage: dict[identifiers.NodeId, HostUsage] = {}
        self._assumed: dict[identifiers.NodeId, list[AssumedTask]] = {}
        self._places: dict[identifiers.NodeId, tuple[str, str]] = {}
        self._deferred: dict[str, float] = {}
        self._candidates: dict[identifiers.NodeId, CachedCandidate] = {}

    def observe_usage(
        self,
        node_id: identifiers.NodeId,
        usage: Sequence[messages.TaskUsage],
        now: float,
    ) -> None:
        """Process delayed measurements of a worker.

        :param node_id: the worker.
        :param usage: measurements; times refer to the local clock.
        :param now: local time in seconds.
        """
        for item in usage:
            kind = 'service' if service_of(item.attempt.task) else 'batch'
            metrics.MEASURED_SLOWDOWN.labels(kind).observe(item.slowdown)
            metrics.USAGE_LAG_SECONDS.observe(max(0.0, now - item.measured_at))
        self.interference = interference.learn(
            self.interference,
            [interference.measurement(item, 0.0) for item in usage],
            now,
        )
        reported_until = max((item.measured_at for item in usage), default=now)
        self._usage[node_id] = _host_usage(usage, reported_until)
        self._assumed[node_id] = [
            item
            for item in self._assumed.get(node_id, [])
            if item.placed_at > reported_until
        ]

    def usage_on(
        self, node_id: identifiers.NodeId, now: float
    ) -> Sequence[messages.TaskUsage]:
        """Return the usage of a host that is recent enough for decisions.

        :param node_id: the host.
        :param now: local time in seconds.
        :returns: the latest record of each attempt.
        """
        known = self._usage.get(node_id)
        if known is None:
            return ()
        return [
            item
            for item in known.usage.values()
            if now - item.measured_at <= USAGE_MAX_AGE_S
        ]

    def assume_running(
        self,
        node_id: identifiers.NodeId,
        occupant: types.Occupant,
        now: float,
    ) -> None:
        """Count a placement as running until a usage report includes it.

        :param node_id: the chosen host.
        :param occupant: the task.
        :param now: local time in seconds.
        """
        self._assumed.setdefault(node_id, []).append(
            AssumedTask(occupant, now)
        )

    def store_places(self, agents: Iterable[views.AgentView]) -> None:
        """Store the racks and data centres of hosts, to spread replicas.

        :param agents: any agents.
        """
        for agent in agents:
            self._places[agent.node_id] = (agent.data_centre, agent.rack)

    def replica_places(
        self,
        siblings: Sequence[identifiers.NodeId],
        places: Sequence[tuple[identifiers.DataCentreName, str]] = (),
    ) -> Mapping[str, int]:
        """Count the replicas of a service by host, rack and data centre.

        :param siblings: hosts of its replicas.
        :param places: their data centres and racks; if empty, the stored ones
            of the hosts are used.
        :returns: counts by name; the name of a rack is ``data_centre/rack``.
        """
        names: list[str] = list(siblings)
        stored = [self._places.get(i, ('', '')) for i in siblings]
        for data_centre, rack in places or stored:
            names += [f'{data_centre}/{rack}', data_centre]
        return collections.Counter(names)

    def candidate(self, agent: views.AgentView, now: float) -> types.Candidate:
        """Build the placement candidate of a host.

        :param agent: the agent; it is in service and may get tasks.
        :param now: local time in seconds.
        :returns: the host with its known tasks.
        """
        known = self._usage.get(agent.node_id)
        if known is not None and known.measured_at + USAGE_MAX_AGE_S <= now:
            known = None
        assumed = tuple(
            item.occupant
            for item in self._assumed.get(agent.node_id, ())
            if now - item.placed_at <= ASSUMED_RUNNING_S
        )
        # A round requests the same hosts repeatedly. Caching the candidates
        # also preserves their cached counts.
        cached = self._candidates.get(agent.node_id)
        if (
            cached is not None
            and cached.known is known
            and cached.assumed == assumed
            and cached.free == agent.free
        ):
            return cached.candidate
        reserved = agent.capacity - agent.free
        load = reserved.millicores / max(1, agent.capacity.millicores)
        reported: tuple[types.Occupant, ...] = ()
        if known is not None:
            reported, load = known.occupants, known.host_load
        candidate = types.Candidate(
            agent.node_id,
            agent.data_centre,
            agent.rack,
            agent.capacity,
            reserved,
            reported + assumed,
            load=load,
        )
        self._candidates[agent.node_id] = CachedCandidate(
            known, assumed, agent.free, candidate
        )
        return candidate

    def waited_s(self, task: specs.TaskId, now: float) -> float:
        """Return the time since tasks of the same job were first deferred.

        The tasks of a job share one deferral: a round places them one after
        the other, so that separate deferrals would add up.

        :param task: the task.
        :param now: local time in seconds.
        :returns: seconds; 0.0 if there was no recent deferral.
        """
        since = self._deferred.get(task.owner)
        if since is None or now - since > DEFERRAL_EXPIRY_S:
            return 0.0
        return now - since

    def record_deferral(self, task: specs.TaskId, now: float) -> None:
        """Record the time at which tasks of a job were first deferred.

        :param task: the task.
        :param now: local time in seconds.
        """
        if self.waited_s(task, now) > 0.0:
            return
        recency.put_last(self._deferred, task.owner, now, MAX_DEFERRED_JOBS)

    def forget_host(self, node_id: identifiers.NodeId) -> None:
        """Drop the state of a host that left or was replaced.

        :param node_id: the host.
        """
        self._usage.pop(node_id, None)
        self._assumed.pop(node_id, None)
        self._places.pop(node_id, None)
        self._candidates.pop(node_id, None)
        self.health = worker_health.forget_worker(self.health, node_id)


def _host_usage(
    usage: Sequence[messages.TaskUsage], measured_at: float
) -> HostUsage:
    newest = max(usage, key=lambda item: item.measured_at, default=None)
    return HostUsage(
        {item.attempt: item for item in usage},
        tuple(
            types.Occupant(
                item.attempt.task,
                item.work_class,
                item.usage,
                service_of(item.attempt.task),
            )
            for item in usage
        ),
        newest.host_load if newest is not None else 0.0,
        measured_at,
    )
