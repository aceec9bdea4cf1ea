"""Runs one member: ``python -m standin.member``."""

import asyncio
import signal
from pathlib import Path

import cyclopts

from standin.options import Account, MemberOptions
from standin.server import MemberServer

app = cyclopts.App(name='standin', help='Stand-in for an upstream member.')


@app.default
def main(
    *,
    upstream_id: str,
    group: str,
    region: str,
    failure_domain: str,
    listen: str,
    data: Path,
    connection_limit: int = 16,
    slots: int = 2,
    connect_delay_ms: float = 12,
    replication_delay_ms: float = 50,
    service_ms: float = 1,
    account: str = 'app:secret',
    admin_account: str = 'admin:secret',
    announce_to: str = '',
    announce_key: str = '',
    leave_limit_s: float = 10,
) -> None:
    """Run one member until SIGTERM or SIGINT.

    Parameters
    ----------
    upstream_id, group, region, failure_domain
        Identity and location of the member.
    listen
        Address, ``ip:port``.
    data
        Data directory.
    connection_limit
        Connections that may be open, without one of the administrator.
    slots
        Statements that execute at the same time.
    connect_delay_ms
        Delay of a login, in milliseconds.
    replication_delay_ms
        Time until a received entry is appended to the log, in milliseconds.
    service_ms
        Time that a statement occupies its slot, in milliseconds.
    account
        Account of the proxies, ``name:password``.
    admin_account
        Administrator account, ``name:password``.
    announce_to
        Hosts that receive announcements, ``ip:port,ip:port``.
    announce_key
        Shared key that signs announcements.
    leave_limit_s
        Longest wait for idle connections after a signal, in seconds.
    """
    host, _, port = listen.rpartition(':')
    options = MemberOptions(
        upstream_id=upstream_id,
        group=group,
        region=region,
        failure_domain=failure_domain,
        host=host,
        port=int(port),
        data=data,
        connection_limit=connection_limit,
        slots=slots,
        connect_delay_ms=connect_delay_ms,
        replication_delay_ms=replication_delay_ms,
        service_ms=service_ms,
        account=Account.parse(account),
        administrator=Account.parse(admin_account),
        announce_to=tuple(filter(None, announce_to.split(','))),
        announce_key=announce_key,
        leave_limit_s=leave_limit_s,
    )
    asyncio.run(_run(options))


async def _run(options: MemberOptions) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    server = MemberServer(options=options)
    await server.start()
    await stopping.wait()
    await server.leave()
    await server.stop()


if __name__ == '__main__':
    app()
