"""Input and result of placement decisions."""

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
    """A task that holds a reservation on a host.

    ``service`` is None for batch work. ``share`` is the part of its
    processors that a throttled task may use.
    """

    task: specs.TaskId
    work_class: identifiers.WorkClass
    reservation: resources.Resources
    service: identifiers.ServiceName | None = None
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A host as placement sees it.

    ``accepting`` is False while the worker is on probation, drained, leaving
    or beyond its ramp after a return. ``load`` is the share of its processors
    in use, 0 to 1.
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
        """Amounts that are not reserved."""
        return self.capacity - self.reserved

    @functools.cached_property
    def class_counts(self) -> Mapping[identifiers.WorkClass, float]:
        """Number of tasks of each class; a throttled one counts its share."""
        counts: dict[identifiers.WorkClass, float] = {}
        for item in self.occupants:
            counts[item.work_class] = (
                counts.get(item.work_class, 0.0) + item.share
            )
        return counts

    @functools.cached_property
    def victims(self) -> Mapping[tuple[identifiers.WorkClass, bool], int]:
        """Number of tasks by class and whether they are services."""
        return collections.Counter(
            (item.work_class, item.service is not None)
            for item in self.occupants
        )

    def with_occupant(self, occupant: Occupant) -> 'Candidate':
        """Return the host with one more task.

        :param occupant: the task and its reservation.
        :returns: the host after the start.
        """
        return dataclasses.replace(
            self,
            reserved=self.reserved + occupant.reservation,
            occupants=(*self.occupants, occupant),
        )


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """A task to place.

    ``declared`` and ``estimated`` are its declared size and the estimate
    from observation. ``avoid`` names workers on which it must not run, for
    instance because its job failed there. ``waited_s`` is the time since it
    was first deferred, 0 if it was not. An empty ``data_centres`` allows all.
    A replica that ``may_join_sibling`` may share a worker with another one of
    its service. ``defer_limit_s`` bounds the wait for a worker on which no
    service would suffer.
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
    """Recent placements and how many of them were trials of new pairs."""

    placements: float = 0.0
    trials: float = 0.0


@dataclasses.dataclass(frozen=True)
class PlacementContext:
    """What placement knows beside the hosts.

    ``service_hosts`` counts the replicas of each service by host, rack and
    data centre name (a rack as ``data_centre/rack``). ``now`` is local time
    in seconds.
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
        """Predictions at ``now``, kept for the decisions of a round."""
        return _interference.Predictions(self.interference, self.now)

    def continued(
        self,
        trials: TrialLedger,
        service_hosts: Mapping[identifiers.ServiceName, Mapping[str, int]],
    ) -> 'PlacementContext':
        """Return the context for the next decision of the same round.

        :param trials: the counts after the last decision.
        :param service_hosts: the replicas after the last decision.
        :returns: a context that shares the predictions computed so far.
        """
        context = dataclasses.replace(
            self, trials=trials, service_hosts=service_hosts
        )
        context.__dict__['predictions'] = self.predictions
        return context


@dataclasses.dataclass(frozen=True)
class Placed:
    """A host was chosen; ``expected_slowdown`` is that of the newcomer."""

    node_id: identifiers.NodeId
    reservation: resources.Resources
    expected_slowdown: float = 1.0
    trial: bool = False


@dataclasses.dataclass(frozen=True)
class NotPlaced:
    """No host was chosen now; ``reason`` is shown to operators.

    ``deferred`` is True if there was room and the task waits for a better
    host.
    """

    reason: str
    deferred: bool = False


Decision = Placed | NotPlaced
