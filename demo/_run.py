"""The run of the demo: both users' work, a data centre out and back."""

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
OUT = 'leicester'
START_BOUND_S = 3.0
LEAVE_BOUND_S = 3.0
PLAN_TASKS = 24
PLAN_RUN_S = 4.0
SETUP = (
    'change team harrowfield quota cores 48 memory 180GB',
    'change team cantabrico quota cores 48 memory 180GB',
    'start service planner team harrowfield class quick replicas 3 cores 1'
    ' memory 1GB',
    'start service seats team cantabrico class quick replicas 6 cores 1'
    ' memory 1GB',
    'start service feeds team cantabrico class quick replicas 3 cores 1'
    ' memory 1GB',
)


async def main(folder: str) -> int:
    """Run the demo.

    :param folder: an empty folder for settings, keys and logs.
    :returns: exit code, 0 if every check held.
    """
    path = pathlib.Path(folder)
    checks = _checks.Checklist()
    limits = httpx.Limits(max_connections=400)
    async with httpx.AsyncClient(
        timeout=15.0, limits=limits, trust_env=False
    ) as client:
        with processes.ProcessGroup(path / 'logs') as group:
            plan = fleet.FleetPlan(data_centres=DATA_CENTRES)
            system = fleet.Fleet(plan, path, group)
            demo = Demo(system, client, checks)
            try:
                await demo.run()
            except* (AssertionError, TimeoutError, httpx.HTTPError) as group:
                reason = repr(group.exceptions[0])
                checks.add('the demo ran to its end', False, reason)
    return checks.close()


class Demo:
    """One run.

    :param system: the fleet.
    :param client: HTTP client.
    :param checks: where to record the checks.
    """

    def __init__(
        self,
        system: fleet.Fleet,
        client: httpx.AsyncClient,
        checks: _checks.Checklist,
    ) -> None:
        self.system = system
        self.client = client
        self.checks = checks
        self.operator = operator_client.OperatorClient(
            client, tuple(e.operators_url for e in system.entries)
        )
        self.callers = _callers.Callers(client, system.entries)
        self.background = _callers.Tally()
        self.events: list[int] = []

    async def run(self) -> None:
        """Start, use and stop the system."""
        began = time.monotonic()
        await self.system.start(self.client)
        self.checks.add(
            'all processes are ready',
            True,
            f'{len(self.system.group.names())} processes in '
            f'{time.monotonic() - began:.1f} s',
        )
        await self._create_services()
        stop = trio.Event()
        feed_stop = trio.Event()
        async with trio.open_nursery() as nursery:
            for service, method in (('seats', 'GET'), ('planner', 'PUT')):
                nursery.start_soon(
                    self.callers.keep_calling,
                    service,
                    self.background,
                    stop,
                    0.02,
                    '/quick',
                    method,
                )
            nursery.start_soon(
                self.callers.watch_readiness, self.system.entries
            )
            nursery.start_soon(
                self.callers.follow_feed, 'feeds', self.events, feed_stop
            )
            await self._callers_work()
            await self._batch_work()
            await self._change_service()
            await self._roll_entry()
            feed_stop.set()
            stop.set()
            await trio.sleep(2.0)
            nursery.cancel_scope.cancel()
        self._check_background()
        await self._stop()
        self._check_histories()

    async def _create_services(self) -> None:
        for command in SETUP:
            await self.operator.do(command)
        took_s = await processes.wait_for(
            lambda: self._announced({'planner': 3, 'seats': 6, 'feeds': 3}),
            'backend servers announced',
            20.0,
        )
        self.checks.add(
            'services are placed and announced', True, f'{took_s:.1f} s'
        )

    async def _announced(self, wanted: dict[str, int]) -> bool:
        rows = await self.operator.rows('show backend servers')
        counts = dict.fromkeys(wanted, 0)
        for row in rows:
            if row['service'] in counts and not row['leaving']:
                counts[row['service']] += 1
        return counts == wanted

    # Callers' requests

    async def _callers_work(self) -> None:
        await self._headcounts()
        await self._order()
        await self._seat_checks()
        await self._large_answer()

    async def _headcounts(self) -> None:
        tally = _callers.Tally()
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(
                    self.callers.call, 'PUT', 'planner', '/quick', tally
                )
        self.checks.add(
            'each headcount update gets its own whole answer',
            tally.whole == 100,
            f'{tally.whole} of 100, p99 {tally.percentile_ms(0.99):.0f} ms',
        )

    async def _order(self) -> None:
        """Place an order, and repeat it through the other entry."""
        key = str(uuid_utils.uuid7())
        tally = _callers.Tally()
        for _ in range(3):
            await self.callers.call(
                'POST',
                'planner',
                '/quick',
                tally,
                key='order-1',
                idempotency_key=key,
            )
        runs = await self._runs_by_key('order-1')
        self.checks.add(
            'an order sent three times runs once',
            runs == 1 and tally.whole == 3,
            f'{runs} run, {tally.whole} equal answers',
        )

    async def _seat_checks(self) -> None:
        tally = _callers.Tally()
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(self._seat_check, tally)
        overlaps = await self._overlapping_runs('seat-12')
        self.checks.add(
            'checks of one seat never run at the same time',
            overlaps == 0 and tally.whole >= 1,
            f'{overlaps} overlaps in {tally.whole} runs',
        )

    async def _seat_check(self, tally: _callers.Tally) -> None:
        await self.callers.call(
            'POST',
            'seats',
            '/quick?ms=100',
            tally,
            key='seat-12',
            citronrail_exclusive='seat-12',
        )

    async def _large_answer(self) -> None:
        url = f'{self.system.entries[0].callers_url}/services/planner'
        answer = await self.client.get(f'{url}/large?bytes=5000000')
        self.checks.add(
            'a large answer comes whole',
            len(answer.content) == 5_000_000,
            f'{len(answer.content)} bytes',
        )

    async def _histories(self) -> list[dict[str, object]]:
        runs: list[dict[str, object]] = []
        for host in self.system.hosts:
            answer = await self.client.get(f'{host.backend_url}/admin/history')
            runs.extend(answer.json()['runs'])
        return runs

    async def _runs_by_key(self, key: str) -> int:
        return sum(run['key'] == key for run in await self._histories())

    async def _overlapping_runs(self, key: str) -> int:
        spans = sorted(
            (float(str(run['started'])), float(str(run['ended'])))
            for run in await self._histories()
            if run['key'] == key
        )
        return sum(
            later[0] < earlier[1] for earlier, later in zip(spans, spans[1:])
        )

    # Batch work

    async def _batch_work(self) -> None:
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
            lambda: self._running('plan', PLAN_TASKS // 2),
            'plan is running',
            10.0,
        )
        await self._take_out()
        await self._finish('plan', PLAN_TASKS)
        await self._finish('rota', 1)

    async def _take_out(self) -> None:
        reply = await self.operator.do(f'drain data_centre {OUT}')
        accepted_at = time.monotonic()
        self.checks.add(
            'a data centre is taken out',
            True,
            f'settings version {reply.settings_version}',
        )
        await processes.wait_for(
            self._nothing_left, f'{OUT} is empty', 30.0, 0.2
        )
        emptied_s = time.monotonic() - accepted_at
        await trio.sleep(max(0.0, START_BOUND_S + 2.0 - emptied_s))
        returned_at = time.monotonic()
        late = task_history.started_in(
            self._runs(), OUT, accepted_at + START_BOUND_S, returned_at
        )
        self.checks.add(
            f'no task starts in {OUT} {START_BOUND_S:.0f} s after that',
            not late,
            f'{len(late)} late starts; empty after {emptied_s:.1f} s',
        )
        await self.operator.do(f'return data_centre {OUT}')
        await self.operator.do(
            'start job after team cantabrico class plan tasks 24 cores 4'
            ' memory 1GB run time 1s argument "{\\"run_s\\": 1.0}"'
        )
        took_s = await processes.wait_for(
            lambda: self._starts_in(OUT, returned_at),
            f'work starts in {OUT} again',
            40.0,
        )
        self.checks.add(
            f'{OUT} takes work again after its return',
            True,
            f'{took_s:.1f} s',
        )

    async def _running(self, job: str, count: int) -> bool:
        rows = await self.operator.rows(f'show jobs where job = {job}')
        return bool(rows) and rows[0]['running'] >= count

    async def _nothing_left(self) -> bool:
        return not any(
            run.data_centre == OUT and run.event == 'running'
            for run in self._runs()
        )

    async def _starts_in(self, data_centre: str, since: float) -> bool:
        return bool(
            task_history.started_in(
                self._runs(), data_centre, since, float('inf')
            )
        )

    async def _finish(self, job: str, tasks: int) -> None:
        took_s = await processes.wait_for(
            lambda: self._job_finished(job), f'{job} finished', 60.0, 0.2
        )
        counts = task_history.finished(self._runs(), job)
        once = sum(count == 1 for count in counts.values())
        self.checks.add(
            f'every task of {job} finishes exactly once',
            once == tasks and len(counts) == tasks,
            f'{once} of {tasks}, {took_s:.1f} s later',
        )

    async def _job_finished(self, job: str) -> bool:
        rows = await self.operator.rows(f'show jobs where job = {job}')
        return bool(rows) and rows[0]['state'] == 'finished'

    def _runs(self) -> tuple[task_history.Run, ...]:
        return tuple(
            run
            for host in self.system.hosts
            for run in task_history.read_runs(
                self.system.history_file(host), host.worker, host.data_centre
            )
        )

    # Changes and planned stops

    async def _change_service(self) -> None:
        await self.operator.do('change service feeds replicas 2')
        took_s = await processes.wait_for(
            lambda: self._announced({'feeds': 2}), 'feeds changed', 30.0
        )
        self.checks.add('a service is changed', True, f'{took_s:.1f} s')
        first, second = await self._race()
        winners = [reply for reply in (first, second) if reply.done]
        losers = [reply for reply in (first, second) if not reply.done]
        self.checks.add(
            'of two conflicting commands one wins and the other is told',
            len(winners) == 1 and losers[0].outcome == 'not run',
            losers[0].message if losers else 'both won',
        )

    async def _race(
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

    async def _roll_entry(self) -> None:
        """Stop and start one entry as planned, under load."""
        entry = self.system.entries[0]
        before = len(self.background.problems)
        began = time.monotonic()
        code = await self.system.group.stop(entry.name)
        took_s = time.monotonic() - began
        self.system.group.restart(entry.name)
        await processes.wait_until_ready(
            self.client, f'{entry.callers_url}/readyz'
        )
        await trio.sleep(1.0)
        cut = len(self.background.problems) - before
        self.checks.add(
            'a planned stop of an entry cuts off no request',
            code == 0 and cut == 0,
            f'{cut} cut, stopped in {took_s:.1f} s with exit code {code}',
        )

    def _check_background(self) -> None:
        tally = self.background
        total = sum(tally.answers.values())
        self.checks.add(
            'all other requests get their own whole answer',
            tally.whole == total,
            f'{tally.whole} of {total}, p50 {tally.percentile_ms(0.5):.1f} ms,'
            f' p99 {tally.percentile_ms(0.99):.1f} ms',
        )
        for problem in tally.problems[:5]:
            print(f'            {problem}')
        expected = list(range(1, len(self.events) + 1))
        self.checks.add(
            'the feed has every event once and in order',
            self.events == expected and len(self.events) > 20,
            f'{len(self.events)} events',
        )

    async def _stop(self) -> None:
        codes = await self.system.stop()
        wrong = {name: code for name, code in codes.items() if code}
        self.checks.add(
            'every process stops gracefully', not wrong, wrong or len(codes)
        )

    def _check_histories(self) -> None:
        runs = self._runs()
        overlaps = task_history.overlapping(runs)
        self.checks.add(
            'no task ever runs in two places', not overlaps, len(overlaps)
        )
        doubled = task_history.resumed_twice(runs)
        self.checks.add(
            'every checkpoint is resumed at most once',
            not doubled,
            f'{sum(bool(r.resumed) for r in runs)} resumed, '
            f'{len(doubled)} doubled',
        )
