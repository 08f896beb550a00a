"""Operators' settings that are in effect in this process."""

import collections.abc

import trio

from citronrail import errors
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports

DecodeConfig = collections.abc.Callable[[bytes], workflows.OperatorConfig]
# A watch is answered at least every 2.5 s; without an answer for longer than
# this the store is considered unreachable.
MAX_CONFIRMATION_AGE_S = 3.6
EvacuatedDataCentre = collections.abc.Callable[[str], str | None]


class OperatorView:
    """Tracks the latest configuration and the evacuated data centres.

    A listener of :func:`citronrail.workflow.follow`.

    :param config_key: key of the configuration.
    :param decode: decodes a stored configuration.
    :param evacuated: returns the data centre that a key evacuates, or None.
    """

    def __init__(
        self,
        config_key: str,
        decode: DecodeConfig,
        evacuated: EvacuatedDataCentre,
    ) -> None:
        self._config_key = config_key
        self._decode = decode
        self._evacuated_of = evacuated
        self.config: workflows.OperatorConfig | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.confirmed_at = float('-inf')  # local time of the last answer
        self.changed = trio.Event()

    @property
    def fresh(self) -> bool:
        """Whether the store has confirmed the settings recently."""
        age_s = trio.current_time() - self.confirmed_at
        return self.config is not None and age_s < MAX_CONFIRMATION_AGE_S

    def on_listing(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Replace the settings by those of a listing."""
        evacuated = set()
        for item in items:
            if item.key == self._config_key:
                self._set_config(item.value)
            data_centre = self._evacuated_of(item.key)
            if data_centre is not None:
                evacuated.add(data_centre)
        self._set_evacuated(frozenset(evacuated))
        self._signal_change()

    def on_events(self, changes: tuple[ports.WatchEvent, ...]) -> None:
        """Apply changes of the operators' documents."""
        for change in changes:
            if change.key == self._config_key and change.value is not None:
                self._set_config(change.value)
            data_centre = self._evacuated_of(change.key)
            if data_centre is None:
                continue
            if change.value is None:
                self._set_evacuated(self.evacuated - {data_centre})
            else:
                self._set_evacuated(self.evacuated | {data_centre})
        self.confirmed_at = trio.current_time()
        if changes:
            self._signal_change()

    def _set_config(self, value: bytes) -> None:
        try:
            config = self._decode(value)
        except errors.ConfigError as exc:
            observability.emit(events.CONFIG_UNREADABLE, reason=exc)
            return
        if self.config is not None and config.version <= self.config.version:
            return
        observability.emit(
            events.CONFIG_IN_FORCE,
            version=config.version,
            queues=len(config.queues),
        )
        self.config = config

    def _set_evacuated(self, evacuated: frozenset[str]) -> None:
        if evacuated != self.evacuated:
            observability.emit(
                events.EVACUATION_CHANGED,
                data_centres=','.join(sorted(evacuated)) or 'none',
            )
        self.evacuated = evacuated

    def _signal_change(self) -> None:
        self.confirmed_at = trio.current_time()
        self.changed.set()
        self.changed = trio.Event()
