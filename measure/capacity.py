"""Measures how costs grow with size: ``python -m measure.capacity``.

Runs real agents, entries and the store stand-in on the loopback address, and
single functions in this process. Prints each fitted line and writes
``build/capacity.json``, the input of docs/CAPACITY.md.
"""

import argparse
import collections.abc
import dataclasses
import json
import os
import pathlib
import tempfile
import time
import typing

import httpx
import trio

from measure import _fit
from measure import _growing
from measure import _in_process
from measure import _settings_size
from standins import fleet
from standins import processes

AGENT_COUNTS = (5, 10, 20, 40)
ENTRY_COUNTS = (1, 2, 4)
START_COUNTS = (100, 200, 400)
BATCH_RUN_S = 1.0
SPAN_S = 6.0
SETTLE_S = 3.0
NODES = 800
PEAK_STARTS_PER_S = 180
CORE_BUDGET = 0.014
MEMORY_BUDGET_MB = 128
CONTROL_BUDGET_BYTES_PER_S = 3000  # per node
OUTPUT = pathlib.Path('build/capacity.json')
TEAM_COMMAND = 'change team load quota cores 4000 memory 16000GB'


class Slopes:
    """Prints and collects fitted slopes."""

    def __init__(self) -> None:
        self.by_name: dict[str, dict[str, typing.Any]] = {}

    def add(
        self,
        name: str,
        unit: str,
        xs: collections.abc.Sequence[float],
        ys: list[float],
    ) -> _fit.LinearFit:
        """Fit, print and record one slope.

        :param name: the quantity and its variable.
        :param unit: unit of the values.
        :param xs: x values in rising order.
        :param ys: measured values.
        """
        line = _fit.fit_line(xs, ys)
        bend = 'straight'
        if line.bends_at is not None:
            bend = f'bends at {line.bends_at:.0f}'
        points = ', '.join(f'{x:.0f}: {y:.4g}' for x, y in zip(xs, ys))
        print(
            f'{name} [{unit}]: {line.base:.4g} + {line.slope:.4g} x, '
            f'residual {line.residual:.2g}, {bend} ({points})',
            flush=True,
        )
        self.by_name[name] = {
            'unit': unit,
            'x': list(xs),
            'y': ys,
            **dataclasses.asdict(line),
        }
        return line


async def measure(directory: pathlib.Path) -> dict[str, object]:
    """Measure all slopes.

    :param folder: an empty directory for settings, keys and logs.
    :returns: the content of ``build/capacity.json``.
    """
    load_average = os.getloadavg()[0]
    slopes = Slopes()
    measure_functions(slopes)
    plan = fleet.FleetPlan(workers=AGENT_COUNTS[-1], entries=ENTRY_COUNTS[-1])
    limits = httpx.Limits(max_connections=8)
    async with httpx.AsyncClient(
        timeout=10.0, limits=limits, trust_env=False
    ) as client:
        with processes.ProcessGroup(directory / 'logs') as group:
            system = _growing.GrowingFleet(plan, directory, group, client)
            await system.start_all_workers()
            await system.operator.do(TEAM_COMMAND)
            by_agents = await measure_agents(system, slopes)
            starts = await measure_starts(system, by_agents[-1], slopes)
            by_entries = await measure_entries(system, by_agents[-1], slopes)
            sizes = await _settings_size.measure(system)
    add_settings(sizes, slopes)
    print_node_costs(by_agents[-1])
    if load_average > (os.cpu_count() or 1) * 0.2:
        print(f'load average at the start was {load_average:.1f}: a trial')
    return {
        'command': 'python -m measure.capacity',
        'load_average_at_start': load_average,
        'slopes': slopes.by_name,
        'by_agents': [dataclasses.asdict(one) for one in by_agents],
        'by_entries': [dataclasses.asdict(one) for one in by_entries],
        'starts': starts,
        'settings': [dataclasses.asdict(one) for one in sizes],
    }


def measure_functions(slopes: Slopes) -> None:
    """Measure shard encoding and placement rounds in this process."""
    points = [
        _in_process.shard_point(tasks) for tasks in _in_process.SHARD_TASKS
    ]
    tasks = [float(one.tasks) for one in points]
    slopes.add(
        'shard encode by tasks', 'ms', tasks, [one.encode_ms for one in points]
    )
    slopes.add(
        'shard decode by tasks', 'ms', tasks, [one.decode_ms for one in points]
    )
    slopes.add(
        'shard commit by tasks',
        'bytes',
        tasks,
        [float(one.stored_bytes) for one in points],
    )
    slopes.add(
        'placement round of 180 by hosts',
        's',
        _in_process.ROUND_HOSTS,
        [
            _in_process.placement_round_s(h, PEAK_STARTS_PER_S)
            for h in _in_process.ROUND_HOSTS
        ],
    )
    slopes.add(
        'placement round on 800 hosts by starts',
        's',
        _in_process.ROUND_STARTS,
        [
            _in_process.placement_round_s(NODES, n)
            for n in _in_process.ROUND_STARTS
        ],
    )


async def measure_agents(
    system: _growing.GrowingFleet, slopes: Slopes
) -> list[_growing.Span]:
    """Measure growing numbers of agents with 20 running tasks each."""
    spans = []
    for count in AGENT_COUNTS:
        new = count - system.agents
        await system.grow_agents(count)
        await start_job(system, f'long-{count}', new, 3600.0)
        await trio.sleep(SETTLE_S)
        spans.append(await system.span(SPAN_S))
    xs = [float(one.agents) for one in spans]
    for role in ('agent', 'entry', 'store'):
        slopes.add(
            f'{role} processor by agents',
            'share of a core',
            xs,
            [one.usage[role].core_share for one in spans],
        )
        slopes.add(
            f'{role} memory by agents',
            'MB',
            xs,
            [one.usage[role].most_memory_mb for one in spans],
        )
    slopes.add(
        'entry control bytes by agents',
        'bytes a second',
        xs,
        [one.total_bytes('entry ') for one in spans],
    )
    slopes.add(
        'entry control messages by agents',
        'a second',
        xs,
        [one.total_messages('entry ') for one in spans],
    )
    add_store_calls('agents', xs, spans, slopes)
    return spans


def add_store_calls(
    name: str,
    xs: list[float],
    spans: list[_growing.Span],
    slopes: Slopes,
) -> None:
    """Fit the store calls by use and kind."""
    kinds = sorted({kind for one in spans for kind in one.store_calls})
    for kind in kinds:
        slopes.add(
            f'store calls {kind} by {name}',
            'a second',
            xs,
            [one.store_calls.get(kind, 0.0) for one in spans],
        )


async def measure_entries(
    system: _growing.GrowingFleet, first: _growing.Span, slopes: Slopes
) -> list[_growing.Span]:
    """Measure growing numbers of entries with all agents."""
    spans = [first]
    for count in ENTRY_COUNTS[1:]:
        await system.grow_entries(count)
        await trio.sleep(2 * SETTLE_S)
        spans.append(await system.span(SPAN_S))
    xs = [float(one.entries) for one in spans]
    for role in ('agent', 'entry'):
        slopes.add(
            f'{role} processor by entries',
            'share of a core',
            xs,
            [one.usage[role].core_share for one in spans],
        )
    slopes.add(
        'agent control bytes by entries',
        'bytes a second',
        xs,
        [one.total_bytes('agent ') / one.agents for one in spans],
    )
    slopes.add(
        'control bytes between entries by entries',
        'bytes a second',
        xs,
        [one.bytes.get('entry sent EntryHeartbeat', 0.0) for one in spans],
    )
    add_store_calls('entries', xs, spans, slopes)
    return spans


async def measure_starts(
    system: _growing.GrowingFleet, idle: _growing.Span, slopes: Slopes
) -> list[dict[str, float]]:
    """Measure the cost of task starts above that of the ``idle`` span."""
    by_name = []
    for count in START_COUNTS:
        started_at = time.perf_counter()
        recorded: list[_growing.Span] = []
        async with trio.open_nursery() as nursery:
            ended = trio.Event()
            nursery.start_soon(record_span, system, ended, recorded)
            await start_job(system, f'short-{count}', 0, BATCH_RUN_S, count)
            await processes.wait_for(
                lambda job=f'short-{count}': is_job_finished(system, job),
                f'{count} short tasks',
                60.0,
                0.1,
            )
            took_s = time.perf_counter() - started_at
            ended.set()
        span = recorded[0]
        by_name.append(
            {
                'starts': float(count),
                'took_s': took_s,
                'entry_s': _processor_s_above_idle(span, idle, 'entry'),
                'agent_s': _processor_s_above_idle(span, idle, 'agent'),
                'shard_writes': span.store_calls.get('shard txn', 0.0)
                * span.seconds,
                'bytes': span.total_bytes(
                    'agent sent Start', 'agent sent Task'
                )
                * span.seconds
                + span.total_bytes('agent received Start') * span.seconds,
                'seconds': span.seconds,
            }
        )
        await trio.sleep(1.0)
    xs = [one['starts'] for one in by_name]
    for key, unit in (
        ('took_s', 's'),
        ('entry_s', 's of processor time beyond rest'),
        ('agent_s', 's of processor time beyond rest'),
        ('shard_writes', 'calls'),
        ('bytes', 'bytes'),
    ):
        slopes.add(f'{key} by starts', unit, xs, [one[key] for one in by_name])
    return by_name


def _processor_s_above_idle(
    span: _growing.Span, idle: _growing.Span, role: str
) -> float:
    """Return processor seconds above the idle use of a role."""
    used = span.usage[role]
    share = used.core_share - idle.usage[role].core_share
    return share * span.seconds * used.processes


async def record_span(
    system: _growing.GrowingFleet,
    ended: trio.Event,
    recorded: list[_growing.Span],
) -> None:
    """Measure the fleet until an event is set."""
    recorded.append(await system.span_until(ended))


async def start_job(
    system: _growing.GrowingFleet,
    name: str,
    hosts: int,
    run_s: float,
    tasks: int = 0,
) -> None:
    """Start a job of ``tasks``, or fill ``hosts`` and wait until it runs."""
    count = tasks or hosts * _growing.TASKS_PER_HOST
    argument = json.dumps({'run_s': run_s}).replace('"', '\\"')
    await system.operator.do(
        f'start job {name} team load class plan tasks {count} cores 1 '
        f'memory 2GB run time {run_s:.0f}s argument "{argument}"'
    )
    if not tasks:

        async def running() -> bool:
            rows = await system.operator.rows(f'show jobs where job = {name}')
            return bool(rows) and rows[0]['running'] >= count

        await processes.wait_for(running, f'{name} is running', 60.0, 0.2)


async def is_job_finished(system: _growing.GrowingFleet, job: str) -> bool:
    """Return whether all tasks of a job have ended."""
    rows = await system.operator.rows(f'show jobs where job = {job}')
    return bool(rows) and rows[0]['state'] == 'finished'


def add_settings(
    sizes: list[_settings_size.SizePoint], slopes: Slopes
) -> None:
    """Fit the costs by size of the settings document."""
    xs = [one.stored_bytes / 1000 for one in sizes]
    for name, unit, ys in (
        ('settings commit', 'ms', [one.commit_ms for one in sizes]),
        ('settings spread', 'ms', [one.spread_ms for one in sizes]),
        (
            'settings bytes to an agent per change',
            'bytes',
            [one.agent_bytes for one in sizes],
        ),
        ('entry processor', 'share of a core', [o.entry_core for o in sizes]),
        ('store processor', 'share of a core', [o.store_core for o in sizes]),
    ):
        slopes.add(f'{name} by KB of settings', unit, xs, ys)


def print_node_costs(span: _growing.Span) -> None:
    """Print the control cost of one node and its budget."""
    agent = span.usage['agent']
    sent = span.total_bytes('agent ') / span.agents
    messages = span.total_messages('agent ') / span.agents
    print(
        f'one node with {_growing.TASKS_PER_HOST} tasks and 1 entry: '
        f'{agent.core_share:.4f} of a core (budget {CORE_BUDGET}), '
        f'{agent.most_memory_mb:.0f} MB (budget {MEMORY_BUDGET_MB}), '
        f'{sent:.0f} bytes/s in {messages:.1f} messages/s '
        f'(budget {CONTROL_BUDGET_BYTES_PER_S})'
    )
    for key, rate in span.bytes.items():
        if key.startswith('agent '):
            print(
                f'  {key}: {rate / span.agents:.1f} bytes/s in '
                f'{span.messages[key] / span.agents:.2f} messages/s'
            )


def main() -> None:
    """Measure, print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--output', type=pathlib.Path, default=OUTPUT)
    args = parser.parse_args()
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='citronrail-capacity-') as name:
        result = trio.run(measure, pathlib.Path(name))
    args.output.parent.mkdir(parents=True, exist_ok=True)
    args.output.write_text(json.dumps(result, indent=1) + '\n')
    print(f'{time.monotonic() - started_at:.0f} s; figures in {args.output}')


if __name__ == '__main__':
    main()
