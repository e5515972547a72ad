"""The platform's object store, without I/O.

Each change of an object gets the next number of one sequence as its version, so that a
watch can ask for the changes after a number. Changes may be conditional on the version.
"""

import bisect
from typing import NamedTuple

JsonValue = object


class StoredObject(NamedTuple):
    """One version of an object.

    Parameters
    ----------
    path : str
        Its path.
    version : int
        Its number in the one sequence of changes over all objects.
    value : JsonValue
        Its value; None once deleted.
    deleted : bool
        True if this version deleted the object.
    """

    path: str
    version: int
    value: JsonValue
    deleted: bool


class ChangeResult(NamedTuple):
    """The outcome of a conditional change.

    Parameters
    ----------
    done : bool
        True if the change took effect.
    version : int
        The new version; if the change did not take effect, the present version, zero
        if there is no object.
    """

    done: bool
    version: int


class StoreBackup(NamedTuple):
    """A copy of the store's state."""

    revision: int
    objects: dict[str, StoredObject]
    versions: tuple[int, ...]
    paths: tuple[str, ...]


class ObjectStore:
    """Objects with versions and conditional changes.

    Parameters
    ----------
    era : int or None
        How often it was restored from a backup, which the platform reports with each
        answer; None if it reports none.
    """

    def __init__(self, era: int | None = None):
        self.era = era
        self.revision = 0
        self._objects: dict[str, StoredObject] = {}
        self._versions: list[int] = []
        self._paths: list[str] = []

    def make_backup(self) -> StoreBackup:
        """Return a backup from which the store can be restored."""
        return StoreBackup(
            self.revision,
            dict(self._objects),
            tuple(self._versions),
            tuple(self._paths),
        )

    def restore(self, backup: StoreBackup) -> None:
        """Go back to a backup and lose all later writes."""
        self.revision, self._objects = backup.revision, dict(backup.objects)
        self._versions, self._paths = list(backup.versions), list(backup.paths)
        if self.era is not None:
            self.era += 1

    def get(self, path: str) -> StoredObject | None:
        """Return an object, or None if there is none at the path."""
        found = self._objects.get(path)
        return None if found is None or found.deleted else found

    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose path begins with `prefix`, sorted by path."""
        return tuple(
            item
            for path, item in sorted(self._objects.items())
            if path.startswith(prefix) and not item.deleted
        )

    def list_changes(self, prefix: str, after: int) -> tuple[StoredObject, ...]:
        """Return the objects that changed after a revision, oldest change first."""
        start = bisect.bisect_right(self._versions, after)
        paths = {path for path in self._paths[start:] if path.startswith(prefix)}
        changed = (self._objects[path] for path in paths)
        return tuple(sorted(changed, key=lambda item: item.version))

    def put(self, path: str, value: JsonValue, if_version: int | None) -> ChangeResult:
        """Set an object if its version is `if_version`; None sets it in any case."""
        return self._change(path, if_version, value, False)

    def delete(self, path: str, if_version: int | None) -> ChangeResult:
        """Delete an object if its version is `if_version`, or in any case for None."""
        return self._change(path, if_version, None, True)

    def _change(
        self, path: str, if_version: int | None, value: JsonValue, deleted: bool
    ) -> ChangeResult:
        """Write a new version of an object if the condition holds."""
        present = self.get(path)
        version = 0 if present is None else present.version
        if if_version not in (None, version) or (deleted and present is None):
            return ChangeResult(False, version)
        self.revision += 1
        self._objects[path] = StoredObject(path, self.revision, value, deleted)
        self._versions.append(self.revision)
        self._paths.append(path)
        return ChangeResult(True, self.revision)
