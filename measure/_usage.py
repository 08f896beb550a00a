"""Measures processor time and memory of processes by role."""

import collections.abc
import dataclasses
import time

import psutil
import trio

SAMPLE_INTERVAL_S = 0.25
BYTES_PER_MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class RoleUsage:
    """Resource use of a role: mean and maximum over its processes.

    ``core_share`` is processor time over wall time; 1.0 is one core.
    ``memory_mb`` is the peak resident set size in MiB.
    """

    processes: int
    core_share: float
    most_core_share: float
    memory_mb: float
    most_memory_mb: float


class UsageMeter:
    """Measures processes from its construction on.

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
        self._peak_memory_mb: dict[int, float] = {}
        self._started_at = time.perf_counter()
        self._initial_times_s = self._processor_times_s()
        self._sample()

    async def run(self) -> None:
        """Sample memory use until cancelled."""
        while True:
            self._sample()
            await trio.sleep(SAMPLE_INTERVAL_S)

    def result(self) -> dict[str, RoleUsage]:
        """Return the use since construction by role."""
        self._sample()
        wall_s = time.perf_counter() - self._started_at
        final_times_s = self._processor_times_s()
        result = {}
        for role, processes in self._processes.items():
            shares = [
                (final_times_s[one.pid] - self._initial_times_s[one.pid])
                / wall_s
                for one in processes
            ]
            memory = [self._peak_memory_mb[one.pid] for one in processes]
            result[role] = RoleUsage(
                len(processes),
                sum(shares) / len(shares),
                max(shares),
                sum(memory) / len(memory),
                max(memory),
            )
        return result

    def _processor_times_s(self) -> dict[int, float]:
        return {
            one.pid: sum(one.cpu_times()[:2])
            for processes in self._processes.values()
            for one in processes
        }

    def _sample(self) -> None:
        for processes in self._processes.values():
            for one in processes:
                used = one.memory_info().rss / BYTES_PER_MIB
                self._peak_memory_mb[one.pid] = max(
                    used, self._peak_memory_mb.get(one.pid, 0.0)
                )
