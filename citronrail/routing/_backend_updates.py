"""Pushes changes of the backend servers to all entries."""

import contextlib

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports


async def push_backends(
    hub: ports.PeerHub,
    states: tuple[messages.BackendState, ...],
    leaving: bool,
) -> None:
    """Send the states of the backend servers to all connected entries.

    :param hub: connections to entries.
    :param states: states of the backend servers on this agent's host.
    :param leaving: whether this agent is shutting down.
    """
    update = messages.BackendUpdate(hub.boot_id, states, leaving)
    async with trio.open_nursery() as nursery:
        for entry in hub.peers('entry'):
            nursery.start_soon(_push, hub, entry.node_id, update)


async def _push(
    hub: ports.PeerHub,
    entry: identifiers.NodeId,
    update: messages.BackendUpdate,
) -> None:
    with contextlib.suppress(errors.PeerUnreachable):
        await hub.send(entry, update)
