"""Load and check a settings file."""

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.conf.checks import check_settings
from ragworthollow.conf.daemon_settings import DaemonSettings
from ragworthollow.conf.gateway_settings import GatewaySettings
from ragworthollow.utils.strict_yaml import load_yaml

AnySettings = DaemonSettings | GatewaySettings

_GATEWAY_ROLE = 'gateway'


def load_settings(path: Path) -> Result[AnySettings, CheckMessage]:
    """
    Read, parse and check the settings of a daemon.

    Parameters
    ----------
    path : Path
        The YAML file.

    Returns
    -------
    Result
        The settings, or a message about the first problem, with the file, the
        key and a hint.
    """
    try:
        source = path.read_bytes()
    except OSError as error:
        return Err(
            CheckMessage(
                check_id='settings.E001',
                text=f'cannot be read: {error.strerror}',
                hint='pass the path of a settings file with --settings',
                where=str(path),
            ),
        )
    loaded = load_yaml(source)
    if isinstance(loaded, Err):
        return Err(
            CheckMessage(
                check_id='settings.E002',
                text=loaded.err_value,
                hint='the file must be one plain YAML mapping in UTF-8',
                where=str(path),
            ),
        )
    return _convert(path, loaded.ok_value)


def _convert(
    path: Path,
    document: dict[str, object],
) -> Result[AnySettings, CheckMessage]:
    is_gateway = document.get('role') == _GATEWAY_ROLE
    try:
        settings = msgspec.convert(
            document,
            GatewaySettings if is_gateway else DaemonSettings,
        )
    except msgspec.ValidationError as error:
        return Err(
            CheckMessage(
                check_id='settings.E003',
                text=str(error),
                hint='see docs/ref/settings.md for the fields and units',
                where=str(path),
            ),
        )
    if isinstance(settings, GatewaySettings):
        return Ok(settings)
    problems = check_settings(settings, str(path))
    return Err(problems[0]) if problems else Ok(settings)
