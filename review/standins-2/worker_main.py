"""Runs one worker as a process of its own, until its input ends.

The argument is a JSON object: the settings of the worker, and ``plans``, rows
of a prefix of task names and the work of such a task in seconds. A GET of
``/review`` returns what runs and the first start of each job.
"""

import asyncio
import json
import sys

import worker


def main():
    settings = json.loads(sys.argv[1])
    plans = settings.pop('plans')
    first_starts = {}

    def plan_of(task):
        for prefix, work_s in plans:
            if task.startswith(prefix):
                return worker.Plan(work_s)
        return worker.Plan(1.0)

    def log(kind, **fields):
        if kind == 'start':
            job = fields['task'].partition('.')[0]
            first_starts.setdefault(job, fields['task'])

    class Reporting(worker.Worker):
        async def handle(self, req):
            if req.path == '/review':
                return 200, {
                    'running': len(self.runs),
                    'fence': self.fence,
                    'jobs': sorted(first_starts),
                }
            return await super().handle(req)

    item = Reporting(plan_of=plan_of, log=log, **settings)

    async def run():
        task = asyncio.create_task(item.run())
        await asyncio.to_thread(sys.stdin.read)
        task.cancel()

    asyncio.run(run())


if __name__ == '__main__':
    main()
