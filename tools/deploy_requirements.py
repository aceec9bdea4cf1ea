"""Writes deploy/requirements.lock: what the hosted daemon needs at run time.

Run as ``python -m tools.deploy_requirements`` in the root of the repository
after a change of requirements.lock.
"""

import re
from pathlib import Path

LOCK = Path('requirements.lock')
DEPLOY_LOCK = Path('deploy/requirements.lock')
# The hosted daemon speaks neither MySQL nor TLS and has no command line with
# options, so it does without the libraries for these.
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
    """Return the part of the lock file that the hosted daemon needs."""
    return ''.join(
        f'{entry.group(0)}\n'.replace(' \\\n', ' \\\n')
        for entry in _ENTRY.finditer(lock)
        if entry.group(1) in NEEDED
    )


def main() -> None:
    """Write the file."""
    DEPLOY_LOCK.write_text(deploy_lock(LOCK.read_text()))


if __name__ == '__main__':
    main()
