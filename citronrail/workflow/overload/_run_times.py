"""Observed run times of tasks, for estimates of the remaining work.

Answers declared run times that are wrong by a factor of up to 2.5 in either
direction. The tasks of the same step that have ended are the best evidence,
then those of the same queue and image, then those of the same queue.
"""

import dataclasses

from citronrail.model import bounded
from citronrail.model import estimates
from citronrail.model import identifiers
from citronrail.model import recency
from citronrail.model import resources
from citronrail.model import workflows
from citronrail.workflow import _interference
from citronrail.workflow import _job

MAX_STORED_KEYS = 64
# Run times stored for each key. With 64 keys, the record stays below 10 KB.
STORED_SAMPLES = 8
# Runs that an image needs before it is preferred to its whole queue.
MIN_RUNS = 2
# A run that is listed for the first time beyond this progress is not observed:
# too little of it is left to infer the whole.
MAX_LISTED_PERCENT = 75


@dataclasses.dataclass(frozen=True)
class StoredRunTimes:
    """Run times of a queue and image, and their ratios to the declared ones.

    An empty ``image`` stands for the whole queue.
    """

    queue: str
    image: str
    run_s: tuple[bounded.Number, ...]
    ratios: tuple[bounded.Number, ...]


@dataclasses.dataclass(frozen=True)
class LearnedState(_interference.LearnedFactors):
    """Learned factors and run times as they are stored together."""

    run_times: tuple[StoredRunTimes, ...] = ()


def observed_run_s(attempt: _job.Attempt, now: float) -> float | None:
    """Return the run time of a completed run at full pace.

    Lists are half a second apart, in which a task of 1.28 s makes much
    progress. The time since it was first listed stands for the rest only.

    :param attempt: the run, which has just ended.
    :param now: local time in seconds.
    :returns: seconds; None for a run that was not observed from its start.
    """
    if not attempt.listed_at or not attempt.from_start:
        return None
    listed_percent = max(0, attempt.listed_percent)
    if listed_percent > MAX_LISTED_PERCENT:
        return None
    run_s = attempt.full_pace_s(now) * 100 / (100 - listed_percent)
    return run_s if run_s > 0.0 else None


class RunTimes:
    """Run times observed by this scheduler and its predecessors."""

    def __init__(self) -> None:
        # The least recently observed class is first.
        self._classes: dict[estimates.WorkKey, estimates.WorkSamples] = {}
        self._steps: dict[str, estimates.WorkSamples] = {}
        self._class_estimates_s: dict[
            tuple[estimates.WorkKey, float], float
        ] = {}

    def on_done(self, attempt: _job.Attempt, now: float) -> None:
        """Record the run time of a completed run.

        :param attempt: the run.
        :param now: local time in seconds.
        """
        run_s = observed_run_s(attempt, now)
        stage = attempt.task.stage
        if run_s is None or stage.spec.long_running:
            return
        queue = stage.job.record.queue
        self._observe(queue, stage.spec.image, stage, run_s)
        if stage.spec.image:
            self._observe(queue, '', None, run_s, stage.spec.estimate_s)
        self._class_estimates_s.clear()
        if stage.done_count + 1 >= stage.task_count:
            self.forget_step(stage.name)

    def _observe(
        self,
        queue: str,
        image: str,
        stage: _job.Stage | None,
        run_s: float,
        declared_s: float = 0.0,
    ) -> None:
        """Record a run time for a class and, if it is given, for a step."""
        size = resources.Resources()
        if stage is not None:
            declared_s = stage.spec.estimate_s
        name = '' if stage is None else stage.name
        key = _key(queue, image, name)
        observed = estimates.observe(
            self._of(key),
            key,
            estimates.Declared(size, declared_s),
            estimates.Observed(size, run_s),
        ).samples
        class_key = _key(queue, image)
        recency.put_last(
            self._classes, class_key, observed[class_key], MAX_STORED_KEYS
        )
        if name:
            self._steps[name] = observed[key]

    def _of(self, key: estimates.WorkKey) -> estimates.Estimates:
        """Return the observations of one key and of its class."""
        class_key = _key(key.team, key.work_class)
        samples = {}
        if class_key in self._classes:
            samples[class_key] = self._classes[class_key]
        if key.job in self._steps:
            samples[key] = self._steps[key.job]
        return estimates.Estimates(samples=samples)

    def expected_run_s(self, stage: _job.Stage) -> float:
        """Estimate the run time of one task of a step at full pace.

        :param stage: the step.
        :returns: seconds; the declared value without any observation.
        """
        return self.expected_step_run_s(
            stage.job.record.queue, stage.spec, stage.name
        )

    def expected_step_run_s(
        self, queue: str, spec: workflows.StepSpec, name: str
    ) -> float:
        """Estimate the run time of one task of a step at full pace.

        :param queue: name of the job's queue.
        :param spec: the step.
        :param name: name of the step of one occurrence.
        :returns: seconds; the declared value without any observation.
        """
        image = spec.image
        known = self._classes.get(_key(queue, image))
        if known is None or len(known.run.values) < MIN_RUNS:
            image = ''
        if name in self._steps:
            # The samples of a step are those of its own image.
            key = _key(queue, spec.image, name)
            return estimates.expected_run_s(
                self._of(key), key, spec.estimate_s
            )
        class_key = _key(queue, image)
        cached = self._class_estimates_s.get((class_key, spec.estimate_s))
        if cached is None:
            cached = estimates.expected_run_s(
                self._of(class_key), class_key, spec.estimate_s
            )
            self._class_estimates_s[(class_key, spec.estimate_s)] = cached
        return cached

    def forget_step(self, name: str) -> None:
        """Delete the observations of a step that has ended.

        :param name: name of the step.
        """
        self._steps.pop(name, None)

    def snapshot(self) -> tuple[StoredRunTimes, ...]:
        """Return the run times to store for the next scheduler."""
        return tuple(
            StoredRunTimes(
                key.team,
                key.work_class,
                _rounded(samples.run),
                _rounded(samples.run_ratio),
            )
            for key, samples in self._classes.items()
        )

    def restore(self, stored: tuple[StoredRunTimes, ...]) -> None:
        """Restore the run times of an earlier scheduler.

        :param stored: the stored run times.
        """
        self._classes = {
            _key(item.queue, item.image): estimates.WorkSamples(
                run=estimates.Samples(item.run_s),
                run_ratio=estimates.Samples(item.ratios),
            )
            for item in stored[-MAX_STORED_KEYS:]
        }
        self._class_estimates_s.clear()


def _key(queue: str, image: str, step: str = '') -> estimates.WorkKey:
    return estimates.WorkKey(
        identifiers.TeamName(queue), identifiers.WorkClass(image), step
    )


def _rounded(samples: estimates.Samples) -> tuple[float, ...]:
    return tuple(round(value, 3) for value in samples.values[-STORED_SAMPLES:])
