"""Reserves idempotency and exclusive keys at their range owners."""

import collections.abc
import contextlib
import dataclasses
import hashlib
import typing

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import ranges
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail import ports
from citronrail.routing import _key_reservations
from citronrail.routing import _requests

MAX_STORED_BYTES = 64 * 1024
REPLY_TIMEOUT_S = 1.0
_RETRY_PAUSE_S = 0.1
_COMPLETE_TIMEOUT_S = 0.25


class KeyStore(typing.Protocol):
    """Stores the key records of the ranges that this entry owns."""

    def reserve(
        self, message: messages.ReserveKey, now: float
    ) -> _key_reservations.ReservationResult:
        """Decide on a reservation; ``not owner`` for ranges of other entries.

        :param message: the reservation; its times are on the local clock.
        :param now: local time in seconds.
        """
        ...

    def complete(
        self, message: messages.CompleteKey, body: bytes, now: float
    ) -> None:
        """Record the outcome of a request that holds a key.

        A completion by a request that does not hold the key has no effect.

        :param message: its outcome; ``not run`` releases its keys.
        :param body: body of the response to be stored.
        :param now: local time in seconds.
        """
        ...


OwnerOf = collections.abc.Callable[
    [identifiers.RangeId], identifiers.NodeId | None
]


def fingerprint(req: _requests.CallerRequest) -> str:
    """Return a digest that distinguishes requests with the same key.

    :param req: the request.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (req.service, req.method, req.target):
        digest.update(part.encode() + b'\0')
    digest.update(req.body)
    return digest.hexdigest()


class KeyService:
    """Reserves and completes keys at the owners of their ranges.

    :param hub: connections to the other entries.
    :param key_store: key records of the ranges that this entry owns.
    :param owner_of: returns the entry that owns a range, None if unknown.
    """

    def __init__(
        self, hub: ports.PeerHub, key_store: KeyStore, owner_of: OwnerOf
    ) -> None:
        self._hub = hub
        self._key_store = key_store
        self._owner_of = owner_of
        self._replies: dict[
            identifiers.RequestId,
            trio.MemorySendChannel[_key_reservations.ReservationResult],
        ] = {}
        hub.subscribe(messages.ReserveKey, self._on_reserve)
        hub.subscribe(messages.ReserveReply, self._on_reply)
        hub.subscribe(messages.CompleteKey, self._on_complete)

    async def reserve(
        self,
        req: _requests.CallerRequest,
        opts: _requests.RequestOptions,
        deadline: float,
        hold_s: float,
    ) -> _key_reservations.Reservation:
        """Reserve the keys of a request, the idempotency key first.

        :param req: the request.
        :param opts: its options.
        :param deadline: local time in seconds by which it must end.
        :param hold_s: longest run time.
        :returns: whether it may run. A key whose owner does not reply is not
            granted.
        """
        start_before = deadline
        requested: list[messages.ReserveKey] = []
        granted = False
        try:
            for reservation in _reservations(req, opts, deadline, hold_s):
                requested.append(reservation)
                result = await self._request_key(reservation, deadline)
                if result is None or result.reply.verdict != 'granted':
                    if result is not None:
                        requested.remove(reservation)
                    return _key_reservations.not_granted(result, reservation)
                start_before = min(start_before, result.reply.start_before)
            granted = True
            return _key_reservations.Granted(start_before)
        finally:
            # An owner that did not reply may have granted the key, too.
            if not granted:
                with trio.CancelScope(shield=True):
                    await self._release(requested)

    async def complete(
        self,
        req: _requests.CallerRequest,
        opts: _requests.RequestOptions,
        outcome: outcomes.Outcome,
        *,
        ended: bool,
        response: _key_reservations.StoredResponse | None = None,
    ) -> None:
        """Report the outcome of a granted request to the key owners.

        :param req: the request.
        :param opts: its options.
        :param outcome: its outcome; ``not run`` releases the keys.
        :param ended: whether no run is in progress any more.
        :param response: the response to be replayed.
        """
        if response is not None and len(response.body) > MAX_STORED_BYTES:
            response = None
        for reservation in _reservations(req, opts, 0.0, 0.0):
            await self._complete(reservation, outcome, ended, response)

    async def _release(self, reservations: list[messages.ReserveKey]) -> None:
        for reservation in reservations:
            await self._complete(
                reservation, outcomes.Outcome.NOT_RUN, True, None
            )

    async def _complete(
        self,
        reservation: messages.ReserveKey,
        outcome: outcomes.Outcome,
        ended: bool,
        response: _key_reservations.StoredResponse | None,
    ) -> None:
        stored = response if reservation.key else None
        message = messages.CompleteKey(
            reservation.request_id,
            reservation.range_id,
            reservation.key,
            reservation.exclusive,
            outcome,
            ended,
            stored.status if stored else 0,
            stored.headers if stored else (),
        )
        body = stored.body if stored else b''
        with trio.move_on_after(_COMPLETE_TIMEOUT_S):
            while not await self._send_completion(message, body):
                await trio.sleep(_RETRY_PAUSE_S / 2)
            return
        observability.emit(
            events.KEY_NOT_COMPLETED,
            cause=reservation.request_id,
            request=reservation.request_id,
            owner=self._owner_of(reservation.range_id) or 'nobody',
        )

    async def _send_completion(
        self, message: messages.CompleteKey, body: bytes
    ) -> bool:
        owner = self._owner_of(message.range_id)
        if owner is None:
            return False
        if owner == self._hub.node_id:
            self._key_store.complete(message, body, trio.current_time())
            return True
        try:
            await self._hub.send(owner, message, body)
        except errors.PeerUnreachable:
            return False
        return True

    async def _request_key(
        self, reservation: messages.ReserveKey, deadline: float
    ) -> _key_reservations.ReservationResult | None:
        """Request a reservation; None if the owner does not reply in time."""
        until = min(deadline, trio.current_time() + REPLY_TIMEOUT_S)
        with trio.move_on_at(until):
            while True:
                result = await self._request_key_once(reservation, until)
                if result is not None and result.reply.verdict != 'not owner':
                    return result
                await trio.sleep(_RETRY_PAUSE_S)
        return None

    async def _request_key_once(
        self, reservation: messages.ReserveKey, until: float
    ) -> _key_reservations.ReservationResult | None:
        owner = self._owner_of(reservation.range_id)
        if owner is None:
            return None
        if owner == self._hub.node_id:
            return self._key_store.reserve(reservation, trio.current_time())
        send, receive = trio.open_memory_channel[
            _key_reservations.ReservationResult
        ](1)
        self._replies[reservation.request_id] = send
        try:
            remote_reservation = dataclasses.replace(
                reservation,
                finish_before=self._hub.to_peer_clock(
                    owner, reservation.finish_before
                ),
            )
            await self._hub.send(owner, remote_reservation)
            with trio.move_on_at(until):
                return await receive.receive()
        except errors.PeerUnreachable:
            return None
        finally:
            del self._replies[reservation.request_id]
        return None

    # Messages from other entries

    async def _on_reserve(
        self, peer: ports.Peer, message: messages.ReserveKey, _: bytes
    ) -> None:
        result = self._key_store.reserve(message, trio.current_time())
        reply = result.reply
        if reply.verdict == 'granted':
            reply = dataclasses.replace(
                reply,
                start_before=self._hub.to_peer_clock(
                    peer.node_id, reply.start_before
                ),
            )
        await self._hub.send(peer.node_id, reply, result.body)

    async def _on_reply(
        self, _: ports.Peer, message: messages.ReserveReply, body: bytes
    ) -> None:
        reply_channel = self._replies.get(message.request_id)
        if reply_channel is not None:
            with contextlib.suppress(trio.WouldBlock):
                reply_channel.send_nowait(
                    _key_reservations.ReservationResult(message, body)
                )

    async def _on_complete(
        self, _: ports.Peer, message: messages.CompleteKey, body: bytes
    ) -> None:
        self._key_store.complete(message, body, trio.current_time())


def _reservations(
    req: _requests.CallerRequest,
    opts: _requests.RequestOptions,
    deadline: float,
    hold_s: float,
) -> collections.abc.Iterator[messages.ReserveKey]:
    """Yield one reservation per key; the keys may be in different ranges."""
    if opts.key:
        yield messages.ReserveKey(
            req.request_id,
            ranges.range_of(opts.key),
            opts.key,
            '',
            fingerprint(req),
            hold_s,
            deadline,
        )
    if opts.exclusive:
        yield messages.ReserveKey(
            req.request_id,
            ranges.range_of(opts.exclusive),
            '',
            opts.exclusive,
            '',
            hold_s,
            deadline,
        )
