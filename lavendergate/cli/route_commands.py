"""Commands ``lavendergatectl routes …``."""

from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from result import Err

from lavendergate.cli.errors import problem_error, usage_error
from lavendergate.cli.options import Format
from lavendergate.cli.tables import Row, print_rows
from lavendergate.core.route_checks.differences import find_differences
from lavendergate.core.route_checks.findings import Finding, FindingKind
from lavendergate.core.route_checks.rules import Surroundings, check_table
from lavendergate.core.routes import RouteTable
from lavendergate.platform.documents import decode_route_list, decode_routes

routes_app = App(name='routes', help='Check route documents.')

_PROBLEMS = frozenset(
    (FindingKind.error, FindingKind.unused, FindingKind.conflict)
)


@routes_app.command(name='check')
def check(
    file: Path,
    /,
    *,
    in_force: Annotated[
        Path | None,
        Parameter(help='Document in force, to show what changes for whom.'),
    ] = None,
    window_s: Annotated[
        float, Parameter(help="Window of the customers' limits, in seconds.")
    ] = 5,
    operations_per_s: Annotated[
        float | None,
        Parameter(help='Operations per second that all members can run.'),
    ] = None,
    replica_lag_ms: Annotated[
        int | None,
        Parameter(help='Usual lag of the replicas, in milliseconds.'),
    ] = None,
    output: Annotated[
        Format, Parameter(name='--format', help='Output format.')
    ] = Format.table,
) -> None:
    """Check a route document without sending it.

    Reports errors, entries that never apply, limits that contradict each
    other, and the differences from the document in force. The exit code is 1
    if there is anything but differences.

    Parameters
    ----------
    file
        Route document, as it would be published.
    """
    content = _read(file)
    surroundings = Surroundings(
        window_s=window_s,
        operations_per_s=operations_per_s,
        replica_lag_ms=replica_lag_ms,
    )
    table = decode_routes(content)
    if isinstance(table, Err):
        findings: tuple[Finding, ...] = (
            Finding(
                kind=FindingKind.error,
                subject=file.name,
                text=table.err_value,
            ),
        )
    else:
        findings = check_table(
            table.ok_value, decode_route_list(content), surroundings
        )
        if in_force is not None:
            findings += find_differences(table.ok_value, _decode(in_force))
    print_rows(list(map(_row, findings)), output, empty='nothing was found')
    problems = [finding for finding in findings if finding.kind in _PROBLEMS]
    if problems:
        raise problem_error(f'{len(problems)} problems')


def _decode(file: Path) -> RouteTable:
    table = decode_routes(_read(file))
    if isinstance(table, Err):
        raise usage_error(f'{file} is no valid document: {table.err_value}')
    return table.ok_value


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise usage_error(f'{file} cannot be read: {error}') from error


def _row(finding: Finding) -> Row:
    return {
        'kind': finding.kind.value,
        'subject': finding.subject,
        'text': finding.text,
    }
