"""Which node acts first: ranks by rendezvous hashing.

All nodes that know the same members come to the same order without a message,
and the order differs for each group and term, so that the work is spread and
a node that fails at it is not first again.
"""

import xxhash


def compute_weight(node: str, group: str, term: int) -> int:
    """Return the weight of a node for the change of one group to one term."""
    return xxhash.xxh3_64_intdigest(f"{group}/{term}/{node}".encode())


def compute_rank(node: str, nodes: tuple[str, ...], group: str, term: int) -> int:
    """Return how many nodes come before this one.

    Parameters
    ----------
    node : str
        This instance's name.
    nodes : tuple of str
        Names of the members; this one may be missing among them.
    group : str
        The group.
    term : int
        The highest term seen so far.

    Returns
    -------
    int
        Zero for the node that acts at once.
    """
    own = compute_weight(node, group, term)
    return sum(compute_weight(other, group, term) > own for other in set(nodes))
