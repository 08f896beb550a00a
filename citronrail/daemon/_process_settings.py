"""Settings of one process, read from a JSON file in its image.

Field names of quantities end in their unit: ``_s``, ``_ms``, ``_mb``, ``_kb``.
``docs/examples/entry.json`` and ``docs/examples/agent.json`` are complete
examples.
"""

import re
import typing

import msgspec

from citronrail.daemon import _setting_checks

_NODE_ID = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.:-]{0,99}')
# Acknowledgements renew the 2.5 s start permits every second. With a longer
# confirmation interval, permits would expire before they are renewed.
MAX_SETTINGS_CONFIRM_S = 1.0


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section of the settings; unknown names are rejected."""


class Addresses(_Section, frozen=True):
    """Listening addresses of the process, each as ``IP:PORT``.

    An entry has ``peer``, ``callers`` and ``operators``; an agent has
    ``local``. With port 0 the system chooses a port.
    """

    peer: str = ''
    callers: str = ''
    operators: str = ''
    local: str = ''

    def __post_init__(self) -> None:
        """Check the form of each address and that no two are equal."""
        names_by_address: dict[str, str] = {}
        for name in self.__struct_fields__:
            address = getattr(self, name)
            if not address:
                continue
            if _setting_checks.check_address(address, name) == 0:
                continue
            if address in names_by_address:
                raise ValueError(
                    f'"{name}" and "{names_by_address[address]}" both use '
                    f'{address}; each requires its own port'
                )
            names_by_address[address] = name


class StoreSettings(_Section, frozen=True):
    """The platform's key-value service and this process's call budget.

    ``call_timeout_ms`` bounds one call over all endpoints; ``reads_per_s``
    and ``writes_per_s`` are the budget of this process.
    """

    endpoints: tuple[str, ...]
    call_timeout_ms: int = 1500
    reads_per_s: float = 100.0
    writes_per_s: float = 20.0

    def __post_init__(self) -> None:
        """Check endpoints and budget."""
        if not self.endpoints:
            raise ValueError('"endpoints" needs at least one URL')
        for url in self.endpoints:
            _setting_checks.check_url(url, 'endpoints')
        _setting_checks.check_above_zero(
            self, 'call_timeout_ms', 'reads_per_s'
        )
        _setting_checks.check_above_zero(self, 'writes_per_s')


class KeyFiles(_Section, frozen=True):
    """CURVE keys for the connections between processes.

    ``own`` is the secret key file of this process. ``entries`` is the key
    file of the entries' peer ports: the secret one at an entry, the public
    one at an agent. ``accepted`` is a directory with one public key file
    ``<node id>.key`` for each process that may connect (entries only).
    """

    own: str
    entries: str
    accepted: str = ''


class Limits(_Section, frozen=True):
    """Resource limits of the process.

    ``slots`` and ``connections`` are the total that the backend servers of
    an agent accept. ``commands_at_once`` and ``command_kb`` bound the
    operators' port of an entry.
    """

    slots: int = 8
    connections: int = 64
    command_kb: int = 256
    commands_at_once: int = 64
    timeline_events: int = 20_000

    def __post_init__(self) -> None:
        """Check that each bound is above zero."""
        _setting_checks.check_above_zero(self, *self.__struct_fields__)


class Times(_Section, frozen=True):
    """Intervals and time limits that may differ between processes.

    Leases, permits and margins are constants in the code, since the
    guarantees require equal values in all processes.
    """

    settings_confirm_s: float = 0.5
    load_balancer_wait_s: float = 5.0
    drain_s: float = 60.0

    def __post_init__(self) -> None:
        """Check the relations that the guarantees require."""
        _setting_checks.check_above_zero(self, *self.__struct_fields__)
        if self.settings_confirm_s > MAX_SETTINGS_CONFIRM_S:
            raise ValueError(
                f'"settings_confirm_s" is at most {MAX_SETTINGS_CONFIRM_S}: '
                f'start permits end 2.5 s after a confirmation'
            )
        if self.load_balancer_wait_s >= self.drain_s:
            raise ValueError(
                '"drain_s" must be longer than "load_balancer_wait_s", which '
                'is part of it'
            )


class LogSettings(_Section, frozen=True):
    """Settings of the log on standard error."""

    level: typing.Literal[
        'TRACE', 'DEBUG', 'INFO', 'SUCCESS', 'WARNING', 'ERROR', 'CRITICAL'
    ] = 'INFO'
    format: typing.Literal['json', 'text'] = 'json'


class ProcessSettings(_Section, frozen=True):
    """All settings of a process.

    ``entries`` are the peer addresses of some entries, as ``IP:PORT``; an
    agent needs at least one. ``worker_url`` is the worker on an agent's host.
    ``known_data_centres`` are accepted in commands before any of their workers
    has connected.
    """

    role: typing.Literal['entry', 'agent']
    node_id: str
    data_centre: str
    addresses: Addresses
    rack: str = ''
    store: StoreSettings | None = None
    entries: tuple[str, ...] = ()
    keys: KeyFiles | None = None
    worker_url: str = ''
    known_data_centres: tuple[str, ...] = ()
    limits: Limits = Limits()
    times: Times = Times()
    log: LogSettings = LogSettings()

    def __post_init__(self) -> None:
        """Check the names and the requirements of the role."""
        for name in ('node_id', 'data_centre'):
            if not _NODE_ID.fullmatch(getattr(self, name)):
                raise ValueError(
                    f'"{name}" must be 1 to 100 letters, digits and _ . : -'
                )
        for address in self.entries:
            if _setting_checks.check_address(address, 'entries') == 0:
                raise ValueError('"entries" requires ports other than 0')
        if self.role == 'entry':
            self._check_entry()
        else:
            self._check_agent()

    def _check_entry(self) -> None:
        self._require_addresses('peer', 'callers', 'operators')
        self._refuse_addresses('local')
        if self.store is None:
            raise ValueError('an entry needs "store"')
        if self.worker_url:
            raise ValueError('an entry has no "worker_url"')

    def _check_agent(self) -> None:
        self._require_addresses('local')
        self._refuse_addresses('peer', 'callers', 'operators')
        if not self.entries:
            raise ValueError('an agent needs at least one of "entries"')
        if self.store is not None:
            raise ValueError('an agent has no "store"')
        if not self.worker_url:
            raise ValueError('an agent needs "worker_url"')
        _setting_checks.check_url(self.worker_url, 'worker_url')

    def _require_addresses(self, *names: str) -> None:
        for name in names:
            if not getattr(self.addresses, name):
                raise ValueError(
                    f'role "{self.role}" needs an address for "{name}"'
                )

    def _refuse_addresses(self, *names: str) -> None:
        for name in names:
            if getattr(self.addresses, name):
                raise ValueError(
                    f'role "{self.role}" has no address for "{name}"'
                )
