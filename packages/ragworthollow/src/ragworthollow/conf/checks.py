"""Check the settings of a daemon before anything starts."""

import socket
from urllib.parse import urlsplit

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.conf.daemon_settings import DaemonSettings, Role

_MIN_KEY_LENGTH = 16
_MIN_LEASE_MS = 2000
_HIGHEST_PORT = 65535


def check_settings(settings: DaemonSettings, where: str) -> list[CheckMessage]:
    """
    Check what the schema cannot express.

    Parameters
    ----------
    settings : DaemonSettings
        Parsed settings.
    where : str
        File they came from.

    Returns
    -------
    list of CheckMessage
        Every problem found.
    """
    found = [
        *_check_role(settings, where),
        *_check_addresses(settings, where),
        *_check_limits(settings, where),
    ]
    return found or _check_port(settings, where)


def _check_role(settings: DaemonSettings, where: str) -> list[CheckMessage]:
    if settings.role is Role.sidecar and settings.sidecar is None:
        return [
            CheckMessage(
                check_id='settings.E004',
                text='role sidecar needs the key sidecar',
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
            text=f'{address!r} is not an http address',
            hint='write it as http://IP:PORT',
            where=f'{where}:{key}',
        )
        for key, address in addresses.items()
        if urlsplit(address).scheme not in {'http', 'https'}
        or not urlsplit(address).netloc
    ]


def _check_limits(settings: DaemonSettings, where: str) -> list[CheckMessage]:
    found = []
    if len(settings.cluster_key) < _MIN_KEY_LENGTH:
        found.append(
            CheckMessage(
                check_id='settings.E006',
                text=f'shorter than {_MIN_KEY_LENGTH} characters',
                hint='use a long random string, the same in every process',
                where=f'{where}:cluster_key',
            ),
        )
    if settings.lease_ttl_ms < _MIN_LEASE_MS:
        found.append(
            CheckMessage(
                check_id='settings.E007',
                text=f'{settings.lease_ttl_ms} ms is too short for a lease',
                hint=f'at least {_MIN_LEASE_MS}',
                where=f'{where}:lease_ttl_ms',
            ),
        )
    return found


def _check_port(settings: DaemonSettings, where: str) -> list[CheckMessage]:
    listen = settings.listen
    place = f'{where}:listen.port'
    if not 0 < listen.port <= _HIGHEST_PORT:
        return [
            CheckMessage(
                check_id='settings.E008',
                text=f'{listen.port} is not a port',
                hint=f'1 to {_HIGHEST_PORT}',
                where=place,
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
                    hint='end what listens there, or choose another address',
                    where=place,
                ),
            ]
    return []
