"""Drills of leaving, planned stops and settings: requirements 8 to 10."""

import time
import typing

import httpx
import trio

from drills import _history
from drills import _records
from drills import _world

LEAVE_BOUND_S = 3.0
SETTINGS_BOUND_S = 3.0
BAD_ENDS = (
    _records.Answer.BROKEN,
    _records.Answer.CUT,
    _records.Answer.MIXED,
)


async def leaving(world: _world.World) -> _records.Figures:
    """8: two backend servers leave at once while an entry is frozen."""
    calls: list[_records.Call] = []
    stop = trio.Event()
    serving = await _serving_hosts(world)
    gone = [host for host in world.system.hosts if host.name in serving][:2]
    if len(serving) <= len(gone):
        gone = gone[:1]
    left: dict[str, float] = {}

    async def leave(url: str, name: str) -> None:
        await world.client.put(f'{url}/admin/leave')
        left[name] = time.time()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            world.callers.keep_calling,
            _world.SERVICE,
            'p8',
            calls,
            stop,
            0.02,
        )
        await trio.sleep(1.5)
        async with trio.open_nursery() as frozen:
            frozen.start_soon(world.freeze, world.system.entries[0].name, 4.0)
            await trio.sleep(0.2)
            for host in gone:
                frozen.start_soon(leave, host.backend_url, host.name)
        await trio.sleep(5.0)
        stop.set()
    runs = await world.backend_runs('p8')
    until = time.time()
    latest = {
        name: _history.latest_run(runs, name, at, until)
        for name, at in left.items()
    }
    before = sum(r.host in left and r.started < left[r.host] for r in runs)
    after = [
        run
        for run in runs
        if run.host not in left and run.started > max(left.values())
    ]
    for host in gone:
        world.kill(host.backend_server)
        world.revive(host.backend_server)
    return _records.Figures(
        len(calls),
        sum(
            1
            for run in runs
            if run.host in left
            and run.started > left[run.host] + LEAVE_BOUND_S
        ),
        f'{max(latest.values()):.2f} s',
        proved=before >= 5 and len(after) >= 20,
        notes=(
            f'{len(gone)} of {len(serving)} backend servers left;'
            f' {before} requests to them before; {_world.counts(calls)}',
        ),
    )


async def _serving_hosts(world: _world.World) -> set[str]:
    """Return the hosts whose backend servers answer requests now."""
    calls: list[_records.Call] = []
    for _ in range(40):
        key = world.callers.new_key('probe')
        await world.callers.call(_world.SERVICE, '/quick?ms=1', key, calls)
    return {run.host for run in await world.backend_runs('probe')}


async def planned_stops(world: _world.World) -> _records.Figures:
    """9: every entry and agent restarts, with requests and feeds open."""
    calls: list[_records.Call] = []
    stop = trio.Event()
    events: list[list[int]] = [[] for _ in range(3)]
    codes: dict[str, int] = {}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.callers.follow_readiness)
        await trio.sleep(0.5)
        for interval_s, path, method in (
            (0.03, '/quick?ms=20', 'GET'),
            (0.10, '/quick?ms=300', 'POST'),
            (0.50, '/quick?ms=1500', 'PUT'),
        ):
            nursery.start_soon(
                world.callers.keep_calling,
                _world.SERVICE,
                'p9',
                calls,
                stop,
                interval_s,
                path,
                method,
            )
        for seen in events:
            nursery.start_soon(_follow_feed, world, seen)
        await trio.sleep(1.0)
        began = time.monotonic()
        names = [entry.name for entry in world.system.entries]
        names += [host.agent for host in world.system.hosts]
        for name in names:
            codes[name] = await world.system.group.stop(name)
            world.system.group.restart(name)
            await world.ready()
            await trio.sleep(1.0)
        took_s = time.monotonic() - began
        stop.set()
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    bad = [call for call in calls if call.answer in BAD_ENDS]
    bad += [call for call in calls if call.outcome == 'unknown']
    wrong = sum(seen != list(range(1, len(seen) + 1)) for seen in events)
    failed = sum(code != 0 for code in codes.values())
    shown = tuple(
        f'{c.entry} {c.status} {c.outcome} {c.detail[:150]}' for c in bad[:3]
    )
    return _records.Figures(
        len(calls),
        len(bad) + wrong + failed,
        f'{len(bad)} cut, {wrong} feeds torn',
        proved=len(calls) >= 200 and all(len(seen) > 20 for seen in events),
        notes=(
            f'{len(codes)} planned stops in {took_s:.0f} s, {failed} with a'
            f' wrong exit code; {_world.counts(calls)}',
            *shown,
        ),
    )


async def _follow_feed(world: _world.World, seen: list[int]) -> None:
    while True:
        headers = {'accept': 'text/event-stream'}
        if seen:
            headers['last-event-id'] = str(seen[-1])
        url = world.callers.next_entry().callers_url
        try:
            async with world.client.stream(
                'GET',
                f'{url}/services/{_world.SERVICE}/feed',
                headers=headers,
                timeout=None,
            ) as got:
                async for line in got.aiter_lines():
                    if got.status_code == 200 and line.startswith('id: '):
                        seen.append(int(line[4:]))
        except httpx.HTTPError:
            pass
        await trio.sleep(0.1)


async def settings(world: _world.World) -> _records.Figures:
    """10: a drained worker stays drained, whatever the store does."""
    stop = trio.Event()
    latest: list[float] = []
    notes: list[str] = []
    entries = world.system.entries
    versions: dict[str, int] = {}
    reverted: list[str] = []

    async def watch_versions() -> None:
        """Ask each entry for its settings as operators do."""
        while True:
            for entry in entries:
                reply = await world.operator.send(
                    'show settings limit 1', 1.0, url=entry.operators_url
                )
                if reply.done:
                    if reply.settings_version < versions.get(entry.name, 0):
                        reverted.append(
                            f'{entry.name}: {reply.settings_version} after'
                            f' {versions[entry.name]}'
                        )
                    versions[entry.name] = reply.settings_version
            await trio.sleep(0.2)

    async def lost_watch() -> None:
        await world.store_event('drop-watches')

    async def stale_read() -> None:
        await world.store(stale_by=8)
        await trio.sleep(2.0)
        await world.store(stale_by=0)

    async def lapse() -> None:
        await world.store_event('lapse-leases')

    async def restart() -> None:
        await world.kill_and_restart(entries[0].name, 1.0)

    failures: dict[str, typing.Callable[[], typing.Awaitable[None]]] = {
        'lost watch': lost_watch,
        'stale read': stale_read,
        'lapsed leases': lapse,
        'entry restart': restart,
    }
    both_won = 0
    flowing = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.keep_starting, 'p10', 12, 0.4, stop)
        nursery.start_soon(watch_versions)
        await trio.sleep(2.0)
        for number, (kind, fail) in enumerate(failures.items()):
            agent = world.system.hosts[number % 2].agent
            worker = world.system.hosts[number % 2].worker
            reply = await world.operator.do(f'drain worker {agent}', 20.0)
            accepted = time.monotonic()
            await fail()
            won = await _race(world, reply.settings_version, number)
            both_won += won > 1
            await trio.sleep(max(0.0, accepted + 7.0 - time.monotonic()))
            until = time.monotonic()
            await world.operator.do(f'return worker {agent}', 20.0)
            runs = world.runs('p10-')
            after = _history.latest_start(runs, {worker}, accepted, until)
            others = sum(accepted < run.started < until for run in runs)
            flowing += others > 0
            latest.append(after)
            notes.append(
                f'{kind}: last start {after:.2f} s after, {others} elsewhere;'
                f' {won} of 2 racing commands won'
            )
        stop.set()
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    late = sum(after > SETTINGS_BOUND_S for after in latest)
    return _records.Figures(
        len(latest) * 2,
        late + len(reverted) + both_won,
        f'{max(latest):.2f} s',
        proved=flowing == len(failures),
        notes=(*notes, *reverted[:3]),
    )


async def _race(world: _world.World, version: int, number: int) -> int:
    """Send two conflicting commands; return how many took effect."""
    won: list[bool] = []

    async def send(target: int) -> None:
        url = world.system.entries[target].operators_url
        reply = await world.operator.send(
            f'change service {_world.SERVICE} latency target'
            f' {60 + 10 * number + target}ms if version {version}',
            10.0,
            url=url,
        )
        won.append(reply.done)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, 1)
        nursery.start_soon(send, 2)
    return sum(won)


async def drained_service(world: _world.World) -> _records.Figures:
    """10: callers of a drained service are refused by every entry."""
    calls: list[_records.Call] = []
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            world.callers.keep_calling,
            _world.SERVICE,
            'p10d',
            calls,
            stop,
            0.03,
            '/quick?ms=400',  # so that the service is never idle
        )
        await trio.sleep(1.0)
        await world.operator.do(f'drain service {_world.SERVICE}', 20.0)
        accepted = time.time()
        await trio.sleep(6.0)
        until = time.time()
        await world.operator.do(f'return service {_world.SERVICE}', 20.0)
        stop.set()
    runs = await world.backend_runs('p10d')
    after = max(
        (r.started - accepted for r in runs if accepted < r.started < until),
        default=0.0,
    )
    late = sum(accepted + SETTINGS_BOUND_S < r.started < until for r in runs)
    return _records.Figures(
        len(calls),
        late,
        f'{after:.2f} s',
        proved=any(run.started < accepted for run in runs),
        notes=(_world.counts(calls),),
    )
