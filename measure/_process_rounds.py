"""Runs real processes in rounds with alternating placement policies."""

import dataclasses
import json
import random
import time

import httpx
import trio

from standins import fleet
from standins import operator_client
from standins import processes
from standins import task_history

SERVICES = {'planner': 'headcount', 'seats': 'seat'}
REPLICAS = 3
SERVICE_CORES = 1
BATCH_CLASSES = ('menu', 'rota', 'plan')
WAVE_CLASS = 'plan'
RUN_S = 3.0
REQUEST_INTERVAL_S = 0.025
BASE_SERVICE_MS = 30.0
WAVE_END_S = 6
DRAIN_AT_S = 7
RETURN_AT_S = 10
ROUND_S = 13
WARM_UP_S = 6
SETTLE_S = 1.5
# A service slows down only after the usage lag and the interval of readings,
# so the latencies of a wave are taken from the requests sent in this part of a
# round.
WAVE_REQUESTS_S = (3.0, 8.0)
USAGE_LAG_S = 1.5
USAGE_READ_INTERVAL_S = 1.0
STRONG_PROBABILITY = 0.5
REQUEST_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Hosts of a deployment and the size of its batch tasks."""

    name: str
    team: str
    cores: int
    memory_mb: int
    task_cores: int
    data_centres: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Round:
    """Results of one round; latencies in milliseconds.

    ``wave_tasks`` are the batch tasks that finished before the data centre
    was taken out, ``out_tasks`` those that finished from then to the end of
    the round, ``refused`` the requests not answered with 200. ``by_class``
    counts the tasks of each batch class that finished in the whole round.
    """

    deployment: str
    policy: str
    cycle: int
    p50_ms: float
    p99_ms: float
    requests: int
    refused: int
    offered_tasks: int
    wave_tasks: int
    out_tasks: int
    lost_runs: int
    mean_slowdown: float
    by_class: dict[str, int]


@dataclasses.dataclass(frozen=True)
class _Request:
    sent_at: float
    latency_s: float
    succeeded: bool


@dataclasses.dataclass
class _RoundSpan:
    policy: str
    cycle: int
    started_at: float
    offered: int = 0


def draw_interference(rng: random.Random) -> dict[str, dict[str, float]]:
    """Draw the slowdown of each service by each co-located batch class.

    The class of the wave slows at least one service strongly.

    :param rng: random generator, unknown to the policy.
    :returns: the added slowdown by service class and batch class.
    """
    drawn = {
        service: {
            batch: _draw_slowdown(rng, rng.random() < STRONG_PROBABILITY)
            for batch in BATCH_CLASSES
        }
        for service in SERVICES.values()
    }
    disturbed = rng.choice(sorted(SERVICES.values()))
    drawn[disturbed][WAVE_CLASS] = _draw_slowdown(rng, True)
    return drawn


def _draw_slowdown(rng: random.Random, strong: bool) -> float:
    return rng.uniform(0.4, 1.2) if strong else rng.uniform(0.0, 0.05)


def plan(deployment: Deployment, seed: int) -> fleet.FleetPlan:
    """Return the fleet plan of a deployment."""
    return fleet.FleetPlan(
        data_centres=deployment.data_centres,
        workers=10,
        entries=2,
        millicores=deployment.cores * 1000,
        memory_mb=deployment.memory_mb,
        worker={
            'interference': draw_interference(random.Random(seed)),
            'usage_lag_s': USAGE_LAG_S,
            'measure_interval_s': 0.5,
        },
        backend_server={'service_ms': BASE_SERVICE_MS},
        log_level='WARNING',
    )


class RoundRunner:
    """Runs the rounds of one deployment.

    :param deployment: the deployment.
    :param system: its processes.
    :param client: HTTP client for commands and the stand-ins.
    :param callers: HTTP client of the callers.
    """

    def __init__(
        self,
        deployment: Deployment,
        system: fleet.Fleet,
        client: httpx.AsyncClient,
        callers: httpx.AsyncClient,
    ) -> None:
        self.deployment = deployment
        self.system = system
        self.client = client
        self.callers = callers
        self.operator = operator_client.OperatorClient(
            client, tuple(e.operators_url for e in system.entries)
        )
        self.requests: list[_Request] = []
        self.slowdowns: list[tuple[float, float]] = []
        self.spans: list[_RoundSpan] = []

    async def run(
        self, policies: tuple[str, ...], cycles: int
    ) -> tuple[Round, ...]:
        """Start the processes and carry out the rounds.

        :param policies: the placement policies in the order of a cycle.
        :param cycles: how often that order is repeated.
        :returns: the figures of each round, in order.
        """
        await self.system.start(self.client)
        await self._start_services()
        async with trio.open_nursery() as nursery:
            for service in SERVICES:
                nursery.start_soon(self._send_periodically, service)
            for host in self.system.hosts:
                nursery.start_soon(self._apply_slowdowns, host)
            await self._warm_up(policies)
            for cycle in range(cycles):
                for policy in policies:
                    await self._round(policy, cycle)
            nursery.cancel_scope.cancel()
        runs = tuple(
            run
            for host in self.system.hosts
            for run in task_history.read_runs(
                self.system.history_file(host), host.worker, host.data_centre
            )
        )
        return tuple(self._summarise_round(span, runs) for span in self.spans)

    async def _start_services(self) -> None:
        team = self.deployment.team
        cores = 10 * self.deployment.cores
        memory_gb = 10 * self.deployment.memory_mb // 1000
        await self.operator.do(
            f'change team {team} quota cores {cores} memory {memory_gb}GB'
        )
        for service, work_class in SERVICES.items():
            await self.operator.do(
                f'start service {service} team {team} class {work_class}'
                f' replicas {REPLICAS} cores {SERVICE_CORES} memory 1GB'
            )
        await processes.wait_for(
            self._has_announced, 'backend servers announced', 20.0
        )

    async def _has_announced(self) -> bool:
        rows = await self.operator.rows('show backend servers')
        return len(rows) == REPLICAS * len(SERVICES)

    async def _warm_up(self, policies: tuple[str, ...]) -> None:
        """Run unmeasured batch work so that the first round starts warm."""
        await self.operator.do(f'change placement policy {policies[0]}')
        span = _RoundSpan(policies[0], -1, time.monotonic())
        for second in range(WARM_UP_S):
            await self._sleep_until(span.started_at + second)
            await self._submit(span, 'warm', second)
        await self._cancel_remaining()

    async def _round(self, policy: str, cycle: int) -> None:
        await self.operator.do(f'change placement policy {policy}')
        data_centre = self.deployment.data_centres[0]
        span = _RoundSpan(policy, cycle, time.monotonic())
        self.spans.append(span)
        for second in range(ROUND_S):
            await self._sleep_until(span.started_at + second)
            if second == DRAIN_AT_S:
                await self.operator.do(f'drain data_centre {data_centre}')
            elif second == RETURN_AT_S:
                await self.operator.do(f'return data centre {data_centre}')
            await self._submit(span, f'r{len(self.spans)}', second)
        await self._sleep_until(span.started_at + ROUND_S)
        await self._cancel_remaining()

    async def _submit(
        self, span: _RoundSpan, prefix: str, second: int
    ) -> None:
        """Submit the batch tasks of one second."""
        wave = second < WAVE_END_S
        counts = {'menu': 5, 'rota': 5, 'plan': 6}
        if not wave:
            counts = {'menu': 8, 'rota': 8}
        argument = json.dumps({'run_s': RUN_S}).replace('"', '\\"')
        cores = self.deployment.task_cores
        for work_class, count in counts.items():
            await self.operator.do(
                f'start job {prefix}-{work_class}-{second}'
                f' team {self.deployment.team} class {work_class}'
                f' tasks {count} cores {cores} memory 1GB run time 3s'
                f' argument "{argument}"'
            )
            span.offered += count

    async def _cancel_remaining(self) -> None:
        """Cancel remaining jobs so that they don't affect the next round."""
        classes = ', '.join(BATCH_CLASSES)
        await self.operator.do(f'cancel jobs where class in ({classes})')
        await trio.sleep(SETTLE_S)

    async def _sleep_until(self, at: float) -> None:
        await trio.sleep(max(0.0, at - time.monotonic()))

    async def _send_periodically(self, service: str) -> None:
        """Send requests at a fixed interval without awaiting responses."""
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                entry = self.system.entries[number % len(self.system.entries)]
                url = f'{entry.callers_url}/services/{service}/quick'
                nursery.start_soon(self._send_request, url)
                number += 1
                await trio.sleep(REQUEST_INTERVAL_S)

    async def _send_request(self, url: str) -> None:
        sent_at = time.monotonic()
        try:
            response = await self.callers.get(url)
            succeeded = response.status_code == 200
        except httpx.HTTPError:
            succeeded = False
        elapsed_s = time.monotonic() - sent_at
        self.requests.append(_Request(sent_at, elapsed_s, succeeded))

    async def _apply_slowdowns(self, host: fleet.Host) -> None:
        """Apply the slowdown reported by a worker to its backend server."""
        while True:
            try:
                response = await self.client.get(f'{host.worker_url}/usage')
                slowdowns_seen = [
                    float(item['slowdown'])
                    for item in response.json()['usage']
                    if item['work_class'] in SERVICES.values()
                ]
                slowdown = max(slowdowns_seen, default=1.0)
                await self.client.put(
                    f'{host.backend_url}/admin/behaviour',
                    json={'service_ms': BASE_SERVICE_MS * slowdown},
                )
                if slowdowns_seen:
                    self.slowdowns.append((time.monotonic(), slowdown))
            except httpx.HTTPError:
                pass  # the next reading replaces this one
            await trio.sleep(USAGE_READ_INTERVAL_S)

    def _summarise_round(
        self, span: _RoundSpan, runs: tuple[task_history.Run, ...]
    ) -> Round:
        since, until = (span.started_at + at for at in WAVE_REQUESTS_S)
        sent = [r for r in self.requests if since <= r.sent_at < until]
        latencies = sorted(r.latency_s for r in sent if r.succeeded)
        slowdowns = [s for at, s in self.slowdowns if since <= at < until]
        out_at, end = span.started_at + DRAIN_AT_S, span.started_at + ROUND_S
        batch = [r for r in runs if r.owner not in SERVICES]
        done = [r.ended for r in batch if r.event == 'finished']
        return Round(
            self.deployment.name,
            span.policy,
            span.cycle,
            1000 * _quantile(latencies, 0.5),
            1000 * _quantile(latencies, 0.99),
            len(sent),
            len(sent) - len(latencies),
            span.offered,
            sum(span.started_at <= at < out_at for at in done),
            sum(out_at <= at < end for at in done),
            sum(
                r.event in ('stopped', 'checkpointed', 'failed')
                and span.started_at <= r.ended < end
                for r in batch
            ),
            sum(slowdowns) / max(1, len(slowdowns)),
            {
                name: sum(
                    f'-{name}-' in r.owner
                    and r.event == 'finished'
                    and span.started_at <= r.ended < end
                    for r in batch
                )
                for name in BATCH_CLASSES
            },
        )


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
