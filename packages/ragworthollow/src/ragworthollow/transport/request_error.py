"""Define the error of a request that cannot be received."""

from http import HTTPStatus


class RequestError(Exception):
    """
    Signal that the bytes of a connection are no request inside the limits.

    Parameters
    ----------
    status : HTTPStatus
        Status with which the request is refused.
    reason : str
        Why, for the log; holds nothing that the client has sent.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def make_malformed_error(reason: str) -> RequestError:
    """Make the error of bytes that are no request."""
    return RequestError(HTTPStatus.BAD_REQUEST, reason)


def make_head_size_error() -> RequestError:
    """Make the error of a request head, or trailers, over the limit."""
    return RequestError(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'head_too_large'
    )
