"""Keep requests that crash upstream instances away from the others."""

from ragworthollow.quarantine.fingerprint import make_fingerprint

__all__ = ('make_fingerprint',)
