"""Tests the merged timeline of several processes."""

import json
import zlib

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from citronrail import errors
from citronrail.language.tests import fakes
from citronrail import observability
from citronrail.observability import _alignment
from citronrail.observability import _timeline
from citronrail.observability import _timeline_exchange

NAMES = ['a/1', 'b/1', 'c/1']


def _record(name, number, clock, cause=''):
    return observability.EventRecord(
        f'{name}:{number}', 1001, clock, f'event {number}', cause, {'n': 'x'}
    )


def _collected(name, clock, records=(), readings=(), asked=0.0, answered=1.0):
    process, boot = name.split('/')
    timeline = observability.ProcessTimeline(
        process, boot, 'entry', clock, tuple(records), tuple(readings)
    )
    return observability.Collected(timeline, asked, answered)


@st.composite
def _histories(draw):
    """Generate clock offsets and causally related events."""
    clocks = st.floats(-1e6, 1e6)
    offsets = {name: draw(clocks) for name in NAMES}
    times = sorted(draw(st.lists(st.floats(0, 100), max_size=12)))
    events = []
    for number, time in enumerate(times):
        cause = (
            draw(st.none() | st.integers(0, number - 1)) if number else None
        )
        events.append((draw(st.sampled_from(NAMES)), time, cause))
    delays = st.floats(0, 5)
    collections = {
        name: (draw(delays), draw(delays), draw(delays)) for name in NAMES
    }
    readings = [
        (
            draw(st.sampled_from(NAMES)),
            draw(st.sampled_from(NAMES)),
            draw(delays),
        )
        for _ in range(draw(st.integers(0, 4)))
    ]
    return offsets, events, collections, readings


@hypothesis.given(_histories())
@hypothesis.settings(max_examples=150)
def test_aligned_times_hold_the_truth_and_the_causes(history):
    """Guards times outside their stated error, and effects before causes."""
    offsets, events, collections, readings = history
    records = {name: [] for name in NAMES}
    for number, (name, time, cause) in enumerate(events):
        origin = '' if cause is None else f'{events[cause][0]}:{cause}'
        records[name].append(
            _record(name, number, time + offsets[name], origin)
        )
    collected = []
    for name in NAMES:
        begin, there, back = collections[name]
        known = [
            observability.ClockReading(
                peer.split('/')[0],
                peer.split('/')[1],
                200 + offsets[peer],
                200 + delay + offsets[name],
            )
            for local, peer, delay in readings
            if local == name and peer != name
        ]
        collected.append(
            _collected(
                name,
                300 + begin + there + offsets[name],
                records[name],
                known,
                300 + begin,
                300 + begin + there + back,
            )
        )
    merged = observability.merge(collected)
    assert merged.notes == ()
    for name, offset in merged.offsets.items():
        if name in offsets:
            error = abs(offset.offset_s - offsets[name])
            assert error <= offset.uncertainty_s + 1e-4
    times = {}
    for event in merged.events:
        cause = event.record.cause
        if cause:
            assert cause in times
            assert event.time_s >= times[cause] - 1e-4
        times[event.record.event_id] = event.time_s
    assert len(merged.events) == len(events)


def test_contradicting_clocks_are_reported():
    """Guards against a merged timeline that hides a faulty clock."""
    with pytest.raises(_alignment.Contradiction):
        observability.align(
            'r',
            [
                observability.Bound('a', 'r', 1.0),
                observability.Bound('r', 'a', -2.0),
            ],
        )
    early = _record('a/1', 1, 50.0)
    late = _record('b/1', 1, 10.0, 'a/1:1')
    merged = observability.merge(
        [_collected('a/1', 100.0, [early]), _collected('b/1', 100.0, [late])]
    )
    assert merged.notes == ('clocks contradict each other; causes not used',)
    assert [event.process for event in merged.events] == ['a', 'b']


def test_circular_causes_end():
    """Guards against events that vanish or an endless loop."""
    records = [
        _record('a/1', 1, 1.0, 'a/1:2'),
        _record('a/1', 2, 2.0, 'a/1:1'),
        _record('a/1', 3, 3.0, 'a/1:3'),
    ]
    merged = observability.merge([_collected('a/1', 5.0, records)])
    assert len(merged.events) == 3


def test_trace_has_rows_arrows_and_spans():
    """Guards the elements that a trace viewer requires."""
    records = [
        _record('a/1', 1, 1.0, 'request-7'),
        _record('a/1', 2, 2.0, 'request-7'),
        _record('a/1', 3, 3.0, 'a/1:2'),
    ]
    merged = observability.merge([_collected('a/1', 5.0, records)])
    trace = json.loads(observability.trace_events(merged))
    by_phase = {}
    for event in trace['traceEvents']:
        assert {'ph', 'pid', 'tid', 'name'} <= set(event)
        by_phase.setdefault(event['ph'], []).append(event)
    assert [e['ts'] for e in by_phase['X']] == [0.0, 1e6, 2e6]
    assert by_phase['s'][0]['ts'] < by_phase['f'][0]['ts']
    assert by_phase['b'][0]['id'] == by_phase['e'][0]['id'] == 'request-7'
    empty = observability.merge([])
    assert json.loads(observability.trace_events(empty))['traceEvents'] == []


@hypothesis.given(st.binary(max_size=200))
@hypothesis.example(zlib.compress(b'{}'))
def test_arbitrary_bytes_are_no_timeline(data):
    """Guards against a crash on malformed data from another process."""
    with pytest.raises(ValueError):
        observability.expand(data)


def test_oversized_timeline_is_refused(monkeypatch):
    """Guards memory against a small message that expands without bound."""
    timeline = observability.ProcessTimeline('a', '1', 'entry', 0.0)
    data = observability.compress(timeline)
    assert observability.expand(data) == timeline
    monkeypatch.setattr(_timeline, 'MAX_EXPANDED_BYTES', 10)
    with pytest.raises(ValueError, match='too long'):
        observability.expand(data)


async def test_entry_collects_timelines_of_its_peers(monkeypatch):
    """Guards the collection, its limits, and peers that do not reply."""
    network = fakes.Network(2)
    one, other = (
        observability.TimelineExchange(network.hubs[name], 'entry')
        for name in network.names
    )
    recorder = observability.Recorder('e')
    observability.use_recorder(recorder)
    for number in range(_timeline_exchange.MAX_REPLY_EVENTS + 5):
        kind = observability.EventKind(1, 'TRACE', 'event {number}')
        recorder.add(kind, '', {'number': str(number)})
    async with trio.open_nursery() as nursery:
        for name in network.names:
            nursery.start_soon(network.hubs[name].run)
        await nursery.start(one.run)
        with monkeypatch.context() as patch:
            patch.setattr(_timeline_exchange, 'TIMEOUT_S', 0.05)
            with pytest.raises(errors.PeerTimeout):
                await one.fetch('e1')
        # On the real clock, since a thread compresses the timeline.
        monkeypatch.setattr(_timeline_exchange, 'TIMEOUT_S', 60.0)
        await nursery.start(other.run)
        found = await one.fetch('e1')
        assert (found.process, found.role) == ('e1', 'entry')
        assert len(found.events) == _timeline_exchange.MAX_REPLY_EVENTS
        assert found.readings[0].process == 'e0'
        assert (await one.fetch('e0')).process == 'e0'
        network.cuts = {'e1'}
        with pytest.raises(errors.PeerUnreachable):
            await one.fetch('e1')
        nursery.cancel_scope.cancel()
