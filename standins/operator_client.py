"""Client that sends operator commands to the entries of a fleet."""

import dataclasses
import typing
import uuid

import httpx
import trio

RETRY_DELAY_S = 0.2
DEFAULT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """Reply to a command; ``rows`` are the rows of a query by column."""

    outcome: str
    message: str
    settings_version: int
    rows: tuple[dict[str, typing.Any], ...]

    @property
    def done(self) -> bool:
        """Whether the command took effect."""
        return self.outcome == 'done'


class CommandFailed(AssertionError):
    """A command that was required to succeed failed."""


class OperatorClient:
    """Sends commands to any of several entries.

    :param client: HTTP client.
    :param urls: operator URLs of the entries.
    """

    def __init__(
        self, client: httpx.AsyncClient, urls: tuple[str, ...]
    ) -> None:
        self._client = client
        self.urls = urls

    async def send(
        self,
        text: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        url: str = '',
        command_id: str = '',
    ) -> Reply:
        """Send one command, trying the next entry if one is unavailable.

        An entry may be unreachable, or answer 503 while it starts or stops.

        :param text: text of the command.
        :param timeout_s: total time for all attempts, in seconds.
        :param url: operator URL to use, any entry if ''.
        :param command_id: id of the command, generated if ''.
        :returns: the reply, with outcome ``unknown`` if none arrived.
        """
        command_id = command_id or str(uuid.uuid4())
        deadline = trio.current_time() + timeout_s
        attempts = 0
        while trio.current_time() < deadline:
            target = url or self.urls[attempts % len(self.urls)]
            attempts += 1
            remaining_s = deadline - trio.current_time()
            body = {
                'command_id': command_id,
                'text': text,
                'timeout_ms': int(remaining_s * 1000),
            }
            try:
                response = await self._client.post(
                    f'{target}/commands', json=body, timeout=remaining_s + 1.0
                )
                reply = _parse_reply(response.json())
                if (
                    response.status_code != 503
                    or url
                    or attempts >= len(self.urls)
                ):
                    return reply
            except (httpx.HTTPError, ValueError):
                await trio.sleep(RETRY_DELAY_S)
        return Reply('unknown', 'no entry responded', 0, ())

    async def do(
        self, text: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Reply:
        """Send a command that is required to take effect.

        :raises CommandFailed: if it did not.
        """
        reply = await self.send(text, timeout_s)
        if not reply.done:
            raise CommandFailed(f'{text}: {reply.outcome}: {reply.message}')
        return reply

    async def rows(self, text: str) -> tuple[dict[str, typing.Any], ...]:
        """Return the rows of a query that is required to succeed."""
        return (await self.do(text)).rows


def _parse_reply(data: dict[str, typing.Any]) -> Reply:
    columns = data.get('columns', [])
    rows = tuple(dict(zip(columns, row)) for row in data.get('rows', []))
    return Reply(
        data.get('outcome', 'unknown'),
        data.get('message') or data.get('detail', ''),
        data.get('settings_version', 0),
        rows,
    )
