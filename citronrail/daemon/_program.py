"""Entry point of ``citronraild``."""

import collections.abc
import importlib
import signal


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run the daemon until a planned stop is complete.

    :param argv: arguments without the program's name; those of the process
        if None.
    :returns: exit status: 0 after a planned stop, 2 for invalid settings.
    """
    # SIGHUP would end the process by default while it imports the transports,
    # which takes seconds with little processor time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported here, since the operators' tool imports this package for its
    # settings and starts faster without the transports.
    program = importlib.import_module('citronrail.daemon._main')
    return int(program.main(argv))
