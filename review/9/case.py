"""Waiting jobs vanish from a queue's ``pending`` after a takeover."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import fleet as fleets  # noqa: E402
import worker  # noqa: E402

HOST, PREFIX = 'shop.example', '/plans/'
SERVICE = 'planner'
WORKERS = 12
JOBS = 6
WORK_S = 5.0
UNHEALTHY_S = 6.0  # one of 12 workers; the site's longest is 6.5 s
KILL_AT_S = 5.0
RESTART_S = 0.5
# Jobs accepted longer ago than visible_ms + 2 s have to be counted.
COUNTED_AFTER_S = 5.0
ROUTES = [
    {
        'name': 'plans',
        'host': HOST,
        'prefix': PREFIX,
        'service': SERVICE,
        'priority': 0,
        'maxAttempts': 4,
        'stretch': 2.0,
        'targetCompletionMs': 1000,
        'timeoutMs': 3000,
    }
]


def job():
    """A job that only workers of kind b can run, one at a time."""
    step = {
        'count': 1,
        'cpu': 16000,
        'memMb': 1000,
        'estimateMs': int(WORK_S * 1000),
        'constraints': 'b',
    }
    return {'spec': 'plan', 'steps': [step]}


async def case(folder, trouble):
    labels = (['b', 'r1-0'], *(['a', f'r1-{n}'] for n in range(1, WORKERS)))
    fleet = fleets.Fleet(
        folder,
        [SERVICE] * WORKERS,
        ROUTES,
        lambda _: worker.Plan(WORK_S),
        labels=labels,
    )
    try:
        await fleet.start()
        return await play(fleet, trouble)
    finally:
        fleet.close()


async def play(fleet, trouble):
    leader = fleet.leader()
    others = [node for node in fleet.entries if node is not leader]
    special = fleet.workers[0]
    accepted = {}
    began_at = fleet.now()
    if trouble:
        special.unhealthy = True
        fleet.log('trouble', what='the worker of kind b answers 503')
    for number in range(JOBS):
        job_id = f'{number:016x}'
        path = PREFIX + job_id
        node = others[number % len(others)]
        status, _ = await fleet.request(node, 'POST', HOST, path, job())
        if status != 200:
            raise fleets.CannotRun('a job was not accepted')
        accepted[job_id] = fleet.now()
    await asyncio.sleep(began_at + KILL_AT_S - fleet.now())
    if trouble:
        fleet.kill(leader)
        await asyncio.sleep(RESTART_S)
        fleet.start_process(leader)
    await asyncio.sleep(began_at + UNHEALTHY_S - fleet.now())
    special.unhealthy = False
    fleet.log('trouble over')
    await asyncio.sleep(4.0)  # all machines are in touch again
    return await watch(fleet, others, accepted)


async def watch(fleet, nodes, accepted):
    """Ask machines that were never disturbed, and count what is right."""
    broken = []
    for number in range(40):
        node = nodes[number % len(nodes)]
        status, answer = await fleet.request(node, 'GET', HOST, PREFIX)
        begun = {
            fields['task'].split('.')[0] for _, fields in fleet.of('start')
        }
        waiting = sum(
            fleet.now() - at > COUNTED_AFTER_S and job_id not in begun
            for job_id, at in accepted.items()
        )
        if status == 200 and 2 * answer['pending'] < waiting:
            broken.append(
                f'MIXED: {node.name} gives {answer["pending"]} as pending, '
                f'{waiting} accepted jobs have not begun'
            )
        await asyncio.sleep(0.5)
    fleet.log('result', broken=len(broken))
    for line in broken[:5]:
        fleet.log('broken', what=line)
    return broken


if __name__ == '__main__':
    fleets.main(case, FOLDER)
