"""A short drill for CI: one kill, one freeze, one outage."""

import trio
import uuid_utils

from drills import _history
from drills import _records
from drills import _world

FINISH_TIMEOUT_S = 90.0
OUTAGE_S = 2.0
FREEZE_S = 2.0
DOWN_S = 1.0


async def short(world: _world.World) -> _records.Figures:
    """Kill an entry, freeze an agent, take the store down; then check.

    Nothing in the verdict depends on how fast the machine is.
    """
    calls: list[_records.Call] = []
    orders: set[str] = set()
    stop = trio.Event()

    async def keep_ordering() -> None:
        while not stop.is_set():
            key = world.callers.new_key('ps-order')
            orders.add(key)
            headers = {'idempotency-key': str(uuid_utils.uuid7())}
            for _ in range(2):
                await world.callers.call(
                    _world.SERVICE,
                    '/quick?ms=10',
                    key,
                    calls,
                    method='POST',
                    headers=headers,
                    timeout_s=3.0,
                )
            await trio.sleep(0.05)

    wanted = {'ps-plan-1': 8, 'ps-rota-1': 1}
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(keep_ordering)
        await world.start_job('ps-plan-1', 8, 2.0)
        await world.start_job('ps-rota-1', 1, 2.0, options='exclusive')
        entries = world.system.entries
        await world.kill_and_restart(entries[0].name, DOWN_S)
        await world.freeze(world.system.hosts[0].agent, FREEZE_S)
        await world.outage(OUTAGE_S)
        stop.set()
    await world.heal()
    done = await world.finished(wanted, FINISH_TIMEOUT_S)
    await trio.sleep(_world.SETTLE_S)
    runs = world.runs()
    backend = await world.backend_runs('ps-')
    lost, doubled = _history.not_finished_once(runs, wanted)
    found = {
        'overfull': _history.fullness(
            runs, world.sizes, world.capacity
        ).overfull,
        'in two places': _history.tasks_in_two_places(runs),
        'lost': lost,
        'doubled': doubled,
        'wrong answers': sum(_history.wrong_answers(calls)),
        'invented': len(_history.invented(calls, backend)),
        'run twice': len(_history.run_twice(backend, orders)),
    }
    return _records.Figures(
        len(calls) + len(runs),
        sum(found.values()),
        ', '.join(f'{n} {name}' for name, n in found.items()),
        proved=done and bool(backend),
        notes=(_world.counts(calls),),
    )
