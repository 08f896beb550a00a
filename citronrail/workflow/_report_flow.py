"""Flow control of an agent's reports.

Without it, a scheduler that is short of processor time gets reports faster
than it applies them: each end of a run makes an agent send one, so that they
wait for longer and longer. An agent therefore keeps few reports unconfirmed.
A later report says all that a skipped one would have said.
"""

import trio

MAX_UNCONFIRMED = 2
# Without a confirmation the next report follows after this time. It is below
# the age at which a list is too old for new starts.
CONFIRMATION_TIMEOUT_S = 1.5


class ReportFlow:
    """Counts the reports to one scheduler, and delays further ones."""

    def __init__(self) -> None:
        self._sent = 0
        self._confirmed = 0
        self._urgent = False
        self._changed = trio.Event()

    @property
    def next_number(self) -> int:
        """Number of the next report, from 1."""
        return self._sent + 1

    def note_sent(self) -> None:
        """Note that the next report has been sent."""
        self._sent += 1

    def confirm(self, number: int) -> None:
        """Note that the scheduler has applied the reports up to a number.

        :param number: a number that was not sent counts as the last one: it
            was given by this agent before a restart.
        """
        number = min(number, self._sent)
        if number > self._confirmed:
            self._confirmed = number
            self._notify()

    def reset(self) -> None:
        """Count anew, as the reports go to another scheduler."""
        self._sent = self._confirmed = 0
        self._notify()

    def skip_wait(self) -> None:
        """End the present wait, or the next one, at once."""
        self._urgent = True
        self._notify()

    async def wait(self) -> bool:
        """Wait until another report may be sent.

        :returns: False if the confirmation has not come in time.
        """
        with trio.move_on_after(CONFIRMATION_TIMEOUT_S):
            while not (self._may_send or self._urgent):
                await self._changed.wait()
        self._urgent = False
        return self._may_send

    @property
    def _may_send(self) -> bool:
        return self._sent - self._confirmed < MAX_UNCONFIRMED

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
