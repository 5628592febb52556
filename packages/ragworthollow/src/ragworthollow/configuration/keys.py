"""Define the configuration keys in the platform's key-value store."""

MANIFEST_KEY = 'config/manifest'
_FILES_PREFIX = 'config/files/'


def get_file_key(sha256: str) -> str:
    """Return the key under which the content of a file is stored."""
    return f'{_FILES_PREFIX}{sha256}'
