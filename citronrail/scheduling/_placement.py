"""Placement policies: which host a task is started on.

A policy is a frozen data class, selected by name with
:func:`placement_policy`. All policies keep the rules of
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


class _Placement:
    """What all policies share."""

    def choose(
        self,
        request: types.PlacementRequest,
        candidates: Sequence[types.Candidate],
        context: types.PlacementContext,
    ) -> types.Decision:
        """Choose a host; see :func:`choose`."""
        return choose(typing.cast(Policy, self), request, candidates, context)


@dataclasses.dataclass(frozen=True)
class FirstFitPlacement(_Placement):
    """The first host, in the given order, that has room."""

    name: typing.ClassVar[str] = 'first_fit'


@dataclasses.dataclass(frozen=True)
class LeastLoadedPlacement(_Placement):
    """The host with the smallest largest reserved share."""

    name: typing.ClassVar[str] = 'least_loaded'


@dataclasses.dataclass(frozen=True)
class RandomPlacement(_Placement):
    """Any host that has room."""

    name: typing.ClassVar[str] = 'random'


@dataclasses.dataclass(frozen=True)
class LearnedPlacement(_Placement):
    """The host where the expected slowdowns cost least.

    ``processors`` is ``observed`` or ``declared``: which amount batch tasks
    reserve. ``processor_sharing`` above 1.0 lets batch tasks share
    processors. See :class:`score.ScoreSettings` for the other fields.
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


def placement_policy(chosen: settings.PolicySettings) -> Policy:
    """Build the policy that operators selected.

    :param chosen: name and parameters.
    :returns: the policy.
    :raises ConfigError: if the name or a parameter is unknown or has a
        value out of range.
    """
    match chosen.name:
        case 'learned':
            return _learned(chosen.parameters)
        case 'first_fit':
            policy: Policy = FirstFitPlacement()
        case 'least_loaded':
            policy = LeastLoadedPlacement()
        case 'random':
            policy = RandomPlacement()
        case _:
            raise _config_error(f'unknown placement policy {chosen.name!r}')
    if chosen.parameters:
        raise _config_error(f'{chosen.name} takes no parameters')
    return policy


def reservation_of(
    policy: Policy, request: types.PlacementRequest
) -> resources.Resources:
    """Return what a task reserves under a policy.

    :param policy: the policy.
    :param request: the task.
    :returns: the amounts.
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
    :param candidates: all hosts in a stable order.
    :param context: what else is known.
    :returns: the chosen host, or why there is none now.
    """
    reservation = reservation_of(policy, request)
    if reservation != request.declared:
        reservation = capped_sizes.capped(
            reservation,
            request.declared,
            [item.capacity for item in candidates],
        )
    match policy:
        case LearnedPlacement():
            fitting = _sampled(
                policy, request, candidates, reservation, context
            )
        case _:
            fitting = _admissible(request, candidates, reservation)
    if not fitting:
        return types.NotPlaced('no worker has room now')
    match policy:
        case FirstFitPlacement():
            return types.Placed(fitting[0].node_id, reservation)
        case LeastLoadedPlacement():
            best = min(fitting, key=reserved_share)
            return types.Placed(best.node_id, reservation)
        case RandomPlacement():
            best = context.rng.choice(fitting)
            return types.Placed(best.node_id, reservation)
        case LearnedPlacement():
            return score.cheapest(
                policy.weights, request, reservation, fitting, context
            )


def choose_all(
    policy: Policy,
    requests: Sequence[types.PlacementRequest],
    candidates: Sequence[types.Candidate],
    context: types.PlacementContext,
) -> tuple[types.Decision, ...]:
    """Place one round of tasks, each seeing those placed before it.

    :param policy: the policy.
    :param requests: tasks in the order in which they may start.
    :param candidates: all hosts in a stable order.
    :param context: what else is known.
    :returns: one decision for each request, in the same order.
    """
    hosts = list(candidates)
    index = {item.node_id: place for place, item in enumerate(hosts)}
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
        place = index[decision.node_id]
        host = hosts[place]
        hosts[place] = host.with_occupant(
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


def _sampled(
    policy: LearnedPlacement,
    request: types.PlacementRequest,
    candidates: Sequence[types.Candidate],
    reservation: resources.Resources,
    context: types.PlacementContext,
) -> list[types.Candidate]:
    """Return hosts with room, at most ``sample`` of them, chosen at random.

    Scoring every host of a large fleet would take seconds a round; the best
    of a few dozen is nearly as good.
    """
    wanted = policy.weights.sample
    if len(candidates) <= wanted:
        return _admissible(request, candidates, reservation)
    drawn = context.rng.sample(candidates, min(len(candidates), 4 * wanted))
    fitting = _admissible(request, drawn, reservation, wanted)
    if fitting:
        return fitting
    return _admissible(request, candidates, reservation, wanted)


def _admissible(
    request: types.PlacementRequest,
    candidates: Sequence[types.Candidate],
    reservation: resources.Resources,
    most: int | None = None,
) -> list[types.Candidate]:
    found = (
        item
        for item in candidates
        if admission.admissible(request, item, reservation)
    )
    return list(itertools.islice(found, most))


def reserved_share(candidate: types.Candidate) -> float:
    """Return the largest reserved share of a host.

    :param candidate: the host.
    :returns: 0 (empty) to 1 (full).
    """
    capacity = candidate.capacity
    reserved = candidate.reserved
    return max(
        reserved.millicores / max(1, capacity.millicores),
        reserved.memory_mb / max(1, capacity.memory_mb),
    )


def _learned(parameters: dict[str, typing.Any]) -> LearnedPlacement:
    own = {'processors', 'processor_sharing'}
    known = own | {
        item.name for item in dataclasses.fields(score.ScoreSettings)
    }
    unknown = sorted(set(parameters) - known)
    if unknown:
        raise _config_error(f'unknown parameters: {", ".join(unknown)}')
    numbers = {k: v for k, v in parameters.items() if k != 'processors'}
    for key, value in numbers.items():
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise _config_error(f'{key} must be a number')
        if value < 0:
            raise _config_error(f'{key} must not be negative')
    processors = parameters.get('processors', 'observed')
    if processors not in ('observed', 'declared'):
        raise _config_error("processors must be 'observed' or 'declared'")
    sharing = float(numbers.pop('processor_sharing', 1.0))
    if not 1.0 <= sharing <= 4.0:
        raise _config_error('processor_sharing must be from 1 to 4')
    if numbers.get('trial_share', 0.0) > 0.5:
        raise _config_error('trial_share must be at most 0.5')
    if 'sample' in numbers:
        numbers['sample'] = max(1, int(numbers['sample']))
    return LearnedPlacement(
        processors, sharing, score.ScoreSettings(**numbers)
    )


def _config_error(message: str) -> errors.ConfigError:
    return errors.ConfigError(message, step='placement.policy')
