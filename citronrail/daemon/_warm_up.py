"""When a new entry knows enough to take requests and commands."""

import collections.abc

import trio

AGENTS_QUIET_S = 1.5  # longer than the time between heartbeats
LONGEST_S = 6.0
POLL_S = 0.05


class WarmUp:
    """Holds readiness back until the agents of the fleet are known.

    An entry that is ready before its agents have connected lets requests
    wait for them: after a restart, callers waited up to 1.2 s.

    :param agents: gives the number of agents known.
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
        """Watch until no new agent came for a while, at most 6 s."""
        task_status.started()
        with trio.move_on_after(LONGEST_S):
            await self._joined()
            await self._await_agents()
        self.done = True
        await trio.sleep_forever()

    async def _await_agents(self) -> None:
        known = 0
        changed_at = trio.current_time()
        while True:
            count = self._agents()
            if count != known:
                known = count
                changed_at = trio.current_time()
            quiet_s = trio.current_time() - changed_at
            if known and quiet_s > AGENTS_QUIET_S:
                return
            await trio.sleep(POLL_S)
