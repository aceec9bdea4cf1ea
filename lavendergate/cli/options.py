"""Options shared by all commands."""

import enum
import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from lavendergate.cli.errors import usage_error


@enum.unique
class Format(enum.Enum):
    """Output format."""

    table = 'table'
    json = 'json'


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ControlOptions:
    """Connection to the control hosts, and output format."""

    control: Annotated[
        str,
        Parameter(
            env_var='LAVENDERGATE_CONTROL',
            help='Control hosts as ip:port, separated by commas.',
        ),
    ] = ''
    timeout_s: Annotated[
        float,
        Parameter(help='Time limit for the answer of one host, in seconds.'),
    ] = 3
    format: Annotated[Format, Parameter(help='Output format.')] = Format.table
    peer_certificate: Annotated[
        Path | None, Parameter(env_var='LAVENDERGATE_PEER_CERTIFICATE')
    ] = None
    peer_key: Annotated[
        Path | None, Parameter(env_var='LAVENDERGATE_PEER_KEY')
    ] = None
    peer_authority: Annotated[
        Path | None, Parameter(env_var='LAVENDERGATE_PEER_AUTHORITY')
    ] = None

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of the control hosts.

        Raises
        ------
        CommandError
            If none is given or one is malformed.
        """
        if not self.control:
            raise usage_error(
                'no control host given; use --control ip:port,… or '
                'LAVENDERGATE_CONTROL'
            )
        return parse_addresses(self.control)

    def tls_context(self) -> ssl.SSLContext | None:
        """Return the context for mutual TLS, or None for plain connections."""
        if self.peer_authority is None:
            return None
        context = ssl.create_default_context(cafile=str(self.peer_authority))
        context.check_hostname = False
        context.set_alpn_protocols(['h2'])
        if self.peer_certificate is not None:
            context.load_cert_chain(self.peer_certificate, self.peer_key)
        return context


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of ``ip:port`` addresses.

    Raises
    ------
    CommandError
        If an address is malformed.
    """
    addresses = tuple(part.strip() for part in text.split(',') if part.strip())
    for address in addresses:
        host, _, port = address.rpartition(':')
        if not host or not port.isdigit():
            raise usage_error(
                f'address {address!r} is malformed; expected ip:port'
            )
    return addresses
