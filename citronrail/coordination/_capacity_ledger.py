"""Admission control for the tasks of one host."""

import collections.abc
import dataclasses

from citronrail.model import messages
from citronrail.model import resources as amounts
from citronrail.model import specs


@dataclasses.dataclass(frozen=True)
class Admission:
    """Result of an admission; ``reason`` explains a refusal."""

    accepted: bool
    reason: str = ''


class CapacityLedger:
    """Resource reservations of a host; its agent is the only writer.

    Nothing is admitted before :meth:`rebuild`, because a restarted agent does
    not know yet which tasks the worker runs.

    :param capacity: resources of the host.
    :param processor_share: overcommitment factor for processors, from a
        declared policy; 1.0 disables it. Memory and accelerators are never
        overcommitted.
    """

    def __init__(
        self, capacity: amounts.Resources, processor_share: float = 1.0
    ) -> None:
        self._limit = dataclasses.replace(
            capacity, millicores=int(capacity.millicores * processor_share)
        )
        self._reservations: dict[specs.AttemptId, amounts.Resources] = {}
        self._attempt_by_task: dict[specs.TaskId, specs.AttemptId] = {}
        self._reserved = amounts.Resources()
        self._rebuilt = False

    @property
    def ready(self) -> bool:
        """Whether the ledger was rebuilt and admits attempts."""
        return self._rebuilt

    @property
    def free(self) -> amounts.Resources:
        """Unreserved resources; negative if the host is overcommitted."""
        return self._limit - self._reserved

    @property
    def reserved(self) -> amounts.Resources:
        """Sum of all reservations."""
        return self._reserved

    @property
    def overfull(self) -> bool:
        """Whether the reservations exceed the limits of the host.

        They can, because :meth:`observe` raises them to the memory in use.
        """
        return not self._reserved.fits_in(self._limit)

    def attempts(self) -> tuple[specs.AttemptId, ...]:
        """Return the attempts that have a reservation."""
        return tuple(self._reservations)

    def rebuild(
        self, running: collections.abc.Iterable[messages.RunningTask]
    ) -> None:
        """Replace all reservations by those of the running tasks.

        :param running: tasks that the worker reports as running.
        """
        self._reservations.clear()
        self._attempt_by_task.clear()
        self._reserved = amounts.Resources()
        for task in running:
            self._add(task.attempt, task.spec.resources)
        self._rebuilt = True

    def admit(
        self, attempt: specs.AttemptId, resources: amounts.Resources
    ) -> Admission:
        """Reserve resources for an attempt.

        :param attempt: the attempt to start.
        :param resources: maximum of declared and observed resources.
        :returns: whether the attempt may start.
        """
        reason = self._refusal_reason(attempt, resources)
        if reason:
            return Admission(False, reason)
        self._add(attempt, resources)
        return Admission(True)

    def observe(
        self, attempt: specs.AttemptId, usage: amounts.Resources
    ) -> None:
        """Raise a reservation to the observed memory usage.

        :param attempt: the measured attempt.
        :param usage: measured usage; only its memory is considered.
        """
        reservation = self._reservations.get(attempt)
        if reservation is None or usage.memory_mb <= reservation.memory_mb:
            return
        raised = dataclasses.replace(reservation, memory_mb=usage.memory_mb)
        self._reservations[attempt] = raised
        self._reserved = self._reserved - reservation + raised

    def release(self, attempt: specs.AttemptId) -> bool:
        """Release the reservation of an attempt that has ended.

        :param attempt: the ended attempt.
        :returns: False if it had no reservation.
        """
        reservation = self._reservations.pop(attempt, None)
        if reservation is None:
            return False
        if self._attempt_by_task.get(attempt.task) == attempt:
            del self._attempt_by_task[attempt.task]
        self._reserved = self._reserved - reservation
        return True

    def _refusal_reason(
        self, attempt: specs.AttemptId, resources: amounts.Resources
    ) -> str:
        if not self._rebuilt:
            return 'the ledger is not rebuilt yet'
        if min(dataclasses.astuple(resources)) < 0:
            return 'negative resources'
        current = self._attempt_by_task.get(attempt.task)
        if current is not None:
            return f'{current} of the same task still holds its resources'
        if not resources.fits_in(self.free):
            return f'{resources} do not fit in {self.free}'
        return ''

    def _add(
        self, attempt: specs.AttemptId, resources: amounts.Resources
    ) -> None:
        self.release(attempt)
        self._reservations[attempt] = resources
        self._attempt_by_task[attempt.task] = attempt
        self._reserved = self._reserved + resources
