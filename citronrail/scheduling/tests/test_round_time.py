"""Time of one placement round at the target size."""

import random
import time

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _placement_score as score
from citronrail.scheduling import _placement_types as types

# A round takes 0.3 to 0.7 s on a busy machine; this bound only detects a
# change in the order of growth.
MAX_ROUND_S = 20.0


def test_round_of_180_starts_on_800_hosts():
    """Guards against rounds that take longer than the starts they serve."""
    rng = random.Random(1)
    classes = [identifiers.WorkClass(f'c{i}') for i in range(6)]
    hosts = []
    for index in range(800):
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
        hosts.append(host)
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
            specs.TaskId('job', i),
            identifiers.TeamName('team'),
            rng.choice(classes),
            resources.Resources(2000, 8000),
            waited_s=score.ScoreSettings().defer_s,
        )
        for i in range(180)
    ]
    context = types.PlacementContext(500.0, rng, model)
    started = time.perf_counter()
    decisions = placement.choose_all(
        placement.LearnedPlacement(), tasks, hosts, context
    )
    round_s = time.perf_counter() - started
    print(f'round of 180 starts on 800 hosts: {round_s:.3f} s')  # noqa: T201
    assert all(isinstance(item, types.Placed) for item in decisions)
    assert round_s < MAX_ROUND_S
