"""Which workers to avoid and which runs to move, by what they achieve.

Answers workers that fail all they start, stand still or are slow while their
announcements look good: only ends and progress count as evidence.
"""

import dataclasses
import statistics

FAILED_JOBS_TO_AVOID = 2  # distinct jobs that failed only there, in a row
AVOID_S = 6.0
STUCK_S = 1.4  # without progress, though the lists are fresh
STUCK_BEST_EFFORT_S = 3.5  # filling tasks may rightly wait for processors
MIN_MEASURED_S = 1.0  # a shorter run says little of the speed
SPEED_SMOOTHING_WEIGHT = 0.3
MOVE_SPEED_RATIO = 0.4  # of the fleet's median speed
SPEED_VALID_S = 4.0  # a worker without measurements gets another trial
RESTART_COST_S = 0.9  # stopping a run and starting it elsewhere


@dataclasses.dataclass(frozen=True)
class RunProgress:
    """Progress of one run, as last listed; times are local."""

    percent: int
    moved_at: float
    listed_at: float  # first time on a list
    steady_since: float  # begin of the present pace
    steady_percent: int  # progress at that moment
    estimate_s: float
    pace: int
    fills: bool
    long_running: bool


def is_stuck(run: RunProgress, now: float) -> bool:
    """Whether a run makes no progress though it should.

    :param run: the run.
    :param now: time of the latest list.
    """
    if run.pace < 100 or not run.listed_at:
        return False
    if run.long_running and run.percent >= 100:
        return False
    limit_s = STUCK_BEST_EFFORT_S if run.fills else STUCK_S
    one_percent_s = run.estimate_s / 100
    return now - run.moved_at > limit_s + 4 * one_percent_s


def measured_speed(run: RunProgress, now: float) -> float | None:
    """Return how fast a run works, 1 being as its estimate says.

    :param run: the run.
    :param now: time of the latest list.
    :returns: the speed, None if it is too early to tell.
    """
    elapsed_s = now - run.steady_since
    if not run.listed_at or elapsed_s < MIN_MEASURED_S or run.pace < 100:
        return None
    if run.long_running or run.estimate_s <= 0:
        return None
    done = (run.percent - run.steady_percent) / 100
    return done * run.estimate_s / elapsed_s


def smooth_speed(old: float, seen: float) -> float:
    """Return a moving average of a worker's speed."""
    return old + SPEED_SMOOTHING_WEIGHT * (min(seen, 2.0) - old)


def faster_elsewhere(
    run: RunProgress, speed: float, saves_progress: bool
) -> bool:
    """Whether a run on a slow worker would end sooner elsewhere.

    :param run: the run.
    :param speed: how fast it works, 1 being as its estimate says.
    :param saves_progress: whether it goes on from where it was stopped.
    """
    left = 1.0 - run.percent / 100
    here_s = left * run.estimate_s / max(speed, 0.01)
    again_s = left * run.estimate_s if saves_progress else run.estimate_s
    return here_s > 1.3 * again_s + RESTART_COST_S


def relative_speeds(speeds: dict[str, float]) -> dict[str, float]:
    """Compare workers, since estimates of whole kinds of jobs are off.

    :param speeds: smoothed speed by worker.
    :returns: speed by worker as a share of the median.
    """
    if not speeds:
        return {}
    middle = statistics.median(speeds.values()) or 1.0
    return {name: value / middle for name, value in speeds.items()}


def should_avoid(failed_jobs: list[str]) -> bool:
    """Whether the latest failures speak against the worker.

    :param failed_jobs: job of each failed run since the last success there.
    """
    return len(set(failed_jobs)) >= FAILED_JOBS_TO_AVOID
