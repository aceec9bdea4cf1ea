"""Entry point of the daemon on the hosting platform.

The deploy file runs this file and not the module: `python3 -m` imports several
modules first, and until the first lines here have run, each signal has its
default action.
"""

import os
import sys

if sys.path[0] != os.getcwd():
    # As `-m` does it; the folder of this file must not be searched.
    sys.path[0] = os.getcwd()

from lavendergate.daemon.hosted.early_signals import (  # noqa: E402
    handle_early_signals,
)

_SETTINGS_VARIABLE = 'LAVENDERGATE_BOOT'
# Where deploy/build puts the libraries, below the folder of the process.
_LIBRARIES = os.path.join('target', 'deps')


def _run() -> int:
    handle_early_signals()
    # The other modules are imported only now, because these imports take most
    # of the start time.
    from lavendergate.observability.standard_output import (  # noqa: WPS433
        reserve_standard_descriptors,
    )

    # Before the first file is opened, which could get the number of one.
    reserve_standard_descriptors()
    _add_libraries()
    if sys.argv[1:] == ['control']:
        _write_founding_record()
    from lavendergate.daemon.hosted.start import main  # noqa: WPS433

    return main()


def _add_libraries() -> None:
    """Find the libraries also where a site module would have to add them."""
    libraries = os.path.join(os.getcwd(), _LIBRARIES)
    if libraries not in sys.path:
        sys.path.append(libraries)


def _write_founding_record() -> None:
    from lavendergate.daemon.hosted.early_founding import (  # noqa: WPS433
        write_early_record,
    )

    write_early_record(os.environ.get(_SETTINGS_VARIABLE))


if __name__ == '__main__':
    sys.exit(_run())
