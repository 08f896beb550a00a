"""Which entry should own which range; pure decisions."""

import collections.abc
import dataclasses

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _ownership_view as views
from citronrail.model import identifiers


@dataclasses.dataclass(frozen=True)
class OwnershipPlan:
    """What one entry should do now.

    ``claim`` are free ranges meant for it. ``release`` is a range that it
    should hand to ``successor``, or None.
    """

    claim: tuple[identifiers.RangeId, ...] = ()
    release: identifiers.RangeId | None = None
    successor: identifiers.NodeId = claims.NOBODY


def make_plan(view: views.OwnershipView, me: claims.Member) -> OwnershipPlan:
    """Spread the ranges evenly over the live entries.

    Every entry makes the same plan from the same view, so that only one of
    them claims a free range. An entry that has two ranges more than another
    releases one at a time.

    :param view: what the store says.
    :param me: the entry to plan for.
    :returns: its part of the plan.
    """
    live = sorted(e.node_id for e in view.entries if not e.draining)
    counts = dict.fromkeys(live, 0)
    free: list[int] = []
    for number, place in enumerate(view.places):
        if place.holder is None:
            free.append(number)
        elif place.holder.owner.node_id in counts:
            counts[place.holder.owner.node_id] += 1
    if me.node_id not in counts:
        return _leaving_plan(view, me, counts)
    mine = _assign_free(view, free, counts, me.node_id)
    if not free:
        return _rebalancing_plan(view, me, counts)
    return OwnershipPlan(claim=mine)


def _assign_free(
    view: views.OwnershipView,
    free: list[int],
    counts: dict[identifiers.NodeId, int],
    me: identifiers.NodeId,
) -> tuple[identifiers.RangeId, ...]:
    mine = []
    for number in free:
        record = view.places[number].record
        target = record.successor if record is not None else claims.NOBODY
        if target not in counts:
            target = least_loaded(counts)
        counts[target] += 1
        if target == me:
            mine.append(identifiers.RangeId(number))
    return tuple(mine)


def _rebalancing_plan(
    view: views.OwnershipView,
    me: claims.Member,
    counts: dict[identifiers.NodeId, int],
) -> OwnershipPlan:
    target = least_loaded(counts)
    mine = _held_by(view, me)
    if not mine or counts[me.node_id] < counts[target] + 2:
        return OwnershipPlan()
    return OwnershipPlan(release=mine[-1], successor=target)


def _leaving_plan(
    view: views.OwnershipView,
    me: claims.Member,
    counts: dict[identifiers.NodeId, int],
) -> OwnershipPlan:
    mine = _held_by(view, me)
    if not mine:
        return OwnershipPlan()
    successor = least_loaded(counts) if counts else claims.NOBODY
    return OwnershipPlan(release=mine[-1], successor=successor)


def least_loaded(
    counts: collections.abc.Mapping[identifiers.NodeId, int],
) -> identifiers.NodeId:
    return min(counts, key=lambda node_id: (counts[node_id], node_id))


def _held_by(
    view: views.OwnershipView, me: claims.Member
) -> list[identifiers.RangeId]:
    return [
        identifiers.RangeId(number)
        for number, place in enumerate(view.places)
        if place.holder is not None and place.holder.owner == me
    ]
