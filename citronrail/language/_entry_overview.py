"""Combines the state known to the components of an entry."""

import collections.abc
import typing

import trio

from citronrail.language import _local_rows
from citronrail.language import _tables
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import settings as settings_model
from citronrail.model import views as view_model
from citronrail import ports

RequestSource = collections.abc.Callable[[], tuple[_tables.RequestRow, ...]]


class SettingsSource(typing.Protocol):
    """Interface of the settings follower."""

    @property
    def settings(self) -> settings_model.Settings:
        """Latest known settings."""
        ...


class AgentSource(typing.Protocol):
    """Interface of the agent directory."""

    def agents(self) -> tuple[view_model.AgentView, ...]:
        """Return the last known state of each agent."""
        ...


class PeerEntry(typing.Protocol):
    """Last heartbeat of another entry."""

    @property
    def node_id(self) -> identifiers.NodeId:
        """Node id of the entry."""
        ...

    @property
    def boot_id(self) -> identifiers.BootId:
        """Boot id of the entry."""
        ...

    @property
    def heard_at(self) -> float:
        """Local time at which the heartbeat was received."""
        ...

    @property
    def settings_version(self) -> int:
        """Settings version of the entry."""
        ...

    @property
    def ranges(self) -> tuple[messages.RangeClaim, ...]:
        """Ranges owned by the entry."""
        ...

    @property
    def draining(self) -> bool:
        """Whether the entry is draining before it stops."""
        ...


class EntrySource(typing.Protocol):
    """Interface of the directory of entries."""

    def entries(self) -> tuple[PeerEntry, ...]:
        """Return the last heartbeat of each other entry."""
        ...


class EntryOverview:
    """Implements :class:`Views` for an entry.

    :param hub: connections to the peers.
    :param data_centre: data centre of this entry.
    :param settings: the settings follower.
    :param agents: the agent directory.
    :param others: the directory of entries.
    :param owned: returns the ranges that this entry owns.
    :param requests: returns the requests in progress at this entry.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        data_centre: str,
        settings: SettingsSource,
        agents: AgentSource,
        others: EntrySource,
        owned: collections.abc.Callable[[], tuple[identifiers.RangeId, ...]],
        requests: RequestSource = tuple,
    ) -> None:
        self._hub = hub
        self._data_centre = data_centre
        self._settings = settings
        self._agents = agents
        self._others = others
        self._owned = owned
        self._requests = requests

    @property
    def settings(self) -> settings_model.Settings:
        """Latest known settings."""
        return self._settings.settings

    def agents(self) -> tuple[view_model.AgentView, ...]:
        """Return the last known state of each agent."""
        return self._agents.agents()

    def requests(self) -> tuple[_tables.RequestRow, ...]:
        """Return the requests in progress at this entry."""
        return self._requests()

    def entries(self) -> tuple[_tables.EntryRow, ...]:
        """Return this entry and those that have sent a heartbeat."""
        now = trio.current_time()
        data_centres = {
            peer.node_id: peer.data_centre for peer in self._hub.peers('entry')
        }
        own = _tables.EntryRow(
            entry=self._hub.node_id,
            data_centre=self._data_centre,
            boot_id=self._hub.boot_id,
            state='ready',
            ranges=_join_numbers(self._owned()),
            settings_version=self.settings.version,
            heard_s=0.0,
        )
        others = (
            _tables.EntryRow(
                entry=other.node_id,
                data_centre=data_centres.get(other.node_id, ''),
                boot_id=other.boot_id,
                state=_entry_state(other, now),
                ranges=_join_numbers(claim.range_id for claim in other.ranges),
                settings_version=other.settings_version,
                heard_s=round(max(0.0, now - other.heard_at), 3),
            )
            for other in self._others.entries()
        )
        return (own, *others)


def _join_numbers(
    numbers: collections.abc.Iterable[identifiers.RangeId],
) -> str:
    return ', '.join(str(number) for number in sorted(numbers))


def _entry_state(other: PeerEntry, now: float) -> str:
    if now - other.heard_at > _local_rows.SILENT_AFTER_S:
        return 'silent'
    return 'draining' if other.draining else 'ready'
