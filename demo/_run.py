"""Demo scenario: services, batch jobs and the drain of a data centre."""

import contextlib
import json
import pathlib
import time

import httpx
import trio
import uuid_utils

from demo import _callers
from demo import _checks
from standins import fleet
from standins import operator_client
from standins import processes
from standins import task_history

DATA_CENTRES = ('leicester', 'birmingham', 'wolverhampton')
DRAINED_DATA_CENTRE = 'leicester'
HTTP_CLIENT_COUNT = 16
DRAIN_START_LIMIT_S = 3.0
LEAVE_BOUND_S = 3.0
PLAN_TASKS = 24
PLAN_RUN_S = 4.0
SETUP_COMMANDS = (
    'change team harrowfield quota cores 48 memory 180GB',
    'change team cantabrico quota cores 48 memory 180GB',
    'start service planner team harrowfield class quick replicas 3 cores 1'
    ' memory 1GB',
    'start service seats team cantabrico class quick replicas 6 cores 1'
    ' memory 1GB',
    'start service feeds team cantabrico class quick replicas 3 cores 1'
    ' memory 1GB',
)


async def main(directory: str) -> int:
    """Run the demo.

    :param directory: an empty directory for settings, keys and logs.
    :returns: exit code, 0 if every check passed.
    """
    directory_path = pathlib.Path(directory)
    checks = _checks.Checklist()
    async with contextlib.AsyncExitStack() as stack:
        clients = tuple(
            [
                await stack.enter_async_context(_client())
                for _ in range(HTTP_CLIENT_COUNT)
            ]
        )
        with processes.ProcessGroup(directory_path / 'logs') as group:
            plan = fleet.FleetPlan(data_centres=DATA_CENTRES)
            system = fleet.Fleet(plan, directory_path, group)
            demo = Demo(system, clients, checks)
            try:
                await demo.run()
            except* (AssertionError, TimeoutError, httpx.HTTPError) as group:
                reason = repr(group.exceptions[0])
                checks.add('the demo ran to its end', False, reason)
    return checks.print_summary()


def _client() -> httpx.AsyncClient:
    limits = httpx.Limits(max_connections=400)
    return httpx.AsyncClient(timeout=15.0, limits=limits, trust_env=False)


class Demo:
    """Runs the scenario against a fleet and records the checks.

    :param system: the fleet.
    :param clients: HTTP clients; requests rotate over them.
    :param checks: receives the results.
    """

    def __init__(
        self,
        system: fleet.Fleet,
        clients: tuple[httpx.AsyncClient, ...],
        checks: _checks.Checklist,
    ) -> None:
        self.system = system
        self.client = client = clients[0]
        self.checks = checks
        self.operator = operator_client.OperatorClient(
            client, tuple(e.operators_url for e in system.entries)
        )
        self.callers = _callers.Callers(clients, system.entries)
        self.background_stats = _callers.ResponseStats()
        self.feed_event_ids: list[int] = []

    async def run(self) -> None:
        """Start, exercise and stop the system."""
        started_at = time.monotonic()
        await self.system.start(self.client)
        self.checks.add(
            'all processes are ready',
            True,
            f'{len(self.system.group.names())} processes in '
            f'{time.monotonic() - started_at:.1f} s',
        )
        await self._create_services()
        stop = trio.Event()
        feed_stop = trio.Event()
        async with trio.open_nursery() as nursery:
            for service, method in (('seats', 'GET'), ('planner', 'PUT')):
                nursery.start_soon(
                    self.callers.send_periodically,
                    service,
                    self.background_stats,
                    stop,
                    0.02,
                    '/quick',
                    method,
                )
            nursery.start_soon(
                self.callers.watch_readiness, self.system.entries
            )
            nursery.start_soon(
                self.callers.follow_feed,
                'feeds',
                self.feed_event_ids,
                feed_stop,
            )
            await self._check_requests()
            await self._check_batch_jobs()
            await self._check_service_change()
            await self._check_entry_restart()
            feed_stop.set()
            stop.set()
            await trio.sleep(2.0)
            nursery.cancel_scope.cancel()
        self._check_background()
        await self._check_graceful_stop()
        self._check_task_runs()

    async def _create_services(self) -> None:
        for command in SETUP_COMMANDS:
            await self.operator.do(command)
        took_s = await processes.wait_for(
            lambda: self._has_announced(
                {'planner': 3, 'seats': 6, 'feeds': 3}
            ),
            'backend servers announced',
            20.0,
        )
        self.checks.add(
            'services are placed and announced', True, f'{took_s:.1f} s'
        )

    async def _has_announced(self, expected_counts: dict[str, int]) -> bool:
        rows = await self.operator.rows('show backend servers')
        counts = dict.fromkeys(expected_counts, 0)
        for row in rows:
            if row['service'] in counts and not row['leaving']:
                counts[row['service']] += 1
        return counts == expected_counts

    # Callers' requests

    async def _check_requests(self) -> None:
        await self._check_concurrent_updates()
        await self._check_idempotent_request()
        await self._check_exclusive_requests()
        await self._check_large_response()

    async def _check_concurrent_updates(self) -> None:
        stats = _callers.ResponseStats()
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(
                    self.callers.send_request,
                    'PUT',
                    'planner',
                    '/quick',
                    stats,
                )
        self.checks.add(
            'each headcount update gets its own whole answer',
            stats.complete_count == 100,
            f'{stats.complete_count} of 100, '
            f'p99 {stats.percentile_ms(0.99):.0f} ms',
        )

    async def _check_idempotent_request(self) -> None:
        """Send one idempotent request three times over both entries."""
        key = str(uuid_utils.uuid7())
        stats = _callers.ResponseStats()
        for _ in range(3):
            await self.callers.send_request(
                'POST',
                'planner',
                '/quick',
                stats,
                key='order-1',
                idempotency_key=key,
            )
        runs = await self._runs_by_key('order-1')
        self.checks.add(
            'an order sent three times runs once',
            runs == 1 and stats.complete_count == 3,
            f'{runs} run, {stats.complete_count} equal answers',
        )

    async def _check_exclusive_requests(self) -> None:
        stats = _callers.ResponseStats()
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(self._send_seat_request, stats)
        overlaps = await self._overlapping_runs('seat-12')
        self.checks.add(
            'checks of one seat never run at the same time',
            overlaps == 0 and stats.complete_count >= 1,
            f'{overlaps} overlaps in {stats.complete_count} runs',
        )

    async def _send_seat_request(self, stats: _callers.ResponseStats) -> None:
        await self.callers.send_request(
            'POST',
            'seats',
            '/quick?ms=100',
            stats,
            key='seat-12',
            citronrail_exclusive='seat-12',
        )

    async def _check_large_response(self) -> None:
        url = f'{self.system.entries[0].callers_url}/services/planner'
        response = await self.client.get(f'{url}/large?bytes=5000000')
        self.checks.add(
            'a large answer comes whole',
            len(response.content) == 5_000_000,
            f'{len(response.content)} bytes',
        )

    async def _backend_runs(self) -> list[dict[str, object]]:
        runs: list[dict[str, object]] = []
        for host in self.system.hosts:
            response = await self.client.get(
                f'{host.backend_url}/admin/history'
            )
            runs.extend(response.json()['runs'])
        return runs

    async def _runs_by_key(self, key: str) -> int:
        return sum(run['key'] == key for run in await self._backend_runs())

    async def _overlapping_runs(self, key: str) -> int:
        intervals = sorted(
            (float(str(run['started'])), float(str(run['ended'])))
            for run in await self._backend_runs()
            if run['key'] == key
        )
        return sum(
            later[0] < earlier[1]
            for earlier, later in zip(intervals, intervals[1:])
        )

    # Batch work

    async def _check_batch_jobs(self) -> None:
        argument = json.dumps({'run_s': PLAN_RUN_S}).replace('"', '\\"')
        await self.operator.do(
            f'start job plan team cantabrico class plan tasks {PLAN_TASKS}'
            f' cores 2 memory 2GB run time 4s argument "{argument}"'
        )
        rota = json.dumps({'run_s': 2.0, 'result': 'rota'}).replace('"', '\\"')
        await self.operator.do(
            f'start job rota team harrowfield class rota tasks 1 cores 1'
            f' memory 1GB run time 2s urgent exclusive argument "{rota}"'
        )
        await processes.wait_for(
            lambda: self._has_running('plan', PLAN_TASKS // 2),
            'plan is running',
            10.0,
        )
        await self._check_drain_and_return()
        await self._check_job_completes('plan', PLAN_TASKS)
        await self._check_job_completes('rota', 1)

    async def _check_drain_and_return(self) -> None:
        reply = await self.operator.do(
            f'drain data_centre {DRAINED_DATA_CENTRE}'
        )
        accepted_at = time.monotonic()
        self.checks.add(
            'a data centre is taken out',
            True,
            f'settings version {reply.settings_version}',
        )
        await processes.wait_for(
            self._is_drained, f'{DRAINED_DATA_CENTRE} is empty', 30.0, 0.2
        )
        emptied_s = time.monotonic() - accepted_at
        await trio.sleep(max(0.0, DRAIN_START_LIMIT_S + 2.0 - emptied_s))
        returned_at = time.monotonic()
        late_starts = task_history.started_in(
            self._task_runs(),
            DRAINED_DATA_CENTRE,
            accepted_at + DRAIN_START_LIMIT_S,
            returned_at,
        )
        self.checks.add(
            f'no task starts in {DRAINED_DATA_CENTRE} '
            f'{DRAIN_START_LIMIT_S:.0f} s after that',
            not late_starts,
            f'{len(late_starts)} late starts; empty after {emptied_s:.1f} s',
        )
        await self.operator.do(f'return data_centre {DRAINED_DATA_CENTRE}')
        await self.operator.do(
            'start job after team cantabrico class plan tasks 24 cores 4'
            ' memory 1GB run time 1s argument "{\\"run_s\\": 1.0}"'
        )
        took_s = await processes.wait_for(
            lambda: self._has_started_since(DRAINED_DATA_CENTRE, returned_at),
            f'work starts in {DRAINED_DATA_CENTRE} again',
            40.0,
        )
        self.checks.add(
            f'{DRAINED_DATA_CENTRE} takes work again after its return',
            True,
            f'{took_s:.1f} s',
        )

    async def _has_running(self, job: str, count: int) -> bool:
        rows = await self.operator.rows(f'show jobs where job = {job}')
        return bool(rows) and rows[0]['running'] >= count

    async def _is_drained(self) -> bool:
        return not any(
            run.data_centre == DRAINED_DATA_CENTRE and run.event == 'running'
            for run in self._task_runs()
        )

    async def _has_started_since(self, data_centre: str, since: float) -> bool:
        return bool(
            task_history.started_in(
                self._task_runs(), data_centre, since, float('inf')
            )
        )

    async def _check_job_completes(self, job: str, tasks: int) -> None:
        took_s = await processes.wait_for(
            lambda: self._is_job_finished(job), f'{job} finished', 60.0, 0.2
        )
        counts = task_history.finished(self._task_runs(), job)
        finished_once = sum(count == 1 for count in counts.values())
        self.checks.add(
            f'every task of {job} finishes exactly once',
            finished_once == tasks and len(counts) == tasks,
            f'{finished_once} of {tasks}, {took_s:.1f} s later',
        )

    async def _is_job_finished(self, job: str) -> bool:
        rows = await self.operator.rows(f'show jobs where job = {job}')
        return bool(rows) and rows[0]['state'] == 'finished'

    def _task_runs(self) -> tuple[task_history.Run, ...]:
        return tuple(
            run
            for host in self.system.hosts
            for run in task_history.read_runs(
                self.system.history_file(host), host.worker, host.data_centre
            )
        )

    # Service changes and planned stops

    async def _check_service_change(self) -> None:
        await self.operator.do('change service feeds replicas 2')
        took_s = await processes.wait_for(
            lambda: self._has_announced({'feeds': 2}), 'feeds changed', 30.0
        )
        self.checks.add('a service is changed', True, f'{took_s:.1f} s')
        first, second = await self._send_conflicting_commands()
        winners = [reply for reply in (first, second) if reply.done]
        losers = [reply for reply in (first, second) if not reply.done]
        self.checks.add(
            'of two conflicting commands one wins and the other is told',
            len(winners) == 1 and losers[0].outcome == 'not run',
            losers[0].message if losers else 'both won',
        )

    async def _send_conflicting_commands(
        self,
    ) -> tuple[operator_client.Reply, operator_client.Reply]:
        version = (
            await self.operator.do('show settings limit 1')
        ).settings_version
        replies: dict[int, operator_client.Reply] = {}

        async def send(number: int) -> None:
            replies[number] = await self.operator.send(
                f'change service seats latency target {40 + number}ms'
                f' if version {version}',
                url=self.operator.urls[number],
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, 0)
            nursery.start_soon(send, 1)
        return replies[0], replies[1]

    async def _check_entry_restart(self) -> None:
        """Stop and restart one entry gracefully under load."""
        entry = self.system.entries[0]
        problems_before = len(self.background_stats.problems)
        started_at = time.monotonic()
        code = await self.system.group.stop(entry.name)
        took_s = time.monotonic() - started_at
        self.system.group.restart(entry.name)
        await processes.wait_until_ready(
            self.client, f'{entry.callers_url}/readyz'
        )
        await trio.sleep(1.0)
        failed_requests = len(self.background_stats.problems) - problems_before
        self.checks.add(
            'a planned stop of an entry cuts off no request',
            code == 0 and failed_requests == 0,
            f'{failed_requests} cut, '
            f'stopped in {took_s:.1f} s with exit code {code}',
        )

    def _check_background(self) -> None:
        stats = self.background_stats
        total = sum(stats.outcomes.values())
        self.checks.add(
            'all other requests get their own whole answer',
            stats.complete_count == total,
            f'{stats.complete_count} of {total}, '
            f'p50 {stats.percentile_ms(0.5):.1f} ms,'
            f' p99 {stats.percentile_ms(0.99):.1f} ms',
        )
        for problem in stats.problems[:5]:
            print(f'            {problem}')
        expected = list(range(1, len(self.feed_event_ids) + 1))
        self.checks.add(
            'the feed has every event once and in order',
            self.feed_event_ids == expected and len(self.feed_event_ids) > 20,
            f'{len(self.feed_event_ids)} events',
        )

    async def _check_graceful_stop(self) -> None:
        codes = await self.system.stop()
        nonzero_codes = {name: code for name, code in codes.items() if code}
        self.checks.add(
            'every process stops gracefully',
            not nonzero_codes,
            nonzero_codes or len(codes),
        )

    def _check_task_runs(self) -> None:
        runs = self._task_runs()
        overlaps = task_history.overlapping(runs)
        self.checks.add(
            'no task ever runs in two places', not overlaps, len(overlaps)
        )
        resumed_twice_runs = task_history.resumed_twice(runs)
        self.checks.add(
            'every checkpoint is resumed at most once',
            not resumed_twice_runs,
            f'{sum(bool(r.resumed) for r in runs)} resumed, '
            f'{len(resumed_twice_runs)} doubled',
        )
