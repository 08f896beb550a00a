"""Entry 29 of KNOWN-RED.txt: a task of three times its estimate, alone.

No case of the review, as no rule speaks of it. The script writes
``record.txt`` in the temporary folder; its exit status is 1 if the task does
not end within three times its run time.
"""

import asyncio
import pathlib
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

import deployment as standins  # noqa: E402

LONG = '00000000000000d1'
ESTIMATE_S = 8.0
WORK_S = 24.0
WAIT_S = 3 * WORK_S


async def case(deployment):
    await asyncio.sleep(6.0)
    deployment.work_s[LONG] = WORK_S
    step = {'count': 1, 'cpu': 1000, 'memMb': 256}
    step['estimateMs'] = round(ESTIMATE_S * 1000)
    if not await deployment.submit(LONG, {'spec': 'l', 'steps': [step]}):
        raise standins.CannotRun('the job was not accepted')
    final = ('completed', 'failed', 'cancelled')
    shown = await deployment.await_state(LONG, final, WAIT_S)
    if shown != 'completed':
        return [f'{LONG} is shown as {shown} after {WAIT_S} s']
    return []


standins.run(tempfile.gettempdir(), standins.Deployment, case)
