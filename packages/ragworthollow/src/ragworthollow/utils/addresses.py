"""Define addresses that other processes send."""

from typing import Annotated

import msgspec

_OCTET = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_PORT = (
    '(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)

# An IPv4 address and a port, as in `10.0.0.1:80`, checked when it is decoded.
# Connecting to any other text may raise errors that no caller expects, such as
# UnicodeError from the encoding of a host name.
SocketAddress = Annotated[
    str,
    msgspec.Meta(pattern=rf'\A{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z'),
]

_LABEL = '[A-Za-z0-9_][A-Za-z0-9_-]{0,62}'

# An IPv4 address or a host name, and a port, checked when it is decoded.
HostAddress = Annotated[
    str,
    msgspec.Meta(
        pattern=rf'\A(?=.{{1,253}}:){_LABEL}(?:\.{_LABEL})*:{_PORT}\Z'
    ),
]
