"""Settings of one process, read from a JSON file of its image.

The names of amounts carry their units: ``_s``, ``_ms``, ``_mb``, ``_kb``.
``docs/examples/entry.json`` and ``docs/examples/agent.json`` are complete
examples.
"""

import re
import typing

import msgspec

from citronrail.daemon import _setting_checks

_NODE_ID = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.:-]{0,99}')
# Requirement 4: no start in a data centre 3 s after it was taken out. The
# permit runs from the last confirmation, which may be this much older than
# the acceptance of the command.
START_PERMIT_BOUND_S = 3.0


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the settings; wrong names are refused."""


class Addresses(_Part, frozen=True):
    """Where the process listens, each as ``IP:PORT``.

    An entry has ``peer``, ``callers`` and ``operators``; an agent has
    ``local``. Port 0 lets the system choose one.
    """

    peer: str = ''
    callers: str = ''
    operators: str = ''
    local: str = ''

    def __post_init__(self) -> None:
        """Check the form of each address and that no two are equal."""
        taken: dict[str, str] = {}
        for name in self.__struct_fields__:
            address = getattr(self, name)
            if not address:
                continue
            if _setting_checks.check_address(address, name) == 0:
                continue
            if address in taken:
                raise ValueError(
                    f'"{name}" and "{taken[address]}" both use {address}; '
                    f'each needs a port of its own'
                )
            taken[address] = name


class StoreSettings(_Part, frozen=True):
    """The platform's key-value service and this process's share of it.

    ``reads_per_s`` and ``writes_per_s`` are the budget of this process.
    """

    endpoints: tuple[str, ...]
    call_timeout_ms: int = 500
    reads_per_s: float = 100.0
    writes_per_s: float = 20.0
    prefix: str = '/citronrail'

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
        if not self.prefix.startswith('/') or self.prefix.endswith('/'):
            raise ValueError(
                '"prefix" starts with "/" and has none at its end'
            )


class KeyFiles(_Part, frozen=True):
    """CURVE keys for the connections between processes.

    ``own`` is the secret key file of this process. ``entries`` is the key
    file of the entries' peer ports: the secret one at an entry, the public
    one at an agent. ``accepted`` is a directory with one public key file
    ``<node id>.key`` for each process that may connect (entries only).
    """

    own: str
    entries: str
    accepted: str = ''


class Limits(_Part, frozen=True):
    """Bounds on what the process holds at a time."""

    slots: int = 8
    connections: int = 64
    queued_requests: int = 256
    request_body_kb: int = 1024
    stored_answer_kb: int = 64
    stored_keys: int = 200_000
    command_kb: int = 64
    commands_at_once: int = 64
    query_rows: int = 10_000
    timeline_events: int = 20_000
    peers: int = 2000
    memory_mb: int = 512

    def __post_init__(self) -> None:
        """Check that each bound is above zero."""
        _setting_checks.check_above_zero(self, *self.__struct_fields__)


class Times(_Part, frozen=True):
    """Periods and bounds; the design page gives the reasons."""

    heartbeat_s: float = 1.0
    store_lease_s: float = 5.0
    settings_confirm_s: float = 0.5
    start_permit_s: float = 2.5
    worker_lease_s: float = 10.0
    agent_silence_s: float = 10.0
    pause_margin_s: float = 2.0
    group_commit_s: float = 0.2
    usage_report_s: float = 5.0
    backend_announcement_s: float = 3.0
    ownership_promise_s: float = 3.0
    outage_ownership_s: float = 120.0
    key_lifetime_s: float = 600.0
    key_margin_s: float = 2.0
    default_request_s: float = 30.0
    load_balancer_wait_s: float = 5.0
    drain_s: float = 60.0

    def __post_init__(self) -> None:
        """Check the relations on which the guarantees rest."""
        _setting_checks.check_above_zero(self, *self.__struct_fields__)
        if self.start_permit_s >= START_PERMIT_BOUND_S:
            raise ValueError(
                f'"start_permit_s" must be below {START_PERMIT_BOUND_S}: no '
                f'task may start in a data centre {START_PERMIT_BOUND_S} s '
                f'after it was taken out of service'
            )
        self._check_longer('start_permit_s', 2, 'settings_confirm_s')
        self._check_longer('store_lease_s', 3, 'heartbeat_s')
        self._check_longer('worker_lease_s', 3, 'heartbeat_s')
        self._check_longer('agent_silence_s', 3, 'heartbeat_s')
        self._check_longer('store_lease_s', 2, 'group_commit_s')
        self._check_longer('key_lifetime_s', 2, 'key_margin_s')

    def _check_longer(self, long: str, factor: int, short: str) -> None:
        if getattr(self, long) < factor * getattr(self, short):
            raise ValueError(
                f'"{long}" must be at least {factor} times "{short}"'
            )


class LogSettings(_Part, frozen=True):
    """What is written to standard error."""

    level: typing.Literal[
        'TRACE', 'DEBUG', 'INFO', 'SUCCESS', 'WARNING', 'ERROR', 'CRITICAL'
    ] = 'INFO'
    format: typing.Literal['json', 'text'] = 'json'


class ProcessSettings(_Part, frozen=True):
    """All settings of a process.

    ``entries`` are the peer addresses of some entries, as ``IP:PORT``; an
    agent needs at least one. ``worker_url`` is the worker beside an agent.
    ``known_data_centres`` are accepted in commands before a worker of them
    was seen.
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
        """Check names and what the role needs."""
        for name in ('node_id', 'data_centre'):
            if not _NODE_ID.fullmatch(getattr(self, name)):
                raise ValueError(
                    f'"{name}" has 1 to 100 letters, digits and _ . : -'
                )
        for address in self.entries:
            if _setting_checks.check_address(address, 'entries') == 0:
                raise ValueError('"entries" needs the real ports, not 0')
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
