"""Fault switches of the stand-in store."""

import dataclasses


@dataclasses.dataclass
class Faults:
    """Faults in force; a test or the admin path changes the fields.

    :param outage: every call fails without effect and watches end.
    :param hang: calls get no answer until the switch is off.
    :param delay_s: seconds added to each call, before it takes effect.
    :param lose_answers: number of coming writes whose answer is lost after
        they took effect.
    :param lose_every: every n-th write loses its answer, 0 for none.
    :param stale_by: number of revisions by which reads lag behind.
    """

    outage: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_every: int = 0
    stale_by: int = 0
