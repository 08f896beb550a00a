"""Storage format of the operators' settings."""

import dataclasses

from citronrail import errors
from citronrail.model import codec
from citronrail.model import settings as models
from citronrail import ports

SETTINGS_KEY = '/citronrail/settings'


@dataclasses.dataclass(frozen=True)
class StoredSettings:
    """Settings with the revisions of their key and of the store."""

    settings: models.Settings
    revision: int
    store_revision: int


def encode(settings: models.Settings) -> bytes:
    """Encode settings for storage."""
    return codec.to_json(settings)


def decode(value: bytes) -> models.Settings:
    """Decode stored settings.

    :raises citronrail.errors.ConfigError: if the value cannot be decoded.
    """
    try:
        return codec.from_json(value, models.Settings)
    except ValueError as exc:  # msgspec errors derive from ValueError
        raise errors.ConfigError(str(exc), step='settings.decode') from exc


async def read(store: ports.KeyValueStore) -> StoredSettings:
    """Read the settings.

    This lists the key, because a listing includes the revision of the store,
    by which a stale read is recognised.

    :param store: store to read from.
    :returns: the settings; version 0 if none have been written.
    :raises citronrail.errors.StoreError: if the read fails.
    :raises citronrail.errors.ConfigError: if the value cannot be decoded.
    """
    listing = await store.list(SETTINGS_KEY)
    for item in listing.items:
        if item.key == SETTINGS_KEY:
            return StoredSettings(
                decode(item.value), item.revision, listing.revision
            )
    return StoredSettings(models.Settings(), 0, listing.revision)
