"""Typed answers of the platform's service.

Each call returns a ``returns`` result: a success with one of these tuples, or a
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
        Its path, for example ``settings/shop/groups/orders``.
    version : int
        Its version, from one increasing sequence over all objects; see `eras`.
    value : object
        The JSON value; None if it is deleted.
    deleted : bool
        True if this version is a deletion.
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
        The store's version at the moment of the answer.
    objects : tuple of PlatformObject
        All objects (of a list), or the changed ones (of a watch).
    """

    revision: int
    objects: tuple[PlatformObject, ...]


class InstanceEntry(NamedTuple):
    """One entry of the platform's instance list.

    Parameters
    ----------
    name : str
        Name of the instance.
    host : str
        IP address of its peer link.
    port : int
        TCP port of its peer link.
    zone : str
        Its availability zone.
    state : str
        `LIVE` or `LEAVING`. The list lags behind the actual state.
    """

    name: str
    host: str
    port: int
    zone: str
    state: str


class ErrorKind(enum.Enum):
    """What a failed call means for its sender.

    REFUSED: the call had no effect. CONFLICT: the object has another version than
    the condition requires. UNKNOWN: the call may or may not have taken effect.
    INVALID: the platform rejected the call as malformed, or its answer was malformed.
    EXPIRED: a watch asked for changes that the platform has compacted, or the
    platform was restored from a backup meanwhile.
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
