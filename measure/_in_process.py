"""Microbenchmarks of single functions, run in this process."""

import dataclasses
import random
import time

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _shard_state as shards

SHARD_TASKS = (100, 500, 1000, 2000, 5000, 10_000, 20_000)
ROUND_HOSTS = (100, 200, 400, 800)
ROUND_STARTS = (9, 45, 90, 180)
TASKS_PER_JOB = 250
RUNNING_FRACTION = 1750 / 15_000  # running tasks of a shard at the target size


@dataclasses.dataclass(frozen=True)
class ShardPoint:
    """Stored size and encoding times of a shard."""

    tasks: int
    running: int
    encode_ms: float
    decode_ms: float
    stored_bytes: int


def shard_point(tasks: int) -> ShardPoint:
    """Measure a shard with 12% of its tasks running.

    :param tasks: number of tasks in the shard.
    """
    groups = {}
    running = 0
    for number in range(max(1, tasks // TASKS_PER_JOB)):
        count = min(TASKS_PER_JOB, tasks)
        live_count = round(count * RUNNING_FRACTION)
        running += live_count
        groups[f'job-{number}'] = _task_group(number, count, live_count)
    state = shards.ShardState(groups=groups)
    started_at = time.perf_counter()
    rounds = 5
    for _ in range(rounds):
        data = shards.encode(state)
    encoded_at = time.perf_counter()
    for _ in range(rounds):
        shards.decode(data)
    decoded_at = time.perf_counter()
    return ShardPoint(
        tasks,
        running,
        (encoded_at - started_at) / rounds * 1000,
        (decoded_at - encoded_at) / rounds * 1000,
        len(data),
    )


def _task_group(number: int, count: int, live_count: int) -> shards.TaskGroup:
    spec = specs.JobSpec(
        identifiers.JobId(f'nightly-capacity-plan-{number}'),
        identifiers.TeamName('cantabrico'),
        identifiers.WorkClass('plan'),
        count,
        resources.Resources(2000, 8000),
        argument='x' * 200,
    )
    live = {
        index: shards.LiveAttempt(
            1,
            identifiers.NodeId(f'agent-wolverhampton-rack7-host{index}'),
            shards.LiveState.RUNNING,
            1_700_000_000.5,
            True,
        )
        for index in range(live_count)
    }
    return shards.TaskGroup(
        f'nightly-capacity-plan-{number}',
        spec,
        None,
        identifiers.CommandId(f'3f1cdd20-command-{number}'),
        1_700_000_000.5,
        pending=((live_count, count),),
        live=live,
    )


def placement_round_s(host_count: int, starts: int) -> float:
    """Measure one placement round.

    :param host_count: hosts, each with 18 tasks and 2 services.
    :param starts: tasks to place.
    :returns: the duration of the round in seconds.
    """
    rng = random.Random(1)
    classes = [identifiers.WorkClass(f'c{i}') for i in range(6)]
    hosts = [_host(index, classes, rng) for index in range(host_count)]
    samples = [
        interference.Measurement(
            rng.choice(classes),
            1.0 + rng.random(),
            {rng.choice(classes): 1.0},
            float(at),
            rng.random(),
        )
        for at in range(500)
    ]
    model = interference.learn(
        interference.InterferenceModel(), samples, 500.0
    )
    tasks = [
        types.PlacementRequest(
            specs.TaskId('job', number),
            identifiers.TeamName('team'),
            rng.choice(classes),
            resources.Resources(2000, 8000),
            waited_s=60.0,
        )
        for number in range(starts)
    ]
    context = types.PlacementContext(500.0, rng, model)
    started_at = time.perf_counter()
    placement.choose_all(placement.LearnedPlacement(), tasks, hosts, context)
    return time.perf_counter() - started_at


def _host(
    index: int, classes: list[identifiers.WorkClass], rng: random.Random
) -> types.Candidate:
    host = types.Candidate(
        identifiers.NodeId(f'w{index}'),
        identifiers.DataCentreName(f'dc{index % 8}'),
        f'r{index // 3}',
        resources.Resources(64_000, 250_000, 2),
        load=rng.random(),
    )
    for number in range(20):
        service = identifiers.ServiceName(f's{number}')
        host = host.with_occupant(
            types.Occupant(
                specs.TaskId(f'job{index}', number),
                rng.choice(classes),
                resources.Resources(2000, 8000),
                service if number < 2 else None,
            )
        )
    return host
