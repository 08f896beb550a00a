"""Drills for leaving, graceful stops and settings: requirements 8 to 10."""

import time
import typing

import httpx
import trio

from drills import _env
from drills import _history
from drills import _records

MAX_LEAVE_DELAY_S = 3.0
MAX_SETTINGS_DELAY_S = 3.0
FAILED_RESPONSES = (
    _records.ResponseKind.ABORTED,
    _records.ResponseKind.TRUNCATED,
    _records.ResponseKind.MISMATCHED,
)


async def leaving(env: _env.Environment) -> _records.Figures:
    """8: two backend servers leave concurrently while an entry is frozen."""
    calls: list[_records.Call] = []
    stop = trio.Event()
    serving = await _serving_hosts(env)
    leaving_hosts = [
        host for host in env.system.hosts if host.name in serving
    ][:2]
    if len(serving) <= len(leaving_hosts):
        leaving_hosts = leaving_hosts[:1]
    left_at: dict[str, float] = {}

    async def leave(url: str, name: str) -> None:
        await env.client.put(f'{url}/admin/leave')
        left_at[name] = time.time()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            env.callers.call_periodically,
            _env.SERVICE,
            'p8',
            calls,
            stop,
            0.02,
        )
        await trio.sleep(1.5)
        async with trio.open_nursery() as frozen:
            frozen.start_soon(env.freeze, env.system.entries[0].name, 4.0)
            await trio.sleep(0.2)
            for host in leaving_hosts:
                frozen.start_soon(leave, host.backend_url, host.name)
        await trio.sleep(5.0)
        stop.set()
    runs = await env.backend_runs('p8')
    until = time.time()
    latest = {
        name: _history.last_run_delay(runs, name, at, until)
        for name, at in left_at.items()
    }
    before = sum(
        r.host in left_at and r.started < left_at[r.host] for r in runs
    )
    after = [
        run
        for run in runs
        if run.host not in left_at and run.started > max(left_at.values())
    ]
    for host in leaving_hosts:
        env.kill(host.backend_server)
        env.restart_killed(host.backend_server)
    return _records.Figures(
        len(calls),
        sum(
            1
            for run in runs
            if run.host in left_at
            and run.started > left_at[run.host] + MAX_LEAVE_DELAY_S
        ),
        f'{max(latest.values()):.2f} s',
        proved=before >= 5 and len(after) >= 20,
        notes=(
            f'{len(leaving_hosts)} of {len(serving)} backend servers left;'
            f' {before} requests to them before; {_env.summarize(calls)}',
        ),
    )


async def _serving_hosts(env: _env.Environment) -> set[str]:
    """Return the hosts whose backend servers currently serve requests."""
    calls: list[_records.Call] = []
    for _ in range(40):
        key = env.callers.new_key('probe')
        await env.callers.call(_env.SERVICE, '/quick?ms=1', key, calls)
    return {run.host for run in await env.backend_runs('probe')}


async def planned_stops(env: _env.Environment) -> _records.Figures:
    """9: every entry and agent restarts during open requests and feeds."""
    calls: list[_records.Call] = []
    stop = trio.Event()
    events: list[list[int]] = [[] for _ in range(3)]
    codes: dict[str, int] = {}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(env.callers.poll_readiness)
        await trio.sleep(0.5)
        for interval_s, path, method in (
            (0.03, '/quick?ms=20', 'GET'),
            (0.10, '/quick?ms=300', 'POST'),
            (0.50, '/quick?ms=1500', 'PUT'),
        ):
            nursery.start_soon(
                env.callers.call_periodically,
                _env.SERVICE,
                'p9',
                calls,
                stop,
                interval_s,
                path,
                method,
            )
        for seen in events:
            nursery.start_soon(_follow_feed, env, seen)
        await trio.sleep(1.0)
        began = time.monotonic()
        names = [entry.name for entry in env.system.entries]
        names += [host.agent for host in env.system.hosts]
        for name in names:
            codes[name] = await env.system.group.stop(name)
            env.system.group.restart(name)
            await env.ready()
            await trio.sleep(1.0)
        took_s = time.monotonic() - began
        stop.set()
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    bad = [call for call in calls if call.answer in FAILED_RESPONSES]
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
            f' wrong exit code; {_env.summarize(calls)}',
            *shown,
        ),
    )


async def _follow_feed(env: _env.Environment, seen: list[int]) -> None:
    while True:
        headers = {'accept': 'text/event-stream'}
        if seen:
            headers['last-event-id'] = str(seen[-1])
        url = env.callers.next_entry().callers_url
        try:
            async with env.client.stream(
                'GET',
                f'{url}/services/{_env.SERVICE}/feed',
                headers=headers,
                timeout=None,
            ) as got:
                async for line in got.aiter_lines():
                    if got.status_code == 200 and line.startswith('id: '):
                        seen.append(int(line[4:]))
        except httpx.HTTPError:
            pass
        await trio.sleep(0.1)


async def settings(env: _env.Environment) -> _records.Figures:
    """10: a drained worker stays drained under all failures of the store."""
    stop = trio.Event()
    latest: list[float] = []
    notes: list[str] = []
    entries = env.system.entries
    versions: dict[str, int] = {}
    reverted: list[str] = []

    async def watch_versions() -> None:
        """Poll the settings version of each entry with operator commands."""
        while True:
            for entry in entries:
                reply = await env.operator.send(
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
        await env.trigger_store_event('drop-watches')

    async def stale_read() -> None:
        await env.set_store_faults(stale_by=8)
        await trio.sleep(2.0)
        await env.set_store_faults(stale_by=0)

    async def expire_leases() -> None:
        await env.trigger_store_event('lapse-leases')

    async def restart() -> None:
        await env.kill_and_restart(entries[0].name, 1.0)

    failures: dict[str, typing.Callable[[], typing.Awaitable[None]]] = {
        'lost watch': lost_watch,
        'stale read': stale_read,
        'lapsed leases': expire_leases,
        'entry restart': restart,
    }
    races_won_twice = 0
    drains_with_other_starts = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(env.start_jobs_periodically, 'p10', 12, 0.4, stop)
        nursery.start_soon(watch_versions)
        await trio.sleep(2.0)
        for number, (kind, fail) in enumerate(failures.items()):
            agent = env.system.hosts[number % 2].agent
            worker = env.system.hosts[number % 2].worker
            reply = await env.operator.do(f'drain worker {agent}', 20.0)
            accepted = time.monotonic()
            await fail()
            won = await _race_commands(env, reply.settings_version, number)
            races_won_twice += won > 1
            await trio.sleep(max(0.0, accepted + 7.0 - time.monotonic()))
            until = time.monotonic()
            await env.operator.do(f'return worker {agent}', 20.0)
            runs = env.runs('p10-')
            after = _history.last_start_delay(runs, {worker}, accepted, until)
            others = sum(accepted < run.started < until for run in runs)
            drains_with_other_starts += others > 0
            latest.append(after)
            notes.append(
                f'{kind}: last start {after:.2f} s after, {others} elsewhere;'
                f' {won} of 2 racing commands won'
            )
        stop.set()
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    late = sum(after > MAX_SETTINGS_DELAY_S for after in latest)
    return _records.Figures(
        len(latest) * 2,
        late + len(reverted) + races_won_twice,
        f'{max(latest):.2f} s',
        proved=drains_with_other_starts == len(failures),
        notes=(*notes, *reverted[:3]),
    )


async def _race_commands(
    env: _env.Environment, version: int, number: int
) -> int:
    """Send two conflicting commands and return how many took effect."""
    won: list[bool] = []

    async def send(target: int) -> None:
        url = env.system.entries[target].operators_url
        reply = await env.operator.send(
            f'change service {_env.SERVICE} latency target'
            f' {60 + 10 * number + target}ms if version {version}',
            10.0,
            url=url,
        )
        won.append(reply.done)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, 1)
        nursery.start_soon(send, 2)
    return sum(won)


async def drained_service(env: _env.Environment) -> _records.Figures:
    """10: every entry refuses the callers of a drained service."""
    calls: list[_records.Call] = []
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            env.callers.call_periodically,
            _env.SERVICE,
            'p10d',
            calls,
            stop,
            0.03,
            '/quick?ms=400',  # so that the service is never idle
        )
        await trio.sleep(1.0)
        await env.operator.do(f'drain service {_env.SERVICE}', 20.0)
        accepted = time.time()
        await trio.sleep(6.0)
        until = time.time()
        await env.operator.do(f'return service {_env.SERVICE}', 20.0)
        stop.set()
    runs = await env.backend_runs('p10d')
    after = max(
        (r.started - accepted for r in runs if accepted < r.started < until),
        default=0.0,
    )
    late = sum(
        accepted + MAX_SETTINGS_DELAY_S < r.started < until for r in runs
    )
    return _records.Figures(
        len(calls),
        late,
        f'{after:.2f} s',
        proved=any(run.started < accepted for run in runs),
        notes=(_env.summarize(calls),),
    )
