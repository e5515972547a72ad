"""Digests of callers' keys.

A key is a secret of its account. It is digested where it is read, from a caller or from
the settings, and nothing else is kept: so it cannot appear in a log, a metric, an error
or a copy that goes to another instance. All instances make the same digest of a key,
and compare what they tell each other.
"""

import hashlib

DIGEST_SIZE = 16
"""Bytes of a digest: among 10,000 keys two are the same with a chance of 1e-30."""

_PURPOSE = b"beryltrack account key"


def digest_key(key: str) -> str:
    """Return the digest of a key, in hexadecimal digits."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=DIGEST_SIZE, key=_PURPOSE).hexdigest()
