"""Runs commands from the command line, a file or the prompt."""

import collections.abc
import dataclasses
import sys
import typing

import httpx
import uuid_utils

from citronrail.cli import _arguments
from citronrail.cli import _client
from citronrail.cli import _exit_codes
from citronrail.cli import _output
from citronrail import errors
from citronrail import language
from citronrail.model import identifiers
from citronrail.model import outcome as outcomes

_CODE_BY_OUTCOME = {
    outcomes.Outcome.DONE: _exit_codes.ExitCode.DONE,
    outcomes.Outcome.NOT_RUN: _exit_codes.ExitCode.NOT_RUN,
    outcomes.Outcome.UNKNOWN: _exit_codes.ExitCode.UNKNOWN,
}


@dataclasses.dataclass(frozen=True)
class Streams:
    """Output streams for results and for notes and errors."""

    stdout: typing.TextIO
    stderr: typing.TextIO


def standard_streams() -> Streams:
    """Return the standard streams of this process."""
    return Streams(sys.stdout, sys.stderr)


def new_command_id() -> identifiers.CommandId:
    """Create a command id that is ordered by time."""
    return identifiers.CommandId(str(uuid_utils.uuid7()))


def open_http_client() -> httpx.AsyncClient:
    """Open an HTTP client that ignores proxies from the environment."""
    return httpx.AsyncClient(trust_env=False, follow_redirects=False)


def read_commands(text: str) -> tuple[language.Command, ...]:
    """Parse all commands before any of them is run.

    :param text: commands separated by ``;``.
    :returns: their nodes.
    :raises citronrail.errors.CommandSyntaxError: if one is invalid.
    """
    return language.parse_script(text)


async def run_commands(
    commands: collections.abc.Sequence[language.Command],
    options: _arguments.CommonOptions,
    streams: Streams,
    *,
    keep_going: bool = False,
    command_id: str | None = None,
) -> _exit_codes.ExitCode:
    """Run commands in sequence and print their results.

    :param commands: the commands.
    :param options: entries, output format and timeout of each command.
    :param streams: output streams.
    :param keep_going: continue after a command that was not done.
    :param command_id: id of a repeated command; a new id if None.
    :returns: exit code of the last command that was not done, or 0.
    """
    code = _exit_codes.ExitCode.DONE
    async with open_http_client() as http:
        client = _client.EntryClient(options.entries, http)
        for command in commands:
            current_id = identifiers.CommandId(command_id or new_command_id())
            command_code = await _run_one(
                client, command, current_id, options, streams
            )
            if command_code is not _exit_codes.ExitCode.DONE:
                code = command_code
                if not keep_going:
                    break
    return code


async def _run_one(
    client: _client.EntryClient,
    command: language.Command,
    command_id: identifiers.CommandId,
    options: _arguments.CommonOptions,
    streams: Streams,
) -> _exit_codes.ExitCode:
    try:
        reply = await client.execute(
            command_id, language.format(command), options.timeout_s
        )
    except _client.NoEntryReachable as exc:
        streams.stderr.write(f'no entry reachable: {exc}\n')
        return _exit_codes.ExitCode.UNREACHABLE
    _output.print_reply(reply, options.output, streams.stdout, streams.stderr)
    return _CODE_BY_OUTCOME[reply.outcome]


def print_syntax_error(
    exc: errors.CommandSyntaxError, streams: Streams
) -> _exit_codes.ExitCode:
    """Print a syntax error.

    :param exc: the error.
    :param streams: output streams.
    :returns: exit code for invalid syntax.
    """
    streams.stderr.write(f'{exc.message}\n')
    return _exit_codes.ExitCode.USAGE
