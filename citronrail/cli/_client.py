"""Sends commands to entries; a command is carried out at most once."""

import dataclasses
import typing

import httpx
import msgspec
import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability

# An entry that doesn't answer for this long is left for the next one.
TRY_S = 5.0
CONNECT_S = 2.0
# Time for the answer to come back after the entry's own deadline.
ANSWER_MARGIN_S = 1.0
PAUSE_S = 0.3
# How long to look for an entry while nothing has been sent yet.
PATIENCE_S = 3.0
_OUTCOME_HEADER = 'citronrail-outcome'
_T = typing.TypeVar('_T')


class NoEntryReachable(Exception):
    """No entry took the request; nothing was sent."""


class EntryFailed(Exception):
    """One entry gave no usable answer.

    :param message: what happened.
    :param sent: whether the entry may have got the request.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclasses.dataclass
class _Tries:
    """What happened so far; ``unresolved`` tells why it may have run."""

    unresolved: str = ''
    problem: str = ''
    refused: messages.CommandReply | None = None


class EntryClient:
    """Talks to the operators' ports of several entries.

    :param entries: their URLs, in the order in which they are tried.
    :param http: client without timeouts of its own.
    """

    def __init__(
        self, entries: tuple[str, ...], http: httpx.AsyncClient
    ) -> None:
        self._entries = entries
        self._http = http
        self._first = 0

    @property
    def entries(self) -> tuple[str, ...]:
        """URLs of the entries."""
        return self._entries

    async def execute(
        self, command_id: identifiers.CommandId, text: str, timeout_s: float
    ) -> messages.CommandReply:
        """Have one of the entries carry out a command.

        The id stays the same over all tries, so that a try after a lost
        answer finds the result of the first.

        :param command_id: identity of the command.
        :param text: one command.
        :param timeout_s: longest time, all tries included.
        :returns: the outcome; ``unknown`` if a try may have been carried out
            and no later one told.
        :raises NoEntryReachable: if nothing was sent.
        """
        began = trio.current_time()
        deadline = began + timeout_s
        tries = _Tries()
        while trio.current_time() < deadline:
            reply = await self._round(command_id, text, deadline, tries)
            if reply is not None:
                return reply
            waited = trio.current_time() - began
            if not tries.unresolved and waited >= PATIENCE_S:
                break
            await trio.sleep(
                max(0.0, min(PAUSE_S, deadline - trio.current_time()))
            )
        return _conclude(command_id, tries)

    async def _round(
        self,
        command_id: identifiers.CommandId,
        text: str,
        deadline: float,
        tries: _Tries,
    ) -> messages.CommandReply | None:
        """Ask each entry once; None if no answer settles the command."""
        for number in range(len(self._entries)):
            index = (self._first + number) % len(self._entries)
            left_s = deadline - trio.current_time()
            if left_s <= 0:
                return None
            try:
                reply = await self._post(
                    self._entries[index], command_id, text, left_s
                )
            except EntryFailed as exc:
                tries.problem = str(exc)
                if exc.sent:
                    tries.unresolved = str(exc)
                continue
            self._first = index
            match reply.outcome:
                case outcomes.Outcome.DONE:
                    return reply
                case outcomes.Outcome.NOT_RUN if not tries.unresolved:
                    return reply
                case outcomes.Outcome.NOT_RUN:
                    # An earlier copy may have run, so this proves nothing.
                    tries.refused = reply
                    return _conclude(command_id, tries)
                case outcomes.Outcome.UNKNOWN:
                    tries.unresolved = reply.message
        return None

    async def _post(
        self,
        entry: str,
        command_id: identifiers.CommandId,
        text: str,
        left_s: float,
    ) -> messages.CommandReply:
        body = msgspec.json.encode(
            {
                'command_id': command_id,
                'text': text,
                'timeout_ms': max(1, int(left_s * 1000)),
            }
        )
        wait_s = min(left_s, TRY_S) + ANSWER_MARGIN_S
        answer = await self._request(
            'POST', f'{entry}/commands', wait_s, content=body
        )
        if answer.status_code == 200:
            reply = _decode(answer, messages.CommandReply, sent=True)
            if reply.command_id != command_id:
                raise EntryFailed(
                    f'{entry} answered another command', sent=True
                )
            return reply
        not_run = answer.headers.get(_OUTCOME_HEADER) == 'not run'
        problem = f'{entry}: {_detail(answer)}'
        if not_run and answer.status_code < 500:
            return messages.CommandReply(
                command_id, outcomes.Outcome.NOT_RUN, problem
            )
        raise EntryFailed(problem, sent=not not_run)

    async def get(self, url: str, kind: type[_T], wait_s: float) -> _T:
        """Read a JSON document.

        :param url: whole URL.
        :param kind: type of the document.
        :param wait_s: longest time in seconds.
        :returns: the document.
        :raises EntryFailed: if it didn't come or is something else.
        """
        answer = await self._request('GET', url, wait_s)
        if answer.status_code != 200:
            raise EntryFailed(f'{url}: {_detail(answer)}', sent=True)
        return _decode(answer, kind, sent=True)

    async def readiness(self, entry: str, wait_s: float) -> str:
        """Tell whether an entry takes work.

        :param entry: its URL.
        :param wait_s: longest time in seconds.
        :returns: ``ready``, ``not ready`` or what happened.
        """
        try:
            answer = await self._request('GET', f'{entry}/readyz', wait_s)
        except EntryFailed as exc:
            return str(exc)
        return 'ready' if answer.status_code == 200 else 'not ready'

    async def timeline(
        self, url: str, wait_s: float
    ) -> observability.Collected:
        """Collect a timeline with the local times around its collection.

        :param url: whole URL of a timeline.
        :param wait_s: longest time in seconds.
        :returns: the timeline.
        :raises EntryFailed: if it didn't come.
        """
        asked_at = trio.current_time()
        found = await self.get(url, observability.ProcessTimeline, wait_s)
        return observability.Collected(found, asked_at, trio.current_time())

    async def _request(
        self, method: str, url: str, wait_s: float, content: bytes = b''
    ) -> httpx.Response:
        try:
            with trio.fail_after(wait_s):
                return await self._http.request(
                    method,
                    url,
                    content=content,
                    timeout=httpx.Timeout(
                        wait_s, connect=min(CONNECT_S, wait_s)
                    ),
                )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise EntryFailed(
                f'{url}: can not connect ({_reason(exc)})', sent=False
            ) from exc
        except (httpx.HTTPError, trio.TooSlowError) as exc:
            raise EntryFailed(
                f'{url}: no answer ({_reason(exc)})', sent=True
            ) from exc


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def _decode(answer: httpx.Response, kind: type[_T], *, sent: bool) -> _T:
    try:
        return msgspec.json.decode(answer.content, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise EntryFailed(
            f'{answer.url}: not understood: {exc}', sent=sent
        ) from exc


def _detail(answer: httpx.Response) -> str:
    """Return the detail of a problem+json answer, or its status."""
    try:
        problem = msgspec.json.decode(answer.content, type=dict[str, object])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return f'status {answer.status_code}'
    return str(problem.get('detail') or f'status {answer.status_code}')


def _conclude(
    command_id: identifiers.CommandId, tries: _Tries
) -> messages.CommandReply:
    """Return the outcome once no more tries are made."""
    if tries.unresolved:
        refused = (
            f'; a later try was refused: {tries.refused.message}'
            if tries.refused
            else ''
        )
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.UNKNOWN,
            f'it may have been carried out: {tries.unresolved}{refused}',
        )
    raise NoEntryReachable(tries.problem or 'the time is up')
