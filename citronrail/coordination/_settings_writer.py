"""Updates the settings by compare-and-swap."""

import collections.abc
import dataclasses
import random
import typing

import trio

from citronrail.coordination import _settings_document as document
from citronrail.coordination import _settings_follower as followers
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import settings as models
from citronrail import observability
from citronrail.observability.catalogue import coordination as events
from citronrail import ports

RECENT_COMMANDS = 128  # over an hour of history at 2,100 changes a day
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
CALL_TIMEOUT_S = 2.0
STEP = 'settings.apply'

Change = collections.abc.Callable[[models.Settings], models.Settings]


@dataclasses.dataclass
class _Progress:
    """Progress of a command over its attempts.

    ``write_unresolved`` is set while a write may have taken effect unnoticed.
    """

    base_version: int | None = None
    write_unresolved: bool = False
    cause: BaseException | None = None


class SettingsWriter:
    """Applies operators' commands, each exactly once.

    :param store: store to write to.
    :param follower: follower to update after a successful write, or None.
    :param rng: random source for retry jitter.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        follower: followers.SettingsFollower | None,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._follower = follower
        self._rng = rng

    async def apply(
        self,
        command_id: identifiers.CommandId,
        change: Change,
        message: str,
        expected_version: int | None = None,
        *,
        deadline: float,
    ) -> models.AppliedCommand:
        """Apply a command unless it has been applied already.

        :param command_id: identity of the command, the same for its retries.
        :param change: returns the new settings, whose version is set here. It
            raises :class:`citronrail.errors.CommandRefused` to refuse.
        :param message: description of the command for operators.
        :param expected_version: version that the operator has seen; None
            means the version that is read first.
        :param deadline: local time after which the command is abandoned.
        :returns: the command as recorded in the settings.
        :raises citronrail.errors.CommandRefused: if nothing changed; a
            :class:`citronrail.errors.CommandConflict` names the conflicting
            command.
        :raises citronrail.errors.StoreUnavailable: if nothing changed.
        :raises citronrail.errors.StoreOutcomeUnknown: if the command may have
            taken effect.
        """
        progress = _Progress(base_version=expected_version)
        delay_s = MIN_RETRY_S
        while True:
            try:
                with trio.fail_after(
                    min(CALL_TIMEOUT_S, _remaining_s(deadline))
                ):
                    applied = await self._attempt(
                        command_id, change, message, progress
                    )
                if applied is not None:
                    return applied
            except (
                errors.StoreUnavailable,
                errors.StoreBudgetExceeded,
                errors.StoreOutcomeUnknown,
                trio.TooSlowError,
            ) as exc:
                progress.cause = exc
            backoff_s = delay_s * (0.5 + self._rng.random())
            delay_s = min(delay_s * 2, MAX_RETRY_S)
            await trio.sleep(
                max(0.0, min(backoff_s, deadline - trio.current_time()))
            )
            if trio.current_time() >= deadline:
                _raise_timeout(command_id, progress)

    async def _attempt(
        self,
        command_id: identifiers.CommandId,
        change: Change,
        message: str,
        progress: _Progress,
    ) -> models.AppliedCommand | None:
        """Read and write once; None means that a retry is needed."""
        read_started_at = trio.current_time()
        stored = await document.read(self._store)
        applied = _find_command(stored.settings, command_id)
        if applied is not None:
            self._notify_follower(stored.settings, read_started_at)
            return applied
        self._check_version(command_id, stored.settings, progress)
        progress.base_version = stored.settings.version
        updated, applied = _with_command(
            stored.settings, command_id, change, message
        )
        earlier_unresolved = progress.write_unresolved
        progress.write_unresolved = True
        try:
            result = await self._store.txn(
                [ports.Compare(document.SETTINGS_KEY, stored.revision)],
                [ports.Put(document.SETTINGS_KEY, document.encode(updated))],
            )
        except (
            errors.StoreUnavailable,
            errors.StoreBudgetExceeded,
            errors.StoreRefused,
        ):
            progress.write_unresolved = earlier_unresolved
            raise
        if not result.succeeded:
            # A concurrent write succeeded, possibly an earlier one of this
            # command; the next read shows which.
            progress.write_unresolved = earlier_unresolved
            return None
        observability.emit(
            events.COMMAND_APPLIED,
            command_id=command_id,
            version=updated.version,
        )
        self._notify_follower(updated, read_started_at)
        return applied

    def _check_version(
        self,
        command_id: identifiers.CommandId,
        current: models.Settings,
        progress: _Progress,
    ) -> None:
        base_version = progress.base_version
        if base_version is None or current.version == base_version:
            return
        if progress.write_unresolved and _history_truncated(
            current, base_version
        ):
            raise errors.StoreOutcomeUnknown(
                'too many commands were applied since to find this one',
                step=STEP,
            )
        if current.version < base_version:
            if progress.write_unresolved or progress.cause is not None:
                raise errors.StoreUnavailable('stale read', step=STEP)
            raise errors.CommandRefused(
                f'version {base_version} does not exist yet, the latest is '
                f'{current.version}',
                step=STEP,
            )
        _raise_conflict(command_id, current, base_version)

    def _notify_follower(
        self, settings: models.Settings, fresh_at: float
    ) -> None:
        if self._follower is not None:
            self._follower.observe(settings, fresh_at)


def _remaining_s(deadline: float) -> float:
    return max(0.0, deadline - trio.current_time())


def _find_command(
    settings: models.Settings, command_id: identifiers.CommandId
) -> models.AppliedCommand | None:
    for applied in settings.recent_commands:
        if applied.command_id == command_id:
            return applied
    return None


def _with_command(
    settings: models.Settings,
    command_id: identifiers.CommandId,
    change: Change,
    message: str,
) -> tuple[models.Settings, models.AppliedCommand]:
    version = settings.version + 1
    applied = models.AppliedCommand(command_id, version, message)
    recent = (*settings.recent_commands, applied)[-RECENT_COMMANDS:]
    updated = dataclasses.replace(
        change(settings), version=version, recent_commands=recent
    )
    return updated, applied


def _history_truncated(current: models.Settings, base_version: int) -> bool:
    oldest = min(
        (command.version for command in current.recent_commands),
        default=current.version,
    )
    return oldest > base_version + 1


def _raise_conflict(
    command_id: identifiers.CommandId,
    current: models.Settings,
    base_version: int,
) -> typing.NoReturn:
    winner = next(
        (
            command
            for command in current.recent_commands
            if command.version == base_version + 1
        ),
        None,
    )
    winner_id = winner.command_id if winner else ''
    description = (
        f'command {winner_id} ({winner.message})' if winner else 'a command'
    )
    observability.emit(
        events.COMMAND_CONFLICT, command_id=command_id, winner=winner_id
    )
    raise errors.CommandConflict(
        f'{description} changed version {base_version} first; the latest '
        f'version is {current.version}',
        step=STEP,
        winner_id=winner_id,
        version=base_version + 1,
    )


def _raise_timeout(
    command_id: identifiers.CommandId, progress: _Progress
) -> typing.NoReturn:
    reason = str(progress.cause) or type(progress.cause).__name__
    if progress.write_unresolved:
        observability.emit(
            events.COMMAND_UNRESOLVED, command_id=command_id, reason=reason
        )
        raise errors.StoreOutcomeUnknown(
            f'the command may have taken effect: {reason}', step=STEP
        ) from progress.cause
    raise errors.StoreUnavailable(
        f'the command was not applied: {reason}', step=STEP
    ) from progress.cause
