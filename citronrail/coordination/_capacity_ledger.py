"""Admission of tasks to one host."""

import collections.abc
import dataclasses

from citronrail.model import messages
from citronrail.model import resources as amounts
from citronrail.model import specs


@dataclasses.dataclass(frozen=True)
class Admission:
    """Whether an attempt got its resources, and why not."""

    accepted: bool
    reason: str = ''


class CapacityLedger:
    """Reservations of a host; its agent is the only writer.

    Nothing is admitted before :meth:`rebuild`, since a restarted agent
    doesn't know yet what the worker runs.

    :param capacity: what the host holds.
    :param processor_share: factor on processors that a declared policy
        allows; 1.0 shares none. Memory and accelerators are never shared.
    """

    def __init__(
        self, capacity: amounts.Resources, processor_share: float = 1.0
    ) -> None:
        self._limit = dataclasses.replace(
            capacity, millicores=int(capacity.millicores * processor_share)
        )
        self._held: dict[specs.AttemptId, amounts.Resources] = {}
        self._tasks: dict[specs.TaskId, specs.AttemptId] = {}
        self._reserved = amounts.Resources()
        self._rebuilt = False

    @property
    def ready(self) -> bool:
        """Whether the ledger was rebuilt and may admit."""
        return self._rebuilt

    @property
    def free(self) -> amounts.Resources:
        """What is left; negative amounts show an overfull host."""
        return self._limit - self._reserved

    @property
    def reserved(self) -> amounts.Resources:
        """Sum of all reservations."""
        return self._reserved

    @property
    def overfull(self) -> bool:
        """Whether observed memory outgrew the host."""
        return not self._reserved.fits_in(self._limit)

    def attempts(self) -> tuple[specs.AttemptId, ...]:
        """Return the attempts that hold a reservation."""
        return tuple(self._held)

    def rebuild(
        self, running: collections.abc.Iterable[messages.RunningTask]
    ) -> None:
        """Replace all reservations by what the worker runs.

        :param running: the worker's own list.
        """
        self._held.clear()
        self._tasks.clear()
        self._reserved = amounts.Resources()
        for task in running:
            self._add(task.attempt, task.spec.resources)
        self._rebuilt = True

    def admit(
        self, attempt: specs.AttemptId, resources: amounts.Resources
    ) -> Admission:
        """Reserve resources for an attempt.

        :param attempt: the attempt about to start.
        :param resources: the larger of what was declared and observed.
        :returns: whether it may start; the reason if not.
        """
        refusal = self._refusal(attempt, resources)
        if refusal:
            return Admission(False, refusal)
        self._add(attempt, resources)
        return Admission(True)

    def observe(
        self, attempt: specs.AttemptId, usage: amounts.Resources
    ) -> None:
        """Raise a reservation to the observed memory.

        :param attempt: the attempt that was measured.
        :param usage: measured usage; only its memory counts.
        """
        held = self._held.get(attempt)
        if held is None or usage.memory_mb <= held.memory_mb:
            return
        grown = dataclasses.replace(held, memory_mb=usage.memory_mb)
        self._held[attempt] = grown
        self._reserved = self._reserved - held + grown

    def release(self, attempt: specs.AttemptId) -> bool:
        """Give back the reservation of an attempt that surely ended.

        :param attempt: the ended attempt.
        :returns: False if it held none.
        """
        held = self._held.pop(attempt, None)
        if held is None:
            return False
        if self._tasks.get(attempt.task) == attempt:
            del self._tasks[attempt.task]
        self._reserved = self._reserved - held
        return True

    def _refusal(
        self, attempt: specs.AttemptId, resources: amounts.Resources
    ) -> str:
        if not self._rebuilt:
            return 'the ledger is not rebuilt yet'
        if min(dataclasses.astuple(resources)) < 0:
            return 'negative resources'
        other = self._tasks.get(attempt.task)
        if other is not None:
            return f'{other} of the same task still holds its resources'
        if not resources.fits_in(self.free):
            return f'{resources} do not fit in {self.free}'
        return ''

    def _add(
        self, attempt: specs.AttemptId, resources: amounts.Resources
    ) -> None:
        self.release(attempt)
        self._held[attempt] = resources
        self._tasks[attempt.task] = attempt
        self._reserved = self._reserved + resources
