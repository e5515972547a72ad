"""Ranks by rendezvous (highest-random-weight) hashing.

Instances with the same set of names order them alike for a role, without communication.
A name that is added or removed does not change the order of the others.
"""

from functools import lru_cache

import xxhash


# Ranks of the same names are computed again at each change of the fleet.
@lru_cache(maxsize=16384)
def compute_rank(role: str, name: str) -> int:
    """Return the rank of a name for a role: a 64-bit hash, alike on all instances."""
    return xxhash.xxh64_intdigest(f"{role}\0{name}".encode())
