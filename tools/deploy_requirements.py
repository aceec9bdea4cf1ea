"""Writes deploy/requirements.lock, the run-time libraries of the hosted daemon.

Run ``python -m tools.deploy_requirements`` in the root of the repository
after each change of requirements.lock.
"""

import re
from pathlib import Path

LOCK = Path('requirements.lock')
DEPLOY_LOCK = Path('deploy/requirements.lock')
# The hosted daemon uses neither MySQL nor TLS and parses no command-line
# options, so the libraries for these are left out.
NEEDED = (
    'anyio',
    'boltons',
    'eliot',
    'grpclib',
    'h11',
    'h2',
    'hpack',
    'hyperframe',
    'idna',
    'msgspec',
    'multidict',
    'orjson',
    'prometheus-client',
    'pyrsistent',
    'result',
    'six',
    'typing-extensions',
    'xxhash',
    'zope-interface',
)
_ENTRY = re.compile(r'^([a-z0-9-]+)==[^\n]*(?:\n    --hash[^\n]*)+', re.M)


def deploy_lock(lock: str) -> str:
    """Return the lock file entries of the libraries in `NEEDED`."""
    return ''.join(
        f'{entry.group(0)}\n'.replace(' \\\n', ' \\\n')
        for entry in _ENTRY.finditer(lock)
        if entry.group(1) in NEEDED
    )


def main() -> None:
    """Write deploy/requirements.lock."""
    DEPLOY_LOCK.write_text(deploy_lock(LOCK.read_text()))


if __name__ == '__main__':
    main()
