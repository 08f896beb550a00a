"""Records of callers and backend servers, and results of drills."""

import dataclasses
import enum


class ResponseKind(enum.Enum):
    """How a request ended, as seen by its caller.

    ``TRUNCATED`` is an incomplete response without an error, ``MISMATCHED``
    the response to another request, ``ABORTED`` a response that failed with
    a transport error.
    """

    COMPLETE = 'whole'
    TRUNCATED = 'cut'
    MISMATCHED = 'mixed'
    ABORTED = 'broken'
    ERROR_STATUS = 'problem'


@dataclasses.dataclass(frozen=True)
class Call:
    """One request as seen by its caller; Unix times in seconds.

    ``key`` is the caller's business key, which the backend server records;
    ``outcome`` is the one reported by citronrail, '' for none.
    """

    key: str
    service: str
    entry: str
    began: float
    ended: float
    status: int
    outcome: str
    answer: ResponseKind
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class BackendRun:
    """One run as a backend server recorded it; Unix times in seconds.

    ``ended`` is infinity while it is active.
    """

    host: str
    key: str
    started: float
    ended: float


class Verdict(enum.Enum):
    """Whether a drill met its requirement."""

    HELD = 'held'
    VIOLATED = 'fell short'
    INCONCLUSIVE = 'not proved'


@dataclasses.dataclass(frozen=True)
class Figures:
    """Measurements of a drill.

    ``proved`` is False if the failures did not occur or the number of tries
    was too low; ``largest`` is the largest value measured, with its unit.
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
        """Return the verdict; any violation fails the drill."""
        if self.figures.violations:
            return Verdict.VIOLATED
        if not self.figures.proved or not self.figures.tries:
            return Verdict.INCONCLUSIVE
        return Verdict.HELD

    def table_row(self) -> str:
        """Return the row for the table of results."""
        return (
            f'{self.point:12} {self.figures.tries:7} tries '
            f'{self.figures.violations:4} violations   bound {self.bound:20} '
            f'largest {self.figures.largest:24} {self.verdict.value}'
        )
