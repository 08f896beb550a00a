"""Exit statuses of the command-line tool."""

import enum


class ExitCode(enum.IntEnum):
    """Exit status of the command-line tool.

    ``UNKNOWN`` is resolved by repeating the command with ``--command-id``.
    """

    DONE = 0
    NOT_RUN = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4


class CheckExitCode(enum.IntEnum):
    """Exit status of the subcommand ``check-config``."""

    CLEAN = 0
    ERRORS = 2
    WARNINGS = 3


CHECK_EXPLANATION = """\
exit status:
  0  no errors and no warnings
  2  errors, or invalid usage
  3  warnings only"""
EXPLANATION = """\
exit status:
  0  done
  1  refused, or not run: nothing changed
  2  invalid usage, syntax or settings
  3  outcome unknown: repeat with --command-id to find out
  4  no entry could be reached; nothing was sent"""
