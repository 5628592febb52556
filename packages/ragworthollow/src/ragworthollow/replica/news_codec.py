"""Encode what one gateway tells another of the store."""

import zlib

import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.replica.store_news import StoreNews


def encode_news(news: StoreNews | None) -> bytes:
    """Encode and compress news; a configuration shrinks to a tenth."""
    return zlib.compress(msgspec.json.encode(news))


def decode_news(body: bytes) -> Result[StoreNews | None, str]:
    """
    Decode news.

    Returns
    -------
    Result
        The news, None from a gateway that knows nothing; or what is wrong
        with the bytes.
    """
    try:
        plain = zlib.decompressobj().decompress(
            body,
            global_settings.NEWS_LONGEST_BYTES,
        )
        news = msgspec.json.decode(plain, type=StoreNews | None)
    except (zlib.error, msgspec.DecodeError) as error:
        return Err(repr(error))
    return Ok(news)
