"""Argument parser of the command-line tool."""

import argparse
import collections.abc
import dataclasses
import re

from citronrail.cli import _exit_codes

ENTRY_VARIABLE = 'CITRONRAIL_ENTRY'
DEFAULT_ENTRY = 'http://127.0.0.1:8090'
DEFAULT_TIMEOUT_S = 15.0
MAX_TIMEOUT_S = 600.0
RUN = 'run'
PROMPT = 'prompt'
_URL = re.compile(r'https?://[A-Za-z0-9.\-\[\]:]+:\d{1,5}/?')
_OPTIONS_WITH_VALUE = ('--entry', '--output', '--timeout')

EPILOG = f"""\
examples:
  citronrail 'show workers'
  citronrail 'show tasks where state = running count by worker'
  citronrail 'start job orders-0412 team harrowfield class orders \\
      tasks 40 cores 1 memory 512MB run time 90s'
  citronrail 'drain data_centre leicester'
  citronrail --file commands.txt
  citronrail                              # reads commands interactively
  citronrail status
  citronrail timeline --trace trace.json  # open it in a trace viewer
  citronrail check-config entry.json
  citronrail check-config new.json --against current.json
  citronrail explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
  eval "$(citronrail completion bash)"

{ENTRY_VARIABLE} names the entries, separated by commas, if --entry is not \
given.

{_exit_codes.EXPLANATION}
"""


@dataclasses.dataclass(frozen=True)
class CommonOptions:
    """Options common to the subcommands that contact entries.

    ``timeout_s`` limits each command, including all attempts.
    """

    entries: tuple[str, ...]
    output: str
    timeout_s: float


def make_parser() -> argparse.ArgumentParser:
    """Create the argument parser of the tool.

    :returns: the parser; :func:`with_subcommand` adds the default subcommand
        to the arguments first.
    """
    parser = argparse.ArgumentParser(
        prog='citronrail',
        usage='citronrail [options] [COMMAND | SUBCOMMAND ...]',
        description='Queries and controls a citronrail scheduler: the state '
        'of tasks, jobs, services and workers, and its configuration.',
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common_options(parser, top_level=True)
    subcommands = parser.add_subparsers(dest='subcommand', metavar='')
    _add_run(subcommands)
    _add_other_subcommands(subcommands)
    return parser


def with_subcommand(
    arguments: collections.abc.Sequence[str], subcommands: frozenset[str]
) -> list[str]:
    """Insert the default subcommand if none is given.

    :param arguments: arguments without the program name.
    :param subcommands: names of the subcommands.
    :returns: arguments with a subcommand.
    """
    position = 0
    while position < len(arguments):
        argument = arguments[position]
        if argument in _OPTIONS_WITH_VALUE:
            position += 2
            continue
        if argument in ('-h', '--help'):
            return list(arguments)
        if not argument.startswith('-') or argument in _RUN_OPTIONS:
            break
        if argument.split('=')[0] in _RUN_OPTIONS:
            break
        position += 1
    leading, remaining = arguments[:position], arguments[position:]
    if not remaining:
        return [*leading, PROMPT]
    if remaining[0] in subcommands:
        return list(arguments)
    return [*leading, RUN, *remaining]


_RUN_OPTIONS = ('--file', '-f', '--keep-going', '--command-id')
_Subcommands = argparse._SubParsersAction  # has no public name


def _add_common_options(
    parser: argparse.ArgumentParser, *, top_level: bool
) -> None:
    def default(value: object) -> object:
        # Options before the subcommand must not be reset to its defaults.
        return value if top_level else argparse.SUPPRESS

    parser.add_argument(
        '--entry',
        action='append',
        dest='entries' if top_level else 'later_entries',
        type=_parse_url,
        metavar='URL',
        default=default(None),
        help='operators\' port of an entry, such as http://10.20.0.5:8090; '
        'give several to tolerate the failure of one',
    )
    _add_output_option(parser, default('table'))
    parser.add_argument(
        '--timeout',
        type=_parse_seconds,
        metavar='SECONDS',
        default=default(DEFAULT_TIMEOUT_S),
        help='timeout of a command, including all attempts '
        f'(default: {DEFAULT_TIMEOUT_S:g})',
    )


def _add_output_option(
    parser: argparse.ArgumentParser, default: object
) -> None:
    parser.add_argument(
        '--output',
        choices=('table', 'json'),
        default=default,
        help='how to print results (default: table)',
    )


def _add_run(
    subcommands: '_Subcommands[argparse.ArgumentParser]',
) -> None:
    run = subcommands.add_parser(
        RUN,
        help='run a command; default if the first word is not a subcommand',
        epilog=_exit_codes.EXPLANATION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common_options(run, top_level=False)
    run.add_argument(
        'words',
        nargs='*',
        metavar='COMMAND',
        help='command, preferably in quotes',
    )
    run.add_argument(
        '-f',
        '--file',
        metavar='FILE',
        help='run the commands of a file, separated by ";"; "-" reads '
        'standard input',
    )
    run.add_argument(
        '--keep-going',
        action='store_true',
        help='continue after a command that was not done',
    )
    run.add_argument(
        '--command-id',
        metavar='ID',
        help='repeat a single command whose outcome is unknown; it is not '
        'executed twice',
    )
    prompt = subcommands.add_parser(PROMPT, help='read commands interactively')
    _add_common_options(prompt, top_level=False)


def _add_other_subcommands(
    subcommands: '_Subcommands[argparse.ArgumentParser]',
) -> None:
    status = subcommands.add_parser(
        'status', help='show a summary of entries, workers and data centres'
    )
    _add_common_options(status, top_level=False)
    timeline = subcommands.add_parser(
        'timeline', help='collect the events of all processes'
    )
    _add_common_options(timeline, top_level=False)
    timeline.add_argument(
        '--process',
        action='append',
        type=_parse_url,
        metavar='URL',
        default=[],
        help='also fetch /timeline from this process directly',
    )
    timeline.add_argument(
        '--cause',
        metavar='ID',
        help='only events of this request, task, job, command or event, and '
        'those caused by them',
    )
    timeline.add_argument(
        '--last',
        type=_parse_seconds,
        metavar='SECONDS',
        help='only events of the last seconds',
    )
    timeline.add_argument(
        '--trace',
        metavar='FILE',
        help='write trace-event JSON, for Chrome\'s trace viewer or Perfetto',
    )
    check = subcommands.add_parser(
        'check-config',
        help='check settings of processes or a configuration of operators',
        epilog=_exit_codes.CHECK_EXPLANATION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_output_option(check, argparse.SUPPRESS)
    check.add_argument(
        '--against',
        metavar='CURRENT',
        help='configuration in force; shows the differences from it',
    )
    check.add_argument(
        'files',
        nargs='+',
        metavar='FILE',
        help='settings of a process, settings for hard load, or the '
        'operators\' configuration',
    )
    explain = subcommands.add_parser(
        'explain', help='explain from log files what happened to a job or task'
    )
    explain.add_argument('id', metavar='ID', help='job id or task name')
    explain.add_argument(
        'logs',
        nargs='*',
        metavar='FILE',
        help='log files of the processes; "-" or none reads standard input',
    )
    completion = subcommands.add_parser(
        'completion', help='print the completion script of a shell'
    )
    completion.add_argument('shell', choices=('bash', 'zsh', 'fish'))


def common_options(
    args: argparse.Namespace, environment: collections.abc.Mapping[str, str]
) -> CommonOptions:
    """Return the options common to the subcommands that contact entries.

    :param args: parsed arguments.
    :param environment: environment variables.
    :returns: the options; entries come from the arguments, else from the
        environment, else from the default.
    :raises argparse.ArgumentTypeError: if the environment variable contains
        an invalid URL.
    """
    urls = [*(args.entries or ()), *getattr(args, 'later_entries', ())]
    if not urls:
        configured = environment.get(ENTRY_VARIABLE, '').replace(',', ' ')
        urls = [_parse_url(argument) for argument in configured.split()]
    unique = tuple(dict.fromkeys(urls or [DEFAULT_ENTRY]))
    return CommonOptions(unique, args.output, args.timeout)


def _parse_url(text: str) -> str:
    if not _URL.fullmatch(text):
        raise argparse.ArgumentTypeError(
            f'{text!r} is not of the form http://IP:PORT'
        )
    return text.rstrip('/')


def _parse_seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value <= MAX_TIMEOUT_S:
        raise argparse.ArgumentTypeError(
            f'{text!r} is not a number of seconds up to {MAX_TIMEOUT_S:g}'
        )
    return value
