"""The pages agree with the code: commands, examples, links and events."""

import contextlib
import io
import os
import re
import shlex
import shutil
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path

import anyio
from cyclopts import App

from demo.fleet import start_fleet
from demo.processes import Fleet, make_fleet
from lavendergate.cli.errors import ExitCode
from lavendergate.cli.main import app as control_app
from lavendergate.cli.main import run
from lavendergate.daemon.main import app as daemon_app
from standin.member import app as member_app

ROOT = Path(__file__).parents[2]
# Callers' ports in the examples, in the order of the fleet's hosts.
EXAMPLE_PORTS = ('6033', '6034', '6035')
PROGRAMS: dict[tuple[str, ...], App] = {
    ('lavendergatectl',): control_app,
    ('lavendergated',): daemon_app,
    ('python', '-m', 'standin.member'): member_app,
}
FENCE = re.compile(r'^```([^\n]*)\n(.*?)^```$', re.MULTILINE | re.DOTALL)
LINK = re.compile(r'\]\((?!https?:)([^)#]+)(?:#[^)]*)?\)')
ALARM = re.compile(r'^\| (\d{4}) \| `(\w+)`', re.MULTILINE)

_FLEETS: list[Fleet] = []


def pages() -> list[Path]:
    """Return all pages of the documentation."""
    return [*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')]


def blocks(page: Path, language: str) -> list[str]:
    """Return the fenced blocks of one language."""
    found = FENCE.findall(page.read_text())
    return [text for name, text in found if name == language]


def commands(text: str) -> Iterator[list[str]]:
    """Return the words of each command line, without redirections."""
    for line in text.replace('\\\n', ' ').splitlines():
        words = shlex.split(line, comments=True)
        while words and re.match('[A-Z_]+=', words[0]):
            words.pop(0)
        ends = [words.index(mark) for mark in ('>', '|', '&') if mark in words]
        if words:
            yield words[: min(ends, default=len(words))]


def execute(source: str, name: str) -> None:
    """Run an example in its own namespace."""
    exec(compile(source, name, 'exec'), {'__name__': name})  # noqa: S102


def with_ports(source: str) -> str:
    """Return an example with its ports replaced by those of the fleet."""
    ports = (daemon.port for daemon in _FLEETS[0].daemons)
    for example_port, port in zip(EXAMPLE_PORTS, ports, strict=True):
        source = source.replace(example_port, str(port))
    return source


def setUpModule() -> None:
    """Start three hosts and nine members."""
    fleet = make_fleet(Path(tempfile.mkdtemp()))
    _FLEETS.append(fleet)
    problem = start_fleet(fleet)
    if problem:
        fleet.stop()
        raise OSError(problem)


def tearDownModule() -> None:
    """Stop all processes."""
    fleet = _FLEETS.pop()
    fleet.stop()
    shutil.rmtree(fleet.directory)


class CommandsTest(unittest.TestCase):
    """Command lines in the pages."""

    def test_command_lines_parse(self) -> None:
        """Guards against commands and options that do not exist."""
        checked_count = 0
        for page in pages():
            for _, text in FENCE.findall(page.read_text()):
                if not any(program[0] in text for program in PROGRAMS):
                    continue
                for words in commands(text):
                    checked_count += self._check_command(page, words)
        self.assertGreater(checked_count, 40)

    def test_commands_run_against_a_fleet(self) -> None:
        """Guards against commands that a running fleet refuses."""
        run_count = 0
        for page in sorted((ROOT / 'docs' / 'operations').glob('*.md')):
            for text in blocks(page, 'sh run'):
                for words in commands(text):
                    with self.subTest(page=page.name, command=words):
                        self.assertEqual(_run_control(words), ExitCode.ok)
                    run_count += 1
        self.assertGreater(run_count, 8)

    def _check_command(self, page: Path, words: list[str]) -> int:
        for program, app in PROGRAMS.items():
            if tuple(words[: len(program)]) != program:
                continue
            with self.subTest(page=page.name, command=words):
                app.parse_args(
                    words[len(program) :],
                    exit_on_error=False,
                    print_error=False,
                )
            return 1
        return 0


class ExamplesTest(unittest.TestCase):
    """Python examples of the pages."""

    def test_callers_examples(self) -> None:
        """Guards against examples for callers that fail on a running fleet."""
        page = ROOT / 'docs' / 'callers.md'
        examples = blocks(page, 'python')
        self.assertGreater(len(examples), 6)
        for number, source in enumerate(examples):
            with self.subTest(example=number):
                execute(with_ports(source), f'callers_{number}')

    def test_tour_prints_what_the_page_shows(self) -> None:
        """Guards against a first example whose output differs from the page."""
        page = ROOT / 'README.md'
        (source,) = blocks(page, 'python')
        expected = blocks(page, 'text')[-1]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            execute(with_ports(source), 'tour')
        self.assertEqual(output.getvalue(), expected)

    def test_embedding_examples(self) -> None:
        """Guards against library examples that do not run."""
        examples = blocks(ROOT / 'docs' / 'embedding.md', 'python')
        self.assertGreater(len(examples), 2)
        for number, source in enumerate(examples):
            with self.subTest(example=number):
                execute(source, f'embedding_{number}')


class ReferenceTest(unittest.TestCase):
    """Links and events that the pages name."""

    def test_links_lead_to_files(self) -> None:
        """Guards against links to pages that were moved or never written."""
        for page in pages():
            for target in LINK.findall(page.read_text()):
                with self.subTest(page=page.name, link=target):
                    self.assertTrue((page.parent / target).exists())

    def test_alarms_are_written_by_the_code(self) -> None:
        """Guards against alarms on events that no process ever writes."""
        package = ROOT / 'lavendergate'
        code = '\n'.join(
            path.read_text()
            for path in package.rglob('*.py')
            if not {'tests', 'observability'}
            & set(path.relative_to(package).parts)
        )
        catalogue = (ROOT / 'docs' / 'events.md').read_text()
        page = ROOT / 'docs' / 'operations' / 'alarms.md'
        rows = ALARM.findall(page.read_text())
        self.assertGreater(len(rows), 4)
        for number, name in rows:
            with self.subTest(event=number):
                self.assertIn(f'| {number} | `{name}` |', catalogue)
                self.assertRegex(code, rf'Event\.{name}\b')


def _run_control(words: list[str]) -> ExitCode:
    control = _FLEETS[0].control_hosts
    output = io.StringIO()
    before = os.environ.get('LAVENDERGATE_CONTROL')
    os.environ['LAVENDERGATE_CONTROL'] = control
    try:
        with contextlib.redirect_stdout(output):
            return anyio.run(run, words[1:])
    finally:
        if before is None:
            os.environ.pop('LAVENDERGATE_CONTROL')
        else:
            os.environ['LAVENDERGATE_CONTROL'] = before
