"""Settings of a client account."""

import math
from typing import NamedTuple


class AccountSettings(NamedTuple):
    """One client account.

    Parameters
    ----------
    name : str
        Its name, which is passed on to databases.
    keys : frozenset of str
        Digests of the keys that its callers may present; see `keys.digest_key`.
    rate : float
        Average operations per second that it may run over all instances.
    burst : float
        Operations that it may save up while it runs below its rate (bucket size).
    """

    name: str
    keys: frozenset[str]
    rate: float = math.inf
    burst: float = math.inf
