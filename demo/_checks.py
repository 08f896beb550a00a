"""Checks of a run and how they are printed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Check:
    """One statement about the run, with the figure that was measured."""

    name: str
    held: bool
    figure: str

    def __str__(self) -> str:
        verdict = 'held' if self.held else 'FELL SHORT'
        return f'{verdict:10}  {self.name}: {self.figure}'


class Checklist:
    """Collects the checks of a run and prints each as it is made."""

    def __init__(self) -> None:
        self.checks: list[Check] = []

    def add(self, name: str, held: bool, figure: object) -> None:
        """Record and print a check.

        :param name: what has to hold.
        :param held: whether it did.
        :param figure: what was measured.
        """
        check = Check(name, bool(held), str(figure))
        self.checks.append(check)
        print(check, flush=True)

    @property
    def held(self) -> int:
        """Number of checks that held."""
        return sum(check.held for check in self.checks)

    def close(self) -> int:
        """Print the sum and return the exit code."""
        total = len(self.checks)
        print(f'demo: {self.held} of {total} checks held', flush=True)
        return 0 if self.held == total else 1
