"""Entry point of the daemon on the hosting platform."""

import sys

from lavendergate.daemon.hosted.early_signals import handle_early_signals

if __name__ == '__main__':
    handle_early_signals()
    # Imported only now, because these imports take most of the start time.
    from lavendergate.daemon.hosted.start import main  # noqa: WPS433

    sys.exit(main())
