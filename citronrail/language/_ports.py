"""Interfaces through which commands meet the other subsystems."""

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
    """Tells whether a row meets a condition."""

    @property
    def fields(self) -> frozenset[str]:
        """Columns that the condition looks at."""
        ...

    def __call__(self, row: typing.Any) -> bool:
        """Tell whether ``row`` meets the condition."""
        ...


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """Result of a cancellation.

    ``count`` tasks had not ended. In the ``failed`` ranges the outcome is
    unknown or nothing changed; the command is repeated with the same id.
    """

    count: int
    failed: tuple[identifiers.RangeId, ...] = ()


class SettingsWriter(typing.Protocol):
    """Writes the configuration to the store, each command once."""

    async def apply(
        self,
        command_id: identifiers.CommandId,
        change: ChangeSettings,
        message: str,
        expected_version: int | None = None,
        *,
        deadline: float,
    ) -> settings_model.AppliedCommand:
        """Apply a change, or find that the command was applied before.

        :param command_id: identity of the command, equal for its retries.
        :param change: makes the new settings, perhaps several times.
        :param message: what the command does; kept with its id.
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

        A repeated command id changes nothing and gives the earlier message.

        :param spec: the job, whose range this entry owns.
        :param command_id: identity of the command, equal for its retries.
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
    ) -> Cancelled:
        """Cancel everything in the owned shards that meets a condition.

        All of it is one batch in each shard, durable when this returns. A
        repeated command id changes nothing more and gives the earlier count.

        :param kind: ``tasks`` or ``jobs``.
        :param predicate: takes a :class:`~citronrail.model.rows.TaskRow` or
            :class:`~citronrail.model.rows.JobRow`.
        :param command_id: identity of the command, equal for its retries.
        :returns: number of tasks cancelled, and where it failed.
        """
        ...

    def rows(self, kind: str) -> JobRows:
        """Return the rows of the owned shards, to be read once.

        :param kind: ``tasks`` or ``jobs``.
        """
        ...

    def owned_ranges(self) -> tuple[identifiers.RangeId, ...]:
        """Return the ranges whose shards are loaded and owned now."""
        ...


class RangeDirectory(typing.Protocol):
    """Which entry owns which range, as far as this entry knows."""

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the owner, this entry included, or None."""
        ...
