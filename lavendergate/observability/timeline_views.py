"""Renders a timeline as text, JSON lines or a self-contained HTML page."""

import html

import msgspec

from lavendergate.observability.timeline import Line, Timeline

_STYLE = """
body { font: 14px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; }
th, td { border: 1px solid #ccc; padding: 2px 6px; vertical-align: top; }
td.time { font-family: monospace; white-space: nowrap; }
.debug { color: #777; }
.warning { background: #fff0c0; }
.error { background: #ffd0d0; }
"""


def render_text(timeline: Timeline) -> str:
    """Return one line per event, and notes on unreadable lines."""
    width = max(map(len, timeline.hosts), default=0)
    lines = [
        f'{_wall_time(line)}  {line.host:<{width}}  {line.number} '
        f'{line.level:<7}  {line.text}{_format_remaining_fields(line)}'
        for line in timeline.lines
    ]
    return '\n'.join((*lines, *_notes(timeline)))


def render_json(timeline: Timeline) -> str:
    """Return one JSON object per event."""
    return '\n'.join(
        msgspec.json.encode(line).decode() for line in timeline.lines
    )


def render_html(timeline: Timeline) -> str:
    """Return a page with one column per host and one row per event."""
    hosts = timeline.hosts
    head = ''.join(f'<th>{html.escape(host)}</th>' for host in hosts)
    rows = ''.join(_row(line, hosts) for line in timeline.lines)
    notes = ''.join(f'<p>{html.escape(note)}</p>' for note in _notes(timeline))
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f'<title>lavendergate timeline</title><style>{_STYLE}</style></head>'
        f'<body><table><tr><th>time</th>{head}</tr>{rows}</table>{notes}'
        '</body></html>\n'
    )


def _row(line: Line, hosts: tuple[str, ...]) -> str:
    title = html.escape(msgspec.json.encode(line.fields).decode())
    cell = (
        f'<td class="{html.escape(line.level)}" title="{title}">{line.number} '
        f'{html.escape(line.text)}</td>'
    )
    column = hosts.index(line.host)
    before = '<td></td>' * column
    after = '<td></td>' * (len(hosts) - column - 1)
    wall_time = html.escape(_wall_time(line))
    return f'<tr><td class="time">{wall_time}</td>{before}{cell}{after}</tr>'


def _wall_time(line: Line) -> str:
    return line.time


def _format_remaining_fields(line: Line) -> str:
    """Return the text of the fields whose values are not part of the text."""
    remaining = {
        name: value
        for name, value in line.fields.items()
        if value is not None and str(value) not in line.text
    }
    if not remaining:
        return ''
    text = ' '.join(f'{name}={value}' for name, value in remaining.items())
    return f'  ({text})'


def _notes(timeline: Timeline) -> list[str]:
    notes = []
    for skipped in timeline.skipped:
        if skipped.torn:
            notes.append(f'note: {skipped.path}: the last line is incomplete')
        if skipped.damaged:
            notes.append(
                f'note: {skipped.path}: {skipped.damaged} lines are not '
                'readable'
            )
    return notes
