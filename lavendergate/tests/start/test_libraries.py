"""Tests of the libraries that a process finds at its start."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import anyio

import lavendergate
from lavendergate.daemon.start_refusal import ExitCode

_PACKAGE = Path(lavendergate.__file__).resolve().parent
_LIBRARIES = Path(anyio.__file__).resolve().parent.parent


class LibrariesTest(unittest.TestCase):
    """Libraries of the build, without site modules and without a path."""

    def test_libraries_of_the_build_are_found_without_a_path(self) -> None:
        """Guards against a system that cannot import and never starts."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / 'target').mkdir()
            (folder / 'target' / 'deps').symlink_to(_LIBRARIES)
            (folder / _PACKAGE.name).symlink_to(_PACKAGE)
            environment = {
                key: value
                for key, value in os.environ.items()
                if not key.startswith('PYTHON')
            }
            ended = subprocess.run(
                [
                    sys.executable,
                    '-S',
                    '-m',
                    'lavendergate.daemon.hosted',
                    'no-role',
                ],
                cwd=folder,
                env=environment,
                capture_output=True,
                check=False,
                text=True,
            )
        self.assertEqual(ended.returncode, ExitCode.usage, ended.stderr)
