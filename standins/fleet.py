"""A complete deployment of real processes on the loopback address."""

import dataclasses
import json
import pathlib
import typing

import httpx
import trio
import zmq.auth

from standins import processes

HOST = '127.0.0.1'


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """Processes of a fleet and their settings.

    Workers are distributed evenly over the data centres, three to a rack.
    ``times`` overrides time settings of the processes, in seconds.
    ``worker`` adds to the settings of every worker and ``backend_server`` to
    those of every backend server.
    """

    data_centres: tuple[str, ...] = (
        'leicester',
        'birmingham',
        'wolverhampton',
    )
    workers: int = 6
    entries: int = 2
    millicores: int = 16_000
    memory_mb: int = 60_000
    accelerators: int = 0
    keys: bool = True
    times: dict[str, float] = dataclasses.field(default_factory=dict)
    worker: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    backend_server: dict[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    log_level: str = 'INFO'


@dataclasses.dataclass(frozen=True)
class Host:
    """Names and addresses of the processes on one worker host."""

    name: str
    data_centre: str
    worker_url: str
    backend_url: str
    agent_url: str

    @property
    def worker(self) -> str:
        """Name of the worker process."""
        return f'worker-{self.name}'

    @property
    def backend_server(self) -> str:
        """Name of the backend server process."""
        return f'backend-{self.name}'

    @property
    def agent(self) -> str:
        """Name of the agent process, which is its node id."""
        return f'agent-{self.name}'


@dataclasses.dataclass(frozen=True)
class EntryHost:
    """Name and addresses of one entry."""

    name: str
    data_centre: str
    peer: str
    callers_url: str
    operators_url: str


class Fleet:
    """Starts and addresses the processes of a deployment.

    :param plan: processes to start.
    :param folder: directory for settings, keys and logs.
    :param group: group that owns the processes.
    """

    def __init__(
        self,
        plan: FleetPlan,
        folder: pathlib.Path,
        group: processes.ProcessGroup,
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.group = group
        store, checkpoints = processes.free_ports(2)
        self.store_url = f'http://{HOST}:{store}'
        self.checkpoint_url = f'http://{HOST}:{checkpoints}'
        self.hosts = tuple(self._make_host(n) for n in range(plan.workers))
        self.entries = tuple(self._make_entry(n) for n in range(plan.entries))
        folder.mkdir(parents=True, exist_ok=True)

    def host(self, data_centre: str) -> tuple[Host, ...]:
        """Return the hosts of a data centre."""
        return tuple(h for h in self.hosts if h.data_centre == data_centre)

    async def start(self, client: httpx.AsyncClient) -> None:
        """Start all processes and wait until they are ready."""
        self._make_keys()
        self.start_platform()
        await processes.wait_until_ready(
            client, f'{self.store_url}/admin/counts'
        )
        for host in self.hosts:
            self.start_host(host)
        for entry in self.entries:
            self.start_entry(entry)
        await self.ready(client)

    async def ready(self, client: httpx.AsyncClient) -> None:
        """Wait until every entry and agent is ready.

        :raises TimeoutError: if one did not become ready in time.
        :raises ProcessEndedError: if one exited.
        """
        urls = {e.name: f'{e.callers_url}/readyz' for e in self.entries}
        urls.update({h.agent: f'{h.agent_url}/readyz' for h in self.hosts})
        for name, url in urls.items():
            await processes.wait_until_ready(
                client, url, process=self.group[name]
            )

    def start_platform(self) -> None:
        """Start the key-value store and the checkpoint store."""
        self.group.start(
            'store', 'standins.key_value', '--port', _port(self.store_url)
        )
        self.group.start(
            'checkpoints',
            'standins.checkpoints',
            '--port',
            _port(self.checkpoint_url),
        )

    def start_host(self, host: Host) -> None:
        """Start worker, backend server and agent of one host."""
        self.start_worker(host)
        self.start_backend_server(host)
        self.start_agent(host)

    def start_worker(self, host: Host) -> None:
        """Start the worker of a host."""
        plan = self.plan
        cfg = {
            'capacity': {
                'millicores': plan.millicores,
                'memory_mb': plan.memory_mb,
                'accelerators': plan.accelerators,
            },
            'port': int(_port(host.worker_url)),
            'backend_url': host.backend_url,
            'checkpoint_url': self.checkpoint_url,
            'history_file': str(self.history_file(host)),
            **plan.worker,
        }
        self._start_process(host.worker, 'standins.worker', cfg)

    def start_backend_server(self, host: Host) -> None:
        """Start the backend server of a host."""
        cfg = {
            'service': '',
            'port': int(_port(host.backend_url)),
            'agent': host.agent_url,
            **self.plan.backend_server,
        }
        self._start_process(
            host.backend_server, 'standins.backend_server', cfg
        )

    def start_agent(self, host: Host) -> None:
        """Start the agent of a host."""
        number = self.hosts.index(host)
        cfg = {
            'role': 'agent',
            'node_id': host.agent,
            'data_centre': host.data_centre,
            'rack': f'rack-{number // (3 * len(self.plan.data_centres))}',
            'addresses': {'local': f'{HOST}:{_port(host.agent_url)}'},
            'entries': [entry.peer for entry in self.entries],
            'worker_url': host.worker_url,
            **self._common_settings(host.agent),
        }
        self._start_process(host.agent, 'citronrail.daemon', cfg)

    def start_entry(self, entry: EntryHost) -> None:
        """Start an entry."""
        cfg = {
            'role': 'entry',
            'node_id': entry.name,
            'data_centre': entry.data_centre,
            'addresses': {
                'peer': entry.peer,
                'callers': f'{HOST}:{_port(entry.callers_url)}',
                'operators': f'{HOST}:{_port(entry.operators_url)}',
            },
            'store': {'endpoints': [self.store_url]},
            'entries': [other.peer for other in self.entries],
            'known_data_centres': list(self.plan.data_centres),
            **self._common_settings(entry.name),
        }
        self._start_process(entry.name, 'citronrail.daemon', cfg)

    def history_file(self, host: Host) -> pathlib.Path:
        """Return the path of the history file of a worker."""
        return self.folder / f'{host.worker}.history'

    async def stop(self) -> dict[str, int]:
        """Shut all processes down gracefully, in stages.

        :returns: exit codes by process name.
        """
        exit_codes: dict[str, int] = {}
        stages = (
            [host.backend_server for host in self.hosts],
            [host.agent for host in self.hosts],
            [entry.name for entry in self.entries],
            [host.worker for host in self.hosts],
            ['checkpoints', 'store'],
        )
        for stage in stages:
            async with trio.open_nursery() as nursery:
                for name in stage:
                    nursery.start_soon(self._stop_one, name, exit_codes)
        return exit_codes

    async def _stop_one(self, name: str, exit_codes: dict[str, int]) -> None:
        exit_codes[name] = await self.group.stop(name)

    def _start_process(
        self, name: str, module: str, cfg: dict[str, object]
    ) -> None:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(cfg, indent=1))
        self.group.start(name, module, '--config', str(path))

    def _common_settings(self, node_id: str) -> dict[str, object]:
        times = {'load_balancer_wait_s': 0.5, 'drain_s': 20.0}
        common: dict[str, object] = {
            'times': {**times, **self.plan.times},
            'log': {'level': self.plan.log_level, 'format': 'text'},
        }
        if self.plan.keys:
            keys = self.folder / 'keys'
            secret = 'secret' if node_id.startswith('entry') else 'public'
            suffix = {'secret': 'key_secret', 'public': 'key'}[secret]
            common['keys'] = {
                'own': str(keys / f'{node_id}.key_secret'),
                'entries': str(keys / 'server' / f'entries.{suffix}'),
                'accepted': str(keys / 'accepted'),
            }
        return common

    def _make_keys(self) -> None:
        keys = self.folder / 'keys'
        accepted = keys / 'accepted'
        server = keys / 'server'
        for path in (accepted, server):
            path.mkdir(parents=True, exist_ok=True)
        zmq.auth.create_certificates(server, 'entries')
        names = [entry.name for entry in self.entries]
        names += [host.agent for host in self.hosts]
        for name in names:
            public, _ = zmq.auth.create_certificates(keys, name)
            pathlib.Path(public).rename(accepted / f'{name}.key')

    def _make_host(self, number: int) -> Host:
        data_centre = self.plan.data_centres[
            number % len(self.plan.data_centres)
        ]
        worker, backend, agent = processes.free_ports(3)
        return Host(
            f'{data_centre}-{number}',
            data_centre,
            f'http://{HOST}:{worker}',
            f'http://{HOST}:{backend}',
            f'http://{HOST}:{agent}',
        )

    def _make_entry(self, number: int) -> EntryHost:
        peer, callers, operators = processes.free_ports(3)
        data_centres = self.plan.data_centres
        return EntryHost(
            f'entry-{number}',
            data_centres[number % len(data_centres)],
            f'{HOST}:{peer}',
            f'http://{HOST}:{callers}',
            f'http://{HOST}:{operators}',
        )


def _port(url: str) -> str:
    return url.rsplit(':', 1)[1]
