"""Bind the sockets on which a process listens."""

import socket

from ragworthollow.conf import global_settings


def bind_listening_socket(host: str, port: int) -> socket.socket:
    """
    Bind a socket whose connections receive little at a time.

    The event loop passes on whatever the kernel has received, of each
    connection that has received something, before any of it is processed.

    Parameters
    ----------
    host : str
        IP address to bind to.
    port : int
        Port to bind to.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        global_settings.RECEIVE_BUFFER_BYTES,
    )
    try:
        listening.bind((host, port))
    except OSError:
        listening.close()
        raise
    return listening
