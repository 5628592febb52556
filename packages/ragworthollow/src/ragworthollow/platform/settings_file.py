"""Locate the settings file that the platform provides to a process."""

import os
from pathlib import Path

# The platform calls an instance a node.
_PATH_VARIABLE = 'RAGWORTHOLLOW_NODE_FILE'


def get_settings_path() -> Path:
    """
    Return the path of the settings file.

    Raises
    ------
    KeyError
        The process was not started by the platform.
    """
    return Path(os.environ[_PATH_VARIABLE])
