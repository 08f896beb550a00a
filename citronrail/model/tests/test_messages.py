"""Tests the wire format of messages between processes."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail.model import _compression
from citronrail.model import messages
from citronrail.model import outcome
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs


_ANY_PARAMETERS = st.dictionaries(st.text(), st.integers(0, 9))
st.register_type_strategy(
    settings.PolicySettings,
    st.builds(
        settings.PolicySettings, name=st.text(), parameters=_ANY_PARAMETERS
    ),
)
st.register_type_strategy(float, st.floats(allow_nan=False))
st.register_type_strategy(
    int, st.integers(0, 2**31) | st.integers(-(2**63), 2**63 - 1)
)
# Messages with numbers or texts that are limited to a range.
LIMITED = {
    'Alive',
    'BacklogSummary',
    'EntryDirectory',
    'EntryHeartbeat',
    'Heartbeat',
    'HeartbeatAck',
    'Hello',
    'StateLimit',
    'StateSize',
    'WorkerOrders',
    'WorkerReport',
}


def _numbers(value):
    """Yield all numbers in a message."""
    if dataclasses.is_dataclass(value):
        value = [
            getattr(value, field.name) for field in dataclasses.fields(value)
        ]
    if isinstance(value, dict):
        value = value.values()
    if isinstance(value, int | float):
        yield value
    elif not isinstance(value, str | bytes) and value is not None:
        for item in value:
            yield from _numbers(item)


@pytest.mark.parametrize('name', sorted(messages.kinds()))
def test_every_message_survives_the_wire(name):
    """Guards against a field that the codec cannot encode.

    Numbers of usual size must arrive; only limited messages may be refused.
    """
    kind = messages.kinds()[name]

    @hypothesis.given(st.builds(kind))
    @hypothesis.settings(max_examples=15)
    def check(message):
        try:
            found = messages.unpack(messages.pack(message))
        except messages.UnknownMessage:
            assert name in LIMITED
            assert any(not 0 <= n <= 2**31 for n in _numbers(message))
        else:
            assert found == message

    check()


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused(data):
    """Guards against a crash on bytes that are not a message."""
    try:
        messages.unpack(data)
    except messages.UnknownMessage:
        return


def test_truncated_message_is_refused():
    """Guards against accepting a truncated message."""
    reply = messages.StartReply(
        specs.AttemptId(specs.TaskId('plan', 3), 1), outcome.Outcome.DONE
    )
    data = messages.pack(reply)
    for length in range(len(data)):
        with pytest.raises(messages.UnknownMessage):
            messages.unpack(data[:length])


@hypothesis.given(
    st.builds(resources.Resources), st.builds(resources.Resources)
)
def test_maximum_holds_both(left, right):
    """Guards the reservation of the larger of two sizes."""
    assert left.fits_in(left.maximum(right))
    assert right.fits_in(left.maximum(right))


def test_regular_messages_are_small():
    """Guards the 3 KB/s of control traffic per node with four entries."""
    attempts = [
        specs.AttemptId(specs.TaskId(f'nightly-plan-{n}', n), 1)
        for n in range(20)
    ]
    report = messages.UsageReport(
        'b1f0c2d4-5e6f-7081-92a3-b4c5d6e7f809',
        1234.5,
        tuple(
            messages.TaskUsage(
                attempt,
                'plan',
                resources.Resources(1000, 2000),
                1.0 + attempt.task.index / 7,
                ('plan',) * 17 + ('quick',) * 2,
                1200.1,
            )
            for attempt in attempts
        ),
    )
    assert messages.unpack(messages.pack(report)) == report
    assert len(messages.pack(report)) < 1500


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_compressed_bytes_are_refused(data):
    """Guards against a crash on bytes that are marked as compressed."""
    with pytest.raises(messages.UnknownMessage):
        messages.unpack(b'\xc1' + data)


def test_expansion_is_bounded(monkeypatch):
    """Guards against a small message that exhausts the memory."""
    packed = _compression.compress(b'\0' * 100_000)
    monkeypatch.setattr(_compression, 'MAX_BYTES', 50_000)
    with pytest.raises(ValueError, match='too large'):
        _compression.expand(packed)
