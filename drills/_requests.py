"""Drills of the guarantees to callers: requirements 5, 6 and 7."""

import time

import trio
import uuid_utils

from drills import _env
from drills import _history
from drills import _records
from standins import fleet

LARGE_BYTES = 10_000_000
ABORT_AFTER_BYTES = (0, 1, 1000, 100_000, 1_000_000)
CALLER_COUNT = 150
MAX_ATTEMPTS = 4


async def whole_answers(env: _env.Environment) -> _records.Figures:
    """5: crashing backend servers, slow readers, many concurrent callers."""
    calls: list[_records.Call] = []
    aborted_calls: list[_records.Call] = []
    call = env.callers.call
    service = _env.SERVICE

    async def call_repeatedly() -> None:
        for _ in range(8):
            key = env.callers.new_key('p5')
            ms = env.rng.randrange(60)
            await call(service, f'/quick?ms={ms}', key, calls)

    async def slow_reader() -> None:
        key = env.callers.new_key('p5-large')
        path = f'/large?bytes={LARGE_BYTES}'
        await call(service, path, key, calls, size=LARGE_BYTES, pause_s=0.03)

    async def die(size: int) -> None:
        key = env.callers.new_key('p5-die')
        # Expects one byte more than is sent, so that it is never complete.
        path = f'/die?bytes={size}'
        await call(
            service, path, key, aborted_calls, size=size + 1, method='POST'
        )

    async def stream() -> None:
        key = env.callers.new_key('p5-stream')
        path = '/stream?chunks=160&bytes=1000&ms=50'
        await call(
            service, path, key, aborted_calls, size=160_000, method='POST'
        )

    async with trio.open_nursery() as nursery:
        for _ in range(CALLER_COUNT):
            nursery.start_soon(call_repeatedly)
        for _ in range(3):
            nursery.start_soon(slow_reader)
        for size in ABORT_AFTER_BYTES:
            nursery.start_soon(die, size)
        await trio.sleep(1.0)
        for _ in range(12):
            nursery.start_soon(stream)
        await trio.sleep(1.0)
        victim = await _busiest_host(env, 'p5-stream')
        env.kill(victim.backend_server)
    env.restart_killed(victim.backend_server)
    mixed, cut = _history.count_wrong_responses([*calls, *aborted_calls])
    broken = sum(
        c.answer is _records.ResponseKind.ABORTED for c in aborted_calls
    )
    large = [c for c in calls if c.key.startswith('p5-large')]
    slow_s = max(c.ended - c.began for c in large)
    whole = sum(c.answer is _records.ResponseKind.COMPLETE for c in large)
    return _records.Figures(
        len(calls) + len(aborted_calls),
        mixed + cut,
        f'{mixed} mixed, {cut} cut',
        proved=broken > len(ABORT_AFTER_BYTES) and whole >= 1,
        notes=(
            f'callers: {_env.summarize(calls)}',
            f'dying backend servers: {_env.summarize(aborted_calls)}',
            f'10 MB to slow readers: {whole} whole, {slow_s:.1f} s',
        ),
    )


async def _busiest_host(env: _env.Environment, prefix: str) -> fleet.Host:
    """Return the host with the most active runs of keys with a prefix."""
    runs = await env.backend_runs(prefix)
    is_open = [run.host for run in runs if run.ended == float('inf')]
    return max(env.system.hosts, key=lambda h: is_open.count(h.name))


async def not_run(env: _env.Environment) -> _records.Figures:
    """6: overload, timeouts, a killed entry and delayed duplicates."""
    calls: list[_records.Call] = []
    stop = trio.Event()

    async def call_with_timeout(method: str, ms: int, limit_ms: int) -> None:
        while not stop.is_set():
            await env.callers.call(
                _env.SERVICE,
                f'/quick?ms={ms}',
                env.callers.new_key('p6'),
                calls,
                method=method,
                headers={'citronrail-timeout-ms': str(limit_ms)},
            )
            await trio.sleep(env.rng.uniform(0.01, 0.05))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(env.callers.poll_readiness)
        for number in range(80):
            method = ('POST', 'PUT', 'GET')[number % 3]
            limit_ms = (60, 120, 300, 2000)[number % 4]
            nursery.start_soon(call_with_timeout, method, 100, limit_ms)
        await trio.sleep(2.0)
        agent = env.system.hosts[1].agent
        await env.freeze(agent, 3.0)
        entry = env.system.entries[0].name
        await env.kill_and_restart(entry, 1.0)
        await env.freeze(env.system.entries[1].name, 3.0)
        await env.freeze(env.system.hosts[0].agent, 1.0)
        await trio.sleep(2.0)
        stop.set()
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    runs = await env.backend_runs('p6')
    false = _history.false_not_run(calls, runs)
    answered_without_run = _history.answered_without_run(calls, runs)
    reported = sum(call.outcome == 'not run' for call in calls)
    return _records.Figures(
        reported,
        len(false) + len(answered_without_run),
        f'{len(false)} false',
        proved=reported >= 20,
        notes=(
            _env.summarize(calls),
            f'{len(runs)} runs at backend servers',
        ),
    )


async def at_most_once(env: _env.Environment) -> _records.Figures:
    """7: callers retry at other entries while the owners of keys change."""
    calls: list[_records.Call] = []
    keys: set[str] = set()
    stop = trio.Event()

    async def send_order() -> None:
        key = env.callers.new_key('p7')
        keys.add(key)
        headers = {'idempotency-key': str(uuid_utils.uuid7())}
        for _ in range(MAX_ATTEMPTS):
            call = await env.callers.call(
                _env.SERVICE,
                '/quick?ms=40',
                key,
                calls,
                method='POST',
                headers=headers,
                timeout_s=env.rng.choice((0.02, 0.06, 5.0)),
            )
            if call.answer is _records.ResponseKind.COMPLETE:
                if env.rng.random() < 0.7:
                    return
            else:
                await trio.sleep(env.rng.uniform(0.0, 0.5))

    async def send_orders() -> None:
        while not stop.is_set():
            await send_order()

    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(send_orders)
        await trio.sleep(2.0)
        began = time.monotonic()
        for entry in env.system.entries[:2]:
            await env.kill_and_restart(entry.name, 8.0)
            await trio.sleep(4.0)
        await env.system.group.stop(env.system.entries[2].name)
        env.system.group.restart(env.system.entries[2].name)
        await env.freeze(env.system.entries[0].name, 6.0)
        took_s = time.monotonic() - began
        stop.set()
    runs = await env.backend_runs('p7')
    doubled = _history.keys_run_twice(runs, keys)
    whole = sum(
        call.answer is _records.ResponseKind.COMPLETE for call in calls
    )
    return _records.Figures(
        len(keys),
        len(doubled),
        f'{1 + bool(doubled)} run of a key',
        proved=len(runs) >= 20 and len(calls) > len(keys),
        notes=(
            f'{len(calls)} calls: {_env.summarize(calls)}; {whole} whole',
            f'{len(runs)} runs; membership changed for {took_s:.0f} s',
        ),
    )
