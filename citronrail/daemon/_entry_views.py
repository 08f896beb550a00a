"""What an entry shows to operators from its own memory."""

import collections.abc

import trio

from citronrail import coordination
from citronrail.daemon import _process_settings
from citronrail import language
from citronrail import membership
from citronrail.model import messages
from citronrail.model import settings as settings_model
from citronrail.model import views
from citronrail import ports
from citronrail import routing

SILENT_AFTER_S = 3.0


class EntryViews:
    """Implements :class:`citronrail.language.Views`.

    :param cfg: settings of the process.
    :param hub: identity of the process.
    :param follower: the latest settings.
    :param directory: the agents.
    :param mesh: the other entries.
    :param claims: gives the ranges owned here.
    """

    def __init__(
        self,
        cfg: _process_settings.ProcessSettings,
        hub: ports.PeerHub,
        follower: coordination.SettingsFollower,
        directory: membership.AgentDirectory,
        mesh: membership.EntryMesh,
        claims: collections.abc.Callable[[], tuple[messages.RangeClaim, ...]],
    ) -> None:
        self._cfg = cfg
        self._hub = hub
        self._follower = follower
        self._directory = directory
        self._mesh = mesh
        self._claims = claims

    @property
    def settings(self) -> settings_model.Settings:
        """Latest settings known."""
        return self._follower.settings

    def agents(self) -> tuple[views.AgentView, ...]:
        """Return the last known state of each agent."""
        return self._directory.agents()

    def requests(self) -> tuple[language.RequestRow, ...]:
        """Return the requests in progress at this entry."""
        return ()

    def entries(self) -> tuple[language.EntryRow, ...]:
        """Return this entry and those that it knows."""
        cfg = self._cfg
        own = language.EntryRow(
            cfg.node_id,
            cfg.data_centre,
            self._hub.boot_id,
            'draining' if self._mesh.draining else 'ready',
            _range_list(self._claims()),
            self.settings.version,
            0.0,
            f'http://{cfg.addresses.operators}',
        )
        return (own, *(self._row(view) for view in self._mesh.entries()))

    def _row(self, view: membership.EntryView) -> language.EntryRow:
        heard_s = trio.current_time() - view.heard_at
        state = 'draining' if view.draining else 'ready'
        if heard_s > SILENT_AFTER_S:
            state = 'silent'
        peer = {p.node_id: p for p in self._hub.peers('entry')}.get(
            view.node_id
        )
        return language.EntryRow(
            view.node_id,
            peer.data_centre if peer else '',
            view.boot_id,
            state,
            _range_list(view.ranges),
            view.settings_version,
            round(heard_s, 3),
        )


check_policy = language.PolicyChecks(
    {language.PolicyKind.BALANCING: routing.policy_of}
)


def _range_list(claims: tuple[messages.RangeClaim, ...]) -> str:
    return ' '.join(str(claim.range_id) for claim in claims)
