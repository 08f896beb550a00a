"""How much filling tasks may work beside tasks that serve.

Answers the load of filling tasks that raise the tail latency of a serving
task on the same worker: pace is cut quickly while a target is in danger and
given back slowly, with a band between the two in which nothing changes.
"""

import dataclasses

DANGER_RATIO = 0.85  # of the latency target; above it pace is cut
CALM_RATIO = 0.55  # below it pace is given back
CUT_FACTOR = 0.45
GIVE_BACK = 15  # percentage points
FULL = 100
LEAST = 5  # lower paces are taken as none


@dataclasses.dataclass(frozen=True)
class Serving:
    """A task that serves: its latency target and last tail, in ms."""

    target_ms: float
    tail_ms: float


def worst_ratio(serving: tuple[Serving, ...]) -> float:
    """Return the largest tail as a share of its target, 0 without any."""
    return max(
        (item.tail_ms / item.target_ms for item in serving), default=0.0
    )


def next_pace(ratio: float, pace: int) -> int:
    """Return the pace of filling tasks for the next interval.

    :param ratio: the worst tail as a share of its target.
    :param pace: present pace in percent.
    :returns: the new pace in percent, 0 to 100.
    """
    if ratio > DANGER_RATIO:
        lower = int(pace * CUT_FACTOR)
        return lower if lower >= LEAST else 0
    if ratio < CALM_RATIO and pace < FULL:
        return min(FULL, pace + GIVE_BACK)
    return pace
