"""Validation of single values in the settings of a process."""

import ipaddress

import msgspec

MAX_PORT = 65_535
_SCHEMES = ('http://', 'https://')


def check_address(address: str, name: str) -> int:
    """Check an address of the form ``IP:PORT`` or ``[IPv6]:PORT``.

    :param address: the address.
    :param name: name of the setting, for the error message.
    :returns: the port.
    :raises ValueError: if the form is invalid; host names are not accepted.
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
            f'"{name}": {address!r} is not IP:PORT; host names are refused'
        ) from exc
    if (version == 6) != host.startswith('['):
        raise ValueError(f'"{name}": IPv6 is written as [IP]:PORT')
    return int(port)


def check_url(url: str, name: str) -> None:
    """Check a URL of the form ``http://IP:PORT``.

    :param url: the URL.
    :param name: name of the setting, for the error message.
    :raises ValueError: if the form is invalid.
    """
    for scheme in _SCHEMES:
        if url.startswith(scheme):
            if check_address(url.removeprefix(scheme), name) == 0:
                raise ValueError(f'"{name}" requires a port other than 0')
            return
    raise ValueError(f'"{name}": {url!r} is not http://IP:PORT')


def check_above_zero(section: msgspec.Struct, *names: str) -> None:
    """Check that values are above zero.

    :param section: a section of the settings.
    :param names: names of the fields.
    :raises ValueError: if one of them is not.
    """
    for name in names:
        if getattr(section, name) <= 0:
            raise ValueError(f'"{name}" must be above zero')
