"""Build the URL of a request target."""

from yarl import URL


def make_target_url(address: str, target: str) -> URL:
    """
    Build a URL whose request target is sent exactly as given.

    Parsed as a URL, a target would lose a question mark at its end, or a part
    that looks like a fragment.

    Parameters
    ----------
    address : str
        `IP:PORT` of the receiver.
    target : str
        Path and query as the caller sent them.
    """
    return URL.build(
        scheme='http', authority=address, path=target, encoded=True
    )
