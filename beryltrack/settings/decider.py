"""Decides which settings are in force, from objects that arrive in any order.

Objects arrive from lists and watches of the platform's store and by gossip from
peers: late, repeated and out of order. The merge keeps the highest version of
each object, so all proxies converge and no object goes back to an older version. If
an object is invalid, the last valid settings stay in force: those in the object's own
history first, so that a proxy that never saw them decides like the others.

A store that is restored from a backup loses changes that were confirmed and has a
later era. An object of that era is ignored while it is a version that the lost changes
replaced; the loss is a finding until operators write the changes again.
"""

from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.objects.eras import format_version, get_era
from beryltrack.objects.messages import ObjectList, PlatformObject
from beryltrack.settings.compact import EvaluatedObject, evaluate_object
from beryltrack.settings.messages import SiteSettings
from beryltrack.settings.paths import PREFIX
from beryltrack.settings.site import EMPTY_SITE, AcceptedObject, build_site
from beryltrack.settings.stored import is_superseded

MAX_TOMBSTONES = 4096
"""Maximum number of deletions that are retained."""


class SettingsUpdate(NamedTuple):
    """Result of a merge.

    Parameters
    ----------
    objects : tuple of PlatformObject
        New or updated objects in their compact form, for peers.
    changed : bool
        True if the settings in force have changed.
    findings : tuple of Finding
        All findings if `objects` is not empty, else empty.
    """

    objects: tuple[PlatformObject, ...]
    changed: bool
    findings: tuple[Finding, ...]


NO_UPDATE = SettingsUpdate((), False, ())


class SettingsDecider:
    """Keeps the highest version of each object and derives the settings in force."""

    def __init__(self):
        self._objects: dict[str, PlatformObject] = {}
        self._accepted: dict[str, AcceptedObject] = {}
        self._findings: dict[str, tuple[Finding, ...]] = {}
        self._lost: dict[str, Finding] = {}
        self._site_findings: tuple[Finding, ...] = ()
        self._current = EMPTY_SITE
        self._revision = 0
        self._listed_revision = 0

    @property
    def current(self) -> SiteSettings:
        """The settings in force."""
        return self._current

    @property
    def revision(self) -> int:
        """Revision of the store up to which all changes are known."""
        return self._revision

    @property
    def objects(self) -> tuple[PlatformObject, ...]:
        """Highest version of each object in the order of paths, including deletions."""
        return tuple(self._objects[path] for path in sorted(self._objects))

    @property
    def findings(self) -> tuple[Finding, ...]:
        """All findings on the known objects."""
        by_object = (self._findings[path] for path in sorted(self._findings))
        lost = tuple(self._lost[path] for path in sorted(self._lost))
        invalid = tuple(item for findings in by_object for item in findings)
        return invalid + lost + self._site_findings

    def observe_list(self, answer: ObjectList) -> SettingsUpdate:
        """Merge a full list of the store; an object that it lacks was deleted.

        A deletion has the list's revision as its version, so an object that is
        newer than the list stays.
        """
        listed = {item.path for item in answer.objects}
        deletions = tuple(
            PlatformObject(path, answer.revision, None, True)
            for path, item in self._objects.items()
            if path not in listed
            and not item.deleted
            and not self._record_lost(item, answer.revision)
        )
        update = self.merge(answer.objects + deletions)
        self._revision = max(self._revision, answer.revision)
        self._listed_revision = max(self._listed_revision, answer.revision)
        return update

    def observe_changes(self, answer: ObjectList) -> SettingsUpdate:
        """Merge the answer to a watch from `revision`."""
        update = self.merge(answer.objects)
        self._revision = max(self._revision, answer.revision)
        return update

    def merge(self, objects: Iterable[PlatformObject]) -> SettingsUpdate:
        """Merge objects from any source; older versions are ignored."""
        merged = [item.path for item in objects if self._merge_object(item)]
        updated = tuple(self._objects[path] for path in dict.fromkeys(merged))
        if not updated:
            return NO_UPDATE
        self._drop_old_tombstones()
        before = self._current
        revision = max(item.version for item in self._objects.values())
        self._current, self._site_findings = build_site(
            self._accepted.values(), max(revision, before.revision)
        )
        changed = self._current[1:] != before[1:]
        return SettingsUpdate(updated, changed, self.findings)

    def _merge_object(self, item: PlatformObject) -> bool:
        """Merge one object; return whether it is new or updated."""
        known = self._objects.get(item.path)
        if not item.path.startswith(PREFIX):
            return False
        if known is not None and item.version <= known.version:
            return False
        if known is not None and is_superseded(item.value, known.value):
            self._record_lost(known, item.version)
            return False
        # A full list of a later revision lacked the object, so it was deleted by then,
        # also if only an earlier deletion of it was seen.
        is_absent = known is None or (known.deleted and not item.deleted)
        if is_absent and item.version <= self._listed_revision:
            return False
        evaluated = evaluate_object(item)
        self._lost.pop(item.path, None)
        self._objects[item.path] = evaluated.item
        self._apply(evaluated)
        return True

    def _record_lost(self, known: PlatformObject, version: int) -> bool:
        """Record a finding if the store has lost the known version; return whether so.

        The store has lost it if `version`, which it has now, is of a later era.
        """
        if get_era(known.version) >= get_era(version):
            return False
        text = f"the store has lost version {format_version(known.version)}: "
        finding = Finding(known.path, "", text + "it stays in force, write it again")
        self._lost[known.path] = finding
        return True

    def _apply(self, evaluated: EvaluatedObject) -> None:
        """Put the settings of one object in force.

        If the object is invalid and its history does not contain the last valid
        settings, those that this proxy has stay in force.
        """
        path = evaluated.item.path
        self._findings.pop(path, None)
        if evaluated.findings:
            self._findings[path] = evaluated.findings
        if evaluated.settings is not None:
            accepted = AcceptedObject(path, evaluated.created, evaluated.settings)
            self._accepted[path] = accepted
        elif evaluated.is_conclusive:
            self._accepted.pop(path, None)

    def _drop_old_tombstones(self) -> None:
        """Drop the oldest deletions, so that their number stays bounded."""
        deleted = [item for item in self._objects.values() if item.deleted]
        deleted.sort(key=lambda item: item.version, reverse=True)
        for item in deleted[MAX_TOMBSTONES:]:
            del self._objects[item.path]
