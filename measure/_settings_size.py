"""Measures the cost of settings changes by document size."""

import dataclasses
import pathlib
import time

import trio

from citronrail import adapters
from citronrail.coordination import _settings_document as document
from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail import ports
from measure import _growing
from standins import processes

SIZES_KB = (1, 30, 100, 300, 900)
CHANGES_PER_SIZE = 4
IDLE_SPAN_S = 4.0
SPREAD_TIMEOUT_S = 20.0
POLL_S = 0.02


@dataclasses.dataclass(frozen=True)
class SizePoint:
    """Cost of changing a document of ``stored_bytes``.

    Times are medians in milliseconds: ``commit_ms`` until the command is
    answered, ``spread_ms`` until the last agent has the new version.
    ``agent_bytes`` is what one change sends to one agent. Processor shares
    are measured while no change is made.
    """

    stored_bytes: int
    commit_ms: float
    spread_ms: float
    agent_bytes: float
    entry_core: float
    store_core: float


async def measure(system: _growing.GrowingFleet) -> list[SizePoint]:
    """Measure documents of growing size in a running fleet.

    :param system: the fleet; gets further services without replicas.
    """
    store = adapters.EtcdStore((system.store_url,))
    try:
        points = []
        for size_kb in SIZES_KB:
            stored = await _grow_document(store, size_kb * 1000)
            await trio.sleep(2.0)
            points.append(await _measure_size(system, stored))
        return points
    finally:
        await store.aclose()


async def _measure_size(
    system: _growing.GrowingFleet, stored: int
) -> SizePoint:
    idle_span = await system.span(IDLE_SPAN_S)
    commits, spreads = [], []
    agent_logs = _AgentLogs(system)
    before = await system.sent_settings_bytes()
    for number in range(CHANGES_PER_SIZE):
        started_at = time.perf_counter()
        reply = await system.operator.do(
            f'change team load quota cores {4000 + number} memory 16000GB'
        )
        commits.append(time.perf_counter() - started_at)
        await processes.wait_for(
            lambda version=reply.settings_version: agent_logs.all_received(
                version
            ),
            f'version {reply.settings_version} at all agents',
            SPREAD_TIMEOUT_S,
            POLL_S,
        )
        spreads.append(time.perf_counter() - started_at)
        await trio.sleep(0.2)
    sent = await system.sent_settings_bytes() - before
    return SizePoint(
        stored,
        sorted(commits)[CHANGES_PER_SIZE // 2] * 1000,
        sorted(spreads)[CHANGES_PER_SIZE // 2] * 1000,
        sent / CHANGES_PER_SIZE / system.agents,
        idle_span.usage['entry'].core_share,
        idle_span.usage['store'].core_share,
    )


class _AgentLogs:
    """Reads received settings versions from the logs of the agents."""

    def __init__(self, system: _growing.GrowingFleet) -> None:
        self._logs: list[pathlib.Path] = [
            system.group[host.agent].log
            for host in system.hosts[: system.agents]
        ]
        self._offsets = [path.stat().st_size for path in self._logs]

    async def all_received(self, version: int) -> bool:
        """Return whether every agent received this version."""
        expected_text = f'settings version {version} received'.encode()
        for path, offset in zip(self._logs, self._offsets):
            with path.open('rb') as file:
                file.seek(offset)
                if expected_text not in file.read():
                    return False
        return True


async def _grow_document(store: adapters.EtcdStore, size: int) -> int:
    """Add services without replicas until the document reaches ``size``."""
    while True:
        stored = await document.read(store)
        settings = stored.settings
        services = dict(settings.services)
        number = len(services)
        data = document.encode(settings)
        while len(data) < size:
            step = max(1, (size - len(data)) // 400)
            for _ in range(step):
                name = identifiers.ServiceName(f'filling-{number:06d}')
                services[name] = _service(name)
                number += 1
            settings = dataclasses.replace(settings, services=services)
            data = document.encode(settings)
        settings = dataclasses.replace(settings, version=settings.version + 1)
        data = document.encode(settings)
        result = await store.txn(
            [ports.Compare(document.SETTINGS_KEY, revision=stored.revision)],
            [ports.Put(document.SETTINGS_KEY, data)],
        )
        if result.succeeded:
            return len(data)


def _service(name: identifiers.ServiceName) -> specs.ServiceSpec:
    return specs.ServiceSpec(
        name,
        identifiers.TeamName('load'),
        identifiers.WorkClass('quick'),
        0,
        resources.Resources(1000, 1000),
    )
