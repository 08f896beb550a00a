"""Entry, agent and backend server in one process, over real sockets."""

import collections.abc
import contextlib
import dataclasses
import functools
import random

import httpx
import trio

from citronrail import adapters
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import settings
from citronrail import routing
from citronrail.routing.tests import fakes
from standins import backend_server

SERVICE = identifiers.ServiceName('seats')


def hello(node_id, role):
    """Return the Hello of a test process."""
    message = messages.Hello(
        identifiers.NodeId(node_id),
        identifiers.new_boot_id(),
        role,
        0.0,
        identifiers.DataCentreName('leon'),
    )
    return lambda: message


def hub(node_id, role, **options):
    """Return a hub without keys, unless the options name some."""
    options = {'insecure': 'curve' not in options, **options}
    return adapters.ZmqPeerHub(
        hello(node_id, role), rng=random.Random(1), **options
    )


@dataclasses.dataclass
class Path:
    """The components of a running request path."""

    entry_hub: adapters.ZmqPeerHub
    agent_hub: adapters.ZmqPeerHub
    router: routing.RequestRouter
    runner: routing.RequestRunner
    work: backend_server.Workload
    caller: httpx.AsyncClient
    direct: httpx.AsyncClient
    agent_url: str
    backend_address: str
    nursery: trio.Nursery
    stop_callers_port: trio.Event


@contextlib.asynccontextmanager
async def running(
    cfg: backend_server.BackendConfig | None = None, limits=None
) -> collections.abc.AsyncIterator[Path]:
    """Run entry, agent and backend server within the context."""
    work = backend_server.Workload(
        cfg or backend_server.BackendConfig(SERVICE, service_ms=1)
    )
    entry_hub = hub('entry-1', 'entry', listen='tcp://127.0.0.1:0')
    agent_hub = hub('agent-1', 'agent')
    client = adapters.HttpBackendServer()
    runner = routing.RequestRunner(agent_hub, client, limits=limits)

    def agents():
        return tuple(
            fakes.agent_view(peer, runner, trio.current_time())
            for peer in entry_hub.peers('agent')
        )

    keys = routing.KeyService(
        entry_hub, fakes.MemoryKeyStore(), lambda _: entry_hub.node_id
    )
    router = routing.RequestRouter(
        entry_hub,
        keys,
        agents,
        settings.Settings,
        data_centre=identifiers.DataCentreName('leon'),
        rng=random.Random(2),
    )
    stop = trio.Event()
    async with trio.open_nursery() as nursery:

        async def serve(app, name, shutdown):
            return await nursery.start(
                functools.partial(
                    adapters.serve,
                    app,
                    '127.0.0.1',
                    0,
                    name=name,
                    shutdown=shutdown,
                    drain_s=5,
                )
            )

        never_set = trio.Event()
        address = await nursery.start(entry_hub.run)
        await nursery.start(agent_hub.run)
        await nursery.start(router.run)
        await nursery.start(runner.run)
        agent_hub.set_entries([address])
        port = await serve(
            adapters.caller_app(router, lambda: True), 'callers', stop
        )
        local = await serve(
            adapters.agent_app(runner, lambda: True), 'agent', never_set
        )
        backend = await serve(backend_server.backend_app(work), 'b', never_set)
        backend_address = f'http://127.0.0.1:{backend}'
        async with contextlib.AsyncExitStack() as stack:

            async def http(url):
                return await stack.enter_async_context(
                    httpx.AsyncClient(
                        base_url=url, timeout=10, trust_env=False
                    )
                )

            path = Path(
                entry_hub,
                agent_hub,
                router,
                runner,
                work,
                await http(f'http://127.0.0.1:{port}/services/{SERVICE}'),
                await http(backend_address),
                f'http://127.0.0.1:{local}',
                backend_address,
                nursery,
                stop,
            )
            nursery.start_soon(_announce, path)
            with trio.fail_after(5):
                while not entry_hub.peers('agent') or not runner.backends():
                    await trio.sleep(0.01)
            yield path
        nursery.cancel_scope.cancel()
    await client.aclose()


async def _announce(path):
    """Announce the backend server through the agent's local port."""
    async with httpx.AsyncClient(trust_env=False) as client:
        while not path.work.leaving.is_set():
            announcement = {'address': path.backend_address, 'incarnation': 1}
            url = f'{path.agent_url}/backends/{SERVICE}'
            answer = await client.put(url, json=announcement)
            assert answer.status_code == 204
            await trio.sleep(1)
