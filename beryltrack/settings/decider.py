"""Decides which settings are in force, from objects that come in any order.

Objects come from lists and watches of the platform's store and from peers,
late, repeated and out of order. Of each object the highest version counts and
nothing goes back. An object that fails its checks leaves the last good
settings in force: those of its own history first, so that a proxy which never
saw them decides like the others.

A store that was restored from a backup has lost changes that were confirmed. What it
has instead, of a later era, does not count while it is what those changes followed; it
is a finding until operators write them again.
"""

from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.objects.eras import format_version, get_era
from beryltrack.objects.messages import ObjectList, PlatformObject
from beryltrack.settings.compact import JudgedObject, judge_object
from beryltrack.settings.messages import SiteSettings
from beryltrack.settings.paths import PREFIX
from beryltrack.settings.site import EMPTY_SITE, AcceptedObject, build_site
from beryltrack.settings.stored import is_overtaken

MAX_TOMBSTONES = 4096


class SettingsUpdate(NamedTuple):
    """What some new knowledge changed.

    Parameters
    ----------
    objects : tuple of PlatformObject
        Objects that were news, in their compact form, to be told to peers.
    changed : bool
        True if the settings in force are not what they were.
    findings : tuple of Finding
        All findings now, if there was any news, else empty.
    """

    objects: tuple[PlatformObject, ...]
    changed: bool
    findings: tuple[Finding, ...]


NO_UPDATE = SettingsUpdate((), False, ())


class SettingsDecider:
    """Keeps the highest version of each object and what follows from it."""

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
        """Revision of the store up to which all changes were seen."""
        return self._revision

    @property
    def objects(self) -> tuple[PlatformObject, ...]:
        """Highest version of each object, deletions included, by path."""
        return tuple(self._objects[path] for path in sorted(self._objects))

    @property
    def findings(self) -> tuple[Finding, ...]:
        """All that is wrong with the objects known."""
        own = (self._findings[path] for path in sorted(self._findings))
        lost = tuple(self._lost[path] for path in sorted(self._lost))
        faulty = tuple(item for group in own for item in group)
        return faulty + lost + self._site_findings

    def observe_list(self, answer: ObjectList) -> SettingsUpdate:
        """Take in a full list of the store; what it lacks was deleted.

        A deletion has the list's revision as its version, so an object that is
        newer than the list stays.
        """
        listed = {item.path for item in answer.objects}
        deletions = tuple(
            PlatformObject(path, answer.revision, None, True)
            for path, item in self._objects.items()
            if path not in listed
            and not item.deleted
            and not self._note_lost(item, answer.revision)
        )
        update = self.merge(answer.objects + deletions)
        self._revision = max(self._revision, answer.revision)
        self._listed_revision = max(self._listed_revision, answer.revision)
        return update

    def observe_changes(self, answer: ObjectList) -> SettingsUpdate:
        """Take in the answer to a watch after `revision`."""
        update = self.merge(answer.objects)
        self._revision = max(self._revision, answer.revision)
        return update

    def merge(self, objects: Iterable[PlatformObject]) -> SettingsUpdate:
        """Take in objects from anywhere; older versions change nothing."""
        taken = [item.path for item in objects if self._take(item)]
        news = tuple(self._objects[path] for path in dict.fromkeys(taken))
        if not news:
            return NO_UPDATE
        self._forget_old_tombstones()
        before = self._current
        revision = max(item.version for item in self._objects.values())
        self._current, self._site_findings = build_site(
            self._accepted.values(), max(revision, before.revision)
        )
        changed = self._current[1:] != before[1:]
        return SettingsUpdate(news, changed, self.findings)

    def _take(self, item: PlatformObject) -> bool:
        """Keep one object if it is news; return whether it was."""
        known = self._objects.get(item.path)
        if not item.path.startswith(PREFIX):
            return False
        if known is not None and item.version <= known.version:
            return False
        if known is not None and is_overtaken(item.value, known.value):
            self._note_lost(known, item.version)
            return False
        # A full list of a later revision lacked it, so it was deleted before.
        if known is None and item.version <= self._listed_revision:
            return False
        judged = judge_object(item)
        self._lost.pop(item.path, None)
        self._objects[item.path] = judged.item
        self._put_in_force(judged)
        return True

    def _note_lost(self, known: PlatformObject, told: int) -> bool:
        """Return whether a version is one that the store has lost, and keep that."""
        if get_era(known.version) >= get_era(told):
            return False
        text = f"the store has lost version {format_version(known.version)}: "
        finding = Finding(known.path, "", text + "it holds on, write it again")
        self._lost[known.path] = finding
        return True

    def _put_in_force(self, judged: JudgedObject) -> None:
        """Replace what is in force of one object.

        A faulty object whose history does not tell what held before it leaves
        in force what this proxy had.
        """
        path = judged.item.path
        self._findings.pop(path, None)
        if judged.findings:
            self._findings[path] = judged.findings
        if judged.settings is not None:
            accepted = AcceptedObject(path, judged.created, judged.settings)
            self._accepted[path] = accepted
        elif judged.is_settled:
            self._accepted.pop(path, None)

    def _forget_old_tombstones(self) -> None:
        """Keep the newest deletions only, so that they do not pile up."""
        deleted = [item for item in self._objects.values() if item.deleted]
        deleted.sort(key=lambda item: item.version, reverse=True)
        for item in deleted[MAX_TOMBSTONES:]:
            del self._objects[item.path]
