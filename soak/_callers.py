"""Callers that hand jobs in, ask for them, and check what they are told."""

import collections.abc
import dataclasses
import random

import httpx
import trio

from soak import _deployment
from standins import task_worker

INTERVAL_S = 0.15
CANCEL_SHARE = 0.1
WAIT_S = 3.0
RETRY_S = 0.3
FINAL_STATES = ('completed', 'failed', 'cancelled')


@dataclasses.dataclass
class Submitted:
    """A job and what its caller knows of it."""

    widths: tuple[int, ...]  # tasks of each step; each follows the last
    accepted: bool = False
    maybe: bool = False  # an attempt was not answered
    cancel_sent: bool = False
    state: str = ''

    def tasks(self, job_id: str) -> collections.abc.Iterator[str]:
        """Iterate over the names of its tasks."""
        for step, width in enumerate(self.widths):
            for index in range(width):
                yield f'{job_id}.0.{step}.{index}'


class Callers:
    """Keeps handing jobs in, over connections that stay open.

    :param system: the deployment.
    :param rng: source of chance.
    """

    def __init__(
        self, system: _deployment.Deployment, rng: random.Random
    ) -> None:
        self._system = system
        self._rng = rng
        self.jobs: dict[str, Submitted] = {}
        self.broken: list[str] = []  # promises
        self._client = httpx.AsyncClient(
            trust_env=False,
            timeout=WAIT_S,
            headers={
                'Host': _deployment.HOST_NAME,
                'Deadline-Ms': str(int(WAIT_S * 1000)),
            },
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def run(self, seconds: float) -> None:
        """Hand jobs in for some time, and look after each."""
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < deadline:
                await trio.sleep(self._rng.uniform(0.0, 2 * INTERVAL_S))
                job_id = f'{self._rng.getrandbits(64):016x}'
                widths = tuple(
                    self._rng.randint(1, 3)
                    for _ in range(self._rng.randint(1, 2))
                )
                self.jobs[job_id] = Submitted(widths)
                nursery.start_soon(self._look_after, job_id)

    async def _look_after(self, job_id: str) -> None:
        job = self.jobs[job_id]
        for _ in range(4):
            status = await self._submit(job_id)
            if status == 200:
                job.accepted = True
                break
            # Anything but a clear rejection may have been stored.
            job.maybe = job.maybe or status not in (429, 503)
            await trio.sleep(RETRY_S)
        if job.accepted and self._rng.random() < CANCEL_SHARE:
            job.cancel_sent = True
            await self._call('DELETE', job_id)
        for _ in range(3):
            await trio.sleep(self._rng.uniform(0.1, 2.0))
            await self.ask(job_id)

    async def _submit(self, job_id: str) -> int:
        steps = [
            {'count': width, 'cpu': 100, 'memMb': 100, 'estimateMs': 500}
            | ({'after': [number - 1]} if number else {})
            for number, width in enumerate(self.jobs[job_id].widths)
        ]
        res = await self._call('POST', job_id, {'spec': 's', 'steps': steps})
        return res.status_code if res is not None else 0

    async def ask(self, job_id: str) -> None:
        """Ask for a job's state and check it."""
        job = self.jobs[job_id]
        accepted = job.accepted
        res = await self._call('GET', job_id)
        if res is None or res.status_code in (503, 504):
            return
        if res.status_code == 410:
            if accepted:
                self.broken.append(f'{job_id} was accepted and is not known')
            return
        state = res.json()['state']
        if job.state in FINAL_STATES and state != job.state:
            self.broken.append(f'{job_id} was {job.state} and is {state}')
        if not (accepted or job.maybe or job.accepted):
            self.broken.append(f'{job_id} was rejected and is {state}')
        if state == 'cancelled' and not job.cancel_sent:
            self.broken.append(f'{job_id} is cancelled, which nobody asked')
        if state == 'completed':
            self._check_complete(job_id)
        job.state = state

    def _check_complete(self, job_id: str) -> None:
        records = self._system.history.tasks
        for task in self.jobs[job_id].tasks(job_id):
            if task not in records or records[task].done_at is None:
                self.broken.append(f'{job_id} is completed, but not {task}')

    def open_jobs(self) -> list[str]:
        """Return the accepted jobs that are not known to have ended."""
        return [
            job_id
            for job_id, job in self.jobs.items()
            if job.accepted and job.state not in FINAL_STATES
        ]

    def check_history(self) -> list[str]:
        """Return the promises that workers saw broken."""
        broken = list(self._system.history.violations)
        for name, record in self._system.history.tasks.items():
            broken += self._check_task(name, record)
        return broken

    def _check_task(
        self, name: str, record: task_worker.TaskRecord
    ) -> collections.abc.Iterator[str]:
        job_id, _, step, _ = name.split('.')
        job = self.jobs.get(job_id)
        if job is None or not (job.accepted or job.maybe):
            yield f'{name} was started and not accepted'
            return
        if not record.starts:
            return
        records = self._system.history.tasks
        for index in range(job.widths[int(step) - 1] if int(step) else 0):
            before = records.get(f'{job_id}.0.{int(step) - 1}.{index}')
            if (
                before is None
                or before.done_at is None
                or before.done_at > record.starts[0]
            ):
                yield f'{name} was started before step {int(step) - 1} ended'

    async def _call(
        self,
        method: str,
        job_id: str,
        body: dict[str, object] | None = None,
    ) -> httpx.Response | None:
        entry = self._rng.choice(self._system.entries)
        url = f'http://{entry.ip}:{_deployment.CALLERS_PORT}'
        try:
            return await self._client.request(
                method, url + _deployment.PREFIX + job_id, json=body
            )
        except httpx.HTTPError:
            return None  # not answered; what became of it isn't known
