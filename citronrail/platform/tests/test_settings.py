"""Guards the settings file that the platform writes."""

import pytest

from citronrail import errors
from citronrail.platform import _program
from citronrail.platform import _settings

TEXT = """
node: "side-a-1"
role: "agent"
class: "side"
ip: "10.1.0.14"
zone: "a"
region: "r"
listen:
  control: "10.1.0.14:8166"
internalPortRange: [7720, 7735]
limits: {cpuShare: 0.5, cores: 2, memoryMb: 168}
bounds: {maxHoldMs: 10000, stopMs: 400, graceS: 6, status_s: 120}
app: "10.1.0.14:8165"
service: "huvo11a"
platform: {addr: "10.200.1.7:8169", form: "kv", writesPerS: 400}
futureField: [1, 2]
"""


def test_names_and_units_are_decoded(tmp_path):
    """Guards the units: some limits are in ms, others in s."""
    path = tmp_path / 'local.yaml'
    path.write_text(TEXT)
    cfg = _settings.load(str(path))
    assert (cfg.node_id, cfg.data_centre) == ('side-a-1', 'a')
    assert cfg.bounds.max_lease_s == pytest.approx(10.0)
    assert cfg.bounds.stop_s == pytest.approx(0.4)
    assert cfg.bounds.grace_s == pytest.approx(6.0)
    assert cfg.bounds.keep_ended_s == pytest.approx(120.0)
    assert cfg.processor_share == pytest.approx(1.0)
    assert cfg.bounds.memory_bytes == 168_000_000
    assert cfg.callers_address == ''
    assert cfg.worker_address == '10.1.0.14:8165'


@pytest.mark.parametrize(
    'text',
    ['', 'node: [', 'node: "n"', TEXT.replace('[7720, 7735]', '7720')],
    ids=['empty', 'no yaml', 'fields missing', 'wrong type'],
)
def test_invalid_settings_are_reported_with_their_file(tmp_path, text, capsys):
    """Guards against a process that starts with incomplete settings."""
    path = tmp_path / 'local.yaml'
    path.write_text(text)
    with pytest.raises(errors.ConfigError, match='local.yaml'):
        _settings.load(str(path))
    assert _program.main(['agent', '--config', str(path)]) == 2
    assert 'local.yaml' in capsys.readouterr().err


def test_settings_can_be_checked(tmp_path):
    """Guards the check of a settings file without starting a process."""
    path = tmp_path / 'local.yaml'
    path.write_text(TEXT)
    arguments = ['agent', '--config', str(path), '--check-config']
    assert _program.main(arguments) == 0
