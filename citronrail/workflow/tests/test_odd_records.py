"""Guards what the store holds against single odd records.

Another writer may leave a record that is nested very deeply, holds numbers
out of range, or contradicts the other records.
"""

import msgspec
import pytest

from citronrail.workflow import _documents as documents
from citronrail.workflow import _scheduler_state
from citronrail.workflow.overload import _run_times

DEEP = b'\x91' * 100_000 + b'\xc0'  # arrays of one item in msgpack


@pytest.mark.parametrize(
    'kind',
    [
        documents.JobRecord,
        documents.ProgressRecord,
        documents.LeaderRecord,
        documents.FleetRecord,
        _run_times.LearnedState,
    ],
)
def test_deeply_nested_record_is_skipped(kind):
    """Guards against a record that ends the follower of its prefix."""
    data = b'\x81' + msgspec.msgpack.encode('odd') + DEEP
    assert _scheduler_state.decode_item('key', data, kind) is None
