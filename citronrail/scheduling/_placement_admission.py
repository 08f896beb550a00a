"""Constraints that all placement policies respect, and reservation sizes."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _placement_types as types


@dataclasses.dataclass(frozen=True)
class Unschedulable:
    """A task that fits no worker; it is rejected with ``reason``."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Hold:
    """Capacity of a host that is set aside for one task.

    ``until`` is the local time in seconds at which the hold expires.
    """

    node_id: identifiers.NodeId
    task: specs.TaskId
    reservation: resources.Resources
    until: float


def is_feasible(
    request: types.PlacementRequest,
    candidate: types.Candidate,
    reservation: resources.Resources,
) -> bool:
    """Tell whether a task may be placed on a host.

    :param request: the task.
    :param candidate: the host.
    :param reservation: amounts that the task would reserve.
    :returns: False if the host is out of service, does not accept tasks, is
        excluded by the task, already runs a replica of the same service, or
        has too little free capacity.
    """
    return (
        candidate.accepting
        and candidate.in_service
        and _has_capacity(candidate, reservation)
        and _is_allowed_host(request, candidate)
        and not _has_replica(request, candidate)
    )


def with_holds(
    candidates: Iterable[types.Candidate],
    holds: Iterable[Hold],
    task: specs.TaskId | None,
    now: float,
) -> tuple[types.Candidate, ...]:
    """Count holds as reserved capacity, except those of the task itself.

    :param candidates: the hosts.
    :param holds: the holds; expired ones are ignored.
    :param task: the task to place, or None to count all holds.
    :param now: local time in seconds.
    :returns: the hosts with the capacity that is available to the task.
    """
    held: dict[identifiers.NodeId, resources.Resources] = {}
    for hold in holds:
        if hold.until > now and hold.task != task:
            amount = held.get(hold.node_id, resources.Resources())
            held[hold.node_id] = amount + hold.reservation
    return tuple(
        dataclasses.replace(item, reserved=item.reserved + held[item.node_id])
        if item.node_id in held
        else item
        for item in candidates
    )


def declared_reservation(
    request: types.PlacementRequest,
) -> resources.Resources:
    """Return the reservation of a task that follows its declared size.

    :param request: the task.
    :returns: the amounts to reserve.
    """
    return request.declared


def observed_reservation(
    request: types.PlacementRequest,
    processors_observed: bool,
    processor_sharing: float,
) -> resources.Resources:
    """Return the reservation of a task that follows its estimated size.

    The memory reservation is the larger one of the declared and the estimated
    amount. Services always reserve their declared processors.

    :param request: the task.
    :param processors_observed: whether batch tasks reserve the estimated
        processors in place of the declared ones.
    :param processor_sharing: overcommit ratio: the processors that a batch
        task reserves are divided by it; 1.0 means no overcommit.
    :returns: the amounts to reserve.
    """
    declared = request.declared
    estimated = request.estimated
    millicores = declared.millicores
    memory_mb = declared.memory_mb
    if estimated is not None:
        memory_mb = max(memory_mb, estimated.memory_mb)
        if processors_observed and request.service is None:
            millicores = estimated.millicores
    if request.service is None:
        millicores = math.ceil(millicores / max(1.0, processor_sharing))
    return resources.Resources(
        max(1, millicores) if declared.millicores else millicores,
        memory_mb,
        declared.accelerators,
    )


def check_schedulable(
    request: types.PlacementRequest,
    candidates: Sequence[types.Candidate],
) -> Unschedulable | None:
    """Check that some known worker could run a task when it is empty.

    A task is unschedulable only if its team or an operator has to change
    something. Workers of a data centre that is out of service count as well,
    since the data centre may return.

    :param request: the task.
    :param candidates: all known workers, including those out of service.
    :returns: None if the task can be scheduled, else the reason why not.
    """
    if not candidates:
        return None
    if min(request.declared.millicores, request.declared.memory_mb) < 0:
        return Unschedulable('negative amounts were declared')
    allowed = [
        item for item in candidates if _is_allowed_data_centre(request, item)
    ]
    if not allowed:
        names = ', '.join(request.data_centres)
        return Unschedulable(f'no worker in the data centres {names}')
    if any(request.declared.fits_in(item.capacity) for item in allowed):
        return None
    largest = resources.Resources()
    for item in allowed:
        largest = largest.maximum(item.capacity)
    return Unschedulable(_unschedulable_reason(request.declared, largest))


def count_replicas(
    candidates: Iterable[types.Candidate],
) -> dict[identifiers.ServiceName, dict[str, int]]:
    """Count the replicas of each service by host, rack and data centre.

    :param candidates: all hosts.
    :returns: for each service, the number of replicas by the names of
        :func:`failure_domains`.
    """
    counts: dict[identifiers.ServiceName, dict[str, int]] = {}
    for candidate in candidates:
        for occupant in candidate.occupants:
            if occupant.service is not None:
                add_replica(counts, occupant.service, candidate)
    return counts


def add_replica(
    counts: dict[identifiers.ServiceName, dict[str, int]],
    service: identifiers.ServiceName,
    candidate: types.Candidate,
) -> None:
    """Count one more replica of a service.

    :param counts: the counts, which are updated in place.
    :param service: name of the service.
    :param candidate: host of the replica.
    """
    counts_by_domain = counts.setdefault(service, {})
    for domain in failure_domains(candidate):
        counts_by_domain[domain] = counts_by_domain.get(domain, 0) + 1


def failure_domains(candidate: types.Candidate) -> tuple[str, str, str]:
    """Return the failure domains of a host, by which replicas are counted.

    :param candidate: the host.
    :returns: names of the host, the rack (as ``data_centre/rack``) and the
        data centre.
    """
    return (
        candidate.node_id,
        f'{candidate.data_centre}/{candidate.rack}',
        candidate.data_centre,
    )


def spread_counts(
    counts_by_domain: Mapping[str, int], candidate: types.Candidate
) -> tuple[int, int]:
    """Return how many replicas are in the rack and data centre of a host.

    :param counts_by_domain: replicas of one service by failure domain.
    :param candidate: the host.
    :returns: number of replicas in the rack and in the data centre.
    """
    _, rack, data_centre = failure_domains(candidate)
    return counts_by_domain.get(rack, 0), counts_by_domain.get(data_centre, 0)


def _has_capacity(
    candidate: types.Candidate, need: resources.Resources
) -> bool:
    # Compares the amounts without creating a Resources object, since this runs
    # for each pair of task and host in a round.
    reserved = candidate.reserved
    capacity = candidate.capacity
    return (
        reserved.memory_mb + need.memory_mb <= capacity.memory_mb
        and reserved.millicores + need.millicores <= capacity.millicores
        and reserved.accelerators + need.accelerators <= capacity.accelerators
    )


def _is_allowed_data_centre(
    request: types.PlacementRequest, candidate: types.Candidate
) -> bool:
    return (
        not request.data_centres
        or candidate.data_centre in request.data_centres
    )


def _is_allowed_host(
    request: types.PlacementRequest, candidate: types.Candidate
) -> bool:
    return candidate.node_id not in request.avoid and _is_allowed_data_centre(
        request, candidate
    )


def _has_replica(
    request: types.PlacementRequest, candidate: types.Candidate
) -> bool:
    if request.service is None or request.may_join_sibling:
        return False
    return any(item.service == request.service for item in candidate.occupants)


def _unschedulable_reason(
    declared: resources.Resources, largest: resources.Resources
) -> str:
    parts = []
    if declared.millicores > largest.millicores:
        parts.append(
            f'{declared.millicores} millicores declared,'
            f' largest worker has {largest.millicores}'
        )
    if declared.memory_mb > largest.memory_mb:
        parts.append(
            f'{declared.memory_mb} MB declared,'
            f' largest worker has {largest.memory_mb}'
        )
    if declared.accelerators > largest.accelerators:
        parts.append(
            f'{declared.accelerators} accelerators declared,'
            f' largest worker has {largest.accelerators}'
        )
    return '; '.join(parts) or 'no single worker has all declared amounts'
