"""A fleet of real agents and entries whose size grows during a run."""

import collections
import collections.abc
import dataclasses
import pathlib
import re
import typing

import httpx
import trio

from citronrail.model import codec
from citronrail.model import resources
from measure import _hosts
from measure import _usage
from standins import fleet
from standins import operator_client
from standins import processes
from standins import worker

TASKS_PER_HOST = 20  # 15,700 running tasks on 800 workers
SERVICES_PER_HOST = ('first', 'second')  # 1,700 service tasks on 800 workers
FREE_CORES = 4
METRICS_FETCH_TIMEOUT_S = 60.0
_METRIC_SAMPLE = re.compile(r'^(\w+)(?:\{(.*)\})? (\S+)$', re.MULTILINE)
_LABEL = re.compile(r'(\w+)="([^"]*)"')

Counts = collections.Counter[str]


@dataclasses.dataclass(frozen=True)
class Span:
    """Resource use and rates of the processes over a time span.

    Rates are per second and summed over a role: ``messages`` and ``bytes``
    by ``ROLE DIRECTION KIND``, ``store_calls`` by ``USE KIND`` as counted by
    the entries and ``store_seen`` by kind as counted by the store.
    """

    seconds: float
    agents: int
    entries: int
    usage: dict[str, _usage.RoleUsage]
    messages: dict[str, float]
    bytes: dict[str, float]
    store_calls: dict[str, float]
    store_seen: dict[str, float]

    def total_bytes(self, *prefixes: str) -> float:
        """Return bytes per second of keys with one of these prefixes."""
        return sum(v for k, v in self.bytes.items() if k.startswith(prefixes))

    def total_messages(self, *prefixes: str) -> float:
        """Return messages per second of keys with one of these prefixes."""
        return sum(
            v for k, v in self.messages.items() if k.startswith(prefixes)
        )


class SpanEnd(typing.Protocol):
    """Signals the end of a span, for example a ``trio.Event``."""

    async def wait(self) -> None:
        """Return when the span is over."""
        ...


@dataclasses.dataclass(frozen=True)
class _Timer:
    seconds: float

    async def wait(self) -> None:
        await trio.sleep(self.seconds)


class GrowingFleet(fleet.Fleet):
    """A fleet with in-memory workers that is started in parts.

    :param plan: the largest fleet.
    :param folder: an empty directory.
    :param group: owns the processes.
    :param client: HTTP client.
    """

    def __init__(
        self,
        plan: fleet.FleetPlan,
        folder: pathlib.Path,
        group: processes.ProcessGroup,
        client: httpx.AsyncClient,
    ) -> None:
        super().__init__(plan, folder, group)
        self.client = client
        self.agents = 0
        self.running_entries = 0
        self._all_entries = self.entries
        self.entries = self.entries[:1]  # agents discover the others
        self.operator = operator_client.OperatorClient(
            client, (self.entries[0].operators_url,)
        )

    async def start_all_workers(self) -> None:
        """Create keys; start the store, one entry and the worker process."""
        entries, self.entries = self.entries, self._all_entries
        self._make_keys()
        self.entries = entries
        self.start_platform()
        await processes.wait_until_ready(
            self.client, f'{self.store_url}/admin/counts'
        )
        cores = TASKS_PER_HOST + FREE_CORES
        settings = worker.WorkerSettings(
            resources.Resources(cores * 1000, cores * 2000, 2)
        )
        cfg = _hosts.Hosts(
            tuple(
                _hosts.HostAddresses(_port(host.worker_url), host.agent_url)
                for host in self.hosts
            ),
            settings,
            SERVICES_PER_HOST,
        )
        path = self.folder / 'hosts.json'
        path.write_bytes(codec.to_json(cfg))
        self.group.start('hosts', 'measure._hosts', str(path))
        await self.grow_entries(1)

    async def grow_entries(self, count: int) -> None:
        """Start entries until ``count`` run, and wait until they are ready."""
        new = self._all_entries[self.running_entries : count]
        for entry in new:
            self.start_entry(entry)
        for entry in new:
            await processes.wait_until_ready(
                self.client, f'{entry.callers_url}/readyz'
            )
        self.running_entries = count

    async def grow_agents(self, count: int) -> None:
        """Start agents until ``count`` run, and wait until they are ready."""
        new = self.hosts[self.agents : count]
        for host in new:
            self.start_agent(host)
        for host in new:
            await processes.wait_until_ready(
                self.client, f'{host.agent_url}/readyz'
            )
        self.agents = count

    async def span(self, seconds: float) -> Span:
        """Measure all processes for ``seconds``."""
        with trio.move_on_after(seconds + METRICS_FETCH_TIMEOUT_S):
            return await self.span_until(_Timer(seconds))
        raise TimeoutError('timed out while fetching metrics')

    async def span_until(self, end: 'SpanEnd') -> Span:
        """Measure all processes until ``end.wait()`` returns."""
        before = await self._fetch_counters()
        meter = _usage.UsageMeter(self._pids())
        started_at = trio.current_time()
        await end.wait()
        usage, took_s = meter.result(), trio.current_time() - started_at
        after = await self._fetch_counters()
        # Fetching takes time, so the rates use the times of the fetches.
        rates = {
            family: _rates(before[family], after[family], before, after)
            for family in ('messages', 'bytes', 'calls', 'seen')
        }
        return Span(
            took_s,
            self.agents,
            self.running_entries,
            usage,
            rates['messages'],
            rates['bytes'],
            rates['calls'],
            rates['seen'],
        )

    async def sent_settings_bytes(self) -> float:
        """Return the total bytes of settings that all agents received."""
        counts = await self._fetch_counters()
        return counts['bytes']['agent received SettingsUpdate']

    def _pids(self) -> dict[str, list[int]]:
        entries = self._all_entries[: self.running_entries]
        hosts = self.hosts[: self.agents]
        return {
            'entry': [self.group[e.name].process.pid for e in entries],
            'agent': [self.group[h.agent].process.pid for h in hosts],
            'store': [self.group['store'].process.pid],
        }

    async def _fetch_counters(self) -> dict[str, Counts]:
        counters: dict[str, Counts] = {
            name: collections.Counter()
            for name in ('messages', 'bytes', 'calls', 'seen')
        }
        at = trio.current_time()
        urls = [
            ('entry', f'{e.operators_url}/metrics')
            for e in self._all_entries[: self.running_entries]
        ]
        urls += [
            ('agent', f'{h.agent_url}/metrics')
            for h in self.hosts[: self.agents]
        ]
        for role, url in urls:
            text = (await self.client.get(url, timeout=10.0)).text
            _add_metric_samples(counters, role, text)
        url = f'{self.store_url}/admin/counts'
        for kind, count in (await self.client.get(url)).json().items():
            counters['seen'][kind] = count
        counters['at'] = collections.Counter(
            {'at': (at + trio.current_time()) / 2}
        )
        return counters


def _add_metric_samples(
    counters: dict[str, Counts], role: str, text: str
) -> None:
    for name, labels, value in _METRIC_SAMPLE.findall(text):
        label = dict(_LABEL.findall(labels))
        match name:
            case 'citronrail_adapters_peer_messages_total':
                family = 'messages'
            case 'citronrail_adapters_peer_bytes_total':
                family = 'bytes'
            case 'citronrail_coordination_store_calls_total':
                key = f'{label["use"]} {label["kind"]}'
                counters['calls'][key] += float(value)
                continue
            case _:
                continue
        key = f'{role} {label["direction"]} {label["kind"]}'
        counters[family][key] += float(value)


def _rates(
    before: Counts,
    after: Counts,
    start: collections.abc.Mapping[str, Counts],
    end: collections.abc.Mapping[str, Counts],
) -> dict[str, float]:
    seconds = end['at']['at'] - start['at']['at']
    return {
        key: (after[key] - before[key]) / seconds
        for key in sorted(after)
        if after[key] > before[key]
    }


def _port(url: str) -> int:
    return int(url.rsplit(':', 1)[1])
