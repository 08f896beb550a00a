"""Placement policies, which choose the host that a task is started on.

A policy is a frozen data class, selected by name with
:func:`placement_policy`. All policies respect the constraints of
:mod:`citronrail.scheduling._placement_admission`.
"""

from collections.abc import Sequence
import dataclasses
import itertools
import typing

from citronrail import errors
from citronrail.model import resources
from citronrail.model import settings
from citronrail.scheduling import _capped_sizes as capped_sizes
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_score as score
from citronrail.scheduling import _placement_types as types


class _PolicyBase:
    """Base class of the policies."""

    def choose(
        self,
        request: types.PlacementRequest,
        candidates: Sequence[types.Candidate],
        context: types.PlacementContext,
    ) -> types.Decision:
        """Choose a host; see :func:`choose`."""
        return choose(typing.cast(Policy, self), request, candidates, context)


@dataclasses.dataclass(frozen=True)
class FirstFitPlacement(_PolicyBase):
    """Chooses the first feasible host in the given order."""

    name: typing.ClassVar[str] = 'first_fit'


@dataclasses.dataclass(frozen=True)
class LeastLoadedPlacement(_PolicyBase):
    """Chooses the feasible host with the lowest utilization.

    The utilization of a host is the larger one of its reserved shares of
    processors and memory.
    """

    name: typing.ClassVar[str] = 'least_loaded'


@dataclasses.dataclass(frozen=True)
class RandomPlacement(_PolicyBase):
    """Chooses a feasible host at random."""

    name: typing.ClassVar[str] = 'random'


@dataclasses.dataclass(frozen=True)
class LearnedPlacement(_PolicyBase):
    """Chooses the feasible host with the lowest cost of expected slowdowns.

    ``processors`` is the amount of processors that batch tasks reserve:
    ``observed`` or ``declared``. ``processor_sharing`` is the overcommit
    ratio of processors for batch tasks. ``weights`` holds the parameters of
    the cost function.
    """

    processors: str = 'observed'
    processor_sharing: float = 1.0
    weights: score.ScoreSettings = score.ScoreSettings()

    name: typing.ClassVar[str] = 'learned'


Policy = (
    LearnedPlacement
    | FirstFitPlacement
    | LeastLoadedPlacement
    | RandomPlacement
)


def placement_policy(cfg: settings.PolicySettings) -> Policy:
    """Build a policy from its settings.

    :param cfg: name and parameters of the policy.
    :returns: the policy.
    :raises ConfigError: if the name or a parameter is unknown, or a value is
        out of range.
    """
    match cfg.name:
        case 'learned':
            return _parse_learned_policy(cfg.parameters)
        case 'first_fit':
            policy: Policy = FirstFitPlacement()
        case 'least_loaded':
            policy = LeastLoadedPlacement()
        case 'random':
            policy = RandomPlacement()
        case _:
            raise _config_error(f'unknown placement policy {cfg.name!r}')
    if cfg.parameters:
        raise _config_error(f'{cfg.name} takes no parameters')
    return policy


def reservation_of(
    policy: Policy, request: types.PlacementRequest
) -> resources.Resources:
    """Return the resources that a policy reserves for a task.

    :param policy: the policy.
    :param request: the task.
    :returns: the amounts to reserve.
    """
    match policy:
        case LearnedPlacement():
            return admission.observed_reservation(
                request,
                policy.processors == 'observed',
                policy.processor_sharing,
            )
        case _:
            return admission.declared_reservation(request)


def choose(
    policy: Policy,
    request: types.PlacementRequest,
    candidates: Sequence[types.Candidate],
    context: types.PlacementContext,
) -> types.Decision:
    """Choose a host for one task.

    :param policy: the policy.
    :param request: the task.
    :param candidates: all hosts, in a stable order.
    :param context: other inputs of the decision.
    :returns: the chosen host, or the reason why the task can't be placed now.
    """
    reservation = reservation_of(policy, request)
    if reservation != request.declared:
        reservation = capped_sizes.cap_reservation(
            reservation,
            request.declared,
            [item.capacity for item in candidates],
        )
    match policy:
        case LearnedPlacement():
            feasible = _sample_feasible(
                policy, request, candidates, reservation, context
            )
        case _:
            feasible = _feasible_hosts(request, candidates, reservation)
    if not feasible:
        return types.NotPlaced('no worker has room now')
    match policy:
        case FirstFitPlacement():
            return types.Placed(feasible[0].node_id, reservation)
        case LeastLoadedPlacement():
            best = min(feasible, key=max_reserved_share)
            return types.Placed(best.node_id, reservation)
        case RandomPlacement():
            best = context.rng.choice(feasible)
            return types.Placed(best.node_id, reservation)
        case LearnedPlacement():
            return score.choose_lowest_cost(
                policy.weights, request, reservation, feasible, context
            )


def choose_all(
    policy: Policy,
    requests: Sequence[types.PlacementRequest],
    candidates: Sequence[types.Candidate],
    context: types.PlacementContext,
) -> tuple[types.Decision, ...]:
    """Place the tasks of one round in sequence.

    Each decision takes into account the tasks placed before it.

    :param policy: the policy.
    :param requests: the tasks, in the order in which they may start.
    :param candidates: all hosts, in a stable order.
    :param context: other inputs of the decisions.
    :returns: one decision for each request, in the same order.
    """
    hosts = list(candidates)
    position_by_node = {
        item.node_id: position for position, item in enumerate(hosts)
    }
    replicas = admission.count_replicas(candidates)
    trials = context.trials
    decisions: list[types.Decision] = []
    for request in requests:
        context = context.continued(trials, replicas)
        decision = choose(policy, request, hosts, context)
        decisions.append(decision)
        if isinstance(decision, types.NotPlaced):
            continue
        trials = score.record_placement(trials, decision)
        position = position_by_node[decision.node_id]
        host = hosts[position]
        hosts[position] = host.with_occupant(
            types.Occupant(
                request.task,
                request.work_class,
                decision.reservation,
                request.service,
            )
        )
        if request.service is not None:
            admission.add_replica(replicas, request.service, host)
    return tuple(decisions)


def _sample_feasible(
    policy: LearnedPlacement,
    request: types.PlacementRequest,
    candidates: Sequence[types.Candidate],
    reservation: resources.Resources,
    context: types.PlacementContext,
) -> list[types.Candidate]:
    """Return a random sample of feasible hosts, at most ``sample`` of them.

    Scoring every host of a large fleet would take seconds per round, and the
    best host of a small sample has nearly the same cost.
    """
    sample_size = policy.weights.sample
    if len(candidates) <= sample_size:
        return _feasible_hosts(request, candidates, reservation)
    sampled = context.rng.sample(
        candidates, min(len(candidates), 4 * sample_size)
    )
    feasible = _feasible_hosts(request, sampled, reservation, sample_size)
    if feasible:
        return feasible
    return _feasible_hosts(request, candidates, reservation, sample_size)


def _feasible_hosts(
    request: types.PlacementRequest,
    candidates: Sequence[types.Candidate],
    reservation: resources.Resources,
    max_count: int | None = None,
) -> list[types.Candidate]:
    found = (
        item
        for item in candidates
        if admission.is_feasible(request, item, reservation)
    )
    return list(itertools.islice(found, max_count))


def max_reserved_share(candidate: types.Candidate) -> float:
    """Return the larger reserved share of a host's processors and memory.

    :param candidate: the host.
    :returns: 0 (empty) to 1 (fully reserved).
    """
    capacity = candidate.capacity
    reserved = candidate.reserved
    return max(
        reserved.millicores / max(1, capacity.millicores),
        reserved.memory_mb / max(1, capacity.memory_mb),
    )


def _parse_learned_policy(
    parameters: dict[str, typing.Any],
) -> LearnedPlacement:
    policy_fields = {'processors', 'processor_sharing'}
    known = policy_fields | {
        item.name for item in dataclasses.fields(score.ScoreSettings)
    }
    unknown = sorted(set(parameters) - known)
    if unknown:
        raise _config_error(f'unknown parameters: {", ".join(unknown)}')
    numeric = {k: v for k, v in parameters.items() if k != 'processors'}
    for key, value in numeric.items():
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise _config_error(f'{key} must be a number')
        if value < 0:
            raise _config_error(f'{key} must not be negative')
    processors = parameters.get('processors', 'observed')
    if processors not in ('observed', 'declared'):
        raise _config_error("processors must be 'observed' or 'declared'")
    processor_sharing = float(numeric.pop('processor_sharing', 1.0))
    if not 1.0 <= processor_sharing <= 4.0:
        raise _config_error('processor_sharing must be from 1 to 4')
    if numeric.get('trial_share', 0.0) > 0.5:
        raise _config_error('trial_share must be at most 0.5')
    if 'sample' in numeric:
        numeric['sample'] = max(1, int(numeric['sample']))
    return LearnedPlacement(
        processors, processor_sharing, score.ScoreSettings(**numeric)
    )


def _config_error(message: str) -> errors.ConfigError:
    return errors.ConfigError(message, step='placement.policy')
