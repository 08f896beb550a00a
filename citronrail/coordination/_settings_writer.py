"""Changes the settings by compare-and-swap."""

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

RECENT_COMMANDS = 128  # 2,100 changes a day: more than an hour of history
RETRY_S = 0.05
MAX_RETRY_S = 1.0
CALL_TIMEOUT_S = 2.0
STEP = 'settings.apply'

Change = collections.abc.Callable[[models.Settings], models.Settings]


@dataclasses.dataclass
class _Progress:
    """What is known of a command's writes so far."""

    base_version: int | None = None
    write_unresolved: bool = False
    cause: BaseException | None = None


class SettingsWriter:
    """Applies operators' commands, each exactly once.

    :param store: store to write to.
    :param follower: follower to tell of successful writes, or None.
    :param rng: source of retry jitter.
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
        """Apply a command, or find out that it was applied before.

        :param command_id: identity of the command, equal for its retries.
        :param change: makes the new settings; the version is set here. It
            raises :class:`citronrail.errors.CommandRefused` to refuse.
        :param message: what the command did, shown to operators.
        :param expected_version: version that the operator has seen; None
            stands for the one first read here.
        :param deadline: local time at which to give up.
        :returns: the command as recorded in the settings.
        :raises citronrail.errors.CommandRefused: if nothing changed; a
            :class:`citronrail.errors.CommandConflict` names the winner.
        :raises citronrail.errors.StoreUnavailable: if nothing changed.
        :raises citronrail.errors.StoreOutcomeUnknown: if it may have
            taken effect.
        """
        progress = _Progress(base_version=expected_version)
        delay_s = RETRY_S
        while True:
            try:
                with trio.fail_after(min(CALL_TIMEOUT_S, _left(deadline))):
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
            pause_s = delay_s * (0.5 + self._rng.random())
            delay_s = min(delay_s * 2, MAX_RETRY_S)
            await trio.sleep(
                max(0.0, min(pause_s, deadline - trio.current_time()))
            )
            if trio.current_time() >= deadline:
                _give_up(command_id, progress)

    async def _attempt(
        self,
        command_id: identifiers.CommandId,
        change: Change,
        message: str,
        progress: _Progress,
    ) -> models.AppliedCommand | None:
        """Read, then write once; None asks for another attempt."""
        asked_at = trio.current_time()
        stored = await document.read(self._store)
        applied = _find(stored.settings, command_id)
        if applied is not None:
            self._tell(stored.settings, asked_at)
            return applied
        self._check_version(command_id, stored.settings, progress)
        progress.base_version = stored.settings.version
        new, applied = _changed(stored.settings, command_id, change, message)
        was_unresolved = progress.write_unresolved
        progress.write_unresolved = True
        try:
            result = await self._store.txn(
                [ports.Compare(document.SETTINGS_KEY, stored.revision)],
                [ports.Put(document.SETTINGS_KEY, document.encode(new))],
            )
        except (
            errors.StoreUnavailable,
            errors.StoreBudgetExceeded,
            errors.StoreValueTooLarge,
        ):
            progress.write_unresolved = was_unresolved
            raise
        if not result.succeeded:
            # Another write came first, possibly an earlier one of ours; the
            # next read tells.
            progress.write_unresolved = was_unresolved
            return None
        observability.emit(
            events.COMMAND_APPLIED, command_id=command_id, version=new.version
        )
        self._tell(new, asked_at)
        return applied

    def _check_version(
        self,
        command_id: identifiers.CommandId,
        current: models.Settings,
        progress: _Progress,
    ) -> None:
        base = progress.base_version
        if base is None or current.version == base:
            return
        if progress.write_unresolved and _history_lost(current, base):
            raise errors.StoreOutcomeUnknown(
                'too many commands were applied since to find this one',
                step=STEP,
            )
        if current.version < base:
            if progress.write_unresolved or progress.cause is not None:
                raise errors.StoreUnavailable('stale read', step=STEP)
            raise errors.CommandRefused(
                f'version {base} does not exist yet, the latest is '
                f'{current.version}',
                step=STEP,
            )
        _refuse_loser(command_id, current, base)

    def _tell(self, settings: models.Settings, fresh_at: float) -> None:
        if self._follower is not None:
            self._follower.observe(settings, fresh_at)


def _left(deadline: float) -> float:
    return max(0.0, deadline - trio.current_time())


def _find(
    settings: models.Settings, command_id: identifiers.CommandId
) -> models.AppliedCommand | None:
    for applied in settings.recent_commands:
        if applied.command_id == command_id:
            return applied
    return None


def _changed(
    settings: models.Settings,
    command_id: identifiers.CommandId,
    change: Change,
    message: str,
) -> tuple[models.Settings, models.AppliedCommand]:
    version = settings.version + 1
    applied = models.AppliedCommand(command_id, version, message)
    recent = (*settings.recent_commands, applied)[-RECENT_COMMANDS:]
    new = dataclasses.replace(
        change(settings), version=version, recent_commands=recent
    )
    return new, applied


def _history_lost(current: models.Settings, base: int) -> bool:
    oldest = min(
        (command.version for command in current.recent_commands),
        default=current.version,
    )
    return oldest > base + 1


def _refuse_loser(
    command_id: identifiers.CommandId, current: models.Settings, base: int
) -> typing.NoReturn:
    winner = next(
        (c for c in current.recent_commands if c.version == base + 1), None
    )
    name = winner.command_id if winner else ''
    what = f'command {name} ({winner.message})' if winner else 'a command'
    observability.emit(
        events.COMMAND_CONFLICT, command_id=command_id, winner=name
    )
    raise errors.CommandConflict(
        f'{what} changed version {base} first; the latest version is '
        f'{current.version}',
        step=STEP,
        winner_id=name,
        version=base + 1,
    )


def _give_up(
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
