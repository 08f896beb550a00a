"""Settings and switches of the worker stand-in."""

import dataclasses

from citronrail.model import resources


@dataclasses.dataclass(frozen=True)
class Switches:
    """Faults that can be switched on while the worker runs.

    ``delay_s`` delays each response after the call took effect; ``hang``
    delays it until the switch is turned off. ``drop_answers`` closes the
    connection after the call took effect.
    """

    admit_over_capacity: bool = False
    fail_everything: bool = False
    hang: bool = False
    delay_s: float = 0.0
    drop_answers: bool = False


@dataclasses.dataclass(frozen=True)
class WorkerSettings:
    """Capacity and behaviour of the worker.

    ``interference`` maps a class of work to its slowdown for each co-runner
    of another class: with 0.5 it takes 1.5 times as long. ``size_factors``
    maps a class to the ratio of used to declared resources. ``usage_lag_s``
    is the age of the measurements it reports. ``backend_url`` receives
    ``PUT`` and ``DELETE /serve/SERVICE`` when the first replica of a service
    starts and the last one stops. ``checkpoint_url`` is the checkpoint store;
    empty keeps checkpoints in memory.
    """

    capacity: resources.Resources
    host: str = '127.0.0.1'
    port: int = 0
    port_file: str = ''
    usage_lag_s: float = 3.0
    measure_interval_s: float = 1.0
    checkpoint_s: float = 0.1
    interference: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    size_factors: dict[str, float] = dataclasses.field(default_factory=dict)
    backend_url: str = ''
    checkpoint_url: str = ''
    history_file: str = ''
    switches: Switches = Switches()
