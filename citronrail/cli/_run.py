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

_CODES = {
    outcomes.Outcome.DONE: _exit_codes.ExitCode.DONE,
    outcomes.Outcome.NOT_RUN: _exit_codes.ExitCode.NOT_RUN,
    outcomes.Outcome.UNKNOWN: _exit_codes.ExitCode.UNKNOWN,
}


@dataclasses.dataclass(frozen=True)
class Streams:
    """Where results and notes go."""

    stdout: typing.TextIO
    stderr: typing.TextIO


def standard_streams() -> Streams:
    """Return the streams of this process."""
    return Streams(sys.stdout, sys.stderr)


def new_command_id() -> identifiers.CommandId:
    """Make an id for a new command, ordered by time."""
    return identifiers.CommandId(str(uuid_utils.uuid7()))


def open_http() -> httpx.AsyncClient:
    """Open an HTTP client that uses no proxy of the environment."""
    return httpx.AsyncClient(trust_env=False, follow_redirects=False)


def read_commands(text: str) -> tuple[language.Command, ...]:
    """Read commands before any of them is run.

    :param text: commands separated by ``;``.
    :returns: their nodes.
    :raises citronrail.errors.CommandSyntaxError: if one is wrong.
    """
    return language.parse_script(text)


async def run_commands(
    commands: collections.abc.Sequence[language.Command],
    options: _arguments.Common,
    streams: Streams,
    *,
    keep_going: bool = False,
    command_id: str | None = None,
) -> _exit_codes.ExitCode:
    """Run commands one after the other and print their results.

    :param commands: the commands.
    :param options: entries, form of output and time for each command.
    :param streams: where to print.
    :param keep_going: go on after a command that was not done.
    :param command_id: id of a command that is repeated; a new one if None.
    :returns: the status of the last command that was not done, or 0.
    """
    code = _exit_codes.ExitCode.DONE
    async with open_http() as http:
        client = _client.EntryClient(options.entries, http)
        for command in commands:
            chosen = identifiers.CommandId(command_id or new_command_id())
            ended = await _run_one(client, command, chosen, options, streams)
            if ended is not _exit_codes.ExitCode.DONE:
                code = ended
                if not keep_going:
                    break
    return code


async def _run_one(
    client: _client.EntryClient,
    command: language.Command,
    command_id: identifiers.CommandId,
    options: _arguments.Common,
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
    return _CODES[reply.outcome]


def explain_syntax(
    exc: errors.CommandSyntaxError, streams: Streams
) -> _exit_codes.ExitCode:
    """Print a syntax error.

    :param exc: the error.
    :param streams: where to print.
    :returns: the status for wrong syntax.
    """
    streams.stderr.write(f'{exc.message}\n')
    return _exit_codes.ExitCode.USAGE
