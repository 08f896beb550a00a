"""Guards what the store holds against single odd records.

Another writer may leave a record that is nested very deeply, holds numbers
out of range, or contradicts the other records.
"""

import contextlib

import msgspec
import pytest
import trio

from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _prefix_follower
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


class _OneList:
    """A store with one listing and one batch of changes."""

    def __init__(self, keys) -> None:
        self._items = tuple(
            ports.KeyValue(key, b'x', n) for n, key in enumerate(keys)
        )
        self._changes = tuple(
            ports.WatchEvent(f'new {key}', b'x', n)
            for n, key in enumerate(keys)
        )

    async def list(self, prefix):
        return ports.Listing(self._items, 1)

    @contextlib.asynccontextmanager
    async def watch(self, prefix, start_revision):
        yield self._batches()

    async def _batches(self):
        yield self._changes
        yield ()
        await trio.sleep_forever()


class _Raising:
    """A listener that can't handle keys with a word; records the others."""

    def __init__(self) -> None:
        self.keys = []

    def on_listing(self, items) -> None:
        self._take(items)

    def on_events(self, changes) -> None:
        self._take(changes)

    def _take(self, items) -> None:
        if any('odd' in item.key for item in items):
            raise ZeroDivisionError('odd item')
        self.keys += [item.key for item in items]


async def test_listener_that_raises_ends_no_follower(autojump_clock):
    """Guards against a process that ends because of one item."""
    listener = _Raising()
    with trio.move_on_after(60):
        await _prefix_follower.follow(
            _OneList(['a', 'odd', 'b']), 'prefix/', listener
        )
    assert list(dict.fromkeys(listener.keys)) == ['a', 'b', 'new a', 'new b']
