"""Keeps this process's copy of the settings up to date."""

import collections.abc
import typing

import trio

from citronrail.coordination import _settings_document as document
from citronrail import errors
from citronrail.model import settings as models
from citronrail import observability
from citronrail.observability.catalogue import coordination as events
from citronrail import ports

CONFIRM_INTERVAL_S = 0.5
READ_TIMEOUT_S = 2.0  # start permits cannot use a slower confirmation
WATCH_RETRY_S = 1.0
NEVER = float('-inf')

Listener = collections.abc.Callable[[models.Settings], None]


class SettingsFollower:
    """Follows the settings by a watch and by periodic reads.

    The version never decreases; a stale read is ignored and does not confirm
    the settings.

    :param store: store to read from.
    :param confirm_interval_s: interval between confirming reads, in seconds.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        confirm_interval_s: float = CONFIRM_INTERVAL_S,
    ) -> None:
        self._store = store
        self._confirm_interval_s = confirm_interval_s
        self._settings = models.Settings()
        self._fresh_at = NEVER
        self._store_revision = 0
        self._changed = trio.Event()
        self._readable = True

    @property
    def settings(self) -> models.Settings:
        """Latest known settings; version 0 before the first read."""
        return self._settings

    @property
    def fresh_at(self) -> float:
        """Latest local time at which the settings were confirmed.

        Minus infinity before the first confirmation.
        """
        return self._fresh_at

    async def changed(self, version: int) -> models.Settings:
        """Wait for a newer version of the settings.

        :param version: the version that the caller already has.
        :returns: settings with a higher version.
        """
        while self._settings.version <= version:
            await self._changed.wait()
        return self._settings

    def observe(self, settings: models.Settings, fresh_at: float) -> None:
        """Apply settings received from a peer or just written.

        :param settings: settings that were in the store.
        :param fresh_at: local time at which they were confirmed to be the
            latest.
        """
        if settings.version < self._settings.version:
            return
        if settings.version > self._settings.version:
            self._settings = settings
            self._changed.set()
            self._changed = trio.Event()
            observability.emit(
                events.SETTINGS_CHANGED, version=settings.version
            )
        self._fresh_at = max(self._fresh_at, fresh_at)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow until cancelled; reports started once confirmed."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._poll)
            nursery.start_soon(self._watch)
            task_status.started()

    async def _poll(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        started = False
        while True:
            read_started_at = trio.current_time()
            if await self._read_and_confirm() and not started:
                task_status.started()
                started = True
            await trio.sleep_until(read_started_at + self._confirm_interval_s)

    async def _read_and_confirm(self) -> bool:
        read_started_at = trio.current_time()
        try:
            with trio.fail_after(READ_TIMEOUT_S):
                stored = await document.read(self._store)
        except (errors.StoreError, trio.TooSlowError) as exc:
            observability.emit(events.STORE_CALL_FAILED, reason=exc)
            return False
        except errors.ConfigError as exc:
            self._report_unreadable(exc)
            return False
        self._readable = True
        return self._accept(stored, read_started_at)

    def _accept(
        self, stored: document.StoredSettings, read_started_at: float
    ) -> bool:
        """Apply a read unless it is stale."""
        stale = stored.store_revision < self._store_revision
        if stale or stored.settings.version < self._settings.version:
            observability.emit(
                events.SETTINGS_STALE_READ,
                seen=stored.settings.version,
                known=self._settings.version,
            )
            return False
        self._store_revision = stored.store_revision
        self.observe(stored.settings, read_started_at)
        return True

    async def _watch(self) -> typing.NoReturn:
        """Apply changes early; only periodic reads confirm freshness."""
        while True:
            start = self._store_revision + 1
            try:
                async with self._store.watch(
                    document.SETTINGS_KEY, start
                ) as changes:
                    async for batch in changes:
                        self._apply_events(batch)
            except errors.StoreError as exc:
                observability.emit(events.SETTINGS_WATCH_LOST, reason=exc)
            await trio.sleep(WATCH_RETRY_S)

    def _apply_events(self, batch: tuple[ports.WatchEvent, ...]) -> None:
        for event in batch:
            if event.key != document.SETTINGS_KEY or event.value is None:
                continue
            try:
                settings = document.decode(event.value)
            except errors.ConfigError as exc:
                self._report_unreadable(exc)
                continue
            # A watch event may be delayed, so it confirms no freshness.
            self.observe(settings, NEVER)

    def _report_unreadable(self, exc: errors.ConfigError) -> None:
        if self._readable:
            observability.emit(events.SETTINGS_UNREADABLE, reason=exc)
        self._readable = False
