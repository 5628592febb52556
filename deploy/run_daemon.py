"""
Start a gateway from a built checkout, without installing its packages.

A start is part of every recovery, so it is kept short: 0.36 s of processor
time for the imports of the gateway, against 0.50 s with certificates and
collections (best of eight runs each); the command line adds about 0.08 s (one
run).
"""

import gc
import os
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
# Made by the build, with compiled modules.
_BUILT = _ROOT / 'target' / 'app'
# The HTTP library loads the certificates of all authorities when it is
# imported, 0.11 s; nothing here speaks TLS.
_CERTIFICATE_VARIABLES = ('SSL_CERT_FILE', 'SSL_CERT_DIR')


def main() -> None:
    """Run the gateway with the platform's settings file."""
    for variable in _CERTIFICATE_VARIABLES:
        os.environ[variable] = os.devnull
    sys.path.insert(0, str(_BUILT))
    # Nothing that an import makes is garbage.
    gc.disable()
    from ragworthollow.platform.settings_file import get_settings_path
    from ragworthollow_daemon.gateway.launch import run_from_file

    gc.enable()
    run_from_file(get_settings_path())


if __name__ == '__main__':
    main()
