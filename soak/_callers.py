"""Callers that submit jobs, poll their state and check the responses."""

import collections.abc
import dataclasses
import random

import httpx
import trio

from soak import _deployment
from standins import task_worker

MEAN_SUBMIT_INTERVAL_S = 0.15
CANCEL_PROBABILITY = 0.1
REQUEST_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.3
# What the users allow a task that crashes its workers, and what they demand
# before a job is given up for it.
MAX_CRASHES = 3
MAX_STARTS_AFTERWARDS = 2
MIN_CRASHES_TO_GIVE_UP = 2
FINAL_STATES = ('completed', 'failed', 'cancelled')


@dataclasses.dataclass
class SubmittedJob:
    """A submitted job and its state as known to the caller."""

    widths: tuple[int, ...]  # tasks per step; steps run in sequence
    accepted: bool = False
    maybe_accepted: bool = False  # a submission had no definite outcome
    cancel_sent: bool = False
    state: str = ''

    def tasks(self, job_id: str) -> collections.abc.Iterator[str]:
        """Iterate over the names of the tasks of this job."""
        for step, width in enumerate(self.widths):
            for index in range(width):
                yield f'{job_id}.0.{step}.{index}'


class Callers:
    """Submits jobs continuously over persistent connections.

    :param system: deployment under test.
    :param rng: random number generator.
    """

    def __init__(
        self, system: _deployment.Deployment, rng: random.Random
    ) -> None:
        self._system = system
        self._rng = rng
        self.jobs: dict[str, SubmittedJob] = {}
        self.violations: list[str] = []
        self._client = httpx.AsyncClient(
            trust_env=False,
            timeout=REQUEST_TIMEOUT_S,
            headers={
                'Host': _deployment.HOST_NAME,
                'Deadline-Ms': str(int(REQUEST_TIMEOUT_S * 1000)),
            },
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def run(self, seconds: float) -> None:
        """Submit jobs for ``seconds`` and follow each of them."""
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < deadline:
                await trio.sleep(
                    self._rng.uniform(0.0, 2 * MEAN_SUBMIT_INTERVAL_S)
                )
                job_id = f'{self._rng.getrandbits(64):016x}'
                widths = tuple(
                    self._rng.randint(1, 3)
                    for _ in range(self._rng.randint(1, 2))
                )
                self.jobs[job_id] = SubmittedJob(widths)
                nursery.start_soon(self._run_job, job_id)

    async def _run_job(self, job_id: str) -> None:
        job = self.jobs[job_id]
        for _ in range(4):
            status = await self._submit(job_id)
            if status == 200:
                job.accepted = True
                break
            # After any status but 429 or 503 the job may have been stored.
            job.maybe_accepted = job.maybe_accepted or status not in (429, 503)
            await trio.sleep(RETRY_DELAY_S)
        if job.accepted and self._rng.random() < CANCEL_PROBABILITY:
            job.cancel_sent = True
            await self._call('DELETE', job_id)
        for _ in range(3):
            await trio.sleep(self._rng.uniform(0.1, 2.0))
            await self.check_state(job_id)

    async def _submit(self, job_id: str) -> int:
        steps = [
            {'count': width, 'cpu': 100, 'memMb': 100, 'estimateMs': 500}
            | ({'after': [number - 1]} if number else {})
            for number, width in enumerate(self.jobs[job_id].widths)
        ]
        res = await self._call('POST', job_id, {'spec': 's', 'steps': steps})
        return res.status_code if res is not None else 0

    async def check_state(self, job_id: str) -> None:
        """Poll the state of a job and check it against earlier responses."""
        job = self.jobs[job_id]
        accepted = job.accepted
        res = await self._call('GET', job_id)
        if res is None or res.status_code in (503, 504):
            return
        if res.status_code == 410:
            if accepted:
                self.violations.append(
                    f'{job_id} was accepted but is now unknown'
                )
            return
        state = res.json()['state']
        if job.state in FINAL_STATES and state != job.state:
            self.violations.append(
                f'{job_id} changed from {job.state} to {state}'
            )
        if not (accepted or job.maybe_accepted or job.accepted):
            self.violations.append(f'{job_id} was rejected but is {state}')
        if state == 'cancelled' and not job.cancel_sent:
            self.violations.append(f'{job_id} is cancelled without a request')
        if state == 'completed':
            self._check_tasks_done(job_id)
        if state == 'failed':
            self._check_given_up(job_id)
        job.state = state

    def _check_tasks_done(self, job_id: str) -> None:
        records = self._system.history.tasks
        for task in self.jobs[job_id].tasks(job_id):
            if task not in records or records[task].done_at is None:
                self.violations.append(
                    f'{job_id} is completed but has unfinished {task}'
                )

    def _check_given_up(self, job_id: str) -> None:
        """Check that a task of a failed job has crashed two workers.

        Good work on workers that are lost for other reasons is not given up.
        """
        records = self._system.history.tasks
        crashes = [
            len(records[task].crashes)
            for task in self.jobs[job_id].tasks(job_id)
            if task in records and self._system.make_plan(task).crashes
        ]
        if max(crashes, default=0) < MIN_CRASHES_TO_GIVE_UP:
            self.violations.append(f'{job_id} has failed without a cause')

    def unfinished_jobs(self) -> list[str]:
        """Return the accepted jobs not yet seen in a final state."""
        return [
            job_id
            for job_id, job in self.jobs.items()
            if job.accepted and job.state not in FINAL_STATES
        ]

    def check_history(self) -> list[str]:
        """Return the invariant violations in the history of the workers."""
        violations = list(self._system.history.violations)
        for name, record in self._system.history.tasks.items():
            violations += self._check_task(name, record)
        return violations

    def _check_task(
        self, name: str, record: task_worker.TaskRecord
    ) -> collections.abc.Iterator[str]:
        job_id, _, step, _ = name.split('.')
        job = self.jobs.get(job_id)
        if job is None or not (job.accepted or job.maybe_accepted):
            yield f'{name} was started although its job was not accepted'
            return
        if not record.starts:
            return
        # Other tasks may run again as often as a worker is lost under them.
        if (
            self._system.make_plan(name).crashes
            and len(record.crashes) >= MAX_CRASHES
        ):
            last_counted_at = record.crashes[MAX_CRASHES - 1]
            later = sum(at > last_counted_at for at in record.starts)
            if later > MAX_STARTS_AFTERWARDS:
                yield f'{name} was started {later} times after three crashes'
        records = self._system.history.tasks
        for index in range(job.widths[int(step) - 1] if int(step) else 0):
            predecessor = records.get(f'{job_id}.0.{int(step) - 1}.{index}')
            if (
                predecessor is None
                or predecessor.done_at is None
                or predecessor.done_at > record.starts[0]
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
                method, url + _deployment.JOBS_PATH_PREFIX + job_id, json=body
            )
        except httpx.HTTPError:
            return None  # no response; the outcome of the request is unknown
