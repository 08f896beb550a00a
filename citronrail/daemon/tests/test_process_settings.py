"""Tests the validation of process settings."""

import json
import pathlib

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from citronrail.daemon import _process_settings
from citronrail.daemon import _settings_file
from citronrail import errors

EXAMPLES = pathlib.Path(__file__).parents[3] / 'docs' / 'examples'


def _changed(role, *path_and_value):
    *path, last, value = path_and_value
    document = json.loads((EXAMPLES / f'{role}.json').read_text())
    part = document
    for name in path:
        part = part.setdefault(name, {})
    if value is None:
        del part[last]
    else:
        part[last] = value
    return json.dumps(document).encode()


@pytest.mark.parametrize('role', ['entry', 'agent'])
def test_documented_example_is_accepted(role):
    """Guards against a documented example that is invalid."""
    cfg = _settings_file.load(EXAMPLES / f'{role}.json')
    assert cfg.role == role
    again = msgspec.json.encode(cfg)
    assert _settings_file.decode(again) == cfg


@pytest.mark.parametrize(
    ('role', 'change', 'parts'),
    [
        ('entry', ('times', 'drain_ms', 5), ['$.times', 'drain_s', 'seconds']),
        ('entry', ('nodeid', 'x'), ['`$`', 'node_id']),
        ('entry', ('store', 'endpoint', []), ['$.store', 'endpoints']),
        ('entry', ('times', 'drain_s', '5s'), ['$.times.drain_s', 'float']),
        ('entry', ('times', 'settings_confirm_s', 1.1), ['at most 1.0']),
        ('entry', ('times', 'drain_s', 5.0), ['load_balancer_wait_s']),
        ('entry', ('limits', 'slots', 0), ['$.limits', '"slots"', 'zero']),
        ('entry', ('store', 'reads_per_s', 0), ['"reads_per_s"', 'zero']),
        ('entry', ('role', 'boss'), ['$.role']),
        ('entry', ('node_id', 'a b'), ['node_id', 'letters']),
        ('entry', ('addresses', 'peer', 'host:1'), ['$.addresses', 'peer']),
        ('entry', ('addresses', 'peer', '::1:7400'), ['IPv6']),
        ('entry', ('addresses', 'peer', '10.0.0.1:70000'), ['65535']),
        (
            'entry',
            ('addresses', 'peer', '10.20.0.5:8080'),
            ['"callers" and "peer"', '10.20.0.5:8080'],
        ),
        ('entry', ('addresses', 'peer', None), ['"peer"', 'entry']),
        ('entry', ('store', None), ['"store"']),
        ('entry', ('store', 'endpoints', ['10.0.0.1:1']), ['$.store', 'http']),
        ('entry', ('log', 'level', 'LOUD'), ['$.log.level']),
        ('agent', ('worker_url', None), ['worker_url']),
        ('agent', ('entries', []), ['entries']),
        ('agent', ('addresses', 'peer', '10.0.0.1:1'), ['"peer"', 'agent']),
    ],
)
def test_invalid_setting_is_explained(role, change, parts):
    """Guards against errors that state neither the location nor the fix."""
    with pytest.raises(errors.ConfigError) as caught:
        _settings_file.decode(_changed(role, *change), 'x.json')
    text = str(caught.value)
    assert 'x.json' in text
    assert '`$' in text
    for part in parts:
        assert part in text


def test_missing_and_overlong_files_are_refused(tmp_path):
    """Guards against a traceback when the file is absent or wrong."""
    with pytest.raises(errors.ConfigError, match='absent.json'):
        _settings_file.load(tmp_path / 'absent.json')
    long = tmp_path / 'long.json'
    long.write_bytes(b' ' * (_settings_file.MAX_FILE_BYTES + 1))
    with pytest.raises(errors.ConfigError, match='bytes'):
        _settings_file.load(long)


@hypothesis.given(st.binary(max_size=300))
@hypothesis.example(b'[' * 100_000)
@hypothesis.example(b'{"role": "\xff"}')
def test_arbitrary_bytes_never_crash(data):
    """Guards against errors other than ConfigError."""
    with pytest.raises(errors.ConfigError):
        _settings_file.decode(data)


def test_port_zero_may_be_used_twice():
    """Guards test set-ups in which the system chooses the ports."""
    _process_settings.Addresses(peer='127.0.0.1:0', callers='127.0.0.1:0')
