"""Port to the platform's key-value service."""

import collections.abc
import contextlib
import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """A stored value; ``revision`` is that of its last change."""

    key: str
    value: bytes
    revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Compare:
    """Condition of a transaction: a key's last revision, 0 if absent."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Put:
    """Write of a transaction; ``lease_id`` 0 attaches no lease."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Delete:
    """Removal of a key in a transaction."""

    key: str


@dataclasses.dataclass(frozen=True)
class TxnResult:
    """Whether all conditions held, and the store's revision after it."""

    succeeded: bool
    revision: int


@dataclasses.dataclass(frozen=True)
class Listing:
    """All keys under a prefix at one revision of the store."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class WatchEvent:
    """A change of one key; ``value`` is None when it was removed."""

    key: str
    value: bytes | None
    revision: int


ItemFilter = collections.abc.Callable[[KeyValue], bool]


class KeyValueStore(typing.Protocol):
    """Compare-and-swap, leases and watches of the platform's store.

    Every call raises :class:`citronrail.errors.StoreUnavailable` when it had
    no effect, :class:`citronrail.errors.StoreRefused` when the store will
    never execute it, and :class:`citronrail.errors.StoreOutcomeUnknown` when
    it may have had an effect. Values are at most 1 MB.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Read one key; None if it is absent."""
        ...

    async def list(
        self, prefix: str, keep: ItemFilter | None = None
    ) -> Listing:
        """Read all keys that start with ``prefix``.

        :param prefix: prefix of the keys.
        :param keep: called with each item as it is read; those for which it
            returns False are left out, so that they take no memory.
        """
        ...

    async def txn(
        self,
        compares: collections.abc.Sequence[Compare],
        writes: collections.abc.Sequence[Put | Delete],
    ) -> TxnResult:
        """Apply all writes if all conditions hold, otherwise none."""
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        ...

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; False if it has expired."""
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove the keys attached to it."""
        ...

    def watch(
        self, prefix: str, start_revision: int
    ) -> contextlib.AbstractAsyncContextManager[
        collections.abc.AsyncIterator[tuple[WatchEvent, ...]]
    ]:
        """Receive changes under a prefix, starting at a revision."""
        ...
