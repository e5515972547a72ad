"""What operators say of a client account."""

import math
from typing import NamedTuple


class AccountSettings(NamedTuple):
    """One client account.

    Parameters
    ----------
    name : str
        Its name, which databases are told.
    keys : frozenset of str
        Digests of the keys that its callers may present; see `digest_key`.
    rate : float
        Operations a second that it may run, on average, over all instances.
    burst : float
        Operations that it may save up while it asks for less.
    """

    name: str
    keys: frozenset[str]
    rate: float = math.inf
    burst: float = math.inf
