"""Health of workers and runs, judged by run results and progress.

A worker can fail every run, hang or be slow while its announcements look
healthy. For that reason only ended runs and progress count as evidence.
"""

import collections.abc
import dataclasses
import statistics

# Distinct jobs in a row that failed on this worker and on no other.
FAILED_JOBS_TO_AVOID = 2
AVOID_S = 6.0
STUCK_S = 1.4  # time without progress, as of the latest list of runs
STUCK_BEST_EFFORT_S = 3.5  # best-effort runs may wait for idle processors
MAX_STUCK_DOUBLINGS = 10
MIN_MEASURED_S = 1.0  # the speed over a shorter time is too inaccurate
# Progress is listed in whole percents, so that a shorter time as a multiple of
# what one percent should take shows a slow run at any speed.
MIN_MEASURED_PERCENTS = 4
SPEED_SMOOTHING_WEIGHT = 0.3  # of a new measurement in the moving average
# Runs are moved off workers below this share of the fleet's median speed.
MOVE_SPEED_RATIO = 0.4
# Without a measurement for this long, a worker's speed is reset to normal, so
# that it gets tasks again.
SPEED_VALID_S = 4.0
RESTART_COST_S = 0.9  # time to stop a run and start it on another worker


@dataclasses.dataclass(frozen=True)
class RunProgress:
    """Progress of a run as last listed by its worker; times are local."""

    percent: int
    moved_at: float  # time of the last change of ``percent``
    listed_at: float  # first time on a list
    steady_since: float  # start of the current pace
    steady_percent: int  # progress at that time
    estimate_s: float
    pace: int
    fills: bool
    long_running: bool
    stuck_before: int = 0  # runs of the task that were stopped as stuck


def is_stuck(run: RunProgress, now: float) -> bool:
    """Whether a run that should make progress makes none.

    The time that it may take for one percent is only known from a rough
    estimate, or not at all. With each run that was stopped it is doubled, so
    that a task much longer than that ends as well; not for tasks that last,
    which are at work after a short start.

    :param run: the run.
    :param now: time of the latest list.
    """
    if run.pace < 100 or not run.listed_at:
        return False
    if run.long_running and run.percent >= 100:
        return False
    limit_s = STUCK_BEST_EFFORT_S if run.fills else STUCK_S
    one_percent_s = run.estimate_s / 100
    limit_s += 4 * one_percent_s
    if not run.long_running:
        limit_s *= 2 ** min(run.stuck_before, MAX_STUCK_DOUBLINGS)
    return now - run.moved_at > limit_s


def measured_speed(run: RunProgress, now: float) -> float | None:
    """Return the speed of a run relative to its estimate.

    :param run: the run.
    :param now: time of the latest list.
    :returns: the speed, 1.0 being as estimated; None if it can't be measured.
    """
    elapsed_s = now - run.steady_since
    needed_s = max(
        MIN_MEASURED_S, MIN_MEASURED_PERCENTS * run.estimate_s / 100
    )
    if not run.listed_at or elapsed_s < needed_s or run.pace < 100:
        return None
    if run.long_running or run.estimate_s <= 0:
        return None
    progressed = (run.percent - run.steady_percent) / 100
    return progressed * run.estimate_s / elapsed_s


def smooth_speed(average: float, measured: float) -> float:
    """Return a moving average of a worker's speed."""
    return average + SPEED_SMOOTHING_WEIGHT * (min(measured, 2.0) - average)


def faster_elsewhere(
    run: RunProgress, speed: float, saves_progress: bool
) -> bool:
    """Whether a run on a slow worker would end sooner on another worker.

    :param run: the run.
    :param speed: speed of the run, 1.0 being as estimated.
    :param saves_progress: whether the task resumes from a checkpoint.
    """
    remaining_ratio = 1.0 - run.percent / 100
    here_s = remaining_ratio * run.estimate_s / max(speed, 0.01)
    elsewhere_s = (
        remaining_ratio * run.estimate_s if saves_progress else run.estimate_s
    )
    return here_s > 1.3 * elsewhere_s + RESTART_COST_S


def is_long_task(
    other_speeds: collections.abc.Collection[float], moved_before: bool
) -> bool:
    """Whether a slow run shows a long task rather than a slow worker.

    Answers fleets where a few runs in a hundred take several times as long
    as estimated: each restart elsewhere would lose their progress again.

    :param other_speeds: measured speeds of the worker's runs of other steps.
    :param moved_before: whether the task was slow on another worker before.
    """
    if moved_before:
        return True
    return (
        bool(other_speeds)
        and statistics.median(other_speeds) > MOVE_SPEED_RATIO
    )


def relative_speeds(speeds: dict[str, float]) -> dict[str, float]:
    """Normalise speeds by the median of the fleet.

    This cancels estimates that are wrong for a whole kind of jobs.

    :param speeds: smoothed speed of each worker.
    :returns: speed of each worker as a share of the median.
    """
    if not speeds:
        return {}
    median = statistics.median(speeds.values()) or 1.0
    return {name: value / median for name, value in speeds.items()}


def should_avoid(failed_jobs: list[str]) -> bool:
    """Whether the recent failures indicate a faulty worker.

    :param failed_jobs: job of each failed run since the last success there.
    """
    return len(set(failed_jobs)) >= FAILED_JOBS_TO_AVOID
