"""Jobs that are due each minute of a day come at once; no entry survives."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

import deployment as standins  # noqa: E402

# The class `seat-check` of the site sends 2.23 jobs a second, of 1.6 steps of
# 6 tasks each; `burst` multiplies a class by up to 2.6.
JOBS_PER_S = 2.23
FOR_S = 30.0
TIMES = 1440  # each minute of a day
PLAIN_INTERVAL_S = 1.0
FINISH_S = 14.0
IDLE_S = 3.0


class Deployment(standins.Deployment):
    """Three entries of 300 MB and three workers, most of them idle."""

    entry_count = 3

    def __init__(self, record):
        super().__init__(record)
        self.started = set()

    def on_start(self, event):
        self.started.add(event.task.split('.')[0])


async def send_scheduled(deployment):
    """Hand in jobs whose first time is due in an hour."""
    ends_at = time.monotonic() + FOR_S
    number = 0
    while time.monotonic() < ends_at:
        number += 1
        task = {'count': 6, 'cpu': 960, 'memMb': 1900, 'estimateMs': 2000}
        body = {
            'spec': 'check the seats of one entry',
            'steps': [task, task | {'after': [0]}],
            'times': TIMES,
            'startAtMs': int((time.time() + 3600) * 1000),
            'periodMs': 60_000,
        }
        job_id = f'{0xC000 + number:016x}'
        deployment.spawn(deployment.submit(job_id, body))
        await asyncio.sleep(1 / JOBS_PER_S)
    return number


async def send_plain(deployment, accepted):
    """Hand in a job of one short task each second."""
    number = 0
    while True:
        number += 1
        job_id = f'{0xA000 + number:016x}'
        deployment.work_s[job_id] = 0.5
        step = {'count': 1, 'cpu': 500, 'memMb': 256, 'estimateMs': 500}
        body = {'spec': 'a quick check', 'steps': [step]}
        if await deployment.submit(job_id, body):
            accepted.append(job_id)
        await asyncio.sleep(PLAIN_INTERVAL_S)


async def case(deployment):
    await asyncio.sleep(6.0)
    accepted = []
    plain = asyncio.create_task(send_plain(deployment, accepted))
    if deployment.trouble:
        number = await send_scheduled(deployment)
        deployment.record.write(f'{number} scheduled jobs were sent')
    else:
        await asyncio.sleep(FOR_S)
    await asyncio.sleep(4.0)
    plain.cancel()
    deployment.record.write('end of the traffic')
    await asyncio.sleep(FINISH_S)
    began_at = time.monotonic()
    while time.monotonic() < began_at + IDLE_S:
        waiting = [job for job in accepted if job not in deployment.started]
        sizes = [
            round(standins.rss_mb(deployment.processes[name].pid))
            for name in deployment.processes
            if name.startswith('front')
        ]
        deployment.record.write(f'{len(waiting)} wait; entries: {sizes} MB')
        await asyncio.sleep(0.5)
    exits = [name for _, name, cause in deployment.exits if 'over' in cause]
    counts = {name: exits.count(name) for name in sorted(set(exits))}
    deployment.record.write(
        f'{len(accepted)} plain jobs were accepted, {len(waiting)} of them'
        f' never started; ends over the memory limit: {counts}'
    )
    breaks = []
    if waiting:
        breaks.append(
            f'LOST: {len(waiting)} of {len(accepted)} accepted plain jobs'
            f' never started until {FINISH_S + IDLE_S:.0f} s after the end of'
            ' the traffic, on idle workers'
        )
    if sum(count >= 3 for count in counts.values()) >= 2:
        breaks.append(f'Fault: ends over the memory limit: {counts}')
    return breaks


standins.run(FOLDER, Deployment, case)
