"""Numbers of orders, by which a report shows which orders it reflects.

The scheduler numbers its orders to each worker incarnation. A report carries
the highest number that its agent had received and carried out before the list
of runs was requested, so that the scheduler doesn't have to guess from the
time that has passed. Either side may be late: reports wait while the
scheduler is short of processor time, orders while the agent is.
"""

import collections


class OrdersSent:
    """Orders sent to one worker incarnation during one leadership.

    Times are local, in seconds.
    """

    def __init__(self) -> None:
        self._last = 0
        # Number and time of the orders that no report has confirmed yet.
        self._unconfirmed: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    @property
    def last(self) -> int:
        """Number of the last order, 0 before the first one."""
        return self._last

    def add(self, now: float) -> int:
        """Number an order that is about to be sent.

        :param now: local time in seconds.
        :returns: its number, from 1.
        """
        self._last += 1
        self._unconfirmed.append((self._last, now))
        return self._last

    def confirm(self, number: int) -> None:
        """Note that a report reflects the receipt of an order.

        :param number: highest number that the agent had received.
        """
        while self._unconfirmed and self._unconfirmed[0][0] <= number:
            self._unconfirmed.popleft()

    def report_age_s(self, now: float) -> float:
        """Return the age of a report that has just been confirmed.

        It was made before the agent received the first unconfirmed order.

        :param now: local time in seconds.
        :returns: seconds, including the order's way to the agent; 0 if all
            orders are confirmed.
        """
        if not self._unconfirmed:
            return 0.0
        return now - self._unconfirmed[0][1]


class OrdersReceived:
    """Orders that an agent received for one worker incarnation.

    :param fencing: fencing token of the scheduler that sends them.
    """

    def __init__(self, fencing: int = 0) -> None:
        self.fencing = fencing
        self.last = 0  # highest number received
        # Number of starts under way by the number of their order.
        self._starting: dict[int, int] = {}

    def receive(self, number: int, starts: int) -> None:
        """Note the receipt of an order.

        :param number: its number.
        :param starts: number of starts that it asks for.
        """
        self.last = max(self.last, number)
        if starts:
            self._starting[number] = self._starting.get(number, 0) + starts

    def finish_start(self, number: int) -> None:
        """Note that a start has been answered, refused or given up.

        :param number: number of its order.
        """
        self._starting[number] -= 1
        if not self._starting[number]:
            del self._starting[number]

    @property
    def settled(self) -> int:
        """Highest number up to which no received start is under way."""
        if not self._starting:
            return self.last
        return min(self._starting) - 1
