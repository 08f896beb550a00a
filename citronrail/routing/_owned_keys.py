"""Key records of the ranges that this entry owns, and their handover."""

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
from citronrail.routing import _key_verdicts

HANDOVER_WAIT_S = 2.0
CONNECT_WAIT_S = 2.5
CONNECT_POLL_S = 0.02
MAX_RECORDS_A_MESSAGE = 500
MAX_BODY_BYTES_A_MESSAGE = 512 * 1024


class RangeLookup(typing.Protocol):
    """Tells which ranges are surely held now."""

    def find(
        self, range_id: identifiers.RangeId
    ) -> coordination.OwnedRange | None:
        """Return a range if it is held."""
        ...


@dataclasses.dataclass
class _Incoming:
    """Records that a leaving owner is handing over."""

    sender: identifiers.NodeId
    fencing: identifiers.FencingToken
    received_at: coordination.Moment
    records: list[messages.KeyRecord]
    complete: bool = False


class OwnedKeys:
    """Keeps idempotency and exclusive keys of owned ranges.

    It is a listener of range ownership, so that records pass to the next
    owner at a planned stop. After an unplanned end the next owner answers
    ``unknown`` for keys that it can't know.

    :param hub: connections to the other entries.
    :param ranges: tells which ranges are held.
    :param limits: bounds of the records of one range.
    :param longest_run_s: gives the longest ``max_run_s`` of any service.
        After a takeover without records, exclusive keys wait that long.
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
        self._incoming: dict[identifiers.RangeId, _Incoming] = {}
        self._acks: dict[
            identifiers.RangeId, trio.MemorySendChannel[bool]
        ] = {}
        hub.subscribe(messages.KeyHandover, self._on_handover)
        hub.subscribe(messages.KeyHandoverAck, self._on_handover_ack)

    def reserve(
        self, message: messages.ReserveKey, now: float
    ) -> _key_verdicts.KeyAnswer:
        """Decide on a reservation; ``not owner`` for foreign ranges.

        :param message: the reservation, with times on the local clock.
        :param now: local time in seconds.
        :returns: the verdict and a stored answer if there is one.
        """
        keeper = self._keepers.get(message.range_id)
        owned = self._ranges.find(message.range_id)
        if keeper is None or owned is None:
            reply = messages.ReserveReply(
                message.request_id, 'not owner', 'the range is owned elsewhere'
            )
            return _key_verdicts.KeyAnswer(reply)
        del now
        decided = keeper.reserve(message, self._clock.now(), owned.deadline)
        return _key_verdicts.KeyAnswer(decided.reply, decided.body)

    def complete(
        self, message: messages.CompleteKey, body: bytes, now: float
    ) -> None:
        """Note how a granted request ended.

        :param message: its outcome.
        :param body: the answer to be stored.
        :param now: local time in seconds.
        """
        del now
        keeper = self._keepers.get(message.range_id)
        if keeper is not None:
            keeper.complete(message, body, self._clock.now())

    def count(self) -> int:
        """Return the number of keys kept."""
        return sum(len(keeper) for keeper in self._keepers.values())

    # Listener of range ownership

    async def acquired(self, owned: coordination.OwnedRange) -> None:
        """Take up the keys of a range."""
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
        """Hand the records of a range to its next owner."""
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
        """Go on: keys need no commits."""

    async def lost(self, range_id: identifiers.RangeId) -> None:
        """Keep the records; they count if nobody else owns the range."""

    def _new_keeper(
        self, owned: coordination.OwnedRange
    ) -> coordination.IdempotencyKeeper:
        taken_over = self._clock.now() if owned.previous else None
        hold_s = max(self._limits.takeover_hold_s, self._longest_run_s())
        limits = dataclasses.replace(self._limits, takeover_hold_s=hold_s)
        keeper = coordination.IdempotencyKeeper(
            owned.range_id, limits, taken_over
        )
        incoming = self._incoming.pop(owned.range_id, None)
        if incoming is None or not self._matches(incoming, owned):
            return keeper
        keeper.restore(
            incoming.records,
            incoming.received_at,
            owned.handed_over and incoming.complete,
        )
        return keeper

    def _matches(
        self, incoming: _Incoming, owned: coordination.OwnedRange
    ) -> bool:
        return (
            incoming.sender == owned.previous
            and incoming.fencing + 1 == owned.fencing
        )

    # Handover

    async def _await_connection(self, successor: identifiers.NodeId) -> None:
        """Wait a while for a connection, granting keys until then.

        An entry that has just joined gets its first range before it is
        connected; without its records, it would refuse exclusive keys for
        the longest run of a service.
        """
        with trio.move_on_after(CONNECT_WAIT_S):
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
            with trio.move_on_after(HANDOVER_WAIT_S):
                for part, final in _parts(records):
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
            incoming = _Incoming(
                peer.node_id, message.fencing, self._clock.now(), []
            )
            self._incoming[message.range_id] = incoming
        # The latest arrival counts for all parts, so that records last a
        # little longer than needed and never too short.
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
        waiting = self._acks.get(message.range_id)
        if waiting is not None:
            with contextlib.suppress(trio.WouldBlock):
                waiting.send_nowait(message.accepted)


def _parts(
    records: tuple[messages.KeyRecord, ...],
) -> collections.abc.Iterator[tuple[tuple[messages.KeyRecord, ...], bool]]:
    """Split records into messages of bounded size; the last one is final."""
    part: list[messages.KeyRecord] = []
    size = 0
    for record in records:
        too_large = size + len(record.body) > MAX_BODY_BYTES_A_MESSAGE
        if part and (too_large or len(part) >= MAX_RECORDS_A_MESSAGE):
            yield tuple(part), False
            part, size = [], 0
        part.append(record)
        size += len(record.body)
    yield tuple(part), True
