"""Connects the job shards to the store and to operators' commands."""

import collections.abc
import random

import trio

from citronrail import coordination
from citronrail import errors
from citronrail import membership
from citronrail.model import identifiers
from citronrail.model import ranges
from citronrail.model import settings as settings_model
from citronrail import observability
from citronrail.observability.catalogue import daemon as events
from citronrail import ports
from citronrail import scheduling

SHARD_KEY = '/citronrail/shards/{}'


class ShardDocumentFactory:
    """Creates the shard documents of owned ranges.

    :param store: store for shard commits.
    :param ownership: the ranges that this entry owns.
    :param rng: source of commit ids.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        ownership: coordination.RangeOwnership,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._ownership = ownership
        self._rng = rng

    def make(
        self, owned: coordination.OwnedRange
    ) -> coordination.GroupCommitDocument[scheduling.ShardState]:
        """Return the document of a range under its current ownership.

        :param owned: the range as acquired.
        :returns: a document that commits only while the range is owned.
        """

        def may_commit() -> bool:
            found = self._ownership.find(owned.range_id)
            return (
                found is not None
                and found.fencing == owned.fencing
                and found.commits_allowed
            )

        return coordination.GroupCommitDocument(
            self._store,
            SHARD_KEY.format(owned.range_id),
            scheduling.ShardState(),
            coordination.CommitScope(owned.guard, owned.fencing, may_commit),
            self._rng,
        )


class RangeDirectory:
    """Maps ranges to the entries that own them, for commands.

    :param owner_of: returns the owner of a range.
    """

    def __init__(
        self,
        owner_of: collections.abc.Callable[
            [identifiers.RangeId], identifiers.NodeId | None
        ],
    ) -> None:
        self._owner_of = owner_of

    def owner_of(
        self, range_id: identifiers.RangeId
    ) -> identifiers.NodeId | None:
        """Return the owner, this entry included, or None."""
        return self._owner_of(range_id)


class PlacementUpdater:
    """Applies the placement policy of the settings.

    :param follower: the latest settings.
    :param placement: runs the selected policy.
    """

    def __init__(
        self,
        follower: coordination.SettingsFollower,
        placement: scheduling.PlacementDecider,
    ) -> None:
        self._follower = follower
        self._placement = placement

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow the settings until cancelled."""
        current = settings_model.Settings().placement
        version = -1
        task_status.started()
        while True:
            settings = await self._follower.changed(version)
            version = settings.version
            if settings.placement == current:
                continue
            current = settings.placement
            try:
                self._placement.use(current)
            except errors.ConfigError as exc:
                # Written by a newer version; keep the previous policy.
                observability.emit(events.POLICY_UNKNOWN, reason=exc)


def make_placement(
    rng: random.Random,
) -> tuple[scheduling.Policies, scheduling.PlacementDecider]:
    """Return the scheduling policies and the placement policy."""
    policies = scheduling.build_policies(
        settings_model.Settings().placement, rng
    )
    assert isinstance(policies.placement, scheduling.PlacementDecider)
    return policies, policies.placement


def make_scheduler(
    hub: ports.PeerHub,
    follower: coordination.SettingsFollower,
    silence: membership.AgentSilence,
    ownership: coordination.RangeOwnership,
    store: ports.KeyValueStore,
    policies: scheduling.Policies,
    rng: random.Random,
) -> scheduling.JobScheduler:
    """Create the scheduler of an entry's job shards.

    :param hub: connections to the peers.
    :param follower: the latest settings.
    :param silence: agents and the time since their last acknowledgement.
    :param ownership: the ranges of this entry.
    :param store: store for shard commits.
    :param policies: the scheduling decisions.
    :param rng: random generator.
    :returns: a component that is also a listener of ownership.
    """
    documents = ShardDocumentFactory(store, ownership, rng)
    return scheduling.JobScheduler(
        hub,
        follower,
        silence,
        ownership,
        documents.make,
        policies,
        ranges.range_of,
        rng,
    )
