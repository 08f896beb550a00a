"""Drills of the promises to callers: requirements 5, 6 and 7."""

import time

import trio
import uuid_utils

from drills import _history
from drills import _records
from drills import _world
from standins import fleet

LARGE_BYTES = 10_000_000
DIE_AT_BYTES = (0, 1, 1000, 100_000, 1_000_000)
CALLERS = 150
RETRIES = 4


async def whole_answers(world: _world.World) -> _records.Figures:
    """5: dying backend servers, a slow reader, many callers at once."""
    calls: list[_records.Call] = []
    dying: list[_records.Call] = []
    call = world.callers.call
    service = _world.SERVICE

    async def many() -> None:
        for _ in range(8):
            key = world.callers.new_key('p5')
            ms = world.rng.randrange(60)
            await call(service, f'/quick?ms={ms}', key, calls)

    async def slow_reader() -> None:
        key = world.callers.new_key('p5-large')
        path = f'/large?bytes={LARGE_BYTES}'
        await call(service, path, key, calls, size=LARGE_BYTES, pause_s=0.03)

    async def die(size: int) -> None:
        key = world.callers.new_key('p5-die')
        # The answer would be larger, so that it can't be whole.
        path = f'/die?bytes={size}'
        await call(service, path, key, dying, size=size + 1, method='POST')

    async def stream() -> None:
        key = world.callers.new_key('p5-stream')
        path = '/stream?chunks=160&bytes=1000&ms=50'
        await call(service, path, key, dying, size=160_000, method='POST')

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(many)
        for _ in range(3):
            nursery.start_soon(slow_reader)
        for size in DIE_AT_BYTES:
            nursery.start_soon(die, size)
        await trio.sleep(1.0)
        for _ in range(12):
            nursery.start_soon(stream)
        await trio.sleep(1.0)
        victim = await _busiest(world, 'p5-stream')
        world.kill(victim.backend_server)
    world.revive(victim.backend_server)
    mixed, cut = _history.wrong_answers([*calls, *dying])
    broken = sum(c.answer is _records.Answer.BROKEN for c in dying)
    large = [c for c in calls if c.key.startswith('p5-large')]
    slow_s = max(c.ended - c.began for c in large)
    whole = sum(c.answer is _records.Answer.WHOLE for c in large)
    return _records.Figures(
        len(calls) + len(dying),
        mixed + cut,
        f'{mixed} mixed, {cut} cut',
        proved=broken > len(DIE_AT_BYTES) and whole >= 1,
        notes=(
            f'callers: {_world.counts(calls)}',
            f'dying backend servers: {_world.counts(dying)}',
            f'10 MB to slow readers: {whole} whole, {slow_s:.1f} s',
        ),
    )


async def _busiest(world: _world.World, prefix: str) -> fleet.Host:
    """Return the host with most open runs of keys with a prefix."""
    runs = await world.backend_runs(prefix)
    is_open = [run.host for run in runs if run.ended == float('inf')]
    return max(world.system.hosts, key=lambda h: is_open.count(h.name))


async def not_run(world: _world.World) -> _records.Figures:
    """6: overload, timeouts, a killed entry and late copies."""
    calls: list[_records.Call] = []
    stop = trio.Event()

    async def impatient(method: str, ms: int, limit_ms: int) -> None:
        while not stop.is_set():
            await world.callers.call(
                _world.SERVICE,
                f'/quick?ms={ms}',
                world.callers.new_key('p6'),
                calls,
                method=method,
                headers={'citronrail-timeout-ms': str(limit_ms)},
            )
            await trio.sleep(world.rng.uniform(0.01, 0.05))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.callers.follow_readiness)
        for number in range(80):
            method = ('POST', 'PUT', 'GET')[number % 3]
            limit_ms = (60, 120, 300, 2000)[number % 4]
            nursery.start_soon(impatient, method, 100, limit_ms)
        await trio.sleep(2.0)
        agent = world.system.hosts[1].agent
        await world.freeze(agent, 3.0)
        entry = world.system.entries[0].name
        await world.kill_and_restart(entry, 1.0)
        await world.freeze(world.system.entries[1].name, 3.0)
        await world.freeze(world.system.hosts[0].agent, 1.0)
        await trio.sleep(2.0)
        stop.set()
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    runs = await world.backend_runs('p6')
    false = _history.false_not_run(calls, runs)
    invented = _history.invented(calls, runs)
    reported = sum(call.outcome == 'not run' for call in calls)
    return _records.Figures(
        reported,
        len(false) + len(invented),
        f'{len(false)} false',
        proved=reported >= 20,
        notes=(_world.counts(calls), f'{len(runs)} runs at backend servers'),
    )


async def at_most_once(world: _world.World) -> _records.Figures:
    """7: callers retry elsewhere while owners of keys come and go."""
    calls: list[_records.Call] = []
    keys: set[str] = set()
    stop = trio.Event()

    async def order() -> None:
        key = world.callers.new_key('p7')
        keys.add(key)
        headers = {'idempotency-key': str(uuid_utils.uuid7())}
        for _ in range(RETRIES):
            call = await world.callers.call(
                _world.SERVICE,
                '/quick?ms=40',
                key,
                calls,
                method='POST',
                headers=headers,
                timeout_s=world.rng.choice((0.02, 0.06, 5.0)),
            )
            if call.answer is _records.Answer.WHOLE:
                if world.rng.random() < 0.7:
                    return
            else:
                await trio.sleep(world.rng.uniform(0.0, 0.5))

    async def keep_ordering() -> None:
        while not stop.is_set():
            await order()

    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(keep_ordering)
        await trio.sleep(2.0)
        began = time.monotonic()
        for entry in world.system.entries[:2]:
            await world.kill_and_restart(entry.name, 8.0)
            await trio.sleep(4.0)
        await world.system.group.stop(world.system.entries[2].name)
        world.system.group.restart(world.system.entries[2].name)
        await world.freeze(world.system.entries[0].name, 6.0)
        took_s = time.monotonic() - began
        stop.set()
    runs = await world.backend_runs('p7')
    doubled = _history.run_twice(runs, keys)
    whole = sum(call.answer is _records.Answer.WHOLE for call in calls)
    return _records.Figures(
        len(keys),
        len(doubled),
        f'{1 + bool(doubled)} run of a key',
        proved=len(runs) >= 20 and len(calls) > len(keys),
        notes=(
            f'{len(calls)} calls: {_world.counts(calls)}; {whole} whole',
            f'{len(runs)} runs; membership changed for {took_s:.0f} s',
        ),
    )
