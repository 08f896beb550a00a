"""The interactive prompt."""

import collections.abc
import contextlib
import importlib
import os
import pathlib
import types

import trio

from citronrail.cli import _arguments
from citronrail.cli import _exit_codes
from citronrail.cli import _run
from citronrail import errors

PROMPT = 'citronrail> '
HISTORY_VARIABLE = 'CITRONRAIL_HISTORY'
HISTORY_LINES = 1000
HELP = """\
show TABLE [where ...] [count by ...] [order by ...] [limit N]
  tables: tasks jobs services workers backend_servers data_centres teams
  requests entries settings
start job NAME team T class C [tasks N] [cores N] [memory 512MB] ...
start service NAME team T class C [replicas N] ...
stop job NAME, stop service NAME, cancel tasks where ..., cancel jobs where ...
drain or return data_centre NAME, worker NAME, service NAME
change service NAME ..., change team NAME quota ...
change placement policy NAME ..., change balancing policy NAME ...
quit
"""
_EXIT_COMMANDS = ('quit', 'exit')


def run_prompt(
    options: _arguments.CommonOptions,
    streams: _run.Streams,
    read_line: collections.abc.Callable[[str], str] = input,
) -> _exit_codes.ExitCode:
    """Read and run commands until the end of the input.

    :param options: entries, output format and timeout of each command.
    :param streams: output streams.
    :param read_line: returns the next line; raises EOFError at the end.
    :returns: exit code of the last command.
    """
    code = _exit_codes.ExitCode.DONE
    with _persistent_history():
        while True:
            try:
                line = read_line(PROMPT)
            except EOFError:
                return code
            except KeyboardInterrupt:
                streams.stdout.write('\n')
                continue
            word = line.strip().rstrip(';').strip()
            if word in _EXIT_COMMANDS:
                return code
            if word == 'help':
                streams.stdout.write(HELP)
                continue
            with contextlib.suppress(KeyboardInterrupt):
                code = _run_line(line, options, streams)


def _run_line(
    line: str, options: _arguments.CommonOptions, streams: _run.Streams
) -> _exit_codes.ExitCode:
    try:
        commands = _run.read_commands(line)
    except errors.CommandSyntaxError as exc:
        return _run.print_syntax_error(exc, streams)
    return trio.run(_run.run_commands, commands, options, streams)


@contextlib.contextmanager
def _persistent_history() -> collections.abc.Iterator[None]:
    """Load and save the prompt history if readline is available."""
    try:
        readline: types.ModuleType = importlib.import_module('readline')
    except ImportError:
        yield
        return
    path = os.environ.get(HISTORY_VARIABLE) or str(
        pathlib.Path.home() / '.citronrail_history'
    )
    with contextlib.suppress(OSError):
        readline.read_history_file(path)
    readline.set_history_length(HISTORY_LINES)
    try:
        yield
    finally:
        with contextlib.suppress(OSError):
            readline.write_history_file(path)
