"""All drill points, in the order of the design page, by fleet group."""

import collections.abc
import dataclasses
import functools

from drills import _changes
from drills import _env
from drills import _outage
from drills import _overlap
from drills import _records
from drills import _requests
from drills import _tasks

Drill = collections.abc.Callable[
    [_env.Environment], collections.abc.Awaitable[_records.Figures]
]


@dataclasses.dataclass(frozen=True)
class Point:
    """A requirement and its drill; the points of a group share a fleet."""

    name: str
    bound: str
    group: str
    drill: Drill


DEFAULT_OUTAGE_S = (
    15.0  # with 60 s all points would exceed their limit of 5 min
)

POINTS = (
    Point('capacity', '0 over capacity', 'tasks', _tasks.capacity),
    Point('exclusive', '0 in two places', 'tasks', _tasks.exclusive),
    Point('resumes', '0 lost, 0 doubled', 'tasks', _tasks.resumes),
    Point('taken-out', '3 s', 'tasks', _tasks.taken_out),
    Point('whole', '0 mixed, 0 cut', 'requests', _requests.whole_answers),
    Point('not-run', '0 false', 'requests', _requests.not_run),
    Point('once', '0 doubled', 'requests', _requests.at_most_once),
    Point('leaving', '3 s', 'changes', _changes.leaving),
    Point('stops', '0 cut', 'changes', _changes.planned_stops),
    Point('settings', '3 s, 0 reverted', 'changes', _changes.settings),
    Point('drained', '3 s', 'changes', _changes.drained_service),
    Point('overlap', '0 of any kind', 'overlap', _overlap.overlap),
    Point(
        'outage',
        '0 refused, 0 lost',
        'overlap',
        functools.partial(_outage.outage, seconds=DEFAULT_OUTAGE_S),
    ),
)


def with_outage(seconds: float) -> tuple[Point, ...]:
    """Return all points, with a store outage of the given duration.

    :param seconds: duration of the outage.
    """
    drill = functools.partial(_outage.outage, seconds=seconds)
    return tuple(
        dataclasses.replace(point, drill=drill)
        if point.name == 'outage'
        else point
        for point in POINTS
    )
