"""One large job ends the progress of all jobs."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import fleet as fleets  # noqa: E402

HOST, PREFIX = 'shop.example', '/plans/'
SERVICE = 'planner'
WORKERS = 8
CPU, MEM_MB = 64_000, 256_000
TASKS = 17_000
TASK_CPU, TASK_MEM_MB = 10, 10
CONTROL_JOBS = 17  # the same tasks, without the trouble
LARGE_WORK_S = 300.0
SMALL_EVERY_S = 2.0
SMALL_UNTIL_S = 25.0  # the end of the traffic
# finish_s, the rule's 3 s and more after that: such jobs had time in plenty.
PLAY_S = 55.0
WAITED_S = 25.0
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


def job(count, work_s):
    step = {
        'count': count,
        'cpu': TASK_CPU,
        'memMb': TASK_MEM_MB,
        'estimateMs': int(work_s * 1000),
    }
    return {'spec': 'plan', 'steps': [step]}


async def case(folder, trouble):
    fleet = fleets.Fleet(
        folder,
        [SERVICE] * WORKERS,
        ROUTES,
        None,
        plans=[['a', LARGE_WORK_S], ['0', 1.0]],
        cpu=CPU,
        mem_mb=MEM_MB,
    )
    try:
        await fleet.start()
        return await play(fleet, trouble)
    finally:
        fleet.close()


async def play(fleet, trouble):
    began_at = fleet.now()
    jobs = 1 if trouble else CONTROL_JOBS
    for number in range(jobs):
        path = f'{PREFIX}{"a" * 12}{number:04x}'
        body = job(TASKS // jobs, LARGE_WORK_S)
        if not await fleet.submit(HOST, path, body):
            raise fleets.CannotRun('a large job was not accepted')
    accepted = {}
    number = 0
    share_used = []  # (time, share of the service's capacity in use)
    while fleet.now() - began_at < PLAY_S:
        job_id = f'{number:016x}'
        if fleet.now() - began_at < SMALL_UNTIL_S:
            path = PREFIX + job_id
            if await fleet.submit(HOST, path, job(2, 1.0), number):
                accepted[job_id] = fleet.now()
            number += 1
        looks = [await fleet.look(item) for item in fleet.workers]
        running = [look['running'] if look else -1 for look in looks]
        used = sum(running) * TASK_CPU / (CPU * WORKERS)
        share_used.append((fleet.now(), used))
        fleet.log(
            'workers',
            running=running,
            used=round(used, 3),
            values_refused_by_store=fleet.store.refused_values,
        )
        await asyncio.sleep(SMALL_EVERY_S)
    started = set()
    for item in fleet.workers:
        jobs = (await fleet.look(item) or {'jobs': []})['jobs']
        fleet.log('run', worker=item.name, jobs=','.join(jobs) or 'none')
        started |= set(jobs)
    return await judge(fleet, accepted, started, share_used)


async def judge(fleet, accepted, started, share_used):
    ends_at = fleet.now()
    late = [
        job_id
        for job_id, at in accepted.items()
        if ends_at - at > WAITED_S and job_id not in started
    ]
    had_room = all(
        used < 0.5 for at, used in share_used if at > ends_at - WAITED_S
    )
    if not (late and had_room):
        return []
    states = {}
    for job_id in late[-5:]:
        _, answer = await fleet.request(
            fleet.entries[0], 'GET', HOST, PREFIX + job_id
        )
        states[job_id] = answer.get('state')
    broken = [
        f'LOST: {len(late)} of {len(accepted)} small jobs were accepted over '
        f'{WAITED_S:.0f} s ago and have never started, with under half of '
        f'the capacity in use; states: {states}'
    ]
    for line in broken:
        fleet.log('broken', what=line)
    return broken


if __name__ == '__main__':
    fleets.main(case, FOLDER)
