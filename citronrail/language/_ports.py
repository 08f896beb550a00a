"""Interfaces to the subsystems that commands depend on."""

import collections.abc
import dataclasses
import typing

from citronrail.model import identifiers
from citronrail.model import rows
from citronrail.model import settings as settings_model
from citronrail.model import specs

JobRows = collections.abc.Iterable[rows.JobRow | rows.TaskRow]
ChangeSettings = collections.abc.Callable[
    [settings_model.Settings], settings_model.Settings
]


class RowPredicate(typing.Protocol):
    """Predicate on a row."""

    @property
    def fields(self) -> frozenset[str]:
        """Columns that the condition reads."""
        ...

    def __call__(self, row: typing.Any) -> bool:
        """Return whether ``row`` meets the condition."""
        ...


@dataclasses.dataclass(frozen=True)
class CancelOutcome:
    """Result of a cancellation.

    ``count`` is the number of cancelled tasks. In the ``failed`` ranges the
    outcome is unknown or nothing changed, so the command must be repeated
    with the same id.
    """

    count: int
    failed: tuple[identifiers.RangeId, ...] = ()


class SettingsWriter(typing.Protocol):
    """Applies each command to the configuration in the store once."""

    async def apply(
        self,
        command_id: identifiers.CommandId,
        change: ChangeSettings,
        message: str,
        expected_version: int | None = None,
        *,
        deadline: float,
    ) -> settings_model.AppliedCommand:
        """Apply a change unless the command was applied before.

        :param command_id: id of the command, the same for all its retries.
        :param change: computes the new settings; may be called repeatedly.
        :param message: description of the command, stored with its id.
        :param expected_version: version that must be the latest, or None.
        :param deadline: local time at which to give up.
        :returns: the command as recorded in the settings.
        :raises citronrail.errors.CitronrailError: with ``outcome`` ``not
            run`` if nothing changed, ``unknown`` if it may have.
        """
        ...


class JobShards(typing.Protocol):
    """The job shards that this entry owns."""

    async def submit(
        self, spec: specs.JobSpec, command_id: identifiers.CommandId
    ) -> str:
        """Accept a job; it is durable when this returns.

        A repeated command id changes nothing and returns the earlier message.

        :param spec: the job, whose range this entry owns.
        :param command_id: id of the command, the same for all its retries.
        :returns: a message for the operator.
        :raises citronrail.errors.CommandRefused: if it can't be accepted,
            for example because the job exists.
        """
        ...

    async def cancel(
        self,
        kind: str,
        predicate: RowPredicate,
        command_id: identifiers.CommandId,
    ) -> CancelOutcome:
        """Cancel all jobs or tasks in the owned shards that meet a condition.

        Each shard commits one batch, which is durable when this returns. A
        repeated command id changes nothing more and returns the earlier
        count.

        :param kind: ``tasks`` or ``jobs``.
        :param predicate: tests a :class:`~citronrail.model.rows.TaskRow` or
            :class:`~citronrail.model.rows.JobRow`.
        :param command_id: id of the command, the same for all its retries.
        :returns: number of cancelled tasks and the ranges that failed.
        """
        ...

    def rows(self, kind: str) -> JobRows:
        """Return the rows of the owned shards; they can be iterated once.

        :param kind: ``tasks`` or ``jobs``.
        """
        ...

    def owned_ranges(self) -> tuple[identifiers.RangeId, ...]:
        """Return the ranges whose shards are currently loaded and owned."""
        ...


class RangeDirectory(typing.Protocol):
    """Maps ranges to their owners, as known to this entry."""

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the owner, which may be this entry, or None."""
        ...
