"""Messages about operators' commands, and timelines."""

from citronrail.model import identifiers
from citronrail.model.messages import _registry
from citronrail.model import outcome as outcomes


@_registry.message
class ForwardCommand:
    """Entry to range owner: execute a command on the jobs it owns.

    ``text`` is the command in the operators' language.
    """

    command_id: identifiers.CommandId
    text: str
    issued_at: float  # Unix time in seconds
    deadline: float


@_registry.message
class CommandReply:
    """Result of a command or query, with a table for queries.

    ``more`` means that rows were omitted. Between entries, ``ranges`` lists
    the ranges that the sender owned from the start of the command to its
    end, and ``count`` how many tasks or jobs it cancelled in them.
    """

    command_id: identifiers.CommandId
    outcome: outcomes.Outcome
    message: str = ''
    settings_version: int = 0
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[_registry.Cell, ...], ...] = ()
    more: bool = False
    ranges: tuple[identifiers.RangeId, ...] = ()
    count: int = 0


@_registry.message
class TimelineQuery:
    """Entry to any process: requests at most ``limit`` timeline events."""

    seq: int
    limit: int


@_registry.message
class TimelineReply:
    """Reply to a timeline query; frame 1 is the compressed timeline."""

    seq: int
