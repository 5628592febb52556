"""Render the refusal of a request that has not been received."""

from http import HTTPStatus

from ragworthollow.conf import global_settings

_MILLISECONDS = 1000
_REFUSAL = (
    'HTTP/1.1 {status.value} {status.phrase}\r\n'
    'Connection: close\r\n'
    '{retry}Content-Length: 0\r\n\r\n'
)


def render_refusal(status: HTTPStatus) -> bytes:
    """
    Return a response without a body, behind which its connection is closed.

    Parameters
    ----------
    status : HTTPStatus
        Status of the response; with 503 it tells when to come back.
    """
    retry = ''
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        retry_s = global_settings.BODY_MEMORY_RETRY_MS / _MILLISECONDS
        retry = f'Retry-After: {retry_s:g}\r\n'
    return _REFUSAL.format(status=status, retry=retry).encode()
