"""Assignment of ranges to entries, computed from a view of the store."""

import collections.abc
import dataclasses

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _ownership_view as views
from citronrail.model import identifiers


@dataclasses.dataclass(frozen=True)
class OwnershipPlan:
    """Claims and releases that one entry should make now.

    ``claim`` are the unowned ranges assigned to it. ``release`` is a range to
    hand over to ``successor``, or None.
    """

    claim: tuple[identifiers.RangeId, ...] = ()
    release: identifiers.RangeId | None = None
    successor: identifiers.NodeId = claims.NO_NODE


def make_plan(
    view: views.OwnershipView, this_entry: claims.Member
) -> OwnershipPlan:
    """Distribute the ranges evenly over the live entries.

    The assignment is deterministic: all entries derive the same one from the
    same view, so only one of them claims an unowned range. An entry that owns
    at least two ranges more than another releases them one at a time.

    :param view: entries and ranges as read from the store.
    :param this_entry: the entry to plan for.
    :returns: the actions of that entry.
    """
    live = sorted(e.node_id for e in view.entries if not e.draining)
    counts = dict.fromkeys(live, 0)
    unowned: list[int] = []
    for number, state in enumerate(view.range_states):
        if state.holder is None:
            unowned.append(number)
        elif state.holder.owner.node_id in counts:
            counts[state.holder.owner.node_id] += 1
    if this_entry.node_id not in counts:
        return _drain_plan(view, this_entry, counts)
    own_ranges = _assign_unowned(view, unowned, counts, this_entry.node_id)
    if not unowned:
        return _rebalancing_plan(view, this_entry, counts)
    return OwnershipPlan(claim=own_ranges)


def _assign_unowned(
    view: views.OwnershipView,
    unowned: list[int],
    counts: dict[identifiers.NodeId, int],
    this_entry: identifiers.NodeId,
) -> tuple[identifiers.RangeId, ...]:
    own_ranges = []
    for number in unowned:
        record = view.range_states[number].record
        target = record.successor if record is not None else claims.NO_NODE
        if target not in counts:
            target = least_loaded(counts)
        counts[target] += 1
        if target == this_entry:
            own_ranges.append(identifiers.RangeId(number))
    return tuple(own_ranges)


def _rebalancing_plan(
    view: views.OwnershipView,
    this_entry: claims.Member,
    counts: dict[identifiers.NodeId, int],
) -> OwnershipPlan:
    target = least_loaded(counts)
    own_ranges = _ranges_of(view, this_entry)
    if not own_ranges or counts[this_entry.node_id] < counts[target] + 2:
        return OwnershipPlan()
    return OwnershipPlan(release=own_ranges[-1], successor=target)


def _drain_plan(
    view: views.OwnershipView,
    this_entry: claims.Member,
    counts: dict[identifiers.NodeId, int],
) -> OwnershipPlan:
    own_ranges = _ranges_of(view, this_entry)
    if not own_ranges:
        return OwnershipPlan()
    successor = least_loaded(counts) if counts else claims.NO_NODE
    return OwnershipPlan(release=own_ranges[-1], successor=successor)


def least_loaded(
    counts: collections.abc.Mapping[identifiers.NodeId, int],
) -> identifiers.NodeId:
    return min(counts, key=lambda node_id: (counts[node_id], node_id))


def _ranges_of(
    view: views.OwnershipView, this_entry: claims.Member
) -> list[identifiers.RangeId]:
    return [
        identifiers.RangeId(number)
        for number, state in enumerate(view.range_states)
        if state.holder is not None and state.holder.owner == this_entry
    ]
