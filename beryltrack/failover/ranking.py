"""Ranks the instances that may act for a group by rendezvous hashing.

All instances with the same member list compute the same order without messages. The
order differs for each group and term, which spreads the work; an instance whose attempt
failed is not first again in the next term.
"""

import xxhash


def compute_weight(instance: str, group: str, term: int) -> int:
    """Return the rendezvous weight of an instance for one group and term."""
    return xxhash.xxh3_64_intdigest(f"{group}/{term}/{instance}".encode())


def compute_rank(
    instance: str, instances: tuple[str, ...], group: str, term: int
) -> int:
    """Return how many instances rank before this one.

    Parameters
    ----------
    instance : str
        This instance's name.
    instances : tuple of str
        Names of the members; this one may be missing among them.
    group : str
        The group.
    term : int
        The highest term seen so far.

    Returns
    -------
    int
        Zero for the instance that acts without delay.
    """
    own = compute_weight(instance, group, term)
    return sum(compute_weight(other, group, term) > own for other in set(instances))
