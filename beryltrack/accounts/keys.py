"""Digests of account keys (keyed BLAKE2b).

A key is a secret of its account. It is digested where it is read, from a caller or from
the settings, and only the digest is retained, so the key cannot appear in a log, a
metric, an error or a message to another instance. All instances compute the same digest
of a key, so they can compare digests that they receive from each other.
"""

import hashlib

from beryltrack.objects.answers import REPLACEMENT

DIGEST_SIZE = 16
"""Bytes of a digest: among 10,000 keys a collision has a probability of 1e-30."""

_PURPOSE = b"beryltrack account key"


def digest_key(key: str) -> str:
    """Return the digest of a key, in hexadecimal digits."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=DIGEST_SIZE, key=_PURPOSE).hexdigest()


def digest_keys(keys: object) -> list[str] | None:
    """Return the digests of a list of keys, None if it is not one.

    Text that replaces what could not be decoded is no key: anyone could send it.
    """
    is_valid = isinstance(keys, list) and all(
        isinstance(key, str) and REPLACEMENT not in key for key in keys
    )
    return [*map(digest_key, keys)] if is_valid else None
