"""Feeds mutated valid documents to each decoder of others' data.

Any failure but the typed error would end the process that reads the data.
"""

import contextlib

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from citronrail import errors
from citronrail.model import codec
from citronrail.model import messages
from citronrail.model import workflows
from citronrail.platform import _announcement_app
from citronrail.platform import _json_lists
from citronrail.platform import _operator_documents
from citronrail.platform import _store
from citronrail.platform import _wire_jobs
from citronrail.platform import _worker
from citronrail.platform.tests import test_odd_data
from citronrail.workflow import _documents as documents
from citronrail.workflow import _scheduler_state
from citronrail.workflow.overload import _run_times

SEED = 20261205
JOB_ID = '5c0e7a21d94b36f8'
JOB = {
    'spec': 'text',
    'steps': [
        {'count': 2, 'cpu': 500, 'estimateMs': 900},
        {'count': 1, 'after': [0], 'constraints': 'a', 'gang': True},
    ],
    'times': 2,
    'startAtMs': 1.7e12,
    'periodMs': 100,
}
ITEM = {'key': 'k', 'value': 'eA==', 'rev': 4, 'lease': 7}
HEARTBEAT = test_odd_data.HEARTBEAT | {'drainRemainingMs': 100.5}
RUNS = {
    'clockMs': 5,
    'running': [['t', 1, '', 50, 0.5]],
    'ended': [[1, 't', 1, 'done', '']],
    'born': 5,
}
CONFIG = {
    'version': 7,
    'routes': [
        {'name': 'q', 'host': 'h', 'prefix': '/', 'service': 's'},
        {'name': 'r', 'host': 'h', 'prefix': '/r', 'service': 's'},
    ],
    'services': [{'name': 's'}],
    'limits': {'maxBodyBytes': 10},
}
LIFE = messages.WorkerLife('w', 5, 'p', 'dc', 'ready', 1, 1, 0, ('a',))
REPORT = messages.WorkerReport(
    7,
    LIFE,
    5,
    (messages.RunRow('t', 1, '', 50, 0.5),),
    (messages.EndRow(1, 't', 1, 'done', ''),),
)
ORDERS = messages.WorkerOrders(
    7, 'w', 5, 9, 1, (messages.StartOrder('t', 1, 'x'),)
)
SPEC = workflows.WorkflowSpec('x', (workflows.StepSpec(2, 100),))
TASK = documents.TaskRecord(
    last_run=1,
    attempts=(documents.AttemptRecord(1, 'a', 'w', 5),),
    crashes=(documents.CrashRecord('w', 5, 'a', True),),
)
RECORDS = (
    documents.JobRecord(JOB_ID, 'q', 's', 1.7e9, SPEC),
    documents.ProgressRecord(documents.JobStatus.RUNNING, 0.0, ((TASK,),)),
    documents.LeaderRecord('e', 'b', 'tcp://127.0.0.1:1'),
    documents.FleetRecord((documents.WorkerShape('s', 1, 1, 0, ('a',)),)),
    _run_times.LearnedState(
        (('a', 'b', 1.0, 0.5),),
        (('a', 0.5),),
        (_run_times.StoredRunTimes('q', '', (1.0,), (1.0,)),),
    ),
)
JSON_DECODERS = {
    'announcement': (
        HEARTBEAT,
        lambda data: codec.from_json(data, _announcement_app._Heartbeat),
    ),
    'runs': (RUNS, lambda data: codec.from_json(data, _worker._ListResponse)),
    'item': (ITEM, lambda data: codec.from_json(data, _store._Item)),
    'listing': (
        {'items': [ITEM, ITEM], 'hasMore': True, 'asOf': 9},
        lambda data: _read_items(data, _store._RangeResponse, 'items'),
    ),
    'watch': (
        {'events': [ITEM, ITEM], 'asOf': 9},
        lambda data: _read_items(data, _store._WatchResponse, 'events'),
    ),
    'job': (JOB, _wire_jobs.decode_job),
    'config': (CONFIG, _operator_documents.decode_config),
}

ODD_VALUES = st.sampled_from(
    [-1, 2**63, 2**64, 10**400, 1e308, -1e308, 0.5, None, True, '', 'x' * 9000]
    + [[], {}, [[]], 'nan', '-inf', '\ud7ff', 'deep', 'deep', 'deep']
)


def _read_items(data, kind, field):
    found = _json_lists.decode(data, kind, field)
    return list(_store._decode_items(getattr(found, field)))


def _paths(value, path=()):
    """Yield the paths of all values in a document."""
    yield path
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _paths(item, (*path, key))
    elif isinstance(value, list):
        for number, item in enumerate(value):
            yield from _paths(item, (*path, number))


def _as_lists(value):
    """Return a document with lists in place of tuples."""
    return msgspec.json.decode(msgspec.json.encode(value))


def _replaced(value, path, odd, extra):
    """Replace the value at a path, or add an extra item to it."""
    if not path and extra and isinstance(value, dict):
        return value | {'odd': odd}
    if not path and extra and isinstance(value, list):
        return [*value, odd]
    if not path:
        return odd
    copy = value.copy()
    copy[path[0]] = _replaced(value[path[0]], path[1:], odd, extra)
    return copy


@st.composite
def _mutated(draw, document, encode, opening):
    """Replace or add one value, then perhaps replace one byte of the code."""
    extra = draw(st.booleans())
    path = draw(st.sampled_from(list(_paths(document))))
    odd = draw(ODD_VALUES)
    deep = opening * 60_000
    if odd == 'deep':
        data = encode(_replaced(document, path, 'DEEP', extra))
        data = data.replace(encode('DEEP'), deep + encode(0))
    else:
        try:
            data = encode(_replaced(document, path, odd, extra))
        except OverflowError:  # msgpack holds no integer of this size
            data = encode(_replaced(document, path, 1e300, extra))
    if draw(st.booleans()):
        at = draw(st.integers(0, len(data) - 1))
        data = data[:at] + draw(st.binary(max_size=2)) + data[at + 1 :]
    return data


def _check(document, decode, encode, opening):
    decode(encode(document))

    @hypothesis.seed(SEED)
    @hypothesis.settings(max_examples=400, deadline=None, database=None)
    @hypothesis.given(_mutated(document, encode, opening))
    def check(data):
        with contextlib.suppress(errors.CitronrailError):
            decode(data)

    check()


@pytest.mark.parametrize(
    ('document', 'decode'), JSON_DECODERS.values(), ids=JSON_DECODERS
)
def test_mutated_json_raises_only_the_typed_error(document, decode):
    """Guards against an error that no reader of the data handles."""
    if decode is _wire_jobs.decode_job:
        decode = _decode_job
    _check(document, decode, msgspec.json.encode, b'[')


def _decode_job(data: bytes) -> None:
    """Decode a job; what is accepted must be readable from the store."""
    try:
        spec = _wire_jobs.decode_job(data)
    except ValueError:  # answered with 400
        return
    record = documents.JobRecord(JOB_ID, 'q', 's', 1.7e9, spec)
    key = documents.JOB_PREFIX + JOB_ID
    value = documents.encode(record)
    assert _scheduler_state.decode_item(key, value, documents.JobRecord)


@pytest.mark.parametrize('record', RECORDS, ids=lambda r: type(r).__name__)
def test_mutated_record_is_read_or_skipped(record):
    """Guards against a record that ends each entry which reads it."""
    document = _as_lists(msgspec.to_builtins(record))

    def decode(data):
        key = documents.JOB_PREFIX + JOB_ID
        found = _scheduler_state.decode_item(key, data, type(record))
        assert found is None or documents.encode(found)

    _check(document, decode, msgspec.msgpack.encode, b'\x91')


@pytest.mark.parametrize(
    'message', [REPORT, ORDERS], ids=lambda m: type(m).__name__
)
def test_mutated_message_is_read_or_refused(message):
    """Guards against a message that ends the port of all peers."""
    document = [
        type(message).__name__,
        _as_lists(msgspec.to_builtins(message)),
    ]

    def decode(data):
        with contextlib.suppress(messages.UnknownMessage):
            messages.pack(messages.unpack(data))

    _check(document, decode, msgspec.msgpack.encode, b'\x91')
