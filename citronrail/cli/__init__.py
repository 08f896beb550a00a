"""The operators' command-line tool."""

from citronrail.cli._exit_codes import ExitCode
from citronrail.cli._main import main

__all__ = ['ExitCode', 'main']
