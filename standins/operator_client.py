"""Sends operators' commands to a fleet, as the command-line tool does."""

import dataclasses
import typing
import uuid

import httpx
import trio

RETRY_S = 0.2
TIMEOUT_S = 10.0


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
    """A command that had to succeed did not."""


class OperatorClient:
    """Sends commands to any of several entries.

    :param client: HTTP client.
    :param urls: operators' ports of the entries.
    """

    def __init__(
        self, client: httpx.AsyncClient, urls: tuple[str, ...]
    ) -> None:
        self._client = client
        self.urls = urls

    async def send(
        self,
        text: str,
        timeout_s: float = TIMEOUT_S,
        url: str = '',
        command_id: str = '',
    ) -> Reply:
        """Send one command, to the next entry if one can't take it.

        An entry can't be reached, or answers 503 while it starts or stops.

        :param text: the command.
        :param timeout_s: longest time for all tries, in seconds.
        :param url: operators' port to use, any if ''.
        :param command_id: identity of the command, a new one if ''.
        :returns: the reply; ``unknown`` if none came in time.
        """
        command_id = command_id or str(uuid.uuid4())
        deadline = trio.current_time() + timeout_s
        tries = 0
        while trio.current_time() < deadline:
            target = url or self.urls[tries % len(self.urls)]
            tries += 1
            left_s = deadline - trio.current_time()
            body = {
                'command_id': command_id,
                'text': text,
                'timeout_ms': int(left_s * 1000),
            }
            try:
                answer = await self._client.post(
                    f'{target}/commands', json=body, timeout=left_s + 1.0
                )
                reply = _reply(answer.json())
                if answer.status_code != 503 or url or tries >= len(self.urls):
                    return reply
            except (httpx.HTTPError, ValueError):
                await trio.sleep(RETRY_S)
        return Reply('unknown', 'no entry answered', 0, ())

    async def do(self, text: str, timeout_s: float = TIMEOUT_S) -> Reply:
        """Send a command that must take effect.

        :raises CommandFailed: if it did not.
        """
        reply = await self.send(text, timeout_s)
        if not reply.done:
            raise CommandFailed(f'{text}: {reply.outcome}: {reply.message}')
        return reply

    async def rows(self, text: str) -> tuple[dict[str, typing.Any], ...]:
        """Return the rows of a query that must be answered."""
        return (await self.do(text)).rows


def _reply(data: dict[str, typing.Any]) -> Reply:
    columns = data.get('columns', [])
    rows = tuple(dict(zip(columns, row)) for row in data.get('rows', []))
    return Reply(
        data.get('outcome', 'unknown'),
        data.get('message') or data.get('detail', ''),
        data.get('settings_version', 0),
        rows,
    )
