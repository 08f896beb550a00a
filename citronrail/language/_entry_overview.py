"""Collects what an entry knows from its components."""

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

Requests = collections.abc.Callable[[], tuple[_tables.RequestRow, ...]]


class SettingsSource(typing.Protocol):
    """A settings follower."""

    @property
    def settings(self) -> settings_model.Settings:
        """Latest settings known."""
        ...


class AgentSource(typing.Protocol):
    """A directory of agents."""

    def agents(self) -> tuple[view_model.AgentView, ...]:
        """Return the last known state of each agent."""
        ...


class OtherEntry(typing.Protocol):
    """Last heartbeat of another entry."""

    @property
    def node_id(self) -> identifiers.NodeId:
        """Its node id."""
        ...

    @property
    def boot_id(self) -> identifiers.BootId:
        """Its boot id."""
        ...

    @property
    def heard_at(self) -> float:
        """Local time at which it was heard."""
        ...

    @property
    def settings_version(self) -> int:
        """Settings version that it had."""
        ...

    @property
    def ranges(self) -> tuple[messages.RangeClaim, ...]:
        """Ranges that it owned."""
        ...

    @property
    def draining(self) -> bool:
        """Whether it is about to stop."""
        ...


class EntrySource(typing.Protocol):
    """The heartbeats of the other entries."""

    def entries(self) -> tuple[OtherEntry, ...]:
        """Return the last heartbeat of each."""
        ...


class EntryOverview:
    """Implements :class:`Views` for an entry.

    :param hub: connections to the peers.
    :param data_centre: data centre of this entry.
    :param settings: the settings follower.
    :param agents: the directory of agents.
    :param others: heartbeats of the other entries.
    :param owned: gives the ranges that this entry owns.
    :param requests: gives the requests in progress at this entry.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        data_centre: str,
        settings: SettingsSource,
        agents: AgentSource,
        others: EntrySource,
        owned: collections.abc.Callable[[], tuple[identifiers.RangeId, ...]],
        requests: Requests = tuple,
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
        """Latest settings known."""
        return self._settings.settings

    def agents(self) -> tuple[view_model.AgentView, ...]:
        """Return the last known state of each agent."""
        return self._agents.agents()

    def requests(self) -> tuple[_tables.RequestRow, ...]:
        """Return the requests in progress at this entry."""
        return self._requests()

    def entries(self) -> tuple[_tables.EntryRow, ...]:
        """Return this entry and those whose heartbeats came."""
        now = trio.current_time()
        places = {
            peer.node_id: peer.data_centre for peer in self._hub.peers('entry')
        }
        own = _tables.EntryRow(
            entry=self._hub.node_id,
            data_centre=self._data_centre,
            boot_id=self._hub.boot_id,
            state='ready',
            ranges=_listed(self._owned()),
            settings_version=self.settings.version,
            heard_s=0.0,
        )
        others = (
            _tables.EntryRow(
                entry=other.node_id,
                data_centre=places.get(other.node_id, ''),
                boot_id=other.boot_id,
                state=_state(other, now),
                ranges=_listed(claim.range_id for claim in other.ranges),
                settings_version=other.settings_version,
                heard_s=round(max(0.0, now - other.heard_at), 3),
            )
            for other in self._others.entries()
        )
        return (own, *others)


def _listed(numbers: collections.abc.Iterable[identifiers.RangeId]) -> str:
    return ', '.join(str(number) for number in sorted(numbers))


def _state(other: OtherEntry, now: float) -> str:
    if now - other.heard_at > _local_rows.SILENT_AFTER_S:
        return 'silent'
    return 'draining' if other.draining else 'ready'
