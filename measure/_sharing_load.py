"""Random load of the simulation of shared workers."""

import dataclasses
import math
import random

from citronrail.model import workflows
from citronrail.workflow import _documents as documents

LAST_ARRIVAL_S = 34.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Parameters of a day; means of log-normal distributions.

    Sizes in millicores, times in seconds, rates in jobs per second.
    """

    workers: int = 11
    worker_cpu: int = 64_000
    sizes: tuple[float, ...] = (1.0, 1.0, 1.5)
    serving_jobs: int = 9
    serving_tasks: float = 6.0
    serving_cpu: float = 13_000.0
    serving_images: int = 5
    filling_jobs: int = 2  # at the start
    filling_rate: float = 0.56
    filling_tasks: float = 8.0
    filling_cpu: float = 7_000.0
    filling_work_s: float = 4.4
    filling_images: int = 9
    estimate_error: float = 0.9
    plain_rate: float = 2.2
    plain_tasks: float = 6.0
    plain_cpu: float = 960.0
    plain_work_s: float = 2.0
    rest_ms: float = 19.0
    target_ms: int = 125
    load: float = 0.45  # mean utilisation by a serving task's requests
    swing: float = 0.5
    swing_s: float = 20.0
    heavy_share: float = 0.55  # fraction of pairs of images
    heavy_factor: float = 1.3
    light_factor: float = 0.05
    serving_use: float = 0.5  # fraction of the reserved processors
    noise: float = 0.05  # relative deviation of a measured tail latency
    spike_rate: float = 0.05  # spikes per second and serving task
    spike_s: float = 0.8
    spike: float = 0.12  # utilisation


QUEUES = {
    name: workflows.Queue(name, 'h', f'/{name}', 'pool', priority, 4, 2.0, 1.0)
    for name, priority in (('serving', 0), ('plain', 0), ('filling', 2))
}


def draw_lognormal(rng: random.Random, mean: float, spread: float) -> float:
    """Draw from a log-normal distribution.

    :param rng: random generator.
    :param mean: mean of the distribution.
    :param spread: standard deviation as a fraction of the mean.
    """
    sigma = math.sqrt(math.log(1.0 + spread * spread))
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


class Arrivals:
    """Draws the jobs of a day.

    :param load: parameters of the day.
    :param rng: random generator.
    """

    def __init__(self, load: Load, rng: random.Random) -> None:
        self.load = load
        self._rng = rng

    def _arrival_times(self, rate: float, at_start: int) -> list[float]:
        times = [self._rng.uniform(0.0, 0.5) for _ in range(at_start)]
        now = 0.0
        while rate:
            now += self._rng.expovariate(rate)
            if now > LAST_ARRIVAL_S:
                break
            times.append(now)
        return times

    def draw(self) -> list[tuple[float, documents.JobRecord]]:
        """Return the jobs with arrival times in seconds, sorted by time."""
        load = self.load
        arrivals = []
        for at in self._arrival_times(0.025, load.serving_jobs):
            step = workflows.StepSpec(
                max(
                    1,
                    round(draw_lognormal(self._rng, load.serving_tasks, 0.4)),
                ),
                int(draw_lognormal(self._rng, load.serving_cpu, 0.25)),
                26_000,
                long_running=True,
                latency_target_ms=load.target_ms,
                image=f's{self._rng.randrange(load.serving_images)}',
                max_per_worker=self._rng.choice((0, 1)),
            )
            arrivals.append((at, self._record('serving', (step,))))
        for at in self._arrival_times(load.plain_rate, 0):
            arrivals.append((at, self._record('plain', self._plain_steps())))
        for at in self._arrival_times(load.filling_rate, load.filling_jobs):
            arrivals.append(
                (at, self._record('filling', self._filling_steps()))
            )
        return sorted(arrivals, key=lambda item: item[0])

    def _plain_steps(self) -> tuple[workflows.StepSpec, ...]:
        load = self.load
        return tuple(
            workflows.StepSpec(
                max(
                    1, round(draw_lognormal(self._rng, load.plain_tasks, 0.8))
                ),
                int(draw_lognormal(self._rng, load.plain_cpu, 0.45)),
                1900,
                estimate_s=load.plain_work_s,
                after=(number - 1,) if number else (),
            )
            for number in range(self._rng.choice((1, 1, 2)))
        )

    def _filling_steps(self) -> tuple[workflows.StepSpec, ...]:
        load = self.load
        image = f'f{self._rng.randrange(load.filling_images)}'
        return tuple(
            workflows.StepSpec(
                max(
                    1,
                    round(draw_lognormal(self._rng, load.filling_tasks, 0.6)),
                ),
                int(draw_lognormal(self._rng, load.filling_cpu, 0.3)),
                13_000,
                estimate_s=draw_lognormal(
                    self._rng, load.filling_work_s, load.estimate_error
                ),
                after=(number - 1,) if number else (),
                saves_progress=self._rng.random() < 0.85,
                fills=True,
                image=image,
            )
            for number in range(self._rng.choice((1, 2, 2, 3)))
        )

    def _record(
        self, queue: str, steps: tuple[workflows.StepSpec, ...]
    ) -> documents.JobRecord:
        job_id = f'{self._rng.getrandbits(64):016x}'
        spec = workflows.WorkflowSpec('', steps)
        return documents.JobRecord(job_id, queue, 'pool', 0.0, spec)
