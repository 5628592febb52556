"""Check the settings of a daemon before it starts."""

import socket
from urllib.parse import urlsplit

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.conf.daemon_settings import DaemonSettings, Role

_MIN_KEY_LENGTH = 16
_MIN_LEASE_MS = 2000
_MAX_PORT = 65535


def check_settings(settings: DaemonSettings, where: str) -> list[CheckMessage]:
    """
    Check the rules that the schema cannot express.

    Parameters
    ----------
    settings : DaemonSettings
        Parsed settings.
    where : str
        Path of the settings file, for the messages.

    Returns
    -------
    list of CheckMessage
        One message for each problem; empty for valid settings.
    """
    problems = [
        *_check_role(settings, where),
        *_check_addresses(settings, where),
        *_check_limits(settings, where),
    ]
    return problems or _check_port(settings, where)


def _check_role(settings: DaemonSettings, where: str) -> list[CheckMessage]:
    if settings.role is Role.sidecar and settings.sidecar is None:
        return [
            CheckMessage(
                check_id='settings.E004',
                text='the role sidecar requires the key sidecar',
                hint='name its pool and upstream_url',
                where=f'{where}:sidecar',
            ),
        ]
    return []


def _check_addresses(
    settings: DaemonSettings,
    where: str,
) -> list[CheckMessage]:
    addresses = {
        'platform.kv_url': settings.platform.kv_url,
        'platform.instances_url': settings.platform.instances_url,
    }
    if settings.sidecar is not None:
        addresses['sidecar.upstream_url'] = settings.sidecar.upstream_url
    return [
        CheckMessage(
            check_id='settings.E005',
            text=f'{address!r} is not an HTTP URL',
            hint='write it as http://IP:PORT',
            where=f'{where}:{key}',
        )
        for key, address in addresses.items()
        if urlsplit(address).scheme not in {'http', 'https'}
        or not urlsplit(address).netloc
    ]


def _check_limits(settings: DaemonSettings, where: str) -> list[CheckMessage]:
    problems = []
    if len(settings.cluster_key) < _MIN_KEY_LENGTH:
        problems.append(
            CheckMessage(
                check_id='settings.E006',
                text=f'shorter than {_MIN_KEY_LENGTH} characters',
                hint='use a long random string, the same in every process',
                where=f'{where}:cluster_key',
            ),
        )
    if settings.lease_ttl_ms < _MIN_LEASE_MS:
        problems.append(
            CheckMessage(
                check_id='settings.E007',
                text=f'{settings.lease_ttl_ms} ms is too short for a lease',
                hint=f'at least {_MIN_LEASE_MS}',
                where=f'{where}:lease_ttl_ms',
            ),
        )
    return problems


def _check_port(settings: DaemonSettings, where: str) -> list[CheckMessage]:
    listen = settings.listen
    port_key = f'{where}:listen.port'
    if not 0 < listen.port <= _MAX_PORT:
        return [
            CheckMessage(
                check_id='settings.E008',
                text=f'{listen.port} is not a port',
                hint=f'1 to {_MAX_PORT}',
                where=port_key,
            ),
        ]
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((listen.host, listen.port))
        except OSError as error:
            return [
                CheckMessage(
                    check_id='settings.E009',
                    text=f'{listen.get_address()}: {error.strerror}',
                    hint='stop the process on it, or use another address',
                    where=port_key,
                ),
            ]
    return []
