"""Tests of the worker shapes that decide which jobs are refused."""

import dataclasses

from citronrail.model import messages
from citronrail.workflow import _admission

LIFE = messages.WorkerLife(
    'w0', 1, 'pool', 'dc', 'ready', 4000, 8000, 0, ('a', 'r1')
)


def _shapes(*cpus):
    return frozenset(
        _admission.shape_of(dataclasses.replace(LIFE, cpu_millis=cpu))
        for cpu in cpus
    )


def test_smaller_capacities_of_a_worker_are_not_stored():
    """Guards against a stored fleet that grows as capacities change.

    A capacity may shrink and grow again at any time; each new figure was
    stored for good and written to all entries.
    """
    assert _admission.largest(_shapes(4000, 3999, 100)) == _shapes(4000)


def test_shapes_that_differ_otherwise_are_kept():
    """Guards against refusing a job that only one kind of worker can run."""
    big = _admission.shape_of(dataclasses.replace(LIFE, memory_mb=16000))
    shapes = _shapes(5000) | {
        big,
        _admission.shape_of(dataclasses.replace(LIFE, labels=('gpu',))),
        _admission.shape_of(dataclasses.replace(LIFE, service='other')),
    }
    assert _admission.largest(shapes) == shapes
