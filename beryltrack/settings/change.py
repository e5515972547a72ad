"""Makes one change of a settings object, exactly once or not at all.

A change is a compare-and-set on the object's version and carries a unique
identifier. Its answer may be lost after it took effect. The object is then read
back: the identifier in its records proves that the change was made; the record of
another change of the same version proves that it never will be; and an unchanged
version allows the same update to be sent again, since its condition can hold only
once.
"""

import enum
import random
from typing import NamedTuple, Protocol

from returns.result import Failure, Result, Success
from twisted.internet.task import deferLater

from beryltrack.objects.backoff import compute_delay
from beryltrack.objects.messages import ErrorKind, PlatformError, PlatformObject
from beryltrack.settings.stored import (
    ChangeRequest,
    build_value,
    get_records,
    get_settings,
)

MAX_ATTEMPTS = 5
"""Maximum number of times that an update is sent."""


class ObjectStore(Protocol):
    """The methods of the platform's client that a change uses."""

    async def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return one object, or None if there is none."""
        ...

    async def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version is `if_version`; return its new version."""
        ...


class FailureKind(enum.Enum):
    """Outcome of a failed change.

    CONFLICT means that another change came first, NOT_DONE that the platform
    refused the change, and UNKNOWN that it may have taken effect or still may.
    After CONFLICT and NOT_DONE the change was not made and never will be.
    """

    CONFLICT = "conflict"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


class ChangeFailure(NamedTuple):
    """Failure of a change.

    Parameters
    ----------
    kind : FailureKind
        The outcome.
    text : str
        The reason, as one short sentence.
    version : int
        Current version of the object, 0 if there is none or it is not known.
    """

    kind: FailureKind
    text: str
    version: int = 0


class ChangeDone(NamedTuple):
    """A change that is in the store.

    Parameters
    ----------
    version : int
        Current version of the object.
    changed : bool
        False if the object already had these settings, so nothing was written.
    replaced : bool
        True if a later change has already replaced this one.
    """

    version: int
    changed: bool = True
    replaced: bool = False


class Resolution(enum.Enum):
    """State of a change in doubt, derived from reading its object back."""

    DONE = "done"
    REPLACED = "replaced"
    CONFLICT = "conflict"
    UNCHANGED = "unchanged"
    UNRESOLVED = "unresolved"


def resolve_change(
    change_id: str, from_version: int, present: PlatformObject | None
) -> Resolution:
    """Return the state of a change in doubt from the object as read back.

    Parameters
    ----------
    change_id : str
        Identifier of the change.
    from_version : int
        Version that the change was conditional on, 0 if there was no object.
    present : PlatformObject or None
        The object as read back, None if there is none.

    Returns
    -------
    Resolution
        CONFLICT only if the history proves that another change has replaced
        `from_version`, as only one can. UNRESOLVED if the history no longer
        reaches back that far.
    """
    version = present.version if present else 0
    if version == from_version:
        return Resolution.UNCHANGED
    records = get_records(present.value if present else None)
    if records and records[0].get("change_id") == change_id:
        return Resolution.DONE
    if any(record.get("change_id") == change_id for record in records):
        return Resolution.REPLACED
    # Each record names the version that its change replaced, and only one change can
    # replace a version.
    if any(record.get("from_version") == from_version for record in records):
        return Resolution.CONFLICT
    return Resolution.UNRESOLVED


class SettingsChange:
    """One change of a settings object.

    Parameters
    ----------
    reactor : IReactorTime
        Clock for the delays between attempts.
    store : ObjectStore
        The platform's client.
    request : ChangeRequest
        The change.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self, reactor, store: ObjectStore, request: ChangeRequest, rng: random.Random
    ):
        self._reactor = reactor
        self._store = store
        self._request = request
        self._rng = rng
        self._in_doubt = False
        self._version = 0

    async def run(self) -> Result[ChangeDone, ChangeFailure]:
        """Make the change.

        Returns
        -------
        Result
            The change made, or its failure.
        """
        read = await self._store.get(self._request.path)
        match read:
            case Failure(error):
                return _make_failure(FailureKind.NOT_DONE, error.text)
            case Success(present):
                return await self._change(present)

    async def _change(
        self, present: PlatformObject | None
    ) -> Result[ChangeDone, ChangeFailure]:
        """Change the object if the version that was read allows it."""
        self._version = present.version if present else 0
        wanted = self._request.if_version
        if wanted not in (None, self._version):
            text = f"the object has version {self._version}, not {wanted} as required"
            return _make_failure(FailureKind.CONFLICT, text, self._version)
        before = present.value if present else None
        if get_settings(before) == self._request.settings:
            return Success(ChangeDone(self._version, changed=False))
        value = build_value(self._request, self._version, before)
        return await self._send(value)

    async def _send(self, value: object) -> Result[ChangeDone, ChangeFailure]:
        """Send the update until its outcome is certain or `MAX_ATTEMPTS` is reached."""
        failure = ChangeFailure(FailureKind.NOT_DONE, "")
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if attempt > 1:
                delay = compute_delay(attempt - 1, self._rng)
                await deferLater(self._reactor, delay)
            result = await self._store.put(self._request.path, value, self._version)
            match result:
                case Success(version):
                    return Success(ChangeDone(version))
                case Failure(error):
                    outcome, failure = await self._handle_failure(error)
            if outcome is not None:
                return outcome
        return Failure(failure)

    async def _handle_failure(
        self, error: PlatformError
    ) -> tuple[Result[ChangeDone, ChangeFailure] | None, ChangeFailure]:
        """Return the outcome or None, and the failure to report if it stays unknown."""
        self._in_doubt |= error.kind is ErrorKind.UNKNOWN
        failure = self._classify(error)
        if error.kind is ErrorKind.REFUSED:
            return None, failure
        if error.kind is ErrorKind.INVALID and not self._in_doubt:
            return Failure(failure), failure
        match await self._store.get(self._request.path):
            case Success(present):
                return self._resolve(present), failure
            case Failure(PlatformError(text=text)):
                return None, failure._replace(text=text)

    def _classify(self, error: PlatformError) -> ChangeFailure:
        """Return the failure to report if reading back does not resolve the outcome."""
        if self._in_doubt:
            return ChangeFailure(FailureKind.UNKNOWN, error.text, error.version)
        if error.kind is ErrorKind.CONFLICT:
            return ChangeFailure(FailureKind.CONFLICT, error.text, error.version)
        return ChangeFailure(FailureKind.NOT_DONE, error.text)

    def _resolve(
        self, present: PlatformObject | None
    ) -> Result[ChangeDone, ChangeFailure] | None:
        """Return the outcome that the object proves; None to send the update again."""
        version = present.version if present else 0
        match resolve_change(self._request.change_id, self._version, present):
            case Resolution.DONE:
                return Success(ChangeDone(version))
            case Resolution.REPLACED:
                return Success(ChangeDone(version, replaced=True))
            case Resolution.UNCHANGED:
                return None
            case Resolution.UNRESOLVED if self._in_doubt:
                text = "the object was removed, or changed so often that its history"
                return _make_failure(
                    FailureKind.UNKNOWN,
                    f"{text} does not show whether this change was made",
                    version,
                )
            case _:
                text = f"another change came first; the object has version {version}"
                return _make_failure(FailureKind.CONFLICT, text, version)


def _make_failure(
    kind: FailureKind, text: str, version: int = 0
) -> Result[ChangeDone, ChangeFailure]:
    """Return a failed result of a kind."""
    return Failure(ChangeFailure(kind, text, version))
