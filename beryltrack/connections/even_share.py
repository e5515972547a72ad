"""An even share of a database's connections, without a word between instances.

A database counts its connections over all instances. Each instance keeps to the
same part of them, worked out from the number of instances alone, so that nobody
has to ask anybody. It serves fleets that are small beside the limit.
"""

RESERVED = 2
"""Connections that no instance uses, for those of an instance that is replaced."""


def compute_share(max_connections: int, instances: int, control: int) -> int:
    """Return how many connections an instance may use for requests.

    Parameters
    ----------
    max_connections : int
        Most connections to the database, of all instances together.
    instances : int
        Number of instances, this one among them.
    control : int
        Connections that each instance uses for control requests.

    Returns
    -------
    int
        At least one, as an instance without any could serve nothing.
    """
    usable = max_connections - RESERVED
    return max(1, usable // max(instances, 1) - control)
