"""Define where a process listens."""

from ragworthollow.utils.message import StrictMessage


class ListenSettings(StrictMessage):
    """
    Name the address of a process.

    Attributes
    ----------
    host : str
        IP number to bind and to be reached under.
    port : int
        TCP port.
    """

    host: str
    port: int

    def get_address(self) -> str:
        """Return the address as `host:port`."""
        return f'{self.host}:{self.port}'
