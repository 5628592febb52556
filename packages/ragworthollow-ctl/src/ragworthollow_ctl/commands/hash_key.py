"""Hash a key for the configuration."""

import sys

from ragworthollow.utils import hash_secret


def hash_key() -> None:
    """Read a key from standard input and print its hash."""
    secret = sys.stdin.readline().rstrip('\n')
    if not secret:
        sys.stderr.write('no key on standard input\n')
        sys.exit(2)
    sys.stdout.write(f'{hash_secret(secret)}\n')
