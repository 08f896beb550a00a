"""Merges the timelines of several processes into one."""

import collections
import collections.abc
import dataclasses

import msgspec

from citronrail.observability import _alignment
from citronrail.observability import _events
from citronrail.observability import _timeline

COLLECTOR = 'collector'


@dataclasses.dataclass(frozen=True)
class Collected:
    """A timeline with the collector's clock before and after its collection.

    The process read its clock between ``asked_at`` and ``answered_at``.
    """

    timeline: _timeline.ProcessTimeline
    asked_at: float
    answered_at: float

    @property
    def clock_name(self) -> str:
        """Name of the clock; a restarted process has a new one."""
        return f'{self.timeline.process}/{self.timeline.boot_id}'


@dataclasses.dataclass(frozen=True)
class MergedEvent:
    """An event with its time on the collector's clock.

    ``uncertainty_s`` bounds the error of ``time_s``.
    """

    process: str
    role: str
    time_s: float
    uncertainty_s: float
    record: _events.EventRecord


@dataclasses.dataclass(frozen=True)
class MergedTimeline:
    """Events of all processes, every cause before its effects.

    ``notes`` describes clocks and evidence that were not used.
    """

    events: tuple[MergedEvent, ...]
    offsets: dict[str, _alignment.Offset]
    notes: tuple[str, ...] = ()


def merge(collected: collections.abc.Sequence[Collected]) -> MergedTimeline:
    """Align the clocks of timelines and order their events.

    :param collected: timelines of different processes.
    :returns: all events on the collector's clock.
    """
    notes: list[str] = []
    offsets = _offsets(collected, notes)
    aligned: list[MergedEvent] = []
    for item in collected:
        offset = offsets.get(item.clock_name)
        if offset is None:
            notes.append(f'{item.clock_name}: nothing bounds its clock')
            offset = _alignment.Offset(
                item.timeline.clock - item.answered_at, float('inf')
            )
        aligned += [
            MergedEvent(
                item.timeline.process,
                item.timeline.role,
                record.clock - offset.offset_s,
                offset.uncertainty_s,
                record,
            )
            for record in item.timeline.events
        ]
    return MergedTimeline(tuple(_ordered(aligned)), offsets, tuple(notes))


def merged_to_json(merged: MergedTimeline) -> str:
    """Encode a merged timeline as JSON.

    :param merged: the timeline.
    :returns: an object with ``events``, ``offsets`` and ``notes``; an
        unbounded uncertainty is null.
    """
    return msgspec.json.encode(merged).decode()


def _offsets(
    collected: collections.abc.Sequence[Collected], notes: list[str]
) -> dict[str, _alignment.Offset]:
    collection_bounds = [
        bound for item in collected for bound in _collection_bounds(item)
    ]
    readings = [bound for item in collected for bound in _reading_bounds(item)]
    causes = list(_cause_bounds(collected))
    # Bounds can contradict each other, for instance after clocks have run at
    # different rates for a long time. Drop the weakest evidence first.
    for bounds, missing in (
        (collection_bounds + readings + causes, ''),
        (collection_bounds + readings, 'causes'),
        (collection_bounds, 'causes and readings'),
    ):
        try:
            found = _alignment.align(COLLECTOR, bounds)
        except _alignment.Contradiction:
            continue
        if missing:
            notes.append(f'clocks contradict each other; {missing} not used')
        return found
    notes.append('clocks contradict each other; none is aligned')
    return {}


def _collection_bounds(
    item: Collected,
) -> tuple[_alignment.Bound, _alignment.Bound]:
    clock = item.timeline.clock
    name = item.clock_name
    return (
        _alignment.Bound(name, COLLECTOR, clock - item.asked_at),
        _alignment.Bound(COLLECTOR, name, item.answered_at - clock),
    )


def _reading_bounds(
    item: Collected,
) -> collections.abc.Iterator[_alignment.Bound]:
    for reading in item.timeline.readings:
        yield _alignment.Bound(
            item.clock_name,
            f'{reading.process}/{reading.boot_id}',
            reading.local_s - reading.peer_s,
        )


def _cause_bounds(
    collected: collections.abc.Sequence[Collected],
) -> collections.abc.Iterator[_alignment.Bound]:
    """Yield the tightest causal bound for each pair of clocks."""
    origin = {
        record.event_id: (item.clock_name, record.clock)
        for item in collected
        for record in item.timeline.events
    }
    best: dict[tuple[str, str], float] = {}
    for item in collected:
        for record in item.timeline.events:
            cause = origin.get(record.cause)
            if cause is None or cause[0] == item.clock_name:
                continue
            pair = (item.clock_name, cause[0])
            least = record.clock - cause[1]
            best[pair] = min(best.get(pair, least), least)
    for (effect, cause_clock), least in best.items():
        # The effect is not before the cause: the effect's clock is ahead of
        # the cause's by at most the difference of the readings.
        yield _alignment.Bound(effect, cause_clock, least)


def _ordered(
    aligned: collections.abc.Iterable[MergedEvent],
) -> list[MergedEvent]:
    """Order by time, with every effect after its cause."""
    by_time = sorted(aligned, key=lambda event: event.time_s)
    by_id = {event.record.event_id: event for event in by_time}
    waiting: dict[str, list[MergedEvent]] = collections.defaultdict(list)
    done: set[str] = set()
    result: list[MergedEvent] = []
    for event in by_time:
        cause = event.record.cause
        if cause in by_id and cause not in done and not _is_own_cause(event):
            waiting[cause].append(event)
            continue
        _append_with_effects(event, waiting, done, result)
    # Only events with circular causes remain; no correct process records any.
    for event in by_time:
        if event.record.event_id not in done:
            _append_with_effects(event, waiting, done, result)
    return result


def _is_own_cause(event: MergedEvent) -> bool:
    return event.record.cause == event.record.event_id


def _append_with_effects(
    event: MergedEvent,
    waiting: dict[str, list[MergedEvent]],
    done: set[str],
    result: list[MergedEvent],
) -> None:
    ready = [event]
    while ready:
        current = ready.pop()
        if current.record.event_id in done:
            continue
        done.add(current.record.event_id)
        result.append(current)
        ready.extend(reversed(waiting.pop(current.record.event_id, [])))
