"""Start `ragworthd` from a checkout, without installing its packages."""

import os
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_PACKAGES = ('ragworthollow', 'ragworthollow-daemon')
# The platform names the settings file in this variable.
_SETTINGS_VARIABLE = 'RAGWORTHOLLOW_NODE_FILE'

for package in _PACKAGES:
    sys.path.insert(0, str(_ROOT / 'packages' / package / 'src'))


def main() -> None:
    """Run the daemon with the platform's settings file."""
    from ragworthollow_daemon.main import app

    app(['--settings', os.environ[_SETTINGS_VARIABLE]])


if __name__ == '__main__':
    main()
