"""What the policies of one process remember between decisions.

The decisions themselves are plain functions over frozen data; this class
holds the latest value of each record, and what is known of the tasks on each
host from usage reports and from this process's own placements.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _decision_metrics as metrics
from citronrail.scheduling import _estimates as estimates
from citronrail.scheduling import _health_evidence as evidence
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _pressure as pressure
from citronrail.scheduling import _worker_health as worker_health

# Usage older than this says nothing of the present state of a host. Reports
# come every few seconds and lag behind the work.
USAGE_MAX_AGE_S = 60.0
# A placement counts as running until a report could have shown it.
ASSUMED_RUNNING_S = 20.0
MAX_DEFERRED_JOBS = 20_000
# Longer than any wait for a calm worker; then a job may be deferred anew.
DEFERRAL_FORGOTTEN_S = 300.0
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
    """A task placed by this process that no report has shown yet."""

    occupant: types.Occupant
    placed_at: float


@dataclasses.dataclass(frozen=True)
class KeptCandidate:
    """A host as it was last built, with what it was built from."""

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


class DecisionMemory:
    """Latest records of all decisions.

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
        self._candidates: dict[identifiers.NodeId, KeptCandidate] = {}

    def observe_usage(
        self,
        node_id: identifiers.NodeId,
        usage: Sequence[messages.TaskUsage],
        now: float,
    ) -> None:
        """Learn from late measurements of a worker.

        :param node_id: the worker.
        :param usage: measurements; times are on the local clock.
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
        shown_until = max((item.measured_at for item in usage), default=now)
        self._usage[node_id] = _host_usage(usage, shown_until)
        self._assumed[node_id] = [
            item
            for item in self._assumed.get(node_id, [])
            if item.placed_at > shown_until
        ]

    def usage_on(
        self, node_id: identifiers.NodeId, now: float
    ) -> Sequence[messages.TaskUsage]:
        """Return the usage of a host that is fresh enough to act on.

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
        """Count a placement until a usage report shows it.

        :param node_id: the chosen host.
        :param occupant: the task.
        :param now: local time in seconds.
        """
        self._assumed.setdefault(node_id, []).append(
            AssumedTask(occupant, now)
        )

    def remember_places(self, agents: Iterable[views.AgentView]) -> None:
        """Remember rack and data centre of hosts, for the spread.

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
        :param places: their data centres and racks; if empty, what is
            remembered of the hosts.
        :returns: counts by name, a rack as ``data_centre/rack``.
        """
        names: list[str] = list(siblings)
        remembered = [self._places.get(i, ('', '')) for i in siblings]
        for data_centre, rack in places or remembered:
            names += [f'{data_centre}/{rack}', data_centre]
        return collections.Counter(names)

    def candidate(self, agent: views.AgentView, now: float) -> types.Candidate:
        """Build the placement view of a host.

        :param agent: the agent; it is in service and may be given work.
        :param now: local time in seconds.
        :returns: the host with the tasks known to be on it.
        """
        known = self._usage.get(agent.node_id)
        if known is not None and known.measured_at + USAGE_MAX_AGE_S <= now:
            known = None
        assumed = tuple(
            item.occupant
            for item in self._assumed.get(agent.node_id, ())
            if now - item.placed_at <= ASSUMED_RUNNING_S
        )
        # A round asks for the same hosts again and again; keeping them keeps
        # the counts that they have computed.
        kept = self._candidates.get(agent.node_id)
        if (
            kept is not None
            and kept.known is known
            and kept.assumed == assumed
            and kept.free == agent.free
        ):
            return kept.candidate
        reserved = agent.capacity - agent.free
        load = reserved.millicores / max(1, agent.capacity.millicores)
        shown: tuple[types.Occupant, ...] = ()
        if known is not None:
            shown, load = known.occupants, known.host_load
        candidate = types.Candidate(
            agent.node_id,
            agent.data_centre,
            agent.rack,
            agent.capacity,
            reserved,
            shown + assumed,
            load=load,
        )
        self._candidates[agent.node_id] = KeptCandidate(
            known, assumed, agent.free, candidate
        )
        return candidate

    def waited_s(self, task: specs.TaskId, now: float) -> float:
        """Return the time since tasks of the same job were first deferred.

        The tasks of a job wait together: a round asks for one after the
        other, so waits of their own would add up.

        :param task: the task.
        :param now: local time in seconds.
        :returns: 0.0 if none was, or if that was long ago.
        """
        since = self._deferred.get(task.owner)
        if since is None or now - since > DEFERRAL_FORGOTTEN_S:
            return 0.0
        return now - since

    def note_deferred(self, task: specs.TaskId, now: float) -> None:
        """Remember when tasks of a job were first deferred.

        :param task: the task.
        :param now: local time in seconds.
        """
        if self.waited_s(task, now) > 0.0:
            return
        self._deferred.pop(task.owner, None)
        self._deferred[task.owner] = now
        while len(self._deferred) > MAX_DEFERRED_JOBS:
            del self._deferred[next(iter(self._deferred))]

    def forget_host(self, node_id: identifiers.NodeId) -> None:
        """Forget a host that left or was replaced.

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
