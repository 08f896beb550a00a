"""Processor time and memory of processes by role."""

import collections.abc
import dataclasses
import time

import psutil
import trio

SAMPLE_S = 0.25
MB = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class RoleUsage:
    """Use of a role over a span, mean and largest of its processes.

    ``core_share`` is processor time over wall time, 1.0 for one core.
    ``memory_mb`` is the largest resident set seen, in MiB.
    """

    processes: int
    core_share: float
    most_core_share: float
    memory_mb: float
    most_memory_mb: float


class UsageMeter:
    """Watches processes over a span.

    :param pids: process ids by role.
    """

    def __init__(
        self,
        pids: collections.abc.Mapping[str, collections.abc.Sequence[int]],
    ) -> None:
        self._processes = {
            role: [psutil.Process(pid) for pid in role_pids]
            for role, role_pids in pids.items()
        }
        self._memory: dict[int, float] = {}
        self._began = time.perf_counter()
        self._used_s = self._processor_s()
        self._sample()

    async def run(self) -> None:
        """Sample the memory until cancelled."""
        while True:
            self._sample()
            await trio.sleep(SAMPLE_S)

    def result(self) -> dict[str, RoleUsage]:
        """Return the use since the start, by role."""
        self._sample()
        wall_s = time.perf_counter() - self._began
        now_s = self._processor_s()
        result = {}
        for role, processes in self._processes.items():
            shares = [
                (now_s[one.pid] - self._used_s[one.pid]) / wall_s
                for one in processes
            ]
            memory = [self._memory[one.pid] for one in processes]
            result[role] = RoleUsage(
                len(processes),
                sum(shares) / len(shares),
                max(shares),
                sum(memory) / len(memory),
                max(memory),
            )
        return result

    def _processor_s(self) -> dict[int, float]:
        return {
            one.pid: sum(one.cpu_times()[:2])
            for processes in self._processes.values()
            for one in processes
        }

    def _sample(self) -> None:
        for processes in self._processes.values():
            for one in processes:
                used = one.memory_info().rss / MB
                self._memory[one.pid] = max(
                    used, self._memory.get(one.pid, 0.0)
                )
