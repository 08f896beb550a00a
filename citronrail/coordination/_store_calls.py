"""Bounds the time of store calls."""

import collections.abc
import typing

import trio

from citronrail import errors

CALL_TIMEOUT_S = 2.0  # the store answers within milliseconds
T = typing.TypeVar('T')


async def bounded(
    call: collections.abc.Awaitable[T],
    step: str,
    timeout_s: float = CALL_TIMEOUT_S,
) -> T:
    """Await a store call for a limited time.

    :param call: the call.
    :param step: name of the operation for the error.
    :param timeout_s: seconds to wait for the answer.
    :returns: result of the call.
    :raises citronrail.errors.StoreOutcomeUnknown: if no answer came in time.
    """
    try:
        with trio.fail_after(max(0.0, timeout_s)):
            return await call
    except trio.TooSlowError as exc:
        raise errors.StoreOutcomeUnknown(
            f'no answer within {timeout_s:.2f} s', step=step
        ) from exc
