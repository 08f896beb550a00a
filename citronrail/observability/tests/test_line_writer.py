"""Tests that log output is limited, non-blocking and never truncated."""

import json
import os

from citronrail import observability
from citronrail.observability import _events


def test_lines_of_one_kind_are_bounded_and_counted():
    """Guards against an excessive log volume under load."""
    now = [0.0]
    budget = observability.LineBudget(3, lambda: now[0])
    assert [budget.allows('CR1') for _ in range(5)] == [True] * 3 + [False] * 2
    assert budget.allows('CR2')
    assert budget.take_suppressed() == {'CR1': 2}
    now[0] = 1.0
    assert budget.allows('CR1')
    assert budget.take_suppressed() == {}


def test_stalled_reader_does_not_block_the_writer():
    """Guards a process against a stalled log collector."""
    reader, writer = os.pipe()
    lines = observability.LineWriter(writer, limit_bytes=1000)
    line = b'x' * 99 + b'\n'
    for _ in range(2000):
        lines.write(line)
    assert lines.dropped > 0
    os.set_blocking(reader, False)
    seen = b''
    while True:
        try:
            seen += os.read(reader, 65536)
        except BlockingIOError:
            if not lines._buffer:
                break
            lines._flush()
    assert set(seen.split(b'\n')) == {line[:-1], b''}
    assert seen.count(b'\n') + lines.dropped == 2000
    os.close(reader)
    os.close(writer)


def test_json_line_holds_the_fields_of_an_event(capsys):
    """Guards searches by id: fields are logged by name beside the text."""
    import io

    from loguru import logger

    sink = io.StringIO()
    kind = _events.EventKind(1799, 'INFO', 'job {job} seen')
    try:
        observability.set_up_logging('INFO', 'json', 'e1', sink)
        observability.emit(kind, cause='req-1', job='a1', age=3)
    finally:
        logger.remove()
    line = json.loads(sink.getvalue())
    assert line['event'] == 'CR1799'
    assert line['cause'] == 'req-1'
    assert line['fields'] == {'job': 'a1', 'age': '3'}
