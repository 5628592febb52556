"""
Start a gateway from a built checkout, without installing its packages.

Startup time is part of every recovery, so it is kept short.  Importing the
gateway takes 0.36 s of processor time, against 0.50 s when the certificates are
loaded and the garbage collector is enabled (best of eight runs each).  The
command line is bypassed: it adds about 0.08 s (one run).
"""

import gc
import os
import signal
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
# Written by the build; contains compiled modules.
_BUILT = _ROOT / 'target' / 'app'
# The HTTP library loads all trusted CA certificates when it is imported, which
# takes 0.11 s; no connection of the gateway uses TLS.
_CERTIFICATE_VARIABLES = ('SSL_CERT_FILE', 'SSL_CERT_DIR')


def main() -> None:
    """Run the gateway with the settings file that the platform provides."""
    # Ends a process by default; the gateway handles it once it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for variable_name in _CERTIFICATE_VARIABLES:
        os.environ[variable_name] = os.devnull
    sys.path.insert(0, str(_BUILT))
    # Imports create no garbage, so collections during them are wasted.
    gc.disable()
    from ragworthollow.platform.settings_file import get_settings_path
    from ragworthollow_daemon.gateway.launch import run_from_file

    gc.enable()
    run_from_file(get_settings_path())


if __name__ == '__main__':
    main()
