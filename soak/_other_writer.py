"""Another writer that sends malformed heartbeats to the agents."""

import contextlib
import dataclasses
import random

import httpx
import trio

from soak import _deployment
from standins import platform as platform_standin

MEAN_INTERVAL_S = 0.5
LATE_SEQUENCE = 1_000_000  # later than each heartbeat of a worker


class OtherWriter:
    """Sends heartbeats that name no worker to use.

    They carry the ID of the worker beside the agent, or an unknown one.

    :param system: deployment under test.
    :param rng: random number generator.
    """

    def __init__(
        self, system: _deployment.Deployment, rng: random.Random
    ) -> None:
        self._system = system
        self._rng = rng

    async def run(self, seconds: float) -> None:
        """Send heartbeats to random agents for ``seconds``."""
        until = trio.current_time() + seconds
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            while trio.current_time() < until:
                await trio.sleep(self._rng.uniform(0, 2 * MEAN_INTERVAL_S))
                number = self._rng.randrange(len(self._system.agents))
                await self._send(client, number)

    async def _send(self, client: httpx.AsyncClient, number: int) -> None:
        life = self._system.workers[number].life()
        if self._rng.random() < 0.5:
            unknown = f'i-{self._rng.randrange(16**8):08x}'
            life = dataclasses.replace(
                life, worker_id=unknown, born_ms=life.born_ms + 1
            )
        node = self._system.agents[number]
        sound = platform_standin.heartbeat(
            life, f'{node.ip}:{_deployment.WORKER_PROXY_PORT}', LATE_SEQUENCE
        )
        body = platform_standin.malformed_body(self._rng, sound)
        url = f'http://{node.ip}:{_deployment.CONTROL_PORT}'
        path = f'/Instances.Heartbeat/{life.worker_id}'
        # The agent may be down or paused.
        with contextlib.suppress(httpx.HTTPError):
            await client.post(url + path, content=body)
