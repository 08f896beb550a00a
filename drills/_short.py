"""A short drill for CI: a killed entry, a frozen agent, a store outage."""

import trio
import uuid_utils

from drills import _env
from drills import _history
from drills import _records

FINISH_TIMEOUT_S = 90.0
OUTAGE_S = 2.0
FREEZE_S = 2.0
DOWN_S = 1.0


async def short(env: _env.Environment) -> _records.Figures:
    """Kill an entry, freeze an agent, stop the store, then check records.

    The verdict does not depend on the speed of the machine.
    """
    calls: list[_records.Call] = []
    orders: set[str] = set()
    stop = trio.Event()

    async def send_orders() -> None:
        while not stop.is_set():
            key = env.callers.new_key('ps-order')
            orders.add(key)
            headers = {'idempotency-key': str(uuid_utils.uuid7())}
            for _ in range(2):
                await env.callers.call(
                    _env.SERVICE,
                    '/quick?ms=10',
                    key,
                    calls,
                    method='POST',
                    headers=headers,
                    timeout_s=3.0,
                )
            await trio.sleep(0.05)

    expected = {'ps-plan-1': 8, 'ps-rota-1': 1}
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(send_orders)
        await env.start_job('ps-plan-1', 8, 2.0)
        await env.start_job('ps-rota-1', 1, 2.0, options='exclusive')
        entries = env.system.entries
        await env.kill_and_restart(entries[0].name, DOWN_S)
        await env.freeze(env.system.hosts[0].agent, FREEZE_S)
        await env.outage(OUTAGE_S)
        stop.set()
    await env.clear_failures()
    done = await env.wait_until_finished(expected, FINISH_TIMEOUT_S)
    await trio.sleep(_env.HISTORY_FLUSH_S)
    runs = env.runs()
    backend = await env.backend_runs('ps-')
    lost, doubled = _history.count_lost_and_duplicated(runs, expected)
    found = {
        'overfull': _history.measure_peak_usage(
            runs, env.declared_resources, env.capacity
        ).overfull,
        'in two places': _history.count_concurrent_task_runs(runs),
        'lost': lost,
        'doubled': doubled,
        'wrong answers': sum(_history.count_wrong_responses(calls)),
        'invented': len(_history.answered_without_run(calls, backend)),
        'run twice': len(_history.keys_run_twice(backend, orders)),
    }
    return _records.Figures(
        len(calls) + len(runs),
        sum(found.values()),
        ', '.join(f'{n} {name}' for name, n in found.items()),
        proved=done and bool(backend),
        notes=(_env.summarize(calls),),
    )
