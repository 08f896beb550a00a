"""Random faults around submissions: an acknowledged job is never lost.

Each example is one seed. Callers submit jobs and repeat unanswered ones at
other entries, as on the platform, while faults of the store, the links and
the processes overlap. Many seeds are played by hand with ``python -m
citronrail.workflow.tests.test_acknowledged_jobs FIRST LAST``.
"""

import collections
import dataclasses
import math
import random
import sys
import time

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from citronrail.model import load_settings
from citronrail import workflow
from citronrail.workflow.tests import _cluster
from citronrail.workflow.tests import _flawed_store
from standins import key_value
from standins import task_worker

Fault = key_value.LinkFault
V = workflow.Verdict
FAULTS_S = 25.0
CALM_S = 40.0
# From the acknowledgement until a job has to be shown, in seconds.
VISIBLE_S = 3.0
DEADLINE_S = 2.5
ATTEMPTS = 5
# Retention of ended jobs: with RETENTION_RATIO 27 s, longer than the attempts
# of a caller (19 s) and the latest write (6 s), as on the platform.
RETIRE_S = 18.0
MODES = {
    'small': load_settings.OFF,
    'large': load_settings.LoadSettings(
        relay=True, fast_takeover=True, fit_best_effort=True
    ),
    'admission': load_settings.LoadSettings(
        relay=True, fast_takeover=True, admission=True
    ),
}
UNIX_START = 1.8e9


class Cluster(_cluster.SimulatedCluster):
    """A cluster whose entries have links to a flawed store."""

    def __init__(self, seed: int, load, keep_ended_s: float) -> None:
        super().__init__(seed, entries=5, workers=4, load=load, cpu_millis=900)
        self.store = _flawed_store.FlawedStore(self.rng)
        self.links: dict[str, key_value.StoreLink] = {}
        self.bounds = dataclasses.replace(
            self.bounds, keep_ended_s=keep_ended_s
        )

    def store_of(self, name: str) -> key_value.StoreLink:
        """Return an entry's link, which outlives its process."""
        if name not in self.links:
            self.links[name] = key_value.StoreLink(self.store, self.rng)
        return self.links[name]


class Faults:
    """Injects random faults, which may overlap, and knows who is in touch."""

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.cut: collections.Counter[str] = collections.Counter()
        self.changed_at: dict[str, float] = {}
        self.log: list[str] = []
        self._held: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._kinds = (
            self.cut_from_store,
            self.cut_from_store,
            self.late_writes,
            self.lost_answers,
            self.compaction,
            self.outage,
            self.lapsed_leases,
            self.lost_power,
            self.restart,
            self.partition,
            self.slow_network,
            self.pages,
        )

    async def run(self) -> None:
        """Inject faults for a while, and wait until all have ended."""
        until = trio.current_time() + FAULTS_S
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self._inject, self.rng.choice(self._kinds))
                await trio.sleep(self.rng.uniform(0.3, 3.0))

    async def _inject(self, kind) -> None:
        began_at = trio.current_time()
        await kind()
        self.log.append(
            f'{kind.__name__} {began_at:.1f} to {trio.current_time():.1f}'
        )

    def in_touch(self, name: str, for_s: float) -> bool:
        """Whether an entry has had no fault for a time."""
        now = trio.current_time()
        return (
            not self.cut[name]
            and not self.cut['']
            and now - self.changed_at.get(name, 0.0) >= for_s
            and now - self.changed_at.get('', 0.0) >= for_s
            and name in self.cluster.entries
        )

    async def _affected(self, kind, names, least, most) -> list[str]:
        """Wait while entries are out of touch; '' stands for all.

        :returns: those that no other fault of this kind affects.
        """
        for name in names:
            self.cut[name] += 1
            self._held[kind, name] += 1
        await trio.sleep(self.rng.uniform(least, most))
        for name in names:
            self.cut[name] -= 1
            self._held[kind, name] -= 1
            self.changed_at[name] = trio.current_time()
        return [name for name in names if not self._held[kind, name]]

    async def cut_from_store(self) -> None:
        names = sorted(self.cluster.links)
        names = self.rng.sample(names, self.rng.choice((1, 2, 3)))
        fault = self.rng.choice(list(Fault)[1:])
        for name in names:
            self.cluster.links[name].set_fault(fault)
        for name in await self._affected('link', names, 1.0, 8.0):
            self.cluster.links[name].set_fault(Fault.NONE)

    async def late_writes(self) -> None:
        self.cluster.store.flaws.late_share = self.rng.choice((0.2, 0.5, 0.9))
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        self.cluster.store.flaws.late_share = 0.0

    async def lost_answers(self) -> None:
        self.cluster.store.set_faults(lose_answers=self.rng.randint(1, 8))

    async def compaction(self) -> None:
        store = self.cluster.store
        store.flaws.deaf = True
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        store.state.compact(store.state.revision)
        if self.rng.random() < 0.5:
            store.drop_watches()
        store.flaws.deaf = False

    async def outage(self) -> None:
        self.cluster.store.set_faults(
            outage=True, pause_leases=self.rng.random() < 0.5
        )
        if await self._affected('outage', [''], 0.3, 5.0):
            self.cluster.store.set_faults(outage=False)

    async def lapsed_leases(self) -> None:
        self.cluster.store.lapse_leases()

    async def lost_power(self) -> None:
        cluster = self.cluster
        entries = sorted(cluster.entries)
        agents = {n: a.worker for n, a in sorted(cluster.agents.items())}
        for name in entries:
            cluster.kill_entry(name)
        for name in agents:
            cluster.kill_agent(name)
        await self._affected('power', entries, 0.3, 2.0)
        for name in entries:
            cluster.start_entry(name)
        for name, worker in agents.items():
            cluster.start_agent(name, worker)

    async def restart(self) -> None:
        if not self.cluster.entries:
            return
        name = self.rng.choice(sorted(self.cluster.entries))
        self.cluster.kill_entry(name)
        await self._affected('restart', [name], 0.1, 3.0)
        self.cluster.start_entry(name)

    async def partition(self) -> None:
        name = self.rng.choice(sorted(self.cluster.links))
        self.cluster.cut(name)
        for free in await self._affected('partition', [name], 0.5, 8.0):
            self.cluster.cut(free, False)

    async def slow_network(self) -> None:
        names = sorted(self.cluster.links)
        pairs = [(a, b) for a in names for b in names if a != b]
        for pair in pairs:
            faults = self.cluster.network.faults(*pair)
            faults.delay_s = self.rng.choice((0.2, 0.6))
            faults.double_share = self.rng.choice((0.0, 0.3))
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        for pair in pairs:
            self.cluster.network.faults(*pair).delay_s = 0.0
            self.cluster.network.faults(*pair).double_share = 0.0

    async def pages(self) -> None:
        self.cluster.store.flaws.page_items = self.rng.choice((1, 3))
        await trio.sleep(self.rng.uniform(1.0, 6.0))
        self.cluster.store.flaws.page_items = 0


class Callers:
    """Submits jobs, asks for them, and notes what contradicts the answers."""

    def __init__(
        self, cluster: Cluster, faults: Faults, rng: random.Random
    ) -> None:
        self.cluster = cluster
        self.faults = faults
        self.rng = rng
        self.verdicts = collections.defaultdict(list)
        self.acknowledged: dict[str, float] = {}
        self.final: dict[str, float] = {}
        self.tasks: dict[str, int] = {}
        self.wrong: list[str] = []

    async def run(self, nursery: trio.Nursery) -> None:
        """Submit jobs until cancelled."""
        number = 0
        while True:
            job_id = f'{number:016x}'
            self.cluster.plans[job_id] = task_worker.TaskPlan(
                work_s=self.rng.uniform(0.3, 2.0)
            )
            nursery.start_soon(self._submit, nursery, job_id)
            number += 1
            await trio.sleep(self.rng.uniform(0.2, 1.2))

    async def _submit(self, nursery: trio.Nursery, job_id: str) -> None:
        self.tasks[job_id] = self.rng.randint(1, 3)
        spec = _cluster.one_step(self.tasks[job_id])
        for _ in range(ATTEMPTS):
            verdict = await self._attempt(job_id, spec)
            self.verdicts[job_id].append(verdict)
            if verdict is V.DONE:
                self.acknowledged[job_id] = trio.current_time()
                nursery.start_soon(self._ask_often, job_id)
                if self.rng.random() < 0.2:
                    await trio.sleep(self.rng.uniform(0.5, 3.0))
                    await self._attempt(job_id, spec)
                return
            await trio.sleep(self.rng.choice((0.1, 1.0)))

    async def _attempt(self, job_id: str, spec) -> workflow.Verdict:
        """Make one attempt; the caller may give up on it."""
        entries = list(self.cluster.entries.values())
        if not entries:
            return V.UNKNOWN
        entry = self.rng.choice(entries)
        verdict = V.UNKNOWN
        began_at = trio.current_time()
        patience_s = self.rng.choice((0.3, 3.0, 3.0))
        with trio.move_on_after(patience_s):
            reply = await entry.service.submit(
                _cluster.QUEUE, job_id, spec, began_at + DEADLINE_S
            )
            verdict = reply.verdict
        if self.cluster.entries.get(entry.name) is not entry:
            return V.UNKNOWN  # the process has ended meanwhile
        return verdict

    async def _ask_often(self, job_id: str) -> None:
        await trio.sleep(VISIBLE_S)
        while job_id not in self.final:
            names = sorted(self.cluster.entries)
            for name in self.rng.sample(names, min(2, len(names))):
                await self.ask(job_id, name)
            await trio.sleep(self.rng.uniform(0.3, 2.0))

    async def ask(self, job_id: str, name: str) -> None:
        """Ask an entry for a job, and check its answer."""
        entry = self.cluster.entries.get(name)
        if entry is None:
            return
        began_at = trio.current_time()
        wait_s = self.rng.choice((0.2, 0.5, DEADLINE_S))
        reply = await entry.service.state(job_id, began_at + wait_s)
        now = trio.current_time()
        if self.cluster.entries.get(name) is not entry:
            return
        if now > began_at + wait_s + 0.15:
            self._note(f'{name} answered after {now - began_at:.2f} s')
        if reply.verdict is V.ABSENT:
            if now < self._kept_until(job_id):
                self._note(f'{job_id} is absent at {name}')
            else:
                self.final.setdefault(job_id, now)
            return
        if (
            reply.verdict is not V.DONE
            and wait_s == DEADLINE_S
            and self.faults.in_touch(name, 4.0 + now - began_at)
        ):
            self._note(f'{name} knows no state of {job_id}: {reply.verdict}')
        if reply.state == 'completed':
            self.final.setdefault(job_id, now)
            unfinished = [
                task
                for task, record in self.cluster.history.tasks.items()
                if task.startswith(job_id) and record.done_at is None
            ]
            if unfinished:
                self._note(f'{job_id} is completed without {unfinished}')
        elif reply.state in ('failed', 'cancelled'):
            self._note(f'{job_id} is {reply.state}')

    def _kept_until(self, job_id: str) -> float:
        """Return until when a job has to be shown, at least."""
        ends = [
            record.done_at
            for task, record in self.cluster.history.tasks.items()
            if task.startswith(job_id)
        ]
        if len(ends) < self.tasks[job_id] or None in ends:
            return math.inf
        return max(ends) + self.cluster.bounds.keep_ended_s

    async def check_end(self) -> None:
        """Check that each job has ended as its answers said."""
        limit = trio.current_time() + CALM_S
        while set(self.acknowledged) - set(self.final):
            if trio.current_time() > limit:
                missing = sorted(set(self.acknowledged) - set(self.final))
                self._note(f'not completed: {missing}')
                break
            await trio.sleep(0.5)
        started = {
            task.partition('.')[0] for task in self.cluster.history.tasks
        }
        for job_id, verdicts in self.verdicts.items():
            rejected = all(
                verdict in (V.NOT_RUN, V.UNFIT, V.OVERLOADED)
                for verdict in verdicts
            )
            if rejected and job_id in started:
                self._note(f'{job_id} was rejected and ran')

    def _note(self, text: str) -> None:
        self.wrong.append(f'{trio.current_time():.2f} {text}')


async def _play(seed: int, mode: str) -> tuple[list[str], list[str], int]:
    rng = random.Random(seed)
    cluster = Cluster(seed, MODES[mode], rng.choice((120.0, RETIRE_S)))
    faults = Faults(cluster, rng)
    callers = Callers(cluster, faults, rng)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        async with trio.open_nursery() as submitting:
            submitting.start_soon(callers.run, nursery)
            await faults.run()
            await trio.sleep(5.0)
            submitting.cancel_scope.cancel()
        await trio.sleep(8.0)  # attempts and late writes end
        await callers.check_end()
        await trio.sleep(8.0)  # delayed orders may still be carried out
        nursery.cancel_scope.cancel()
    wrong = callers.wrong + cluster.history.violations
    return wrong, faults.log, len(callers.acknowledged)


def check(seed: int, mode: str) -> int:
    """Play one seed; return the number of acknowledged jobs."""
    with pytest.MonkeyPatch.context() as patch:
        # Retention and acceptance are in Unix time.
        patch.setattr(time, 'time', _unix_time)
        clock = trio.testing.MockClock(autojump_threshold=0)
        wrong, log, jobs = trio.run(_play, seed, mode, clock=clock)
    assert not wrong, f'seed {seed}, {mode}: {wrong}; faults: {log}'
    return jobs


def _unix_time() -> float:
    try:
        return UNIX_START + trio.current_time()
    except RuntimeError:
        return UNIX_START


@pytest.mark.parametrize('mode', MODES)
@hypothesis.given(seed=st.integers(0, 2**32 - 1))
@hypothesis.settings(max_examples=2, deadline=None)
def test_acknowledged_jobs_are_kept_under_random_faults(mode, seed):
    """Guards against accepted jobs that are unknown, shown late or never run.

    It also guards against jobs that run although all attempts were rejected.
    """
    assert check(seed, mode) > 5


def main(first: int, last: int) -> None:
    """Play seeds in all modes, and write what contradicted the answers."""
    failed = jobs = 0
    for seed in range(first, last + 1):
        for mode in MODES:
            try:
                jobs += check(seed, mode)
            except AssertionError as exc:
                failed += 1
                sys.stdout.write(f'{str(exc)[:2000]}\n')
    sys.stdout.write(f'{failed} plays failed, {jobs} jobs acknowledged\n')


if __name__ == '__main__':
    main(int(sys.argv[1]), int(sys.argv[2]))
