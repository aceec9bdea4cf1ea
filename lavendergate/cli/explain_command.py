"""Command ``lavendergatectl explain``."""

from pathlib import Path

from lavendergate.cli.errors import usage_error
from lavendergate.cli.tables import print_text
from lavendergate.observability.explanation import (
    explain_request,
    render_explanation,
)
from lavendergate.observability.timeline import read_timeline


def explain(request_id: str, /, *files: Path) -> None:
    """Show how a request ended and which decisions led to its outcome.

    Parameters
    ----------
    request_id
        Request id that the caller assigned.
    files
        Event files of all processes, or directories that contain them.
    """
    if not files:
        raise usage_error('no file given; name event files or directories')
    try:
        merged = read_timeline(files)
    except OSError as error:
        raise usage_error(f'event files cannot be read: {error}') from error
    print_text(render_explanation(explain_request(merged, request_id)))
