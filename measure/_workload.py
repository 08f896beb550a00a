"""Scenarios of the policy benchmark: tasks, load, faults and interference.

Everything is drawn from the seed before a run, so that each policy gets the
same jobs, request rates, faults and interference.
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
    """Load pattern or fault of a run."""

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
    """A deployment; ``size_scale`` multiplies task sizes."""

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
    """A task with its true resource needs, hidden from the policies."""

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
    """True relative slowdown by a co-runner that uses 1/8 of the host."""

    idle: float
    busy: float

    def at(self, load: float) -> float:
        """Return the slowdown on a host with a load from 0 to 1."""
        return self.idle + (self.busy - self.idle) * load


@dataclasses.dataclass(frozen=True)
class Workload:
    """Tasks and faults of one run; times in seconds from its start.

    ``faulty_index`` is the index of the host that is lost, that fails tasks or
    whose data centre is taken out.
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
        """Return the request rate of a service per second."""
        factor = 1.0
        if self.scenario is Scenario.LOAD_SHIFT:
            phase = int(now // 250) % 3
            factor = {0: 1.0, 1: 1.5, 2: 0.7}[(phase + service_index * 2) % 3]
        return BASE_RATE * factor


# Without interference 45% of the slots of 4 replicas are busy.
SERVICE_TIME_S = 0.12
BASE_RATE = 0.45 * REPLICAS * 8 / SERVICE_TIME_S


def draw_workload(
    scenario: Scenario, deployment: Deployment, seed: int
) -> Workload:
    """Draw a workload.

    :param scenario: load pattern or fault.
    :param deployment: hosts and services.
    :param seed: seed of all random draws.
    :returns: the workload.
    """
    rng = random.Random(f'{scenario.value}/{deployment.name}/{seed}')
    excess = _draw_excess(rng, deployment)
    arrivals = _draw_batch_arrivals(rng, scenario, deployment)
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

    :param deployment: determines the services and task sizes.
    :returns: one task that never ends for each replica.
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
            high_probability = 0.7 if other == NOISY_CLASS else 0.3
            if other in deployment.services:
                high_probability = 0.1
            is_high = rng.random() < high_probability
            level = (
                rng.uniform(0.2, 0.6) if is_high else rng.uniform(0.0, 0.06)
            )
            level *= 1.0 if service else 0.4
            excess[victim, other] = Excess(
                level * rng.uniform(0.2, 0.8), level * rng.uniform(0.8, 1.8)
            )
    return excess


def _draw_batch_arrivals(
    rng: random.Random, scenario: Scenario, deployment: Deployment
) -> tuple[tuple[float, Work], ...]:
    total = WORKERS * deployment.capacity.millicores
    arrivals: list[tuple[float, Work]] = []
    _add_jobs(
        rng, scenario, deployment, 0.55 * total, (0, RUN_S), '', arrivals
    )
    if scenario is Scenario.NOISY_WAVE:
        for start in (180, 420, 660):
            span = (start, start + 120)
            _add_jobs(
                rng,
                scenario,
                deployment,
                0.3 * total,
                span,
                NOISY_CLASS,
                arrivals,
            )
    return tuple(sorted(arrivals, key=lambda item: (item[0], item[1].task)))


def _add_jobs(
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
    tasks_per_s = demand / (mean_size * mean_run_s)
    tasks_per_job = 6
    now = float(span[0])
    serial = 0
    while True:
        now += rng.expovariate(tasks_per_s / tasks_per_job)
        if now >= span[1]:
            return
        serial += 1
        owner = f'{work_class or "job"}-{span[0]}-{serial}'
        arrivals += [
            (now, item)
            for item in _draw_job(
                rng, scenario, deployment, owner, work_class, tasks_per_job
            )
        ]


def _draw_job(
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
    declared_factor = 1.0
    if scenario is Scenario.WRONG_SIZES:
        declared_factor = rng.choice((0.1, 1.0, 10.0))
    capacity = deployment.capacity
    # Declared sizes never exceed a host, as no team submits such a job.
    declared = resources.Resources(
        min(int(millicores * declared_factor), capacity.millicores),
        min(int(memory_mb * declared_factor), capacity.memory_mb),
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
            run_s * declared_factor,
            run_s * rng.uniform(0.8, 1.2),
            specs.Priority.URGENT if urgent else specs.Priority.NORMAL,
            checkpointable=checkpointable,
        )
        for number in range(count)
    ]
