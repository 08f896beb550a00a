"""Tests log lines and the generator of the documentation pages."""

import io
import json

from loguru import logger
import prometheus_client

from citronrail import observability
from citronrail.observability import pages


def test_json_lines_hold_one_object_each():
    """Guards against lines that log collectors cannot parse."""
    sink = io.StringIO()
    try:
        observability.set_up_logging('INFO', 'json', 'worker-07', sink)
        logger.debug('hidden')
        logger.info('two\nlines {} "quoted"', '{braces}')
        try:
            raise ValueError('reason')
        except ValueError:
            logger.exception('failed')
    finally:
        logger.remove()
    first, second = (json.loads(ln) for ln in sink.getvalue().splitlines())
    assert first['message'] == 'two\nlines {braces} "quoted"'
    assert (first['level'], first['process']) == ('INFO', 'worker-07')
    assert first['time'].endswith('Z')
    assert second['exception'] == "ValueError('reason')"


def test_text_lines_name_the_process():
    """Guards logs of several processes in one terminal."""
    sink = io.StringIO()
    try:
        observability.set_up_logging('WARNING', 'text', 'e1', sink)
        logger.info('hidden')
        logger.warning('shown')
    finally:
        logger.remove()
    (line,) = sink.getvalue().splitlines()
    assert line.endswith('e1 shown')


def test_pages_are_written_and_compared(tmp_path, capsys):
    """Guards the check that the pages match the code."""
    assert pages.main(['--check', str(tmp_path)]) == 1
    assert pages.main([str(tmp_path)]) == 0
    assert pages.main(['--check', str(tmp_path)]) == 0
    (tmp_path / pages.EVENTS_PAGE).write_text('old')
    assert pages.main(['--check', str(tmp_path)]) == 1
    assert 'EVENTS.md differs' in capsys.readouterr().err


def test_exposition_and_lists_agree():
    """Guards docs/METRICS.md against names that do not exist in queries."""
    text = observability.exposition().decode()
    assert '# TYPE citronrail_language_commands_total counter' in text
    names = observability.sample_names()
    assert 'citronrail_language_command_seconds_bucket' in names
    listed = {metric.name: metric for metric in observability.metrics()}
    assert listed['citronrail_language_commands_total'].labels == (
        'kind',
        'outcome',
    )
    assert observability.CONTENT_TYPE == prometheus_client.CONTENT_TYPE_LATEST
