"""Doubles for the tests of the request path."""

from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import resources
from citronrail.model import views
from citronrail import routing


def view(peer, runner, now):
    """Return what an entry knows of an agent right after a heartbeat."""
    return views.AgentView(
        peer.node_id,
        peer.boot_id,
        peer.data_centre,
        peer.rack,
        resources.Resources(),
        resources.Resources(),
        runner.load(),
        runner.backends(),
        now,
        leaving=runner.leaving,
    )


class OneKeeper:
    """Keeps the keys of all ranges in memory, without expiry."""

    def __init__(self):
        self.records = {}

    def reserve(self, message, now):
        """Decide on a reservation."""
        place = (message.key, message.exclusive)
        known = self.records.get(place)
        verdict, status, headers, body = 'granted', 0, (), b''
        if known is None:
            self.records[place] = (message, None, b'')
        elif known[0].fingerprint != message.fingerprint:
            verdict = 'conflict'
        elif known[1] is None:
            verdict = 'in progress'
        else:
            verdict = known[1].outcome.value
            status, headers, body = known[1].status, known[1].headers, known[2]
        reply = messages.ReserveReply(
            message.request_id,
            verdict,
            start_before=message.finish_before,
            status=status,
            headers=headers,
        )
        return routing.ReservationResult(reply, body)

    def complete(self, message, body, now):
        """Note how a granted request ended."""
        place = (message.key, message.exclusive)
        known = self.records.get(place)
        if known is None or known[0].request_id != message.request_id:
            return
        if message.outcome is outcomes.Outcome.NOT_RUN or (
            message.exclusive and message.ended
        ):
            del self.records[place]
        elif message.key:
            self.records[place] = (known[0], message, body)
