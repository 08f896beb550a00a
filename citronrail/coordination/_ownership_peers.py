"""Peer messages that extend or end ownership during a store outage."""

import trio

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _granted_promises
from citronrail.coordination import _owned_ranges as ranges
from citronrail.coordination import _received_promises
from citronrail.coordination import _store_lease
from citronrail.coordination import _takeover
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import coordination as events
from citronrail import ports

# Time without a renewal after which promises are requested. It leaves time to
# receive the replies before the lease expires.
REQUEST_AFTER_S = 2.0
MAX_OPEN_QUERIES = 64


class OwnershipPeers:
    """Requests and grants promises, and queries members before a takeover.

    :param hub: connections to peers.
    :param lease: this process's store lease.
    :param held: ranges that this process holds.
    :param received: promises received from other entries.
    :param granted: promises granted to other entries.
    :param tracker: tracks when ranges may be taken over.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        lease: _store_lease.StoreLease,
        held: ranges.HeldRanges,
        received: _received_promises.ReceivedPromises,
        granted: _granted_promises.GrantedPromises,
        tracker: _takeover.TakeoverTracker,
    ) -> None:
        self._hub = hub
        self._lease = lease
        self._held = held
        self._received = received
        self._granted = granted
        self._tracker = tracker
        self._query_seq = 0
        self._queries: dict[
            int, tuple[messages.RangeClaim, tuple[claims.Member, ...]]
        ] = {}
        hub.subscribe(messages.ExtendOwnership, self._on_extend)
        hub.subscribe(messages.ExtendOwnershipReply, self._on_extend_reply)
        hub.subscribe(messages.TakeoverQuery, self._on_takeover_query)
        hub.subscribe(messages.TakeoverReply, self._on_takeover_reply)

    async def run(self) -> None:
        """Request promises while the store is unreachable."""
        while True:
            await trio.sleep(_received_promises.REQUEST_INTERVAL_S)
            since_contact_s = trio.current_time() - self._lease.last_contact
            keys_only = not all(
                self._held.commits_allowed(held) for held in self._held.all()
            )
            if keys_only or since_contact_s >= REQUEST_AFTER_S:
                await self._request_promises()

    async def query_takeover(
        self, claim: messages.RangeClaim, members: tuple[claims.Member, ...]
    ) -> None:
        """Ask members to refuse further promises to a former owner.

        :param claim: claim of the former owner.
        :param members: entries listed in its record.
        """
        self._query_seq += 1
        self._queries[self._query_seq] = (claim, members)
        self._queries.pop(self._query_seq - MAX_OPEN_QUERIES, None)
        query = messages.TakeoverQuery(self._query_seq, claim)
        for member in members:
            await self._send(member.node_id, query)

    async def _request_promises(self) -> None:
        now = trio.current_time()
        held_claims = self._held.claims(now)
        members = self._held.members
        if not held_claims or not members:
            return
        seq = self._received.open_request(held_claims, now)
        for member in sorted(members, key=lambda member: member.node_id):
            try:
                until = self._hub.to_peer_clock(
                    member.node_id, now + _granted_promises.PROMISE_S
                )
            except errors.PeerUnreachable:
                continue
            await self._send(
                member.node_id,
                messages.ExtendOwnership(seq, held_claims, until),
            )

    async def _on_extend(
        self, peer: ports.Peer, msg: messages.ExtendOwnership, _: bytes
    ) -> None:
        now = trio.current_time()
        promised_ranges = []
        if now < msg.promise_until:
            for claim in msg.ranges:
                if self._holds_newer_claim(claim):
                    self._granted.refuse(claim, now)
                if self._granted.grant(peer.node_id, claim, now):
                    promised_ranges.append(claim.range_id)
                else:
                    observability.emit(
                        events.PROMISE_REFUSED,
                        range_id=claim.range_id,
                        owner=peer.node_id,
                    )
        await self._send(
            peer.node_id,
            messages.ExtendOwnershipReply(msg.seq, tuple(promised_ranges)),
        )

    async def _on_extend_reply(
        self, peer: ports.Peer, msg: messages.ExtendOwnershipReply, _: bytes
    ) -> None:
        # A restarted member has lost its refusals, so a reply counts only
        # from the boot id that was read from the store.
        member = claims.Member(peer.node_id, peer.boot_id)
        if member in self._held.members:
            self._received.record_reply(member, msg)

    async def _on_takeover_query(
        self, peer: ports.Peer, msg: messages.TakeoverQuery, _: bytes
    ) -> None:
        now = trio.current_time()
        held = self._held.get(msg.claim.range_id)
        remaining_s = self._granted.refuse(msg.claim, now)
        until = 0.0
        if remaining_s > 0.0:
            try:
                until = self._hub.to_peer_clock(
                    peer.node_id, now + remaining_s
                )
            except errors.PeerUnreachable:
                return
        reply = messages.TakeoverReply(
            msg.seq,
            msg.claim.range_id,
            until,
            still_owner=held is not None and held.range_claim == msg.claim,
            promise_left_s=remaining_s,
        )
        await self._send(peer.node_id, reply)

    async def _on_takeover_reply(
        self, peer: ports.Peer, msg: messages.TakeoverReply, _: bytes
    ) -> None:
        claim, members = self._queries.get(msg.seq, (None, ()))
        if claim is None or claim.range_id != msg.range_id:
            return
        if any(member.node_id == peer.node_id for member in members):
            self._tracker.record_reply(claim, msg, trio.current_time())

    def _holds_newer_claim(self, claim: messages.RangeClaim) -> bool:
        held = self._held.get(claim.range_id)
        return held is not None and held.claim.fencing > claim.fencing

    async def _send(
        self, node_id: identifiers.NodeId, message: object
    ) -> None:
        try:
            await self._hub.send(node_id, message)
        except errors.PeerUnreachable:
            return  # A missing reply counts as no promise.
