"""Stores the key records of owned ranges and hands them over."""

import collections.abc
import contextlib
import dataclasses
import typing

import trio

from citronrail import coordination
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _key_reservations

HANDOVER_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.5
CONNECT_POLL_S = 0.02
MAX_RECORDS_PER_MESSAGE = 500
MAX_BODY_BYTES_PER_MESSAGE = 512 * 1024


class RangeLookup(typing.Protocol):
    """Looks up the ranges that this entry is known to own."""

    def find(
        self, range_id: identifiers.RangeId
    ) -> coordination.OwnedRange | None:
        """Return an owned range, or None."""
        ...


@dataclasses.dataclass
class _IncomingHandover:
    """Records received from the previous owner of a range."""

    sender: identifiers.NodeId
    fencing: identifiers.FencingToken
    received_at: coordination.Moment
    records: list[messages.KeyRecord]
    complete: bool = False


class OwnedKeyStore:
    """Stores idempotency and exclusive keys of owned ranges.

    It listens to range ownership changes and transfers the records to the
    next owner at a planned stop. After a crash the next owner has no records
    and replies ``unknown`` for keys that may have been used before.

    :param hub: connections to the other entries.
    :param ranges: looks up owned ranges.
    :param limits: limits of the records of one range.
    :param longest_run_s: returns the largest ``max_run_s`` of all services.
        After a takeover without records, exclusive keys are refused for that
        long.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        ranges: RangeLookup,
        limits: coordination.KeeperLimits | None = None,
        longest_run_s: collections.abc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._hub = hub
        self._ranges = ranges
        self._limits = limits or coordination.KeeperLimits()
        self._longest_run_s = longest_run_s
        self._clock = coordination.SteadyClock()
        self._keepers: dict[
            identifiers.RangeId, coordination.IdempotencyKeeper
        ] = {}
        self._incoming: dict[identifiers.RangeId, _IncomingHandover] = {}
        self._acks: dict[
            identifiers.RangeId, trio.MemorySendChannel[bool]
        ] = {}
        hub.subscribe(messages.KeyHandover, self._on_handover)
        hub.subscribe(messages.KeyHandoverAck, self._on_handover_ack)

    def reserve(
        self, message: messages.ReserveKey, now: float
    ) -> _key_reservations.ReservationResult:
        """Decide on a reservation; ``not owner`` for ranges of other entries.

        :param message: the reservation, with times on the local clock.
        :param now: local time in seconds.
        :returns: the decision, with the stored response if there is one.
        """
        keeper = self._keepers.get(message.range_id)
        owned = self._ranges.find(message.range_id)
        if keeper is None or owned is None:
            reply = messages.ReserveReply(
                message.request_id, 'not owner', 'the range is owned elsewhere'
            )
            return _key_reservations.ReservationResult(reply)
        del now
        result = keeper.reserve(message, self._clock.now(), owned.deadline)
        return _key_reservations.ReservationResult(result.reply, result.body)

    def complete(
        self, message: messages.CompleteKey, body: bytes, now: float
    ) -> None:
        """Record the outcome of a request that holds a key.

        :param message: its outcome.
        :param body: body of the response to be stored.
        :param now: local time in seconds.
        """
        del now
        keeper = self._keepers.get(message.range_id)
        if keeper is not None:
            keeper.complete(message, body, self._clock.now())

    def count(self) -> int:
        """Return the number of stored keys."""
        return sum(len(keeper) for keeper in self._keepers.values())

    # Listener of range ownership

    async def acquired(self, owned: coordination.OwnedRange) -> None:
        """Start to serve the keys of a range."""
        keeper = self._keepers.get(owned.range_id)
        if keeper is not None and owned.continued:
            keeper.resume()
            return
        self._keepers[owned.range_id] = self._new_keeper(owned)

    async def releasing(
        self,
        owned: coordination.OwnedRange,
        successor: identifiers.NodeId,
    ) -> None:
        """Transfer the records of a range to its next owner."""
        keeper = self._keepers.get(owned.range_id)
        if keeper is None:
            return
        if successor:
            await self._await_connection(successor)
        records = keeper.handover(self._clock.now())
        if not successor:
            return
        accepted = await self._hand_over(owned, successor, records)
        observability.emit(
            events.KEYS_HANDED_OVER,
            range_id=owned.range_id,
            count=len(records),
            successor=successor,
            accepted=accepted,
        )

    async def commits_lost(self, owned: coordination.OwnedRange) -> None:
        """Do nothing, since keys are not committed to the store."""

    async def lost(self, range_id: identifiers.RangeId) -> None:
        """Keep the records, which stay valid if no other entry takes over."""

    def _new_keeper(
        self, owned: coordination.OwnedRange
    ) -> coordination.IdempotencyKeeper:
        taken_over_at = self._clock.now() if owned.previous else None
        hold_s = max(self._limits.takeover_hold_s, self._longest_run_s())
        limits = dataclasses.replace(self._limits, takeover_hold_s=hold_s)
        keeper = coordination.IdempotencyKeeper(
            owned.range_id, limits, taken_over_at
        )
        incoming = self._incoming.pop(owned.range_id, None)
        if incoming is None or not self._is_from_previous_owner(
            incoming, owned
        ):
            return keeper
        keeper.restore(
            incoming.records,
            incoming.received_at,
            owned.handed_over and incoming.complete,
        )
        return keeper

    def _is_from_previous_owner(
        self, incoming: _IncomingHandover, owned: coordination.OwnedRange
    ) -> bool:
        return (
            incoming.sender == owned.previous
            and incoming.fencing + 1 == owned.fencing
        )

    # Handover

    async def _await_connection(self, successor: identifiers.NodeId) -> None:
        """Wait for a connection to the successor while still granting keys.

        An entry that has just joined is assigned its first range before it is
        connected. Without the records, it would refuse exclusive keys for the
        longest run time of any service.
        """
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            while not any(
                peer.node_id == successor for peer in self._hub.peers('entry')
            ):
                await trio.sleep(CONNECT_POLL_S)

    async def _hand_over(
        self,
        owned: coordination.OwnedRange,
        successor: identifiers.NodeId,
        records: tuple[messages.KeyRecord, ...],
    ) -> bool:
        send, receive = trio.open_memory_channel[bool](1)
        self._acks[owned.range_id] = send
        try:
            with trio.move_on_after(HANDOVER_TIMEOUT_S):
                for part, final in _batches(records):
                    message = messages.KeyHandover(
                        owned.range_id, owned.fencing, part, final
                    )
                    await self._hub.send(successor, message)
                return await receive.receive()
        except errors.PeerUnreachable:
            return False
        finally:
            del self._acks[owned.range_id]
        return False

    async def _on_handover(
        self, peer: ports.Peer, message: messages.KeyHandover, _: bytes
    ) -> None:
        incoming = self._incoming.get(message.range_id)
        if (
            incoming is None
            or incoming.sender != peer.node_id
            or incoming.fencing != message.fencing
            or incoming.complete
        ):
            incoming = _IncomingHandover(
                peer.node_id, message.fencing, self._clock.now(), []
            )
            self._incoming[message.range_id] = incoming
        # The arrival of the last part counts for all parts, so that records
        # expire slightly late rather than early.
        incoming.received_at = self._clock.now()
        incoming.records.extend(message.records)
        if not message.final:
            return
        incoming.complete = True
        await self._hub.send(
            peer.node_id, messages.KeyHandoverAck(message.range_id, True)
        )

    async def _on_handover_ack(
        self, _: ports.Peer, message: messages.KeyHandoverAck, _body: bytes
    ) -> None:
        ack_channel = self._acks.get(message.range_id)
        if ack_channel is not None:
            with contextlib.suppress(trio.WouldBlock):
                ack_channel.send_nowait(message.accepted)


def _batches(
    records: tuple[messages.KeyRecord, ...],
) -> collections.abc.Iterator[tuple[tuple[messages.KeyRecord, ...], bool]]:
    """Split records into batches of limited size; the last one is final."""
    part: list[messages.KeyRecord] = []
    size = 0
    for record in records:
        too_large = size + len(record.body) > MAX_BODY_BYTES_PER_MESSAGE
        if part and (too_large or len(part) >= MAX_RECORDS_PER_MESSAGE):
            yield tuple(part), False
            part, size = [], 0
        part.append(record)
        size += len(record.body)
    yield tuple(part), True
