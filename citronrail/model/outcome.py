"""The three ways in which a request or command can end."""

import enum


class Outcome(enum.Enum):
    """What is known about the effect of a request or command."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
