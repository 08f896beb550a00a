"""The program ``citronraild``."""

import argparse
import collections.abc
import functools
import sys

import trio

from citronrail.daemon import _agent
from citronrail.daemon import _components as components
from citronrail.daemon import _entry
from citronrail.daemon import _process_settings
from citronrail.daemon import _settings_file
from citronrail import errors
from citronrail.model import identifiers
from citronrail import observability
from citronrail.observability.catalogue import daemon as events

EXIT_CONFIG = 2


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run the daemon until a planned stop is complete.

    :param argv: arguments without the program's name; those of the process
        if None.
    :returns: exit status: 0 after a planned stop, 2 for invalid settings.
    """
    parser = argparse.ArgumentParser(
        prog='citronraild',
        description='Runs one process of citronrail, an entry or an agent.',
        epilog='SIGTERM drains the process; SIGINT then ends it at once.',
    )
    parser.add_argument(
        '--config',
        required=True,
        metavar='FILE',
        help='JSON settings of the process; "citronrail check-config FILE" '
        'checks them',
    )
    args = parser.parse_args(argv)
    try:
        cfg = _settings_file.load(args.config)
    except errors.ConfigError as exc:
        sys.stderr.write(f'citronraild: {exc}\n')
        return EXIT_CONFIG
    trio.run(_run, cfg)
    return 0


async def _run(cfg: _process_settings.ProcessSettings) -> None:
    boot_id = identifiers.new_boot_id()
    observability.set_up_logging(cfg.log.level, cfg.log.format, cfg.node_id)
    recorder = observability.Recorder(
        f'{cfg.node_id}/{boot_id}', cfg.limits.timeline_events
    )
    observability.use_recorder(recorder)
    observability.emit(
        events.STARTED, node=cfg.node_id, role=cfg.role, boot=boot_id
    )
    rng = components.seeded_random(cfg.node_id)
    role = {'entry': _entry.run_entry, 'agent': _agent.run_agent}[cfg.role]
    await functools.partial(role, cfg, boot_id, rng)()
