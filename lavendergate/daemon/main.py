"""Entry point of ``lavendergated``."""

import os
import sys
from typing import Annotated

import anyio
from cyclopts import App, Parameter
from result import Err

from lavendergate.daemon.options import read_options
from lavendergate.daemon.process import run_daemon

EXIT_USAGE = 2
EXIT_START = 1

app = App(
    name='lavendergated',
    help='Daemon of lavendergate: proxy role, control role or both.',
)


@app.default
def serve(  # noqa: WPS211 - each option is a flag
    *,
    host_id: Annotated[str, Parameter(help='Identity of this host.')] = '',
    roles: Annotated[str, Parameter(help='proxy, control or both.')] = '',
    region: Annotated[str, Parameter(help='Region of this host.')] = '',
    failure_domain: Annotated[
        str, Parameter(help='Failure domain of this host.')
    ] = '',
    listen: Annotated[str, Parameter(help='ip:port for callers.')] = '',
    rpc_listen: Annotated[str, Parameter(help='ip:port for gRPC.')] = '',
    health_listen: Annotated[
        str, Parameter(help="ip:port for the balancer's gRPC health checks.")
    ] = '',
    control: Annotated[
        str,
        Parameter(help='ip:port of each control host, separated by commas.'),
    ] = '',
    data_directory: Annotated[
        str, Parameter(help='Directory of logs and state.')
    ] = '',
    drain_delay_s: Annotated[
        float | None,
        Parameter(
            help='Time for which a stopping proxy accepts callers, in seconds.'
        ),
    ] = None,
    drain_limit_s: Annotated[
        float | None, Parameter(help='Time limit of the drain, in seconds.')
    ] = None,
    statsd: Annotated[str, Parameter(help='ip:port of statsd.')] = '',
    tls_certificate: Annotated[
        str, Parameter(help='Certificate shown to callers, PEM.')
    ] = '',
    tls_key: Annotated[
        str, Parameter(help='Private key of --tls-certificate, PEM.')
    ] = '',
    peer_certificate: Annotated[
        str, Parameter(help='Certificate shown to other hosts, PEM.')
    ] = '',
    peer_key: Annotated[
        str, Parameter(help='Private key of --peer-certificate, PEM.')
    ] = '',
    peer_authority: Annotated[
        str,
        Parameter(
            help='Authority that signs the certificates of the hosts, PEM.'
        ),
    ] = '',
) -> None:
    """Run the daemon until it is stopped by SIGTERM or SIGINT."""
    flags = {
        'host_id': host_id,
        'roles': roles,
        'region': region,
        'failure_domain': failure_domain,
        'listen': listen,
        'rpc_listen': rpc_listen,
        'health_listen': health_listen,
        'control': control,
        'data_directory': data_directory,
        'drain_delay_s': drain_delay_s,
        'drain_limit_s': drain_limit_s,
        'statsd': statsd,
        'tls_certificate': tls_certificate,
        'tls_key': tls_key,
        'peer_certificate': peer_certificate,
        'peer_key': peer_key,
        'peer_authority': peer_authority,
    }
    options = read_options(flags, os.environ)
    if isinstance(options, Err):
        for fault in options.err_value:
            sys.stderr.write(f'lavendergated: {fault}\n')
        sys.exit(EXIT_USAGE)
    try:
        anyio.run(run_daemon, options.ok_value, backend='asyncio')
    except* OSError as group:
        for error in group.exceptions:
            sys.stderr.write(
                f'lavendergated: {error}; check --listen, --rpc-listen, '
                '--health-listen and --data-directory\n'
            )
        sys.exit(EXIT_START)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
