"""Describe the build and the libraries that a process runs with."""

import asyncio
import sys
from pathlib import Path

import aiohttp
import msgspec
import uvloop

_BUILD_NAME = 'BUILD'
_UNKNOWN = 'unknown'
_COMPILED_MODULE = 'aiohttp._http_parser'


def describe_build(folder: Path | None = None) -> dict[str, str]:
    """
    Return log fields that tell one build of a daemon from another.

    Parameters
    ----------
    folder : Path, optional
        Folder with the packages and the digest that the build has written,
        by default that of the running packages.
    """
    parser = aiohttp.http_parser.HttpResponseParser
    loop = asyncio.get_running_loop()
    return {
        'build': _read_digest(folder or Path(__file__).resolve().parents[1]),
        'python': '.'.join(map(str, sys.version_info[:3])),
        'event_loop': type(loop).__module__,
        'http_parser': (
            'compiled' if parser.__module__ == _COMPILED_MODULE else 'python'
        ),
        'libraries': (
            f'aiohttp {aiohttp.__version__}, msgspec {msgspec.__version__}, '
            f'uvloop {uvloop.__version__}'
        ),
    }


def _read_digest(folder: Path) -> str:
    try:
        return (folder / _BUILD_NAME).read_text().strip()
    except OSError:
        # Packages that are installed for development have none.
        return _UNKNOWN
