"""Inputs and results of placement decisions."""

import collections
from collections.abc import Mapping
import dataclasses
import functools
import math
import random

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _interference


@dataclasses.dataclass(frozen=True)
class Occupant:
    """A task with a reservation on a host.

    ``service`` is None for batch tasks. ``share`` is the share of its
    processors that the task may use, below 1.0 if it is throttled.
    """

    task: specs.TaskId
    work_class: identifiers.WorkClass
    reservation: resources.Resources
    service: identifiers.ServiceName | None = None
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A host that a task may be placed on.

    ``accepting`` is False while the worker is on probation, drained, leaving,
    or excluded by the ramp of a returned data centre. ``load`` is the share
    of its processors in use, 0 to 1.
    """

    node_id: identifiers.NodeId
    data_centre: identifiers.DataCentreName
    rack: str
    capacity: resources.Resources
    reserved: resources.Resources = resources.Resources()
    occupants: tuple[Occupant, ...] = ()
    in_service: bool = True
    accepting: bool = True
    load: float = 0.5

    @property
    def free(self) -> resources.Resources:
        """Amounts that aren't reserved."""
        return self.capacity - self.reserved

    @functools.cached_property
    def class_counts(self) -> Mapping[identifiers.WorkClass, float]:
        """Number of tasks by class; a throttled task counts as its share."""
        counts: dict[identifiers.WorkClass, float] = {}
        for item in self.occupants:
            counts[item.work_class] = (
                counts.get(item.work_class, 0.0) + item.share
            )
        return counts

    @functools.cached_property
    def occupant_counts(
        self,
    ) -> Mapping[tuple[identifiers.WorkClass, bool], int]:
        """Number of tasks by class and by whether they belong to a service."""
        return collections.Counter(
            (item.work_class, item.service is not None)
            for item in self.occupants
        )

    def with_occupant(self, occupant: Occupant) -> 'Candidate':
        """Return a copy of the host with one more task.

        :param occupant: the task and its reservation.
        :returns: the host with the task.
        """
        return dataclasses.replace(
            self,
            reserved=self.reserved + occupant.reservation,
            occupants=(*self.occupants, occupant),
        )


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """A task to place.

    ``declared`` is its declared size, ``estimated`` the size estimated from
    observations. ``avoid`` names workers on which it must not run, for
    instance because its job failed there. ``waited_s`` is the time since the
    first deferral, 0 if there was none. An empty ``data_centres`` allows all.
    ``may_join_sibling`` allows a replica to share a worker with another
    replica of its service. ``defer_limit_s`` is the longest deferral to avoid
    slowing a service.
    """

    task: specs.TaskId
    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    declared: resources.Resources
    estimated: resources.Resources | None = None
    service: identifiers.ServiceName | None = None
    urgent: bool = False
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    avoid: frozenset[identifiers.NodeId] = frozenset()
    waited_s: float = 0.0
    may_join_sibling: bool = False
    defer_limit_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class TrialLedger:
    """Exponentially decayed counts of placements and of trials among them."""

    placements: float = 0.0
    trials: float = 0.0


@dataclasses.dataclass(frozen=True)
class PlacementContext:
    """Inputs of placement decisions other than the task and the hosts.

    ``service_hosts`` has the number of replicas of each service by the names
    of the host, rack (as ``data_centre/rack``) and data centre. ``now`` is
    local time in seconds.
    """

    now: float
    rng: random.Random
    interference: _interference.InterferenceModel = (
        _interference.InterferenceModel()
    )
    trials: TrialLedger = TrialLedger()
    service_hosts: Mapping[identifiers.ServiceName, Mapping[str, int]] = (
        dataclasses.field(default_factory=dict)
    )

    @functools.cached_property
    def predictions(self) -> _interference.Predictions:
        """Predictions at ``now``, cached for the decisions of a round."""
        return _interference.Predictions(self.interference, self.now)

    def continued(
        self,
        trials: TrialLedger,
        service_hosts: Mapping[identifiers.ServiceName, Mapping[str, int]],
    ) -> 'PlacementContext':
        """Return the context for the next decision of the same round.

        :param trials: the counts after the previous decision.
        :param service_hosts: the replicas after the previous decision.
        :returns: a context that shares the cached predictions.
        """
        context = dataclasses.replace(
            self, trials=trials, service_hosts=service_hosts
        )
        context.__dict__['predictions'] = self.predictions
        return context


@dataclasses.dataclass(frozen=True)
class Placed:
    """A host was chosen.

    ``expected_slowdown`` is that of the placed task. ``trial`` is True if the
    placement tests an unmeasured pair of classes.
    """

    node_id: identifiers.NodeId
    reservation: resources.Resources
    expected_slowdown: float = 1.0
    trial: bool = False


@dataclasses.dataclass(frozen=True)
class NotPlaced:
    """No host was chosen now; ``reason`` is shown to operators.

    ``deferred`` is True if a host was feasible, but the task waits for one
    with less interference.
    """

    reason: str
    deferred: bool = False


Decision = Placed | NotPlaced
