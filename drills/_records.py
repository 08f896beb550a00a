"""What callers recorded, and the result of a drill."""

import dataclasses
import enum


class Answer(enum.Enum):
    """How a caller saw its request end.

    ``CUT`` is a truncated answer that looked whole, ``MIXED`` the answer of
    another request, ``BROKEN`` one that was visibly broken off.
    """

    WHOLE = 'whole'
    CUT = 'cut'
    MIXED = 'mixed'
    BROKEN = 'broken'
    PROBLEM = 'problem'


@dataclasses.dataclass(frozen=True)
class Call:
    """One request as its caller saw it; Unix times in seconds.

    ``key`` is the caller's business key, which the backend server records;
    ``outcome`` is what citronrail reported, '' for none.
    """

    key: str
    service: str
    entry: str
    began: float
    ended: float
    status: int
    outcome: str
    answer: Answer
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class BackendRun:
    """One run as a backend server recorded it; Unix times in seconds.

    ``ended`` is infinity while it is open.
    """

    host: str
    key: str
    started: float
    ended: float


class Verdict(enum.Enum):
    """Whether a requirement held in a drill."""

    HELD = 'held'
    FELL_SHORT = 'fell short'
    NOT_PROVED = 'not proved'


@dataclasses.dataclass(frozen=True)
class Figures:
    """What a drill measured.

    ``proved`` is False if the failures did not come about or too little was
    tried; ``largest`` is the largest figure measured, with its unit.
    """

    tries: int
    violations: int
    largest: str
    proved: bool = True
    notes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Result:
    """The outcome of one point."""

    point: str
    bound: str
    figures: Figures
    took_s: float = 0.0

    @property
    def verdict(self) -> Verdict:
        """Tell whether the requirement held; violations count always."""
        if self.figures.violations:
            return Verdict.FELL_SHORT
        if not self.figures.proved or not self.figures.tries:
            return Verdict.NOT_PROVED
        return Verdict.HELD

    def line(self) -> str:
        """Return the line of the table."""
        return (
            f'{self.point:12} {self.figures.tries:7} tries '
            f'{self.figures.violations:4} violations   bound {self.bound:20} '
            f'largest {self.figures.largest:24} {self.verdict.value}'
        )
