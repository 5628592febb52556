"""Tell from the path of a request of the soak how it may be served."""

_STREAMS = ('/stream/', '/stream-once/', '/resumable/')
_REPEATABLE = ('/safe/', '/resumable/')


def is_stream(path: str) -> bool:
    """Return whether the response to a path is a stream."""
    return path.startswith(_STREAMS)


def breaks_off(path: str) -> bool:
    """Return whether engines break off a stream that a path asks for."""
    return '/paced?' in path and '-' in path.partition('?')[2]


def may_repeat(path: str) -> bool:
    """Return whether a request may run more than once."""
    return path.startswith(_REPEATABLE)
