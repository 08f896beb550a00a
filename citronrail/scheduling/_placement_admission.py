"""Rules that every placement policy keeps, and the size of reservations."""

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
class NeverRunnable:
    """A task that fits no worker; it is refused with ``reason``."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Hold:
    """Room on a host that is kept for one task until a local time."""

    node_id: identifiers.NodeId
    task: specs.TaskId
    reservation: resources.Resources
    until: float


def admissible(
    request: types.PlacementRequest,
    candidate: types.Candidate,
    reservation: resources.Resources,
) -> bool:
    """Tell whether a host may be given the task.

    :param request: the task.
    :param candidate: the host.
    :param reservation: what the task would hold there.
    :returns: False if the host is out of service, not accepting, excluded by
        the task, already runs a replica of the service, or lacks room.
    """
    return (
        candidate.accepting
        and candidate.in_service
        and _has_room(candidate, reservation)
        and _allowed(request, candidate)
        and not _has_replica(request, candidate)
    )


def with_holds(
    candidates: Iterable[types.Candidate],
    holds: Iterable[Hold],
    task: specs.TaskId | None,
    now: float,
) -> tuple[types.Candidate, ...]:
    """Count held room as reserved, but for the task it is held for.

    :param candidates: the hosts.
    :param holds: the holds; expired ones are ignored.
    :param task: the task to place, or None.
    :param now: local time in seconds.
    :returns: the hosts as that task may use them.
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
    """Return the declared size as the reservation.

    :param request: the task.
    :returns: the amounts to reserve.
    """
    return request.declared


def observed_reservation(
    request: types.PlacementRequest,
    processors_observed: bool,
    processor_sharing: float,
) -> resources.Resources:
    """Return the reservation of a task from its estimate.

    Memory is the larger of the declared and the estimated amount. Services
    keep at least their declared processors.

    :param request: the task.
    :param processors_observed: reserve the observed processors of batch work
        in place of the declared ones.
    :param processor_sharing: batch tasks reserve their processors divided by
        this; 1.0 shares nothing.
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


def check_runnable(
    request: types.PlacementRequest,
    candidates: Sequence[types.Candidate],
) -> NeverRunnable | None:
    """Tell whether a task could ever run on the known workers.

    Only what operators or teams must change counts: a data centre that is
    out of service may return, so its workers count as well.

    :param request: the task.
    :param candidates: every known worker, also those out of service.
    :returns: None if some worker could hold it when empty, else the reason.
    """
    if not candidates:
        return None
    if min(request.declared.millicores, request.declared.memory_mb) < 0:
        return NeverRunnable('negative amounts were declared')
    allowed = [item for item in candidates if _in_allowed(request, item)]
    if not allowed:
        names = ', '.join(request.data_centres)
        return NeverRunnable(f'no worker in the data centres {names}')
    if any(request.declared.fits_in(item.capacity) for item in allowed):
        return None
    most = resources.Resources()
    for item in allowed:
        most = most.maximum(item.capacity)
    return NeverRunnable(_excess_reason(request.declared, most))


def count_replicas(
    candidates: Iterable[types.Candidate],
) -> dict[identifiers.ServiceName, dict[str, int]]:
    """Count replicas of services by host, rack and data centre.

    :param candidates: all hosts.
    :returns: for each service a map from names to the number of replicas.
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

    :param counts: the counts to change.
    :param service: name of the service.
    :param candidate: host of the replica.
    """
    places = counts.setdefault(service, {})
    for place in places_of(candidate):
        places[place] = places.get(place, 0) + 1


def places_of(candidate: types.Candidate) -> tuple[str, str, str]:
    """Return the names under which replicas on a host are counted.

    :param candidate: the host.
    :returns: host, ``data_centre/rack`` and data centre.
    """
    return (
        candidate.node_id,
        f'{candidate.data_centre}/{candidate.rack}',
        candidate.data_centre,
    )


def spread_counts(
    places: Mapping[str, int], candidate: types.Candidate
) -> tuple[int, int]:
    """Count replicas that share the rack and the data centre of a host.

    :param places: counts of one service.
    :param candidate: the host.
    :returns: replicas in the rack and in the data centre.
    """
    _, rack, data_centre = places_of(candidate)
    return places.get(rack, 0), places.get(data_centre, 0)


def _has_room(candidate: types.Candidate, need: resources.Resources) -> bool:
    # Compares without building a Resources for each host: this runs for every
    # task and host of a round.
    reserved = candidate.reserved
    capacity = candidate.capacity
    return (
        reserved.memory_mb + need.memory_mb <= capacity.memory_mb
        and reserved.millicores + need.millicores <= capacity.millicores
        and reserved.accelerators + need.accelerators <= capacity.accelerators
    )


def _in_allowed(
    request: types.PlacementRequest, candidate: types.Candidate
) -> bool:
    return (
        not request.data_centres
        or candidate.data_centre in request.data_centres
    )


def _allowed(
    request: types.PlacementRequest, candidate: types.Candidate
) -> bool:
    return candidate.node_id not in request.avoid and _in_allowed(
        request, candidate
    )


def _has_replica(
    request: types.PlacementRequest, candidate: types.Candidate
) -> bool:
    if request.service is None or request.may_join_sibling:
        return False
    return any(item.service == request.service for item in candidate.occupants)


def _excess_reason(
    declared: resources.Resources, most: resources.Resources
) -> str:
    parts = []
    if declared.millicores > most.millicores:
        parts.append(
            f'{declared.millicores} millicores declared,'
            f' largest worker has {most.millicores}'
        )
    if declared.memory_mb > most.memory_mb:
        parts.append(
            f'{declared.memory_mb} MB declared,'
            f' largest worker has {most.memory_mb}'
        )
    if declared.accelerators > most.accelerators:
        parts.append(
            f'{declared.accelerators} accelerators declared,'
            f' largest worker has {most.accelerators}'
        )
    return '; '.join(parts) or 'no single worker has all declared amounts'
