"""Latency and throughput of the request path: ``python -m measure.path``.

Runs real processes on the loopback address and sends each load both through
the entries and directly to the backend servers. Prints tables and writes
``build/path.json``.
"""

import argparse
import collections.abc
import dataclasses
import functools
import json
import os
import pathlib
import sys
import tempfile
import time

import httpx
import msgspec
import trio

from measure import _load
from measure import _usage
from standins import fleet
from standins import processes

SERVICE = 'bench'
HOSTS = 8
CALLERS = (1, 8, 64)
GENERATORS = 2
CALLERS_PER_GENERATOR = 128  # limit of concurrent requests
FIRST_RATE_PER_S = 80.0
RATE_FACTOR = 1.25
MAX_RATE_PER_S = 3000.0
STEP_S = 3.0
MIN_THROUGHPUT_GAIN = 1.02  # smaller gains count as a plateau
ADDED_P50_TARGET_MS = 4.0
P99_RATIO_TARGET = 3.0
AGENT_TARGET_MB = 128.0
OUTPUT = pathlib.Path('build/path.json')


@dataclasses.dataclass(frozen=True)
class Point:
    """Result of one load; latencies in milliseconds."""

    p50_ms: float
    p99_ms: float
    done_per_s: float
    failed: int
    unsent: int
    generator_share: float


@dataclasses.dataclass(frozen=True)
class Pair:
    """Results of a load via the entries and directly to the servers."""

    load: str
    system: Point
    direct: Point

    @property
    def added_p50_ms(self) -> float:
        """Median latency added by the system."""
        return self.system.p50_ms - self.direct.p50_ms

    @property
    def p99_ratio(self) -> float:
        """Ratio of the p99 via the entries to the direct p99."""
        return self.system.p99_ms / self.direct.p99_ms


class PathBenchmark:
    """Measures the request path of a running fleet.

    :param system: the fleet.
    """

    def __init__(self, system: fleet.Fleet) -> None:
        path = 'quick'
        self.system = system
        self.via_entries = tuple(
            f'{entry.callers_url}/services/{SERVICE}/{path}'
            for entry in system.entries
        )
        self.direct = tuple(
            f'{host.backend_url}/{path}' for host in system.hosts
        )
        group = system.group
        self.pids = {
            'entry': [group[e.name].process.pid for e in system.entries],
            'agent': [group[h.agent].process.pid for h in system.hosts],
            'backend server': [
                group[h.backend_server].process.pid for h in system.hosts
            ],
        }

    async def point(
        self,
        urls: tuple[str, ...],
        callers: int,
        rate_per_s: float = 0.0,
        measured_s: float = STEP_S,
    ) -> Point:
        """Measure one load, sent by separate generator processes."""
        count = min(GENERATORS, callers)
        results: list[_load.LoadResult] = []
        async with trio.open_nursery() as nursery:
            for number in range(count):
                share = callers // count
                # Each generator starts at a different URL of the list.
                offset = number * share % len(urls)
                load = _load.Load(
                    urls[offset:] + urls[:offset],
                    share,
                    rate_per_s / count,
                    measured_s=measured_s,
                    seed=number + 1,
                )
                nursery.start_soon(_run_generator, load, results)
        return _summarise(results)

    async def pair(
        self,
        name: str,
        callers: int,
        rate_per_s: float = 0.0,
        measured_s: float = STEP_S,
    ) -> Pair:
        """Measure a load directly and via the entries."""
        direct = await self.point(self.direct, callers, rate_per_s, measured_s)
        via_entries = await self.point(
            self.via_entries, callers, rate_per_s, measured_s
        )
        return Pair(name, via_entries, direct)

    async def find_knee(self) -> tuple[float, list[tuple[float, Point]]]:
        """Increase the offered load until throughput stops growing.

        :returns: the offered load at the knee and every step.
        """
        steps: list[tuple[float, Point]] = []
        rate, best_per_s, knee, flat_steps = (
            FIRST_RATE_PER_S,
            0.0,
            FIRST_RATE_PER_S,
            0,
        )
        while rate < MAX_RATE_PER_S and flat_steps < 2:
            point = await self.point(
                self.via_entries, GENERATORS * CALLERS_PER_GENERATOR, rate
            )
            steps.append((rate, point))
            print(
                f'  offered {rate:6.0f}/s  {_format_point(point)}', flush=True
            )
            if point.done_per_s > best_per_s * MIN_THROUGHPUT_GAIN:
                # Past the knee, load above the completion rate only queues.
                knee, flat_steps = min(rate, point.done_per_s), 0
                best_per_s = point.done_per_s
            else:
                flat_steps += 1
            rate *= RATE_FACTOR
        return knee, steps


async def _run_generator(
    load: _load.Load, results: list[_load.LoadResult]
) -> None:
    limit_s = load.warm_up_s + load.measured_s + 4 * _load.GRACE_S
    with trio.fail_after(limit_s):
        done = await trio.run_process(
            [sys.executable, '-m', 'measure._load'],
            stdin=msgspec.json.encode(load),
            capture_stdout=True,
        )
    results.append(msgspec.json.decode(done.stdout, type=_load.LoadResult))


def _summarise(results: collections.abc.Sequence[_load.LoadResult]) -> Point:
    latencies = sorted(one for r in results for one in r.latencies_ms)
    return Point(
        percentile(latencies, 0.5),
        percentile(latencies, 0.99),
        sum(result.done / result.measured_s for result in results),
        sum(result.failed for result in results),
        sum(result.unsent for result in results),
        max(result.busy_share for result in results),
    )


def percentile(
    ordered: collections.abc.Sequence[float], share: float
) -> float:
    """Return a percentile of sorted values, NaN if there are none."""
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _format_point(point: Point) -> str:
    return (
        f'answered {point.done_per_s:6.0f}/s  p50 {point.p50_ms:7.1f} ms  '
        f'p99 {point.p99_ms:7.1f} ms  failed {point.failed}  '
        f'unsent {point.unsent}  generator {point.generator_share:.2f}'
    )


def _print_pair(pair: Pair) -> None:
    print(
        f'{pair.load:22} p50 {pair.system.p50_ms:7.1f} against '
        f'{pair.direct.p50_ms:6.1f} ms ({pair.added_p50_ms:+.1f} ms, '
        f'{pair.system.p50_ms / pair.direct.p50_ms:.2f} times)  '
        f'p99 {pair.system.p99_ms:7.1f} against {pair.direct.p99_ms:6.1f} ms '
        f'({pair.p99_ratio:.2f} times)  {pair.system.done_per_s:.0f} against '
        f'{pair.direct.done_per_s:.0f}/s  failed {pair.system.failed} and '
        f'{pair.direct.failed}',
        flush=True,
    )


def _print_usage(
    name: str, usage: collections.abc.Mapping[str, _usage.RoleUsage]
) -> None:
    for role, one in usage.items():
        print(
            f'{name:22} {role:14} {one.core_share:.3f} of a core, '
            f'memory {one.most_memory_mb:.0f} MB at most'
        )


async def measure(
    directory: pathlib.Path, seconds: float
) -> dict[str, object]:
    """Run all measurements against a new fleet.

    :param folder: an empty directory for settings, keys and logs.
    :param seconds: duration of the measurement at half the knee's load.
    :returns: the content of ``build/path.json``.
    """
    plan = fleet.FleetPlan(
        workers=HOSTS,
        entries=1,
        backend_server={'service': SERVICE},
        log_level='WARNING',
    )
    with processes.ProcessGroup(directory / 'logs') as group:
        system = fleet.Fleet(plan, directory, group)
        async with httpx.AsyncClient(trust_env=False) as client:
            await system.start(client)
            benchmark = PathBenchmark(system)
            await processes.wait_for(
                functools.partial(_all_entries_answer, client, benchmark),
                'responses via the entries',
                20.0,
            )
        await trio.sleep(2.0)
        return await _measurements(benchmark, seconds)


async def _all_entries_answer(
    client: httpx.AsyncClient, benchmark: PathBenchmark
) -> bool:
    for url in benchmark.via_entries:
        if (await client.get(url, timeout=5.0)).status_code != 200:
            return False
    return True


async def _measurements(
    benchmark: PathBenchmark, seconds: float
) -> dict[str, object]:
    load_average = os.getloadavg()[0]
    idle_meter = _usage.UsageMeter(benchmark.pids)
    await trio.sleep(3.0)
    at_rest = idle_meter.result()
    _print_usage('at rest', at_rest)
    pairs = []
    for callers in CALLERS:
        pair = await benchmark.pair(f'{callers} callers', callers)
        _print_pair(pair)
        pairs.append(pair)
    under_load = _usage.UsageMeter(benchmark.pids)
    knee, steps = await benchmark.find_knee()
    usage_to_knee = under_load.result()
    half = knee / 2
    meter = _usage.UsageMeter(benchmark.pids)
    callers = GENERATORS * CALLERS_PER_GENERATOR
    via_entries = await benchmark.point(
        benchmark.via_entries, callers, half, seconds
    )
    at_half = meter.result()
    direct = await benchmark.point(benchmark.direct, callers, half, seconds)
    half_pair = Pair(f'half the knee, {half:.0f}/s', via_entries, direct)
    print(f'knee: {knee:.0f} requests a second at one entry')
    _print_pair(half_pair)
    _print_usage('at half the knee', at_half)
    _print_usage('up to the knee', usage_to_knee)
    checks = _checks(pairs, half_pair, usage_to_knee)
    for name, passed in checks.items():
        print(f'{"passed" if passed else "FELL SHORT":10}  {name}')
    if load_average > os.cpu_count() * 0.2:
        print(f'load average at the start was {load_average:.1f}: a trial')
    return {
        'command': 'python -m measure.path',
        'load_average_at_start': load_average,
        'at_rest': _usage_to_dict(at_rest),
        'callers': [_pair_to_dict(pair) for pair in pairs],
        'knee_per_s': knee,
        'steps': [[rate, dataclasses.asdict(one)] for rate, one in steps],
        'half_the_knee': _pair_to_dict(half_pair),
        'usage_at_half_the_knee': _usage_to_dict(at_half),
        'usage_up_to_the_knee': _usage_to_dict(usage_to_knee),
        'targets': checks,
    }


def _checks(
    pairs: collections.abc.Sequence[Pair],
    half: Pair,
    usage: collections.abc.Mapping[str, _usage.RoleUsage],
) -> dict[str, bool]:
    agent_mb = usage['agent'].most_memory_mb
    return {
        f'added p50 with 1 caller {pairs[0].added_p50_ms:.1f} ms, below '
        f'{ADDED_P50_TARGET_MS:.0f}': pairs[0].added_p50_ms
        < ADDED_P50_TARGET_MS,
        f'added p50 at half the knee {half.added_p50_ms:.1f} ms, below '
        f'{ADDED_P50_TARGET_MS:.0f}': half.added_p50_ms < ADDED_P50_TARGET_MS,
        f'p99 at half the knee {half.p99_ratio:.2f} times direct, below '
        f'{P99_RATIO_TARGET:.0f}': half.p99_ratio < P99_RATIO_TARGET,
        f'agent {agent_mb:.0f} MB, below {AGENT_TARGET_MB:.0f}': agent_mb
        < AGENT_TARGET_MB,
    }


def _usage_to_dict(
    usage: collections.abc.Mapping[str, _usage.RoleUsage],
) -> dict[str, object]:
    return {role: dataclasses.asdict(one) for role, one in usage.items()}


def _pair_to_dict(pair: Pair) -> dict[str, object]:
    return {
        **dataclasses.asdict(pair),
        'added_p50_ms': pair.added_p50_ms,
        'p99_ratio': pair.p99_ratio,
    }


def main() -> int:
    """Measure, print and write the results.

    :returns: exit code, 0 if every target is met.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--output', type=pathlib.Path, default=OUTPUT)
    args = parser.parse_args()
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='citronrail-path-') as name:
        result = trio.run(measure, pathlib.Path(name), args.seconds)
    args.output.parent.mkdir(parents=True, exist_ok=True)
    args.output.write_text(json.dumps(result, indent=1) + '\n')
    print(f'{time.monotonic() - started_at:.0f} s; figures in {args.output}')
    targets = result['targets']
    assert isinstance(targets, dict)
    return 0 if all(targets.values()) else 1


if __name__ == '__main__':
    sys.exit(main())
