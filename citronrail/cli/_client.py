"""HTTP client of the entries; executes a command at most once."""

import dataclasses
import typing

import httpx
import msgspec
import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability

# Maximum time for one entry before the next one is tried.
ATTEMPT_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 1.0
# An unresponsive entry is skipped after this time, before a command is sent
# that it could execute later.
PROBE_TIMEOUT_S = 1.0
# Extra time for the response to arrive after the entry's own deadline.
RESPONSE_MARGIN_S = 1.0
RETRY_INTERVAL_S = 0.3
# Maximum time to look for a reachable entry while nothing has been sent.
UNREACHABLE_TIMEOUT_S = 3.0
_OUTCOME_HEADER = 'citronrail-outcome'
_T = typing.TypeVar('_T')


class NoEntryReachable(Exception):
    """Raised if no entry could be reached and nothing was sent."""


class EntryRequestFailed(Exception):
    """Raised if an entry gave no valid response.

    :param message: description of the failure.
    :param sent: whether the entry may have received the request.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclasses.dataclass
class _RetryState:
    """State over all attempts; ``unresolved`` is why it may have run."""

    unresolved: str = ''
    last_problem: str = ''
    refusal: messages.CommandReply | None = None


class EntryClient:
    """Client of the operators' ports of several entries.

    :param entries: URLs of the entries, in the order in which they are tried.
    :param http: HTTP client; each request sets its own timeout.
    """

    def __init__(
        self, entries: tuple[str, ...], http: httpx.AsyncClient
    ) -> None:
        self._entries = entries
        self._http = http
        self._preferred_index = 0

    @property
    def entries(self) -> tuple[str, ...]:
        """URLs of the entries."""
        return self._entries

    async def execute(
        self, command_id: identifiers.CommandId, text: str, timeout_s: float
    ) -> messages.CommandReply:
        """Execute a command at one of the entries.

        All attempts use the same id, so that an attempt after a lost
        response returns the result of the earlier one.

        :param command_id: id of the command.
        :param text: one command.
        :param timeout_s: maximum time over all attempts.
        :returns: the outcome; ``unknown`` if an attempt may have been
            executed and no later one determined the result.
        :raises NoEntryReachable: if nothing was sent.
        """
        started_at = trio.current_time()
        deadline = started_at + timeout_s
        retry_state = _RetryState()
        while trio.current_time() < deadline:
            reply = await self._try_entries(
                command_id, text, deadline, retry_state
            )
            if reply is not None:
                return reply
            elapsed_s = trio.current_time() - started_at
            if (
                not retry_state.unresolved
                and elapsed_s >= UNREACHABLE_TIMEOUT_S
            ):
                break
            await trio.sleep(
                max(0.0, min(RETRY_INTERVAL_S, deadline - trio.current_time()))
            )
        return _final_reply(command_id, retry_state)

    async def _try_entries(
        self,
        command_id: identifiers.CommandId,
        text: str,
        deadline: float,
        retry_state: _RetryState,
    ) -> messages.CommandReply | None:
        """Try each entry once; None if no response gives a final outcome."""
        for number in range(len(self._entries)):
            index = (self._preferred_index + number) % len(self._entries)
            remaining_s = deadline - trio.current_time()
            if remaining_s <= 0:
                return None
            try:
                reply = await self._post_command(
                    self._entries[index], command_id, text, remaining_s
                )
            except EntryRequestFailed as exc:
                retry_state.last_problem = str(exc)
                if exc.sent:
                    retry_state.unresolved = str(exc)
                continue
            self._preferred_index = index
            match reply.outcome:
                case outcomes.Outcome.DONE:
                    return reply
                case outcomes.Outcome.NOT_RUN if not retry_state.unresolved:
                    return reply
                case outcomes.Outcome.NOT_RUN:
                    # An earlier attempt may have been executed, so this
                    # refusal doesn't determine the outcome.
                    retry_state.refusal = reply
                    return _final_reply(command_id, retry_state)
                case outcomes.Outcome.UNKNOWN:
                    retry_state.unresolved = reply.message
        return None

    async def _post_command(
        self,
        entry: str,
        command_id: identifiers.CommandId,
        text: str,
        remaining_s: float,
    ) -> messages.CommandReply:
        await self._probe(entry, min(remaining_s, PROBE_TIMEOUT_S))
        command_timeout_s = min(remaining_s, ATTEMPT_TIMEOUT_S)
        body = msgspec.json.encode(
            {
                'command_id': command_id,
                'text': text,
                'timeout_ms': max(1, int(command_timeout_s * 1000)),
            }
        )
        # Longer than the entry's own deadline, so that the entry can report
        # the outcome at its deadline.
        timeout_s = command_timeout_s + RESPONSE_MARGIN_S
        response = await self._request(
            'POST', f'{entry}/commands', timeout_s, content=body
        )
        if response.status_code == 200:
            reply = _decode(response, messages.CommandReply, sent=True)
            if reply.command_id != command_id:
                raise EntryRequestFailed(
                    f'{entry} answered another command', sent=True
                )
            return reply
        not_run = response.headers.get(_OUTCOME_HEADER) == 'not run'
        problem = f'{entry}: {_detail(response)}'
        if not_run and response.status_code < 500:
            return messages.CommandReply(
                command_id, outcomes.Outcome.NOT_RUN, problem
            )
        raise EntryRequestFailed(problem, sent=not not_run)

    async def _probe(self, entry: str, timeout_s: float) -> None:
        """Check that an entry responds before a command is sent.

        :raises EntryRequestFailed: if it doesn't respond.
        """
        try:
            await self._request('GET', f'{entry}/livez', timeout_s)
        except EntryRequestFailed as exc:
            raise EntryRequestFailed(str(exc), sent=False) from exc

    async def get(self, url: str, kind: type[_T], timeout_s: float) -> _T:
        """Fetch and decode a JSON document.

        :param url: full URL.
        :param kind: type of the document.
        :param timeout_s: timeout in seconds.
        :returns: the document.
        :raises EntryRequestFailed: if the request failed or the document is
            invalid.
        """
        response = await self._request('GET', url, timeout_s)
        if response.status_code != 200:
            raise EntryRequestFailed(f'{url}: {_detail(response)}', sent=True)
        return _decode(response, kind, sent=True)

    async def readiness(self, entry: str, timeout_s: float) -> str:
        """Query whether an entry is ready.

        :param entry: URL of the entry.
        :param timeout_s: timeout in seconds.
        :returns: ``ready``, ``not ready`` or a description of the failure.
        """
        try:
            response = await self._request('GET', f'{entry}/readyz', timeout_s)
        except EntryRequestFailed as exc:
            return str(exc)
        return 'ready' if response.status_code == 200 else 'not ready'

    async def timeline(
        self, url: str, timeout_s: float
    ) -> observability.Collected:
        """Fetch a timeline with the local times before and after the request.

        :param url: full URL of a timeline.
        :param timeout_s: timeout in seconds.
        :returns: the timeline.
        :raises EntryRequestFailed: if the request failed.
        """
        requested_at = trio.current_time()
        document = await self.get(
            url, observability.ProcessTimeline, timeout_s
        )
        return observability.Collected(
            document, requested_at, trio.current_time()
        )

    async def _request(
        self, method: str, url: str, timeout_s: float, content: bytes = b''
    ) -> httpx.Response:
        try:
            with trio.fail_after(timeout_s):
                return await self._http.request(
                    method,
                    url,
                    content=content,
                    timeout=httpx.Timeout(
                        timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s)
                    ),
                )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise EntryRequestFailed(
                f'{url}: can not connect ({_reason(exc)})', sent=False
            ) from exc
        except (httpx.HTTPError, trio.TooSlowError) as exc:
            raise EntryRequestFailed(
                f'{url}: no answer ({_reason(exc)})', sent=True
            ) from exc


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def _decode(response: httpx.Response, kind: type[_T], *, sent: bool) -> _T:
    try:
        return msgspec.json.decode(response.content, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise EntryRequestFailed(
            f'{response.url}: not understood: {exc}', sent=sent
        ) from exc


def _detail(response: httpx.Response) -> str:
    """Return the detail of a problem+json response, or its status."""
    try:
        problem = msgspec.json.decode(response.content, type=dict[str, object])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return f'status {response.status_code}'
    return str(problem.get('detail') or f'status {response.status_code}')


def _final_reply(
    command_id: identifiers.CommandId, retry_state: _RetryState
) -> messages.CommandReply:
    """Return the final outcome after the last attempt."""
    if retry_state.unresolved:
        refusal = (
            f'; a later try was refused: {retry_state.refusal.message}'
            if retry_state.refusal
            else ''
        )
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.UNKNOWN,
            f'it may have been carried out: {retry_state.unresolved}{refusal}',
        )
    raise NoEntryReachable(retry_state.last_problem or 'the timeout expired')
