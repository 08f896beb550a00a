"""Idempotency and exclusive keys, kept by the owners of their ranges."""

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
from citronrail.routing import _requests

MAX_STORED_BYTES = 64 * 1024
REPLY_WAIT_S = 1.0
_RETRY_PAUSE_S = 0.1
_COMPLETE_WAIT_S = 0.25


@dataclasses.dataclass(frozen=True)
class KeyAnswer:
    """Answer of a keeper; ``reply.start_before`` is on the local clock."""

    reply: messages.ReserveReply
    body: bytes = b''


class Keeper(typing.Protocol):
    """Keeps the records of the ranges that this entry owns."""

    def reserve(self, message: messages.ReserveKey, now: float) -> KeyAnswer:
        """Decide on a reservation; ``not owner`` for foreign ranges.

        :param message: the wish; its times are on the local clock.
        :param now: local time in seconds.
        """
        ...

    def complete(
        self, message: messages.CompleteKey, body: bytes, now: float
    ) -> None:
        """Note how a granted request ended.

        A completion by another request than the one that holds the key has
        no effect.

        :param message: its outcome; ``not run`` frees its keys.
        :param body: the answer to be stored.
        :param now: local time in seconds.
        """
        ...


OwnerOf = collections.abc.Callable[
    [identifiers.RangeId], identifiers.NodeId | None
]


@dataclasses.dataclass(frozen=True)
class Granted:
    """The request may run if it starts before a local time in seconds."""

    start_before: float


@dataclasses.dataclass(frozen=True)
class Replayed:
    """The request was answered before; this is its stored answer."""

    status: int
    headers: messages.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotGranted:
    """The request must not run now."""

    problem: _requests.Problem


Reservation = Granted | Replayed | NotGranted


@dataclasses.dataclass(frozen=True)
class StoredAnswer:
    """An answer that is small enough to be kept."""

    status: int
    headers: messages.Headers
    body: bytes


def fingerprint(req: _requests.CallerRequest) -> str:
    """Return a digest that tells requests with the same key apart.

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
    :param keeper: the records of the ranges that this entry owns.
    :param owner_of: the entry that owns a range, None if nobody is known to.
    """

    def __init__(
        self, hub: ports.PeerHub, keeper: Keeper, owner_of: OwnerOf
    ) -> None:
        self._hub = hub
        self._keeper = keeper
        self._owner_of = owner_of
        self._replies: dict[
            identifiers.RequestId, trio.MemorySendChannel[KeyAnswer]
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
    ) -> Reservation:
        """Reserve the keys of a request, the idempotency key first.

        :param req: the request.
        :param opts: its options.
        :param deadline: local time in seconds at which it must end.
        :param hold_s: longest time that a run may last.
        :returns: whether it may run. A key whose owner gives no answer is
            not granted.
        """
        start_before = deadline
        asked: list[messages.ReserveKey] = []
        granted = False
        try:
            for wish in _wishes(req, opts, deadline, hold_s):
                asked.append(wish)
                answer = await self._ask(wish, deadline)
                if answer is None or answer.reply.verdict != 'granted':
                    if answer is not None:
                        asked.remove(wish)
                    return _not_granted(answer, wish)
                start_before = min(start_before, answer.reply.start_before)
            granted = True
            return Granted(start_before)
        finally:
            # An owner that gave no answer may have granted the key, too.
            if not granted:
                with trio.CancelScope(shield=True):
                    await self._free(asked)

    async def complete(
        self,
        req: _requests.CallerRequest,
        opts: _requests.RequestOptions,
        outcome: outcomes.Outcome,
        *,
        ended: bool,
        answer: StoredAnswer | None = None,
    ) -> None:
        """Tell the owners how a granted request ended.

        :param req: the request.
        :param opts: its options.
        :param outcome: its outcome; after ``not run`` the keys are free.
        :param ended: whether no run is in progress any more.
        :param answer: the answer to be replayed.
        """
        if answer is not None and len(answer.body) > MAX_STORED_BYTES:
            answer = None
        for wish in _wishes(req, opts, 0.0, 0.0):
            await self._complete(wish, outcome, ended, answer)

    async def _free(self, reserved: list[messages.ReserveKey]) -> None:
        for wish in reserved:
            await self._complete(wish, outcomes.Outcome.NOT_RUN, True, None)

    async def _complete(
        self,
        wish: messages.ReserveKey,
        outcome: outcomes.Outcome,
        ended: bool,
        answer: StoredAnswer | None,
    ) -> None:
        stored = answer if wish.key else None
        message = messages.CompleteKey(
            wish.request_id,
            wish.range_id,
            wish.key,
            wish.exclusive,
            outcome,
            ended,
            stored.status if stored else 0,
            stored.headers if stored else (),
        )
        body = stored.body if stored else b''
        with trio.move_on_after(_COMPLETE_WAIT_S):
            while not await self._deliver(message, body):
                await trio.sleep(_RETRY_PAUSE_S / 2)
            return
        observability.emit(
            events.KEY_NOT_COMPLETED,
            cause=wish.request_id,
            request=wish.request_id,
            owner=self._owner_of(wish.range_id) or 'nobody',
        )

    async def _deliver(
        self, message: messages.CompleteKey, body: bytes
    ) -> bool:
        owner = self._owner_of(message.range_id)
        if owner is None:
            return False
        if owner == self._hub.node_id:
            self._keeper.complete(message, body, trio.current_time())
            return True
        try:
            await self._hub.send(owner, message, body)
        except errors.PeerUnreachable:
            return False
        return True

    async def _ask(
        self, wish: messages.ReserveKey, deadline: float
    ) -> KeyAnswer | None:
        """Ask the owner; None if it can't be reached in time."""
        until = min(deadline, trio.current_time() + REPLY_WAIT_S)
        with trio.move_on_at(until):
            while True:
                answer = await self._ask_once(wish, until)
                if answer is not None and answer.reply.verdict != 'not owner':
                    return answer
                await trio.sleep(_RETRY_PAUSE_S)
        return None

    async def _ask_once(
        self, wish: messages.ReserveKey, until: float
    ) -> KeyAnswer | None:
        owner = self._owner_of(wish.range_id)
        if owner is None:
            return None
        if owner == self._hub.node_id:
            return self._keeper.reserve(wish, trio.current_time())
        send, receive = trio.open_memory_channel[KeyAnswer](1)
        self._replies[wish.request_id] = send
        try:
            remote = dataclasses.replace(
                wish,
                finish_before=self._hub.to_peer_clock(
                    owner, wish.finish_before
                ),
            )
            await self._hub.send(owner, remote)
            with trio.move_on_at(until):
                return await receive.receive()
        except errors.PeerUnreachable:
            return None
        finally:
            del self._replies[wish.request_id]
        return None

    # Messages of other entries

    async def _on_reserve(
        self, peer: ports.Peer, message: messages.ReserveKey, _: bytes
    ) -> None:
        answer = self._keeper.reserve(message, trio.current_time())
        reply = answer.reply
        if reply.verdict == 'granted':
            reply = dataclasses.replace(
                reply,
                start_before=self._hub.to_peer_clock(
                    peer.node_id, reply.start_before
                ),
            )
        await self._hub.send(peer.node_id, reply, answer.body)

    async def _on_reply(
        self, _: ports.Peer, message: messages.ReserveReply, body: bytes
    ) -> None:
        waiting = self._replies.get(message.request_id)
        if waiting is not None:
            with contextlib.suppress(trio.WouldBlock):
                waiting.send_nowait(KeyAnswer(message, body))

    async def _on_complete(
        self, _: ports.Peer, message: messages.CompleteKey, body: bytes
    ) -> None:
        self._keeper.complete(message, body, trio.current_time())


def _wishes(
    req: _requests.CallerRequest,
    opts: _requests.RequestOptions,
    deadline: float,
    hold_s: float,
) -> collections.abc.Iterator[messages.ReserveKey]:
    """Yield one reservation for each key, which may differ in range."""
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


def _not_granted(
    answer: KeyAnswer | None, wish: messages.ReserveKey
) -> Reservation:
    if answer is None:
        return _refusal(503, 'The owner of the key cannot be reached', '', 1)
    reply = answer.reply
    match reply.verdict:
        case 'done' if reply.status:
            return Replayed(reply.status, reply.headers, answer.body)
        case 'done':
            return _refusal(
                409,
                'The request was answered before',
                'Its answer was too large to be kept.',
                outcome=outcomes.Outcome.DONE,
            )
        case 'in progress':
            return _refusal(
                409,
                'A request with this key is in progress',
                reply.reason,
                1,
                outcome=_while_in_progress(wish),
            )
        case 'conflict':
            return _refusal(
                422,
                'The key was used for a different request',
                reply.reason,
            )
        case 'unknown':
            return _refusal(
                409,
                'What became of the request with this key is not known',
                reply.reason,
                outcome=outcomes.Outcome.UNKNOWN,
            )
        case _:
            return _refusal(503, 'The request was refused', reply.reason, 1)


def _while_in_progress(wish: messages.ReserveKey) -> outcomes.Outcome:
    """Return the outcome to report while another request holds the key.

    A request with the same idempotency key is the same request, so its
    outcome is not known yet; one that only shares the exclusive key was not
    run.
    """
    if wish.key:
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN


def _refusal(
    status: int,
    title: str,
    detail: str,
    retry_after_s: int = 0,
    *,
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN,
) -> NotGranted:
    return NotGranted(
        _requests.Problem(status, title, detail, outcome, retry_after_s)
    )
