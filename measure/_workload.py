"""Scenarios of the policy measurement: work, load, faults and the truth.

Everything is drawn from the seed before a run, so that each policy meets the
same jobs, requests rates, faults and interference.
"""

import dataclasses
import enum
import math
import random

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs

WARM_UP_S = 120
RUN_S = 900
BATCH_CLASSES = ('plan', 'rota', 'orders', 'report')
NOISY_CLASS = 'reindex'
MEDIAN_RUN_S = 120.0
RUN_SIGMA = 0.8
TEAMS = ('kitchen', 'rotas', 'tickets', 'planning')


class Scenario(enum.Enum):
    """What happens during a run."""

    STEADY = 'steady'
    NOISY_WAVE = 'noisy wave'
    LOAD_SHIFT = 'load shift'
    HOST_LOSS = 'host loss'
    DATA_CENTRE = 'data centre out and back'
    WRONG_SIZES = 'wrong sizes'
    FAILING_WORKER = 'failing worker'
    STORE_OUTAGE = 'store outage'


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One of the two deployments; ``size_scale`` multiplies task sizes."""

    name: str
    data_centres: tuple[str, ...]
    capacity: resources.Resources
    services: tuple[str, ...]
    size_scale: float


HARROWFIELD = Deployment(
    'harrowfield',
    ('leicester', 'birmingham', 'wolverhampton'),
    resources.Resources(16_000, 60_000),
    ('headcount', 'ordering'),
    1.0,
)
CANTABRICO = Deployment(
    'cantabrico',
    ('gijon', 'santander', 'bilbao'),
    resources.Resources(64_000, 250_000),
    ('seats', 'gates'),
    2.5,
)
WORKERS = 10
REPLICAS = 4


@dataclasses.dataclass(frozen=True)
class Work:
    """A task with its true needs, which no policy sees in advance."""

    task: specs.TaskId
    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    declared: resources.Resources
    true: resources.Resources
    declared_run_s: float
    run_s: float
    priority: specs.Priority = specs.Priority.NORMAL
    service: identifiers.ServiceName | None = None
    checkpointable: bool = True


@dataclasses.dataclass(frozen=True)
class Excess:
    """True share of time added by a co-runner that uses 1/8 of the host."""

    idle: float
    busy: float

    def at(self, load: float) -> float:
        """Return the excess on a host with this load, 0 to 1."""
        return self.idle + (self.busy - self.idle) * load


@dataclasses.dataclass(frozen=True)
class Workload:
    """All that happens in one run; times in seconds from its start.

    ``faulty_index`` is the number of the host that is lost, fails tasks, or
    whose data centre leaves.
    """

    scenario: Scenario
    deployment: Deployment
    arrivals: tuple[tuple[float, Work], ...]
    excess: dict[tuple[str, str], Excess]
    lost_host_at: float | None = None
    data_centre_out: tuple[float, float] | None = None
    store_outage: tuple[float, float] | None = None
    broken_from: float | None = None
    faulty_index: int = 0

    def rate(self, service_index: int, now: float) -> float:
        """Return the requests a second for one service."""
        factor = 1.0
        if self.scenario is Scenario.LOAD_SHIFT:
            shifted = int(now // 250) % 3
            factor = {0: 1.0, 1: 1.5, 2: 0.7}[
                (shifted + service_index * 2) % 3
            ]
        return BASE_RATE * factor


# 45% of the slots of 4 replicas are busy when nothing disturbs them.
SERVICE_TIME_S = 0.12
BASE_RATE = 0.45 * REPLICAS * 8 / SERVICE_TIME_S


def build(scenario: Scenario, deployment: Deployment, seed: int) -> Workload:
    """Draw a workload.

    :param scenario: what happens.
    :param deployment: where.
    :param seed: everything is drawn from it.
    :returns: the workload.
    """
    rng = random.Random(f'{scenario.value}/{deployment.name}/{seed}')
    excess = _draw_excess(rng, deployment)
    arrivals = _batch(rng, scenario, deployment)
    lost = 300.0 if scenario is Scenario.HOST_LOSS else None
    out = (300.0, 540.0) if scenario is Scenario.DATA_CENTRE else None
    outage = (400.0, 460.0) if scenario is Scenario.STORE_OUTAGE else None
    broken = 200.0 if scenario is Scenario.FAILING_WORKER else None
    return Workload(
        scenario,
        deployment,
        arrivals,
        excess,
        lost,
        out,
        outage,
        broken,
        rng.randrange(WORKERS),
    )


def replicas(deployment: Deployment) -> tuple[Work, ...]:
    """Return the replicas of the services.

    :param deployment: where.
    :returns: one piece of work for each replica, which never ends.
    """
    size = resources.Resources(
        int(3000 * deployment.size_scale), int(6000 * deployment.size_scale)
    )
    return tuple(
        Work(
            specs.TaskId(f'service:{name}', index),
            identifiers.TeamName(TEAMS[0]),
            identifiers.WorkClass(name),
            size,
            size,
            math.inf,
            math.inf,
            service=identifiers.ServiceName(name),
        )
        for name in deployment.services
        for index in range(REPLICAS)
    )


def _draw_excess(
    rng: random.Random, deployment: Deployment
) -> dict[tuple[str, str], Excess]:
    classes = (*deployment.services, *BATCH_CLASSES, NOISY_CLASS)
    excess = {}
    for victim in classes:
        service = victim in deployment.services
        for other in classes:
            harmful = 0.7 if other == NOISY_CLASS else 0.3
            if other in deployment.services:
                harmful = 0.1
            high = rng.random() < harmful
            level = rng.uniform(0.2, 0.6) if high else rng.uniform(0.0, 0.06)
            level *= 1.0 if service else 0.4
            excess[victim, other] = Excess(
                level * rng.uniform(0.2, 0.8), level * rng.uniform(0.8, 1.8)
            )
    return excess


def _batch(
    rng: random.Random, scenario: Scenario, deployment: Deployment
) -> tuple[tuple[float, Work], ...]:
    total = WORKERS * deployment.capacity.millicores
    arrivals: list[tuple[float, Work]] = []
    _jobs(rng, scenario, deployment, 0.55 * total, (0, RUN_S), '', arrivals)
    if scenario is Scenario.NOISY_WAVE:
        for start in (180, 420, 660):
            span = (start, start + 120)
            _jobs(
                rng,
                scenario,
                deployment,
                0.3 * total,
                span,
                NOISY_CLASS,
                arrivals,
            )
    return tuple(sorted(arrivals, key=lambda item: (item[0], item[1].task)))


def _jobs(
    rng: random.Random,
    scenario: Scenario,
    deployment: Deployment,
    demand: float,
    span: tuple[int, int],
    work_class: str,
    arrivals: list[tuple[float, Work]],
) -> None:
    """Add jobs that keep ``demand`` millicores busy on average."""
    mean_run_s = MEDIAN_RUN_S * math.exp(RUN_SIGMA**2 / 2)
    mean_size = 2000 * deployment.size_scale
    tasks_a_second = demand / (mean_size * mean_run_s)
    tasks_a_job = 6
    now = float(span[0])
    serial = 0
    while True:
        now += rng.expovariate(tasks_a_second / tasks_a_job)
        if now >= span[1]:
            return
        serial += 1
        owner = f'{work_class or "job"}-{span[0]}-{serial}'
        arrivals += [
            (now, item)
            for item in _job(
                rng, scenario, deployment, owner, work_class, tasks_a_job
            )
        ]


def _job(
    rng: random.Random,
    scenario: Scenario,
    deployment: Deployment,
    owner: str,
    work_class: str,
    count: int,
) -> list[Work]:
    index = rng.randrange(len(BATCH_CLASSES))
    chosen = work_class or BATCH_CLASSES[index]
    scale = deployment.size_scale
    millicores = int(rng.uniform(1000, 3000) * scale)
    memory_mb = int(rng.uniform(2000, 6000) * scale)
    run_s = rng.lognormvariate(math.log(MEDIAN_RUN_S), RUN_SIGMA)
    urgent = rng.random() < 0.03
    checkpointable = rng.random() < 0.8
    wrong = 1.0
    if scenario is Scenario.WRONG_SIZES:
        wrong = rng.choice((0.1, 1.0, 10.0))
    capacity = deployment.capacity
    # No team submits a job that declares more than a whole host.
    declared = resources.Resources(
        min(int(millicores * wrong), capacity.millicores),
        min(int(memory_mb * wrong), capacity.memory_mb),
    )
    team = identifiers.TeamName(TEAMS[index])
    return [
        Work(
            specs.TaskId(owner, number),
            team,
            identifiers.WorkClass(chosen),
            declared,
            resources.Resources(
                int(millicores * rng.uniform(0.85, 1.0)),
                int(memory_mb * rng.uniform(0.85, 1.0)),
            ),
            run_s * wrong,
            run_s * rng.uniform(0.8, 1.2),
            specs.Priority.URGENT if urgent else specs.Priority.NORMAL,
            checkpointable=checkpointable,
        )
        for number in range(count)
    ]
