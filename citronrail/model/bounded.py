"""Ranges of values that come from other processes.

msgspec checks them while it decodes. Each type holds the values that this
program can compute with, store and send on; other values are refused.
"""

import re
import typing

import msgspec

MAX_ID = 2**63 - 1
# Integers up to here are exact in every number format, and sums of them fit
# into 64 bits.
MAX_NUMBER = 2**53
MAX_AMOUNT = 2**31  # of cores in thousandths, megabytes, runs or messages
MAX_UNIX_MS = 4_102_444_800_000  # the year 2100
MAX_NAME_LENGTH = 256
MAX_TEXT_LENGTH = 8192

# Revisions, leases and fencing tokens.
Id = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_ID)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
UnixMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
# These exclude NaN and infinity as well.
Number = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
SignedNumber = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)
]
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]

MAX_PORT = 65_535

_ADDRESS = re.compile(
    r'tcp://(?:[0-9A-Za-z_.-]+|\[[0-9A-Za-z:.%]+\]):([0-9]{1,5})'
)
_TOKEN = re.compile(f'[!-~]{{1,{MAX_NAME_LENGTH}}}')


def is_token(text: str) -> bool:
    """Return whether a text can stand in a header: printable ASCII."""
    return _TOKEN.fullmatch(text) is not None


def is_peer_address(text: str) -> bool:
    """Return whether a text is an address of a peer port.

    :param text: ``tcp://HOST:PORT``. Of a port that is too large, libzmq
        would take the lowest 16 bits.
    """
    found = _ADDRESS.fullmatch(text)
    return found is not None and 0 < int(found[1]) <= MAX_PORT
