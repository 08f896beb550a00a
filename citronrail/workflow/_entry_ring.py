"""The other entries: their addresses, and which of them reach the store.

Load answered: entries that lose the store and the leader at the same time and
need a peer. Each stays connected to two more entries, chosen by a list that
it keeps while there is no leader.
"""

import collections.abc
import dataclasses

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports
from citronrail.workflow import _election
from citronrail.workflow import _observed_store

RING_CONNECTIONS = 2
# Entries whose successors may be gone connect to the next ones, so that more
# than two predecessors may be interested in the state of an entry.
STATUS_SPAN = 4
STATUS_S = 0.5
# A peer is asked after the others once one of its statuses is missing.
MISSED_STATUS_S = 0.75
MAX_STATUS_AGE_S = 1.5
# A peer that got a relay and has sent nothing for this time isn't asked again
# until it sends something. It sends its status more often than this.
MAX_SILENCE_S = 0.6
DIRECTORY_S = 2.0
CHECK_S = 0.5
# An entry stays in the directory during a short disconnection, so that the
# others keep their connections to it.
KEEP_S = 15.0
CONNECT_WAIT_S = 2.0
SKIP_S = 10.0

Token = collections.abc.Callable[[], int | None]


@dataclasses.dataclass(frozen=True)
class PeerStatus:
    """Last status of a peer; ``heard_at`` is local time in seconds.

    ``reachable`` is False as well while the store rejects the peer's calls.
    """

    reachable: bool
    heard_at: float


@dataclasses.dataclass(frozen=True)
class RelayPeer:
    """A peer that may be asked; ``late`` if a status of it is missing."""

    node_id: identifiers.NodeId
    data_centre: str
    leader: bool
    late: bool = False


def successors(
    own: str, nodes: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Return the other nodes in the order in which they follow a node.

    :param own: node ID.
    :param nodes: node IDs, in any order.
    """
    others = sorted(set(nodes) - {own})
    after = [node for node in others if node > own]
    return (*after, *others[: len(others) - len(after)])


def relay_order(
    own: str, data_centre: str, peers: collections.abc.Iterable[RelayPeer]
) -> tuple[identifiers.NodeId, ...]:
    """Return peers in the order in which they are asked.

    The first one is in the same data centre if possible. The next ones are
    in others, since a whole data centre may lose the store. The leader comes
    last, since it has the most work.

    :param own: node ID of this entry.
    :param data_centre: its data centre.
    :param peers: peers that reach the store.
    """
    known = {str(peer.node_id): peer for peer in peers}
    ranked = sorted(
        (known[node] for node in successors(own, known)),
        key=lambda peer: (
            peer.late,
            peer.leader,
            peer.data_centre != data_centre,
        ),
    )
    first, rest = ranked[:1], ranked[1:]
    rest.sort(
        key=lambda peer: (
            peer.late,
            peer.data_centre in [p.data_centre for p in first],
        )
    )
    return tuple(peer.node_id for peer in (*first, *rest))


def wants_status(
    own: str, peer: str, nodes: collections.abc.Collection[str]
) -> bool:
    """Return whether a peer may need to know whether this entry relays.

    :param own: node ID of this entry, which isn't the leader.
    :param peer: node ID of a connected entry.
    :param nodes: node IDs in the directory.
    """
    if peer not in nodes or own not in nodes:
        return True
    return own in successors(peer, nodes)[:STATUS_SPAN]


class EntryRing:
    """Keeps connections to other entries and knows who reaches the store.

    :param hub: connections to the other entries.
    :param view: the leader as last seen in the store.
    :param store: this entry's store.
    :param connect: connects to the given addresses and closes all others.
    :param address: address of this entry's peer port.
    :param data_centre: data centre of this entry.
    :param token: returns the fencing token while this entry is the leader.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        view: _election.LeaderView,
        store: _observed_store.ObservedStore,
        connect: _election.Connect,
        address: str,
        data_centre: str,
        token: Token,
    ) -> None:
        self._hub = hub
        self._view = view
        self._store = store
        self._connect = connect
        self._own = (str(hub.node_id), address)
        self._data_centre = data_centre
        self._token = token
        self._fencing = 0
        self._directory: dict[str, str] = {}
        self._seen_at: dict[str, float] = {}
        self._directory_sent_at = float('-inf')
        self._led = False
        self._statuses: dict[identifiers.NodeId, PeerStatus] = {}
        # Time of the first relay to each peer since its latest message.
        self._asked_at: dict[identifiers.NodeId, float] = {}
        self._tried_at: dict[str, float] = {}
        self._skip_until: dict[str, float] = {}
        self._leader_address: dict[str, str] = {}
        self._connected: frozenset[str] | None = None
        hub.subscribe(messages.EntryDirectory, self._on_directory)
        hub.subscribe(messages.StoreStatus, self._on_status)
        hub.listen(lambda _: None, self._on_disconnect)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the connections and inform the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_statuses)
            nursery.start_soon(self._send_directories)
            nursery.start_soon(self._follow_leader)
            task_status.started()

    def relay_peers(self) -> tuple[identifiers.NodeId, ...]:
        """Return the peers that reach the store, best first."""
        now = trio.current_time()
        leader = self._view.leader
        peers = []
        for node_id, status in self._statuses.items():
            peer = self._hub.find_peer(node_id)
            asked_at = self._asked_at.get(node_id, now)
            fresh = (
                now - status.heard_at <= MAX_STATUS_AGE_S
                and now - asked_at <= MAX_SILENCE_S
            )
            if peer is None or not fresh or not status.reachable:
                continue
            is_leader = leader is not None and leader.node_id == node_id
            late = now - status.heard_at > MISSED_STATUS_S
            peers.append(RelayPeer(node_id, peer.data_centre, is_leader, late))
        return relay_order(self._own[0], self._data_centre, peers)

    def asked(self, node_id: identifiers.NodeId) -> None:
        """Record that a relay was sent.

        :param node_id: the peer.
        """
        self._asked_at.setdefault(node_id, trio.current_time())

    def heard(self, node_id: identifiers.NodeId) -> None:
        """Record that a message of a peer arrived.

        :param node_id: the peer.
        """
        self._asked_at.pop(node_id, None)

    @property
    def isolated(self) -> bool:
        """Whether no other entry has been heard of recently."""
        now = trio.current_time()
        return len(self._directory) > 1 and all(
            now - status.heard_at > MAX_STATUS_AGE_S
            for status in self._statuses.values()
        )

    def is_silent(self, node_id: identifiers.NodeId) -> bool:
        """Return whether a peer that sent its status has become silent.

        :param node_id: the peer.
        """
        status = self._statuses.get(node_id)
        if status is None:
            return False
        return trio.current_time() - status.heard_at > MAX_STATUS_AGE_S

    @property
    def directory(self) -> dict[str, str]:
        """Addresses of the known entries, by node ID."""
        return dict(self._directory)

    # Connections

    async def _follow_leader(self) -> None:
        while True:
            changed = self._view.changed
            self._update_connections()
            await changed.wait()

    def _update_connections(self) -> None:
        own = self._own[0]
        leader = self._view.leader
        if leader is not None:
            self._leader_address = {leader.node_id: leader.address}
        wanted = {
            node: address
            for node, address in self._leader_address.items()
            if node != own
        }
        for node in self._ring_targets():
            wanted[node] = self._directory[node]
        if not wanted and self._connected is None and leader is None:
            return
        addresses = frozenset(wanted.values())
        if addresses != self._connected:
            self._connected = addresses
            self._connect(sorted(addresses))

    def _ring_targets(self) -> tuple[str, ...]:
        """Return the entries to connect to, without those that fail."""
        now = trio.current_time()
        targets: list[str] = []
        for node in successors(self._own[0], self._directory):
            if len(targets) == RING_CONNECTIONS:
                break
            if self._skip_until.get(node, 0.0) > now:
                continue
            connected = self._hub.find_peer(identifiers.NodeId(node))
            tried_at = self._tried_at.setdefault(node, now)
            if connected is not None:
                self._tried_at[node] = now
            elif now - tried_at > CONNECT_WAIT_S:
                del self._tried_at[node]
                self._skip_until[node] = now + SKIP_S
                continue
            targets.append(node)
        self._tried_at = {
            node: tried_at
            for node, tried_at in self._tried_at.items()
            if node in targets
        }
        return tuple(targets)

    # Directory

    async def _send_directories(self) -> None:
        while True:
            token = self._token()
            if token is not None:
                await self._send_directory(token)
            self._led = token is not None
            self._update_connections()
            await trio.sleep(CHECK_S)

    async def _send_directory(self, token: int) -> None:
        now = trio.current_time()
        if not self._led:
            # Entries that haven't connected to the new leader yet.
            self._seen_at = dict.fromkeys(self._directory, now)
        found = dict(self._directory)
        for node, address in (self._own, *self._connected_entries()):
            found[node] = address
            self._seen_at[node] = now
        found = {
            node: address
            for node, address in found.items()
            if now - self._seen_at.get(node, float('-inf')) < KEEP_S
        }
        due = now - self._directory_sent_at >= DIRECTORY_S - CHECK_S / 2
        if found == self._directory and self._led and not due:
            return
        self._directory = found
        self._fencing = token
        self._directory_sent_at = now
        directory = messages.EntryDirectory(
            token, tuple(sorted(found.items()))
        )
        for peer in self._hub.peers('entry'):
            await self._send(peer.node_id, directory)

    def _connected_entries(self) -> collections.abc.Iterator[tuple[str, str]]:
        for peer in self._hub.peers('entry'):
            if peer.address:
                yield str(peer.node_id), peer.address

    async def _on_directory(
        self, peer: ports.Peer, message: messages.EntryDirectory, _: bytes
    ) -> None:
        if peer.role != 'entry' or message.fencing < self._fencing:
            return
        self._fencing = message.fencing
        self._directory = dict(message.entries)
        self._update_connections()

    # Status

    async def _send_statuses(self) -> None:
        while True:
            changed = self._store.changed
            status = messages.StoreStatus(self._store.serving)
            leads = self._token() is not None
            for peer in self._hub.peers('entry'):
                if leads or wants_status(
                    self._own[0], str(peer.node_id), self._directory
                ):
                    await self._send(peer.node_id, status)
            with trio.move_on_after(STATUS_S):
                await changed.wait()

    async def _on_status(
        self, peer: ports.Peer, message: messages.StoreStatus, _: bytes
    ) -> None:
        self.heard(peer.node_id)
        self._statuses[peer.node_id] = PeerStatus(
            message.reachable, trio.current_time()
        )

    def _on_disconnect(self, peer: ports.Peer) -> None:
        self._statuses.pop(peer.node_id, None)
        self._asked_at.pop(peer.node_id, None)

    async def _send(
        self, node_id: identifiers.NodeId, message: object
    ) -> None:
        try:
            await self._hub.send(node_id, message)
        except errors.PeerUnreachable:
            return  # the next status or directory follows soon
