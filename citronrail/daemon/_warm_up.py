"""Delays the readiness of a new entry until it knows the agents."""

import collections.abc

import trio

STABLE_AGENT_COUNT_S = 1.5  # longer than the heartbeat interval
MAX_WARM_UP_S = 6.0
POLL_S = 0.05


class WarmUp:
    """Delays readiness until the agents of the fleet are known.

    If an entry became ready before its agents had connected, requests would
    wait for them, up to 1.2 s after a restart.

    :param agents: returns the number of known agents.
    :param joined: waits until this entry is a member.
    """

    def __init__(
        self,
        agents: collections.abc.Callable[[], int],
        joined: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        self._agents = agents
        self._joined = joined
        self.done = False

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Wait until the number of agents is stable, at most 6 s."""
        task_status.started()
        with trio.move_on_after(MAX_WARM_UP_S):
            await self._joined()
            await self._wait_for_stable_agent_count()
        self.done = True
        await trio.sleep_forever()

    async def _wait_for_stable_agent_count(self) -> None:
        known = 0
        changed_at = trio.current_time()
        while True:
            count = self._agents()
            if count != known:
                known = count
                changed_at = trio.current_time()
            stable_s = trio.current_time() - changed_at
            if known and stable_s > STABLE_AGENT_COUNT_S:
                return
            await trio.sleep(POLL_S)
