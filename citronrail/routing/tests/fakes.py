"""Fakes for the tests of request routing."""

from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import resources
from citronrail.model import views
from citronrail import routing


def agent_view(peer, runner, now):
    """Return an entry's view of an agent right after a heartbeat."""
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


class MemoryKeyStore:
    """Key store for all ranges, in memory and without expiry."""

    def __init__(self):
        self.records = {}

    def reserve(self, message, now):
        """Decide on a reservation."""
        record_key = (message.key, message.exclusive)
        record = self.records.get(record_key)
        verdict, status, headers, body = 'granted', 0, (), b''
        if record is None:
            self.records[record_key] = (message, None, b'')
        elif record[0].fingerprint != message.fingerprint:
            verdict = 'conflict'
        elif record[1] is None:
            verdict = 'in progress'
        else:
            verdict = record[1].outcome.value
            status, headers, body = (
                record[1].status,
                record[1].headers,
                record[2],
            )
        reply = messages.ReserveReply(
            message.request_id,
            verdict,
            start_before=message.finish_before,
            status=status,
            headers=headers,
        )
        return routing.ReservationResult(reply, body)

    def complete(self, message, body, now):
        """Record the outcome of a request that holds a key."""
        record_key = (message.key, message.exclusive)
        record = self.records.get(record_key)
        if record is None or record[0].request_id != message.request_id:
            return
        if message.outcome is outcomes.Outcome.NOT_RUN or (
            message.exclusive and message.ended
        ):
            del self.records[record_key]
        elif message.key:
            self.records[record_key] = (record[0], message, body)
