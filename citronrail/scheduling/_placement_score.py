"""Cost of a host for a newcomer, from expected slowdowns and spread."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_types as types

# Old placements lose half their weight in the trial share after this many.
TRIAL_MEMORY_PLACEMENTS = 200.0
# A task that adds less to a service is not worth waiting for.
MATERIAL_EXCESS = 0.05


@dataclasses.dataclass(frozen=True)
class ScoreSettings:
    """Weights of the cost.

    ``service_weight`` and ``batch_weight`` multiply the added slowdown of a
    service and of a batch task. Slowdown of a service counts with its square
    added, since queueing turns it into more than proportional latency.
    ``rack_weight`` and ``data_centre_weight`` are the costs of each further
    replica in one rack or data centre. ``isolation_weight`` is the cost of
    putting a replica on a host without services: batch work can keep away
    from services only if some hosts have none. ``packing_weight`` prefers
    hosts that are already in use among equal ones. ``trial_share`` bounds the
    part of placements that may test unmeasured pairs, ``sample`` the number
    of hosts compared. While every host would bring a service above
    ``service_slowdown_limit``, a batch task that adds to it waits up to
    ``defer_s`` seconds, and others may take the room.
    """

    service_weight: float = 4.0
    batch_weight: float = 0.5
    rack_weight: float = 1.0
    data_centre_weight: float = 0.5
    isolation_weight: float = 6.0
    packing_weight: float = 0.02
    trial_share: float = 0.05
    sample: int = 16
    service_slowdown_limit: float = 1.7
    defer_s: float = 90.0


@dataclasses.dataclass(frozen=True)
class HostCost:
    """Cost of a host and the slowdowns expected there.

    ``worst_service_slowdown`` is the mean expected one, without the margin
    for what is unknown: a deferral needs evidence.
    """

    total: float
    newcomer_slowdown: float
    worst_service_slowdown: float
    unmeasured: bool
    slows_service: bool = False


def cheapest(
    cfg: ScoreSettings,
    request: types.PlacementRequest,
    reservation: resources.Resources,
    fitting: Sequence[types.Candidate],
    context: types.PlacementContext,
) -> types.Decision:
    """Choose the host of the least cost.

    :param cfg: weights.
    :param request: the task.
    :param reservation: what it will reserve.
    :param fitting: hosts with room to compare.
    :param context: what else is known.
    :returns: the host, or a short deferral of batch work that would disturb
        services everywhere.
    """
    trial = _may_try(cfg, request, context)
    best: types.Candidate | None = None
    best_cost: HostCost | None = None
    for candidate in fitting:
        cost = host_cost(cfg, request, candidate, context, trial)
        if best_cost is None or cost.total < best_cost.total:
            best, best_cost = candidate, cost
    if best is None or best_cost is None:
        return types.NotPlaced('no worker has room now')
    if _defers(cfg, request, best_cost):
        return types.NotPlaced(
            'every worker with room would slow a service', deferred=True
        )
    return types.Placed(
        best.node_id,
        reservation,
        best_cost.newcomer_slowdown,
        trial and best_cost.unmeasured,
    )


def host_cost(
    cfg: ScoreSettings,
    request: types.PlacementRequest,
    candidate: types.Candidate,
    context: types.PlacementContext,
    trial: bool = False,
) -> HostCost:
    """Compute the cost of starting the task on a host.

    :param cfg: weights.
    :param request: the task.
    :param candidate: the host.
    :param context: what else is known.
    :param trial: use the mean of unmeasured pairs in place of their cautious
        bound.
    :returns: the cost; lower is better.
    """
    model = context.predictions
    width = 0.0 if trial else context.interference.settings.bound
    counts = candidate.class_counts
    own = model.beside(request.work_class, counts, candidate.load)
    newcomer = own.slowdown(width)
    total = _own_weight(cfg, request) * _harm(request.service, newcomer)
    worst = own.slowdown(0.0) if request.service is not None else 1.0
    unmeasured = False
    slows = False
    for (work_class, service), number in candidate.victims.items():
        pair = (work_class, request.work_class)
        before = model.beside(work_class, counts, candidate.load, 1.0)
        after = before.plus(
            model.pair(pair, candidate.load),
            counts.get(request.work_class, 0.0),
        )
        added = _added_harm(before, after, service, width)
        weight = cfg.service_weight if service else cfg.batch_weight
        total += number * weight * added
        if service:
            slowed = after.slowdown(0.0)
            worst = max(worst, slowed)
            slows = slows or slowed - before.slowdown(0.0) > MATERIAL_EXCESS
            unmeasured = unmeasured or not interference.is_measured(
                context.interference, pair, context.now
            )
    total += _spread_cost(cfg, request, candidate, context.service_hosts)
    free = candidate.free.millicores / max(1, candidate.capacity.millicores)
    total += cfg.packing_weight * free
    return HostCost(total, newcomer, worst, unmeasured, slows)


def record_placement(
    trials: types.TrialLedger, placed: types.Placed
) -> types.TrialLedger:
    """Count a placement for the bound on trials.

    :param trials: the counts so far.
    :param placed: the placement.
    :returns: the new counts.
    """
    kept = 0.5 ** (1.0 / TRIAL_MEMORY_PLACEMENTS)
    return types.TrialLedger(
        trials.placements * kept + 1.0,
        trials.trials * kept + (1.0 if placed.trial else 0.0),
    )


def _may_try(
    cfg: ScoreSettings,
    request: types.PlacementRequest,
    context: types.PlacementContext,
) -> bool:
    """Only batch work is tried beside services, within the share."""
    if request.service is not None or request.urgent:
        return False
    allowed = cfg.trial_share * (context.trials.placements + 1.0)
    return context.trials.trials + 1.0 <= allowed


def _defers(
    cfg: ScoreSettings, request: types.PlacementRequest, cost: HostCost
) -> bool:
    return (
        request.service is None
        and not request.urgent
        and request.waited_s < min(cfg.defer_s, request.defer_limit_s)
        and cost.slows_service
        and cost.worst_service_slowdown > cfg.service_slowdown_limit
    )


def _added_harm(
    before: interference.Moments,
    after: interference.Moments,
    service: bool,
    width: float,
) -> float:
    """Return the harm that a newcomer adds to one task."""
    if not service:
        return after.slowdown(width) - before.slowdown(width)
    return _service_harm(after.slowdown(width)) - _service_harm(
        before.slowdown(width)
    )


def _own_weight(cfg: ScoreSettings, request: types.PlacementRequest) -> float:
    return cfg.batch_weight if request.service is None else cfg.service_weight


def _harm(service: identifiers.ServiceName | None, slowdown: float) -> float:
    return slowdown - 1.0 if service is None else _service_harm(slowdown)


def _service_harm(slowdown: float) -> float:
    excess = max(0.0, slowdown - 1.0)
    return excess + excess**2


def _spread_cost(
    cfg: ScoreSettings,
    request: types.PlacementRequest,
    candidate: types.Candidate,
    service_hosts: Mapping[identifiers.ServiceName, Mapping[str, int]],
) -> float:
    if request.service is None:
        return 0.0
    places = service_hosts.get(request.service, {})
    in_rack, in_data_centre = admission.spread_counts(places, candidate)
    cost = cfg.rack_weight * in_rack + cfg.data_centre_weight * in_data_centre
    if not any(service for _, service in candidate.victims):
        cost += cfg.isolation_weight
    return cost
