"""Writes docs/EVENTS.md and docs/METRICS.md from the code.

Run ``python -m citronrail.observability.pages`` in the repository after
adding an event or a metric; with ``--check`` it compares the pages instead.
"""

import argparse
import collections.abc
import itertools
import pathlib
import sys

from citronrail.observability import _catalogue
from citronrail.observability import _exposition

EVENTS_PAGE = 'EVENTS.md'
METRICS_PAGE = 'METRICS.md'
_DIRECTORY = 'docs'
_EVENTS_HEAD = """\
# Events

Every process writes these events to standard error and keeps the latest for
`citronrail timeline`. The number never changes its meaning. Words in braces
are filled in. Written by `python -m citronrail.observability.pages`.
"""
_METRICS_HEAD = """\
# Metrics

Every process serves these in Prometheus' text format at `/metrics` of its
operators' or local port. Counters end in `_total`; histograms have the usual
endings `_bucket`, `_sum` and `_count`. Rules and alerts over them are in
[alerts.yml](alerts.yml). Written by
`python -m citronrail.observability.pages`.
"""


def events_page() -> str:
    """Return the page of all events.

    :returns: Markdown, a table for each subsystem.
    """
    events = _catalogue.catalogued_events()
    parts = [_EVENTS_HEAD]
    names = dict.fromkeys(event.subsystem for event in events)
    for subsystem in names:
        parts.append(f'\n## {subsystem.replace("_", " ").capitalize()}\n\n')
        parts.append('| event | level | name | text |\n|---|---|---|---|\n')
        parts += [
            f'| {event.kind.code} | {event.kind.level} | `{event.name}` '
            f'| {_escaped(event.kind.text)} |\n'
            for event in events
            if event.subsystem == subsystem
        ]
    return ''.join(parts)


def metrics_page() -> str:
    """Return the page of all metrics.

    :returns: Markdown, a table for each subsystem.
    """
    parts = [_METRICS_HEAD]
    grouped = itertools.groupby(
        _exposition.metrics(), key=lambda metric: metric.name.split('_')[1]
    )
    for subsystem, metrics in grouped:
        parts.append(f'\n## {subsystem.capitalize()}\n\n')
        parts.append(
            '| metric | type | labels | meaning |\n|---|---|---|---|\n'
        )
        parts += [
            f'| `{metric.name}` | {metric.kind} '
            f'| {", ".join(f"`{label}`" for label in metric.labels)} '
            f'| {_escaped(metric.text)} |\n'
            for metric in metrics
        ]
    return ''.join(parts)


def pages() -> dict[str, str]:
    """Return the generated pages by file name."""
    return {EVENTS_PAGE: events_page(), METRICS_PAGE: metrics_page()}


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Write or compare the pages.

    :param argv: arguments without the program's name.
    :returns: 1 if ``--check`` found a page that differs, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--check',
        action='store_true',
        help='compare the pages instead of writing them',
    )
    parser.add_argument('directory', nargs='?', default=_DIRECTORY)
    args = parser.parse_args(argv)
    code = 0
    for name, text in pages().items():
        path = pathlib.Path(args.directory) / name
        if not args.check:
            path.write_text(text, encoding='utf-8')
        elif not path.exists() or path.read_text(encoding='utf-8') != text:
            sys.stderr.write(f'{path} differs from the code\n')
            code = 1
    return code


def _escaped(text: str) -> str:
    return text.replace('|', '\\|').replace('\n', ' ')


if __name__ == '__main__':
    sys.exit(main())
