"""Encode the store updates that gateways exchange."""

import zlib

import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.replica.store_update import StoreUpdate
from ragworthollow.utils import decode_json


def encode_update(update: StoreUpdate | None) -> bytes:
    """Encode and compress an update; a configuration shrinks to a tenth."""
    return zlib.compress(msgspec.json.encode(update))


def decode_update(body: bytes) -> Result[StoreUpdate | None, str]:
    """
    Decompress and decode an update.

    Returns
    -------
    Result
        The update, None from a gateway whose replica is empty; or a
        description of the decoding error.
    """
    try:
        decompressed = zlib.decompressobj().decompress(
            body,
            global_settings.MAX_UNPACKED_UPDATE_BYTES,
        )
        update = decode_json(decompressed, StoreUpdate | None)
    except (zlib.error, msgspec.DecodeError) as error:
        return Err(repr(error))
    return Ok(update)
