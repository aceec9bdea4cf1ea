"""Command ``lavendergatectl timeline``."""

import enum
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from lavendergate.cli.errors import usage_error
from lavendergate.cli.tables import print_text
from lavendergate.observability.timeline import Filter, read_timeline
from lavendergate.observability.timeline_views import (
    render_html,
    render_json,
    render_text,
)


@enum.unique
class TimelineFormat(enum.Enum):
    """Output format of a timeline."""

    text = 'text'
    json = 'json'
    html = 'html'


_RENDERERS = {
    TimelineFormat.text: render_text,
    TimelineFormat.json: render_json,
    TimelineFormat.html: render_html,
}


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class Selection:
    """Options that select events of the timeline.

    Parameters
    ----------
    group, host, request, session
        Show only events with this value.
    event
        Show only events with these numbers; a number below 10 selects its
        thousand, such as 4 for 4xxx.
    since, until
        Show only this time range; local time unless a time zone is given.
    """

    group: str = ''
    host: str = ''
    request: str = ''
    session: str = ''
    event: tuple[int, ...] = ()
    since: datetime | None = None
    until: datetime | None = None

    def filter(self) -> Filter:
        """Return the selection as a filter."""
        return Filter(
            fields={
                'group': self.group,
                'request_id': self.request,
                'session': self.session,
            },
            host=self.host,
            numbers=frozenset(self.event),
            since=self.since,
            until=self.until,
        )


_ALL_EVENTS = Selection()


def timeline(
    *files: Path,
    form: Annotated[
        TimelineFormat, Parameter(name='--format')
    ] = TimelineFormat.text,
    selection: Selection = _ALL_EVENTS,
) -> None:
    """Merge the event files of all processes in causal order.

    Parameters
    ----------
    files
        Event files, or directories that contain them.
    form
        Output format.
    """
    if not files:
        raise usage_error('no file given; name event files or directories')
    try:
        merged = read_timeline(files, selection.filter())
    except OSError as error:
        raise usage_error(f'event files cannot be read: {error}') from error
    print_text(_RENDERERS[form](merged))
