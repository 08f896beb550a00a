"""A fleet of real agents and entries that is started step by step."""

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

TASKS_A_HOST = 20  # 15,700 running tasks on 800 workers
SERVICES_A_HOST = ('first', 'second')  # 1,700 service tasks on 800 workers
FREE_CORES = 4
LONGEST_FETCH_S = 60.0
_SAMPLE = re.compile(r'^(\w+)(?:\{(.*)\})? (\S+)$', re.MULTILINE)
_LABEL = re.compile(r'(\w+)="([^"]*)"')

Counts = collections.Counter[str]


@dataclasses.dataclass(frozen=True)
class Span:
    """What the processes did over some time.

    Rates are a second for the role as a whole: ``messages`` and ``bytes``
    by ``ROLE DIRECTION KIND``, ``store_calls`` by ``USE KIND`` as the entries
    count them and ``store_seen`` by kind as the store counts them.
    """

    seconds: float
    agents: int
    entries: int
    usage: dict[str, _usage.RoleUsage]
    messages: dict[str, float]
    bytes: dict[str, float]
    store_calls: dict[str, float]
    store_seen: dict[str, float]

    def total_bytes(self, *starts: str) -> float:
        """Return bytes a second of the kinds that begin so."""
        return sum(v for k, v in self.bytes.items() if k.startswith(starts))

    def total_messages(self, *starts: str) -> float:
        """Return messages a second of the kinds that begin so."""
        return sum(v for k, v in self.messages.items() if k.startswith(starts))


class End(typing.Protocol):
    """Ends a span; a ``trio.Event`` does."""

    async def wait(self) -> None:
        """Return when the span is over."""
        ...


@dataclasses.dataclass(frozen=True)
class _TimeOver:
    seconds: float

    async def wait(self) -> None:
        await trio.sleep(self.seconds)


class GrowingFleet(fleet.Fleet):
    """Agents with small workers; starts a part of the plan at a time.

    :param plan: the largest fleet.
    :param folder: an empty folder.
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
        self.entries = self.entries[:1]  # agents learn of the others
        self.operator = operator_client.OperatorClient(
            client, (self.entries[0].operators_url,)
        )

    async def start_all_workers(self) -> None:
        """Start keys, store, one entry and the process with all workers."""
        entries, self.entries = self.entries, self._all_entries
        self._make_keys()
        self.entries = entries
        self.start_platform()
        await processes.wait_until_ready(
            self.client, f'{self.store_url}/admin/counts'
        )
        cores = TASKS_A_HOST + FREE_CORES
        settings = worker.WorkerSettings(
            resources.Resources(cores * 1000, cores * 2000, 2)
        )
        cfg = _hosts.Hosts(
            tuple(
                _hosts.SmallHost(_port(host.worker_url), host.agent_url)
                for host in self.hosts
            ),
            settings,
            SERVICES_A_HOST,
        )
        path = self.folder / 'hosts.json'
        path.write_bytes(codec.to_json(cfg))
        self.group.start('hosts', 'measure._hosts', str(path))
        await self.grow_entries(1)

    async def grow_entries(self, count: int) -> None:
        """Start entries up to a number and wait until they are ready."""
        new = self._all_entries[self.running_entries : count]
        for entry in new:
            self.start_entry(entry)
        for entry in new:
            await processes.wait_until_ready(
                self.client, f'{entry.callers_url}/readyz'
            )
        self.running_entries = count

    async def grow_agents(self, count: int) -> None:
        """Start agents up to a number and wait until they are ready."""
        new = self.hosts[self.agents : count]
        for host in new:
            self.start_agent(host)
        for host in new:
            await processes.wait_until_ready(
                self.client, f'{host.agent_url}/readyz'
            )
        self.agents = count

    async def span(self, seconds: float) -> Span:
        """Watch all processes for some time."""
        with trio.move_on_after(seconds + LONGEST_FETCH_S):
            return await self.span_until(_TimeOver(seconds))
        raise TimeoutError('the counts were not answered in time')

    async def span_until(self, end: 'End') -> Span:
        """Watch all processes until ``end.wait()`` returns."""
        before = await self._counts()
        meter = _usage.UsageMeter(self._pids())
        began = trio.current_time()
        await end.wait()
        usage, took_s = meter.result(), trio.current_time() - began
        after = await self._counts()
        # The counts include the time to fetch them; the rates allow for it.
        rates = {
            part: _rates(before[part], after[part], before, after)
            for part in ('messages', 'bytes', 'calls', 'seen')
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
        """Return the bytes of settings that all agents received so far."""
        counts = await self._counts()
        return counts['bytes']['agent received SettingsUpdate']

    def _pids(self) -> dict[str, list[int]]:
        entries = self._all_entries[: self.running_entries]
        hosts = self.hosts[: self.agents]
        return {
            'entry': [self.group[e.name].process.pid for e in entries],
            'agent': [self.group[h.agent].process.pid for h in hosts],
            'store': [self.group['store'].process.pid],
        }

    async def _counts(self) -> dict[str, Counts]:
        found: dict[str, Counts] = {
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
            _add_metrics(found, role, text)
        url = f'{self.store_url}/admin/counts'
        for kind, count in (await self.client.get(url)).json().items():
            found['seen'][kind] = count
        found['at'] = collections.Counter(
            {'at': (at + trio.current_time()) / 2}
        )
        return found


def _add_metrics(found: dict[str, Counts], role: str, text: str) -> None:
    for name, labels, value in _SAMPLE.findall(text):
        label = dict(_LABEL.findall(labels))
        match name:
            case 'citronrail_adapters_peer_messages_total':
                part = 'messages'
            case 'citronrail_adapters_peer_bytes_total':
                part = 'bytes'
            case 'citronrail_coordination_store_calls_total':
                key = f'{label["use"]} {label["kind"]}'
                found['calls'][key] += float(value)
                continue
            case _:
                continue
        key = f'{role} {label["direction"]} {label["kind"]}'
        found[part][key] += float(value)


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
