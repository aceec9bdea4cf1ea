"""Output of rows as aligned text tables or JSON."""

import sys
from collections.abc import Mapping, Sequence

import msgspec

from lavendergate.cli.options import Format

Row = Mapping[str, object]


def print_rows(
    rows: Sequence[Row], output_format: Format, *, empty: str
) -> None:
    """Print rows that have the same keys.

    Parameters
    ----------
    empty
        Text to print instead of a table without rows.
    """
    if output_format is Format.json:
        print_json(list(rows))
    else:
        print_text(format_table(rows) if rows else empty)


def print_json(value: object) -> None:
    """Print a value as JSON."""
    encoded = msgspec.json.encode(value)
    print_text(msgspec.json.format(encoded, indent=2).decode())


def print_text(text: str) -> None:
    """Print text to standard output."""
    sys.stdout.write(f'{text}\n')


def print_note(text: str) -> None:
    """Print text to standard error."""
    sys.stderr.write(f'{text}\n')


def format_table(rows: Sequence[Row]) -> str:
    """Return rows as text with aligned columns."""
    names = list(rows[0])
    cells = [[_format_cell(row[name]) for name in names] for row in rows]
    lines = [[name.replace('_', ' ') for name in names], *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_format_line(line, widths) for line in lines)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return '  '.join(padded).rstrip()


def _format_cell(value: object) -> str:
    match value:
        case None:
            return '-'
        case bool():
            return 'yes' if value else 'no'
        case tuple() | list():
            return ', '.join(map(str, value)) or '-'
    return str(value)
