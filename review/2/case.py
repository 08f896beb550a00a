"""One heartbeat of another writer reaches an agent while its worker works."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))
import harness  # noqa: E402
import web  # noqa: E402

WORK_MS = 5000
JOBS = 4
OTHER_SERVICE = 'billing'  # named in no configuration


def job():
    """Return a job of 12 tasks of 5 s on 2 cores; workers have 64."""
    spec = json.dumps({'ms': WORK_MS, 'cpu': 2000})
    step = {'count': 12, 'cpu': 2000, 'memMb': 500, 'estimateMs': WORK_MS}
    return {'spec': spec, 'steps': [step]}


def stray_heartbeat(address):
    """Return a heartbeat that names a service that isn't named here."""
    return {
        'service': OTHER_SERVICE,
        'addr': address,
        'zone': harness.ZONES[0],
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldLeftMs': 0,
        'capacity': {'cpu': 64000, 'memMb': 250000, 'gpu': 0},
        'labels': ['a', 'r1-1'],
        'clockMs': 1200,
        'seq': 1,
        'born': int(time.time() * 1000),
    }


def doubled(events):
    """Return the starts of tasks that ran elsewhere at that time."""
    broken, running = [], {}
    for event in events:
        if event['event'] == 'start':
            others = running.setdefault(event['task'], {})
            broken += [
                f'TWICE {event["task"]}: run {event["run"]} starts on '
                f'{event["worker"]} while run {run} is at work on {worker}'
                for worker, run in others.items()
            ]
            others[event['worker']] = event['run']
        elif event['event'] == 'end':
            running[event['task']].pop(event['worker'], None)
    return broken


async def case(system):
    """Play the case; return the broken rules."""
    await system.start([harness.route('jobs', '/jobs/')])
    await asyncio.sleep(4.0)
    for number in range(JOBS):
        await system.submit(f'/jobs/{number:016x}', job())
    await asyncio.sleep(2.0)
    if harness.trouble():
        ip = system.agents[0]
        status, _ = await web.call(
            f'{ip}:{harness.CONTROL_PORT}',
            'POST',
            '/Instances.Heartbeat/i-0badbea7',
            stray_heartbeat(f'{ip}:{harness.APP_PORT}'),
        )
        system.record(f'stray heartbeat at side-1 -> {status}')
    await asyncio.sleep(20.0)
    for number in range(JOBS):
        path = f'/jobs/{number:016x}'
        system.record(f'{path}: {await system.state(path)}')
    return doubled(system.events())


harness.run(case, FOLDER)
