"""Define the settings of a sidecar."""

from ragworthollow.utils.message import StrictMessage


class SidecarSettings(StrictMessage):
    """
    Configure the upstream instance that this sidecar serves.

    Attributes
    ----------
    pool : str
        Pool that the upstream belongs to.
    upstream_url : str
        Base URL of the upstream.
    """

    pool: str
    upstream_url: str
