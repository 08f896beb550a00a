"""Command line of the programs on the platform."""

import argparse
import collections.abc
import os
import random
import sys

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail import observability
from citronrail.observability.catalogue import daemon as events
from citronrail.platform import _roles
from citronrail.platform import _settings

EXIT_CONFIG = 2
ROLES = {'entry': _roles.run_entry, 'agent': _roles.run_agent}


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run a program until it has stopped.

    :param argv: command line arguments, without the program name; those of
        the process if None.
    :returns: exit status: 0 after a planned stop, 2 for invalid settings.
    """
    parser = argparse.ArgumentParser(
        prog='citronrail.platform',
        description='Runs one process of citronrail on the platform.',
        epilog='SIGTERM drains the process; SIGINT then ends it at once.',
    )
    parser.add_argument('role', choices=sorted(ROLES))
    parser.add_argument(
        '--config',
        metavar='FILE',
        default=os.environ.get(_settings.PATH_VARIABLE, ''),
        help='settings file of the platform; '
        f'the variable {_settings.PATH_VARIABLE} names it otherwise',
    )
    parser.add_argument(
        '--check-config',
        action='store_true',
        help='check the settings and end',
    )
    args = parser.parse_args(argv)
    try:
        cfg = _settings.load(args.config)
    except errors.ConfigError as exc:
        sys.stderr.write(f'citronrail.platform: {exc}\n')
        return EXIT_CONFIG
    if not args.check_config:
        trio.run(_run, args.role, cfg)
    return 0


async def _run(role: str, cfg: _settings.Settings) -> None:
    boot_id = identifiers.new_boot_id()
    observability.set_up_daemon_logging('INFO', cfg.node_id)
    observability.use_recorder(
        observability.Recorder(f'{cfg.node_id}/{boot_id}', 2000)
    )
    observability.emit(
        events.STARTED, node=cfg.node_id, role=role, boot=boot_id
    )
    seed = random.SystemRandom().getrandbits(64)
    observability.emit(events.SEEDED, node=cfg.node_id, seed=seed)
    await ROLES[role](cfg, boot_id, random.Random(seed))
