"""Addresses in the form ``ip:port``."""

import re

from lavendergate.core.bounds.ranges import (
    ADDRESS_PATTERN,
    HOST_AND_PORT_PATTERN,
    PATTERN_FORMS,
    WORD_PATTERN,
)
from lavendergate.core.errors import quoted

_ADDRESS = re.compile(ADDRESS_PATTERN, re.ASCII)
_HOST_AND_PORT = re.compile(HOST_AND_PORT_PATTERN, re.ASCII)
_WORD = re.compile(WORD_PATTERN)


class AddressError(OSError):
    """An address to which no connection can be opened.

    It is an `OSError`, as the errors of `connect` are, so that it is handled
    wherever they are.
    """


def is_address(text: str) -> bool:
    """Return whether a text is the ``ip:port`` of one host."""
    return _ADDRESS.match(text) is not None


def is_word(text: str) -> bool:
    """Return whether a text can be a field of a line, at any length."""
    return _WORD.match(text) is not None


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port to connect to.

    Raises
    ------
    AddressError
        If the text is no ``ip:port``.

    Examples
    --------
    >>> split_address('10.0.0.1:80')
    ('10.0.0.1', 80)
    """
    if not is_address(address):
        raise AddressError(
            f'invalid address {quoted(address)}: expected '
            f'{PATTERN_FORMS[ADDRESS_PATTERN]}'
        )
    ip, _, port = address.rpartition(':')
    return ip, int(port)


def split_host_and_port(address: str) -> tuple[str, int]:
    """Return the host, which may be a name, and the port to connect to.

    Raises
    ------
    AddressError
        If the text has no host, or no port of 1 to 65535.

    Examples
    --------
    >>> split_host_and_port('localhost:80')
    ('localhost', 80)
    """
    found = _HOST_AND_PORT.match(address)
    if found is None:
        raise AddressError(
            f'invalid address {quoted(address)}: expected host:port with a '
            'port up to 65535'
        )
    return found.group(1), int(found.group(2))
