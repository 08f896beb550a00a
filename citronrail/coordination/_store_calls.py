"""Timeouts for calls to the key-value store."""

import collections.abc
import typing

import trio

from citronrail import errors

CALL_TIMEOUT_S = 2.0  # the store normally answers in milliseconds
T = typing.TypeVar('T')


async def with_timeout(
    call: collections.abc.Awaitable[T],
    step: str,
    timeout_s: float = CALL_TIMEOUT_S,
) -> T:
    """Await a store call with a timeout.

    :param call: awaitable of the store call.
    :param step: operation name that is recorded in the error.
    :param timeout_s: timeout in seconds.
    :returns: the result of the call.
    :raises citronrail.errors.StoreOutcomeUnknown: on a timeout.
    """
    try:
        with trio.fail_after(max(0.0, timeout_s)):
            return await call
    except trio.TooSlowError as exc:
        raise errors.StoreOutcomeUnknown(
            f'no answer within {timeout_s:.2f} s', step=step
        ) from exc
