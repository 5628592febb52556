"""Define the settings of the address that a process listens on."""

from ragworthollow.utils.message import StrictMessage


class ListenSettings(StrictMessage):
    """
    Configure the address of a process.

    Attributes
    ----------
    host : str
        IP address to bind to and to advertise.
    port : int
        TCP port.
    """

    host: str
    port: int

    def get_address(self) -> str:
        """Return the address as `host:port`."""
        return f'{self.host}:{self.port}'
