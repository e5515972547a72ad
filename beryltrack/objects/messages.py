"""What the platform's service answers, in typed form.

Each call ends in a ``returns`` result: a success with one of these tuples, or a
failure with a `PlatformError` whose kind says whether the call took effect.
"""

import enum
from typing import NamedTuple

LIVE = "live"
LEAVING = "leaving"


class PlatformObject(NamedTuple):
    """One version of one object.

    Parameters
    ----------
    path : str
        Where it is kept, for example ``settings/shop/groups/orders``.
    version : int
        Its version, a number of one growing sequence over all objects; see `eras`.
    value : object
        The JSON value; None if it is deleted.
    deleted : bool
        True if this version says that the object is no more.
    """

    path: str
    version: int
    value: object
    deleted: bool


class ObjectList(NamedTuple):
    """Objects under one prefix.

    Parameters
    ----------
    revision : int
        The platform's version at the moment of the answer.
    objects : tuple of PlatformObject
        All objects (of a list), or the changed ones (of a watch).
    """

    revision: int
    objects: tuple[PlatformObject, ...]


class InstanceEntry(NamedTuple):
    """One line of the platform's instance list.

    Parameters
    ----------
    name : str
        Name of the instance.
    host : str
        IP number of its peer link.
    port : int
        TCP port of its peer link.
    zone : str
        Its availability zone.
    state : str
        `LIVE` or `LEAVING`. The list lags behind the truth.
    """

    name: str
    host: str
    port: int
    zone: str
    state: str


class ErrorKind(enum.Enum):
    """What a failed call means for whoever sent it.

    REFUSED says that the call had no effect, CONFLICT that the object has
    another version than the condition asked for, UNKNOWN that the call may or
    may not have had its effect, INVALID that the platform did not understand
    the call or its answer made no sense, EXPIRED that a watch asked for changes
    which the platform has forgotten, or that it was restored from a backup meanwhile.
    """

    REFUSED = "refused"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    INVALID = "invalid"
    EXPIRED = "expired"


class PlatformError(NamedTuple):
    """Why a call to the platform failed.

    Parameters
    ----------
    kind : ErrorKind
        What the failure means.
    text : str
        The reason, as one short sentence.
    version : int
        The present version of the object after a conflict, else 0.
    """

    kind: ErrorKind
    text: str
    version: int = 0
