"""Define what a sidecar stands beside."""

from ragworthollow.utils.message import StrictMessage


class SidecarSettings(StrictMessage):
    """
    Describe the upstream instance beside this sidecar.

    Attributes
    ----------
    pool : str
        Pool that the upstream belongs to.
    upstream_url : str
        Base address of the upstream.
    """

    pool: str
    upstream_url: str
