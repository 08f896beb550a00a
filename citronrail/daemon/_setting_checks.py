"""Checks of single values in the settings of a process."""

import ipaddress

import msgspec

MAX_PORT = 65_535
_SCHEMES = ('http://', 'https://')


def check_address(address: str, name: str) -> int:
    """Check an address of the form ``IP:PORT`` or ``[IPv6]:PORT``.

    :param address: the address.
    :param name: name of the setting, for the error.
    :returns: the port.
    :raises ValueError: if the form is wrong; host names are refused.
    """
    host, _, port = address.rpartition(':')
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(
            f'"{name}": {address!r} is not IP:PORT with a port up to '
            f'{MAX_PORT}'
        )
    bare = host[1:-1] if host.startswith('[') else host
    try:
        version = ipaddress.ip_address(bare).version
    except ValueError as exc:
        raise ValueError(
            f'"{name}": {address!r} is not IP:PORT; host names are not used'
        ) from exc
    if (version == 6) != host.startswith('['):
        raise ValueError(f'"{name}": IPv6 is written as [IP]:PORT')
    return int(port)


def check_url(url: str, name: str) -> None:
    """Check a URL of the form ``http://IP:PORT``.

    :param url: the URL.
    :param name: name of the setting, for the error.
    :raises ValueError: if the form is wrong.
    """
    for scheme in _SCHEMES:
        if url.startswith(scheme):
            if check_address(url.removeprefix(scheme), name) == 0:
                raise ValueError(f'"{name}" needs the real port, not 0')
            return
    raise ValueError(f'"{name}": {url!r} is not http://IP:PORT')


def check_above_zero(part: msgspec.Struct, *names: str) -> None:
    """Check that amounts are above zero.

    :param part: a part of the settings.
    :param names: names of the amounts.
    :raises ValueError: if one isn't.
    """
    for name in names:
        if getattr(part, name) <= 0:
            raise ValueError(f'"{name}" must be above zero')
