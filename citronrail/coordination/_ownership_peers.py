"""Messages between entries about ownership during a store outage."""

import trio

from citronrail.coordination import _extension
from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _owned_ranges as ranges
from citronrail.coordination import _promises
from citronrail.coordination import _store_lease
from citronrail.coordination import _takeover
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import coordination as events
from citronrail import ports

# Promises are asked for once a renewal is overdue, early enough to have them
# before the lease ends.
ASK_AFTER_S = 2.0
MAX_QUERIES = 64


class OwnershipPeers:
    """Asks for promises, gives them, and asks before a takeover.

    :param hub: connections to peers.
    :param lease: this process's store lease.
    :param held: ranges of this process.
    :param ledger: promises received.
    :param book: promises given.
    :param tracker: ranges that may be taken over.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        lease: _store_lease.StoreLease,
        held: ranges.HeldRanges,
        ledger: _extension.ExtensionLedger,
        book: _promises.PromiseBook,
        tracker: _takeover.TakeoverTracker,
    ) -> None:
        self._hub = hub
        self._lease = lease
        self._held = held
        self._ledger = ledger
        self._book = book
        self._tracker = tracker
        self._query_seq = 0
        self._queries: dict[
            int, tuple[messages.RangeClaim, tuple[claims.Member, ...]]
        ] = {}
        hub.subscribe(messages.ExtendOwnership, self._on_extend)
        hub.subscribe(messages.ExtendOwnershipReply, self._on_extend_reply)
        hub.subscribe(messages.TakeoverQuery, self._on_query)
        hub.subscribe(messages.TakeoverReply, self._on_query_reply)

    async def run(self) -> None:
        """Extend held ranges whenever the store can't be reached."""
        while True:
            await trio.sleep(_extension.ASK_INTERVAL_S)
            silent_s = trio.current_time() - self._lease.last_contact
            keys_only = not all(
                self._held.commits_allowed(held) for held in self._held.all()
            )
            if keys_only or silent_s >= ASK_AFTER_S:
                await self._ask_for_promises()

    async def ask_takeover(
        self, claim: messages.RangeClaim, members: tuple[claims.Member, ...]
    ) -> None:
        """Ask members of a former owner to promise it nothing more.

        :param claim: claim of the former owner.
        :param members: entries in its record.
        """
        self._query_seq += 1
        self._queries[self._query_seq] = (claim, members)
        self._queries.pop(self._query_seq - MAX_QUERIES, None)
        query = messages.TakeoverQuery(self._query_seq, claim)
        for member in members:
            await self._send(member.node_id, query)

    async def _ask_for_promises(self) -> None:
        now = trio.current_time()
        asked = self._held.claims(now)
        members = self._held.members
        if not asked or not members:
            return
        seq = self._ledger.ask(asked, now)
        for member in sorted(members, key=lambda member: member.node_id):
            try:
                until = self._hub.to_peer_clock(
                    member.node_id, now + _promises.PROMISE_S
                )
            except errors.PeerUnreachable:
                continue
            await self._send(
                member.node_id, messages.ExtendOwnership(seq, asked, until)
            )

    async def _on_extend(
        self, peer: ports.Peer, msg: messages.ExtendOwnership, _: bytes
    ) -> None:
        now = trio.current_time()
        promised = []
        if now < msg.promise_until:
            for claim in msg.ranges:
                if self._holds_newer(claim):
                    self._book.refuse(claim, now)
                if self._book.promise(peer.node_id, claim, now):
                    promised.append(claim.range_id)
                else:
                    observability.emit(
                        events.PROMISE_REFUSED,
                        range_id=claim.range_id,
                        owner=peer.node_id,
                    )
        await self._send(
            peer.node_id,
            messages.ExtendOwnershipReply(msg.seq, tuple(promised)),
        )

    async def _on_extend_reply(
        self, peer: ports.Peer, msg: messages.ExtendOwnershipReply, _: bytes
    ) -> None:
        # A restarted member has forgotten whom it refused, so only the boot
        # that was in the store counts.
        member = claims.Member(peer.node_id, peer.boot_id)
        if member in self._held.members:
            self._ledger.promised(member, msg)

    async def _on_query(
        self, peer: ports.Peer, msg: messages.TakeoverQuery, _: bytes
    ) -> None:
        now = trio.current_time()
        held = self._held.get(msg.claim.range_id)
        left_s = self._book.refuse(msg.claim, now)
        until = 0.0
        if left_s > 0.0:
            try:
                until = self._hub.to_peer_clock(peer.node_id, now + left_s)
            except errors.PeerUnreachable:
                return
        reply = messages.TakeoverReply(
            msg.seq,
            msg.claim.range_id,
            until,
            still_owner=held is not None and held.as_claim == msg.claim,
            promise_left_s=left_s,
        )
        await self._send(peer.node_id, reply)

    async def _on_query_reply(
        self, peer: ports.Peer, msg: messages.TakeoverReply, _: bytes
    ) -> None:
        claim, members = self._queries.get(msg.seq, (None, ()))
        if claim is None or claim.range_id != msg.range_id:
            return
        if any(member.node_id == peer.node_id for member in members):
            self._tracker.answered(claim, msg, trio.current_time())

    def _holds_newer(self, claim: messages.RangeClaim) -> bool:
        held = self._held.get(claim.range_id)
        return held is not None and held.claim.fencing > claim.fencing

    async def _send(
        self, node_id: identifiers.NodeId, message: object
    ) -> None:
        try:
            await self._hub.send(node_id, message)
        except errors.PeerUnreachable:
            return  # No answer counts as no promise.
