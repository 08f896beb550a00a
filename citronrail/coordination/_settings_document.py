"""The stored form of the operators' configuration."""

import dataclasses

from citronrail import errors
from citronrail.model import codec
from citronrail.model import settings as models
from citronrail import ports

SETTINGS_KEY = '/citronrail/settings'


@dataclasses.dataclass(frozen=True)
class StoredSettings:
    """Settings as read, with revisions of the key and of the store."""

    settings: models.Settings
    revision: int
    store_revision: int


def encode(settings: models.Settings) -> bytes:
    """Return the stored form of settings."""
    return codec.to_json(settings)


def decode(value: bytes) -> models.Settings:
    """Return the settings in a stored value.

    :raises citronrail.errors.ConfigError: if they can't be decoded.
    """
    try:
        return codec.from_json(value, models.Settings)
    except ValueError as exc:  # msgspec errors are ValueErrors
        raise errors.ConfigError(str(exc), step='settings.decode') from exc


async def read(store: ports.KeyValueStore) -> StoredSettings:
    """Read the settings.

    A listing is read because it tells the store's revision, which shows
    whether the read is older than another one.

    :param store: store to read from.
    :returns: the settings; version 0 if none were ever written.
    :raises citronrail.errors.StoreError: if the read failed.
    :raises citronrail.errors.ConfigError: if they can't be decoded.
    """
    listing = await store.list(SETTINGS_KEY)
    for item in listing.items:
        if item.key == SETTINGS_KEY:
            return StoredSettings(
                decode(item.value), item.revision, listing.revision
            )
    return StoredSettings(models.Settings(), 0, listing.revision)
