"""Options of a stand-in member."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A MySQL account."""

    name: str
    password: str

    @classmethod
    def parse(cls, text: str) -> 'Account':
        """Parse ``name:password``."""
        name, _, password = text.partition(':')
        return cls(name=name, password=password)


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberOptions:
    """Options of one member.

    Parameters
    ----------
    upstream_id, group, region, failure_domain
        Identity and location of the member.
    host, port
        Address on which the member listens.
    data
        Data directory of the member.
    connection_limit
        Connections that may be open at a time, in addition to one of the
        administrator.
    slots
        Statements that execute at the same time.
    connect_delay_ms, replication_delay_ms, service_ms
        Delays of logins, of replicated entries and of statements, in
        milliseconds.
    account, administrator
        Account of the proxies, and account of the administrator.
    announce_to
        Hosts that receive announcements, as ``ip:port``.
    announce_key
        Shared key that signs announcements.
    leave_limit_s
        Longest time to wait for idle connections before a stop, in seconds.
    """

    upstream_id: str
    group: str
    region: str
    failure_domain: str
    host: str
    port: int
    data: Path
    connection_limit: int
    slots: int
    connect_delay_ms: float
    replication_delay_ms: float
    service_ms: float
    account: Account
    administrator: Account
    announce_to: tuple[str, ...]
    announce_key: str
    leave_limit_s: float = 10.0
