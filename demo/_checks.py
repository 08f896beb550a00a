"""Records and prints the checks of a demo run."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Check:
    """Result of one check with its measured value."""

    name: str
    passed: bool
    measured: str

    def __str__(self) -> str:
        verdict = 'held' if self.passed else 'FELL SHORT'
        return f'{verdict:10}  {self.name}: {self.measured}'


class Checklist:
    """Collects check results and prints each one as it is added."""

    def __init__(self) -> None:
        self.checks: list[Check] = []

    def add(self, name: str, passed: bool, measured: object) -> None:
        """Record and print a check.

        :param name: the expected property.
        :param passed: whether the property held.
        :param measured: the measured value.
        """
        check = Check(name, bool(passed), str(measured))
        self.checks.append(check)
        print(check, flush=True)

    @property
    def passed(self) -> int:
        """Number of checks that passed."""
        return sum(check.passed for check in self.checks)

    def print_summary(self) -> int:
        """Print the number of passed checks and return the exit code."""
        total = len(self.checks)
        print(f'demo: {self.passed} of {total} checks held', flush=True)
        return 0 if self.passed == total else 1
