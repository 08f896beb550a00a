"""All points, in the order of the design page, and their fleets."""

import collections.abc
import dataclasses

from drills import _records
from drills import _requests
from drills import _world

Drill = collections.abc.Callable[
    [_world.World], collections.abc.Awaitable[_records.Figures]
]


@dataclasses.dataclass(frozen=True)
class Point:
    """One requirement and its drill; points of a group share a fleet."""

    name: str
    bound: str
    group: str
    drill: Drill


POINTS = (
    Point('whole', '0 mixed, 0 cut', 'requests', _requests.whole_answers),
    Point('not-run', '0 false', 'requests', _requests.not_run),
    Point('once', '0 doubled', 'requests', _requests.at_most_once),
)
