"""Tests of the build of the deploy file."""

import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[3]
_PACKAGES_STAMP = 'installed'

# Stands in for Python: names a machine, and installs one file.
_PYTHON = """#!/bin/sh
case "$*" in
-c*) echo "$MACHINE" ;;
*"pip install"*)
    mkdir -p target/deps
    echo "$MACHINE" >> target/deps/installed
    exit "$PIP_STATUS" ;;
esac
"""


class DeployBuildTest(unittest.TestCase):
    """Libraries under target/ that an earlier build left."""

    def setUp(self) -> None:
        self._folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self._folder)
        (self._folder / 'deploy').mkdir()
        for name in ('build', 'requirements.lock'):
            shutil.copy(_ROOT / 'deploy' / name, self._folder / 'deploy')
        python = self._folder / 'bin' / 'python3'
        python.parent.mkdir()
        python.write_text(_PYTHON)
        python.chmod(0o755)

    @property
    def _installed(self) -> str:
        return (
            (self._folder / 'target' / 'deps' / _PACKAGES_STAMP)
            .read_text()
            .strip()
        )

    def _build(self, machine: str, *, pip_status: int = 0) -> int:
        environment = {
            'PATH': f'{self._folder / "bin"}:{os.environ["PATH"]}',
            'MACHINE': machine,
            'PIP_STATUS': str(pip_status),
        }
        return subprocess.run(
            ['sh', 'deploy/build'],
            cwd=self._folder,
            env=environment,
            check=False,
        ).returncode

    def test_libraries_of_another_machine_are_not_kept(self) -> None:
        """Guards against a system that cannot import and never starts."""
        self._build('linux-x86_64 cpython-311')
        self._build('linux-aarch64 cpython-311')
        self.assertEqual(self._installed, 'linux-aarch64 cpython-311')

    def test_libraries_that_were_removed_are_installed_again(self) -> None:
        """Guards against a stamp that outlives the libraries."""
        self._build('linux-aarch64 cpython-311')
        shutil.rmtree(self._folder / 'target' / 'deps')
        self._build('linux-aarch64 cpython-311')
        self.assertEqual(self._installed, 'linux-aarch64 cpython-311')

    def test_interrupted_installation_is_repeated(self) -> None:
        """Guards against libraries of which only a part is there."""
        self.assertEqual(self._build('linux-aarch64 a', pip_status=1), 1)
        self.assertEqual(self._build('linux-aarch64 a'), 0)
        self.assertEqual(self._installed, 'linux-aarch64 a')

    def test_installation_is_kept_on_the_same_machine(self) -> None:
        """Guards against a build that installs everything each time."""
        self._build('linux-aarch64 cpython-311')
        self._build('linux-aarch64 cpython-311')
        self.assertEqual(self._installed, 'linux-aarch64 cpython-311')
