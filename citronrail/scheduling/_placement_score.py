"""Cost of placing a task on a host, from expected slowdowns and spread."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_types as types

# Number of placements after which a placement counts half in the trial share.
TRIAL_HALF_LIFE_PLACEMENTS = 200.0
# A task is not deferred for adding a smaller slowdown than this to a service.
NEGLIGIBLE_SLOWDOWN = 0.05


@dataclasses.dataclass(frozen=True)
class ScoreSettings:
    """Parameters of the cost function.

    ``service_weight`` and ``batch_weight`` multiply the slowdown that is added
    to a service and to a batch task. The slowdown of a service counts as its
    excess over 1 plus the square of this excess, since queueing makes latency
    grow more than proportionally.

    ``rack_weight`` and ``data_centre_weight`` are the costs of each other
    replica in the same rack or data centre. ``isolation_weight`` is the cost
    of placing a replica on a host without services: batch tasks can avoid
    services only while some hosts run none. ``packing_weight`` prefers hosts
    with less free capacity among otherwise equal ones. ``trial_share`` is the
    largest share of placements that may test unmeasured pairs of classes, and
    ``sample`` the largest number of hosts that are compared. While each host
    would slow a service beyond ``service_slowdown_limit``, a batch task that
    contributes to it is deferred for up to ``defer_s`` seconds. No capacity is
    reserved for it meanwhile.
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
    """Cost of placing a task on a host, with the expected slowdowns.

    ``newcomer_slowdown`` is that of the placed task.
    ``worst_service_slowdown`` is a mean without the margin for uncertainty,
    since tasks are deferred only on evidence.
    """

    total: float
    newcomer_slowdown: float
    worst_service_slowdown: float
    unmeasured: bool
    slows_service: bool = False


def choose_lowest_cost(
    cfg: ScoreSettings,
    request: types.PlacementRequest,
    reservation: resources.Resources,
    feasible: Sequence[types.Candidate],
    context: types.PlacementContext,
) -> types.Decision:
    """Choose the host with the lowest cost.

    :param cfg: parameters of the cost function.
    :param request: the task.
    :param reservation: amounts that the task will reserve.
    :param feasible: the feasible hosts to compare.
    :param context: other inputs of the decision.
    :returns: the host, or a deferral of a batch task that would slow services
        on each of the hosts.
    """
    trial = _is_trial_allowed(cfg, request, context)
    best: types.Candidate | None = None
    best_cost: HostCost | None = None
    for candidate in feasible:
        cost = host_cost(cfg, request, candidate, context, trial)
        if best_cost is None or cost.total < best_cost.total:
            best, best_cost = candidate, cost
    if best is None or best_cost is None:
        return types.NotPlaced('no worker has room now')
    if _should_defer(cfg, request, best_cost):
        return types.NotPlaced(
            'every worker with room would slow a service',
            deferred=True,
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
    """Compute the cost of placing a task on a host.

    :param cfg: parameters of the cost function.
    :param request: the task.
    :param candidate: the host.
    :param context: other inputs of the decision.
    :param trial: whether to use mean slowdowns in place of conservative upper
        bounds, so that unmeasured pairs can be chosen.
    :returns: the cost; lower is better.
    """
    model = context.predictions
    deviations = 0.0 if trial else context.interference.settings.bound
    counts = candidate.class_counts
    expected = model.total_excess(request.work_class, counts, candidate.load)
    task_slowdown = expected.slowdown(deviations)
    total = _slowdown_weight(cfg, request) * _slowdown_cost(
        request.service, task_slowdown
    )
    worst_service_slowdown = (
        expected.slowdown(0.0) if request.service is not None else 1.0
    )
    unmeasured = False
    slows_service = False
    for (work_class, service), count in candidate.occupant_counts.items():
        pair = (work_class, request.work_class)
        before = model.total_excess(work_class, counts, candidate.load, 1.0)
        after = before.plus(
            model.pair(pair, candidate.load),
            counts.get(request.work_class, 0.0),
        )
        added_cost = _added_cost(before, after, service, deviations)
        weight = cfg.service_weight if service else cfg.batch_weight
        total += count * weight * added_cost
        if service:
            slowdown_after = after.slowdown(0.0)
            worst_service_slowdown = max(
                worst_service_slowdown, slowdown_after
            )
            slows_service = (
                slows_service
                or slowdown_after - before.slowdown(0.0) > NEGLIGIBLE_SLOWDOWN
            )
            unmeasured = unmeasured or not interference.is_measured(
                context.interference, pair, context.now
            )
    total += _spread_cost(cfg, request, candidate, context.service_hosts)
    free = candidate.free.millicores / max(1, candidate.capacity.millicores)
    total += cfg.packing_weight * free
    return HostCost(
        total, task_slowdown, worst_service_slowdown, unmeasured, slows_service
    )


def record_placement(
    trials: types.TrialLedger, placed: types.Placed
) -> types.TrialLedger:
    """Count a placement towards the limit on trials.

    :param trials: the counts so far.
    :param placed: the placement.
    :returns: the new counts.
    """
    decay = 0.5 ** (1.0 / TRIAL_HALF_LIFE_PLACEMENTS)
    return types.TrialLedger(
        trials.placements * decay + 1.0,
        trials.trials * decay + (1.0 if placed.trial else 0.0),
    )


def _is_trial_allowed(
    cfg: ScoreSettings,
    request: types.PlacementRequest,
    context: types.PlacementContext,
) -> bool:
    """Allow trials for batch tasks that are not urgent, within the limit."""
    if request.service is not None or request.urgent:
        return False
    allowed = cfg.trial_share * (context.trials.placements + 1.0)
    return context.trials.trials + 1.0 <= allowed


def _should_defer(
    cfg: ScoreSettings, request: types.PlacementRequest, cost: HostCost
) -> bool:
    return (
        request.service is None
        and not request.urgent
        and request.waited_s < min(cfg.defer_s, request.defer_limit_s)
        and cost.slows_service
        and cost.worst_service_slowdown > cfg.service_slowdown_limit
    )


def _added_cost(
    before: interference.Moments,
    after: interference.Moments,
    service: bool,
    deviations: float,
) -> float:
    """Return the cost of the slowdown that is added to one running task."""
    if not service:
        return after.slowdown(deviations) - before.slowdown(deviations)
    return _service_slowdown_cost(
        after.slowdown(deviations)
    ) - _service_slowdown_cost(before.slowdown(deviations))


def _slowdown_weight(
    cfg: ScoreSettings, request: types.PlacementRequest
) -> float:
    return cfg.batch_weight if request.service is None else cfg.service_weight


def _slowdown_cost(
    service: identifiers.ServiceName | None, slowdown: float
) -> float:
    return (
        slowdown - 1.0 if service is None else _service_slowdown_cost(slowdown)
    )


def _service_slowdown_cost(slowdown: float) -> float:
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
    counts_by_domain = service_hosts.get(request.service, {})
    in_rack, in_data_centre = admission.spread_counts(
        counts_by_domain, candidate
    )
    cost = cfg.rack_weight * in_rack + cfg.data_centre_weight * in_data_centre
    if not any(service for _, service in candidate.occupant_counts):
        cost += cfg.isolation_weight
    return cost
