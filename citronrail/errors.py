"""Exceptions raised by citronrail."""

from citronrail.model import outcome as outcomes


class CitronrailError(Exception):
    """Base class of all errors of this package.

    :param message: the problem and, if possible, its remedy.
    :param step: the operation that failed, such as ``store.txn``.
    :param peer: node id or address of the remote side, or ''.
    """

    outcome = outcomes.Outcome.UNKNOWN

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        peer = f' with {self.peer}' if self.peer else ''
        return f'{self.message} (at {self.step}{peer})'


class ConfigError(CitronrailError):
    """Process settings or a command are invalid."""

    outcome = outcomes.Outcome.NOT_RUN


class Undecodable(CitronrailError, ValueError):
    """Data of another process is malformed or has values out of range."""

    outcome = outcomes.Outcome.NOT_RUN


class CommandRefused(CitronrailError):
    """A command was rejected; nothing changed."""

    outcome = outcomes.Outcome.NOT_RUN


class CommandSyntaxError(CommandRefused):
    """A command could not be parsed.

    :param line: line of the error, from 1.
    :param column: column of the error, from 1.
    :param expected: descriptions of the syntax expected there.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        line: int = 1,
        column: int = 1,
        expected: tuple[str, ...] = (),
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.line = line
        self.column = column
        self.expected = expected


class StoreError(CitronrailError):
    """A call to the key-value store failed."""


class StoreUnavailable(StoreError):
    """The call did not reach the store; it had no effect."""

    outcome = outcomes.Outcome.NOT_RUN


class StoreRejected(StoreUnavailable):
    """The store answered that it did not execute the call."""


class StoreOutcomeUnknown(StoreError):
    """The call may have taken effect; read back to find out."""


class StoreBudgetExceeded(StoreError):
    """The call was not made because the call budget is exhausted."""

    outcome = outcomes.Outcome.NOT_RUN


class LeaseLost(CitronrailError):
    """A lease has expired or belongs to another holder."""


class Fenced(CitronrailError):
    """A newer owner exists; the write was rejected."""

    outcome = outcomes.Outcome.NOT_RUN


class OutOfContact(CitronrailError):
    """A leader reaches none of the processes that it leads."""


class PeerUnreachable(CitronrailError):
    """The message was not queued on any socket."""

    outcome = outcomes.Outcome.NOT_RUN


class PeerTimeout(CitronrailError):
    """No reply arrived before the deadline."""


class WorkerRefused(CitronrailError):
    """The worker confirmed that it did not start or change the task."""

    outcome = outcomes.Outcome.NOT_RUN


class AnotherIncarnation(WorkerRefused):
    """The worker is another incarnation than the one that was addressed."""


class CheckpointUnknown(WorkerRefused):
    """The platform no longer has the checkpoint that a start resumes from."""


class WorkerOutcomeUnknown(CitronrailError):
    """The worker may have executed the call."""


class BackendNotReached(CitronrailError):
    """No byte of the request reached the backend server."""

    outcome = outcomes.Outcome.NOT_RUN


class BackendFailed(CitronrailError):
    """The backend server failed after the request was sent."""


class StoreRefused(StoreError):
    """The store will never execute this call; nothing was written."""

    outcome = outcomes.Outcome.NOT_RUN


class StoreValueTooLarge(StoreRefused):
    """The store rejects values of this size; nothing was written."""


class StoreCompacted(StoreError):
    """The requested history is compacted; read the current state first."""

    outcome = outcomes.Outcome.NOT_RUN


class DocumentFull(CitronrailError):
    """The change would make a stored document too large."""

    outcome = outcomes.Outcome.NOT_RUN


class CommandConflict(CommandRefused):
    """Another command changed the settings first.

    :param winner_id: id of the command that won, or '' if unknown.
    :param version: settings version that the winner created.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        winner_id: str = '',
        version: int = 0,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.winner_id = winner_id
        self.version = version
