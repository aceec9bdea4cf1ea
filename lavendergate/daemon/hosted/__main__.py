"""Entry point of the daemon on the hosting platform."""

import os
import sys

from lavendergate.daemon.hosted.early_signals import handle_early_signals
from lavendergate.observability.standard_output import (
    reserve_standard_descriptors,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from threading import Thread

_SETTINGS_VARIABLE = 'LAVENDERGATE_BOOT'


def _run() -> int:
    handle_early_signals()
    reserve_standard_descriptors()
    # The other modules are imported only now, because these imports take most
    # of the start time.
    founding = _start_founding() if sys.argv[1:] == ['control'] else None
    from lavendergate.daemon.hosted.start import main  # noqa: WPS433

    return main(founding=founding)


def _start_founding() -> 'Thread | None':
    from lavendergate.observability.standard_output import (  # noqa: WPS433
        reserve_standard_descriptors,
    )

    # The record must not get the number of a closed standard descriptor.
    reserve_standard_descriptors()
    from lavendergate.daemon.hosted.early_founding import (  # noqa: WPS433
        start_founding_record,
    )

    return start_founding_record(os.environ.get(_SETTINGS_VARIABLE))


if __name__ == '__main__':
    sys.exit(_run())
