"""Encodes merged timelines in the trace-event format."""

import collections
import typing

import msgspec

from citronrail.observability import _merged

MICROSECONDS = 1_000_000
# Viewers draw flow arrows only between slices, so that an instantaneous
# event gets the shortest visible duration.
SLICE_US = 1


def trace_events(merged: _merged.MergedTimeline) -> bytes:
    """Encode a timeline for Chrome's trace viewer or Perfetto.

    Each process is a row. Flow arrows lead from causes to effects, and events
    that share a request, task or command form an asynchronous span.

    :param merged: the timeline.
    :returns: JSON in the trace-event format, object form.
    """
    numbers = {
        name: number
        for number, name in enumerate(
            sorted({event.process for event in merged.events}), start=1
        )
    }
    start_s = min((event.time_s for event in merged.events), default=0.0)
    events: list[dict[str, typing.Any]] = [
        {
            'name': 'process_name',
            'ph': 'M',
            'pid': number,
            'tid': 0,
            'args': {'name': name},
        }
        for name, number in numbers.items()
    ]
    slices = [
        _slice(event, numbers[event.process], start_s)
        for event in merged.events
    ]
    events += slices
    events += _flow_events(merged, slices)
    events += _async_spans(merged, slices)
    return msgspec.json.encode(
        {
            'traceEvents': events,
            'displayTimeUnit': 'ms',
            'otherData': {'notes': '; '.join(merged.notes)},
        }
    )


def _slice(
    event: _merged.MergedEvent, pid: int, start_s: float
) -> dict[str, typing.Any]:
    record = event.record
    uncertain_us = event.uncertainty_s * MICROSECONDS
    return {
        'name': f'CR{record.number} {record.text}',
        'cat': f'CR{record.number // 100 * 100}',
        'ph': 'X',
        'ts': round((event.time_s - start_s) * MICROSECONDS, 3),
        'dur': SLICE_US,
        'pid': pid,
        'tid': 0,
        'args': {
            **record.fields,
            'event_id': record.event_id,
            'cause': record.cause,
            'uncertainty_us': (
                round(uncertain_us, 3)
                if uncertain_us < float('inf')
                else 'unbounded'
            ),
        },
    }


def _flow_events(
    merged: _merged.MergedTimeline, slices: list[dict[str, typing.Any]]
) -> list[dict[str, typing.Any]]:
    by_id = {
        event.record.event_id: trace_slice
        for event, trace_slice in zip(merged.events, slices, strict=True)
    }
    found = []
    for number, event in enumerate(merged.events, start=1):
        cause = by_id.get(event.record.cause)
        if cause is None:
            continue
        effect = by_id[event.record.event_id]
        for phase, trace_slice in (('s', cause), ('f', effect)):
            found.append(
                {
                    'name': 'cause',
                    'cat': 'cause',
                    'ph': phase,
                    'id': number,
                    'ts': trace_slice['ts'],
                    'pid': trace_slice['pid'],
                    'tid': 0,
                    **({'bp': 'e'} if phase == 'f' else {}),
                }
            )
    return found


def _async_spans(
    merged: _merged.MergedTimeline, slices: list[dict[str, typing.Any]]
) -> list[dict[str, typing.Any]]:
    ids = {event.record.event_id for event in merged.events}
    groups: dict[str, list[dict[str, typing.Any]]] = collections.defaultdict(
        list
    )
    for event, trace_slice in zip(merged.events, slices, strict=True):
        cause = event.record.cause
        if cause and cause not in ids:
            groups[cause].append(trace_slice)
    found = []
    for cause, trace_slices in groups.items():
        first = min(
            trace_slices, key=lambda trace_slice: float(trace_slice['ts'])
        )
        last = max(
            trace_slices, key=lambda trace_slice: float(trace_slice['ts'])
        )
        for phase, trace_slice in (('b', first), ('e', last)):
            found.append(
                {
                    'name': cause,
                    'cat': 'work',
                    'ph': phase,
                    'id': cause,
                    'ts': trace_slice['ts'],
                    'pid': first['pid'],
                    'tid': 0,
                }
            )
    return found
