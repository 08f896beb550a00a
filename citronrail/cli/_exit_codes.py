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


EXPLANATION = """\
exit status:
  0  done
  1  refused, or not run: nothing changed
  2  invalid usage, syntax or settings
  3  outcome unknown: repeat with --command-id to find out
  4  no entry could be reached; nothing was sent"""
