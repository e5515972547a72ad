"""Random sequences of lists, watches and gossip.

Versions never decrease, and all proxies converge to the same settings.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beryltrack.objects.messages import ObjectList, PlatformObject
from beryltrack.settings.decider import SettingsDecider
from beryltrack.settings.stored import ChangeRequest, build_value
from tests.settings.examples import (
    GROUP_PATH,
    RULE_PATH,
    USER_PATH,
    make_deletion,
    make_group,
    make_object,
)

PROXIES = st.integers(0, 1)
PATHS = st.sampled_from((RULE_PATH, USER_PATH))
# Each object is valid under one of the paths and invalid under the other.
VALUES = st.sampled_from(({"max_age": 1}, {"trust": True}, None))


class SpreadMachine(RuleBasedStateMachine):
    """One store, two proxies, and peers that tell each other old news."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.proxies = [SettingsDecider() for _ in range(2)]
        self.seen = [{} for _ in range(2)]
        self.listed = [0, 0]

    @property
    def revision(self):
        """The store's revision."""
        return len(self.log)

    def get_list(self, revision):
        """Return what the store listed at a revision."""
        present = {item.path: item for item in self.log[:revision]}
        kept = (item for item in present.values() if not item.deleted)
        return ObjectList(revision, tuple(kept))

    @rule(path=PATHS, value=VALUES)
    def change(self, path, value):
        present = {item.path: item for item in self.get_list(self.revision).objects}
        old = present.get(path)
        when = f"{self.revision:04}"
        request = ChangeRequest(path, value, "ana", "", when, when)
        version = old.version if old else 0
        stored = build_value(request, version, old and old.value)
        self.log.append(PlatformObject(path, self.revision + 1, stored, False))

    @rule(path=PATHS)
    def delete(self, path):
        if any(item.path == path for item in self.get_list(self.revision).objects):
            self.log.append(make_deletion(path, self.revision + 1))

    @rule(proxy=PROXIES, back=st.integers(0, 2))
    def list(self, proxy, back):
        answer = self.get_list(max(0, self.revision - back))
        self.proxies[proxy].observe_list(answer)
        self.listed[proxy] = max(self.listed[proxy], answer.revision)

    @rule(proxy=PROXIES)
    def watch(self, proxy):
        changed = {item.path: item for item in self.log[self.proxies[proxy].revision :]}
        answer = ObjectList(self.revision, tuple(changed.values()))
        self.proxies[proxy].observe_changes(answer)

    @rule(hearer=PROXIES)
    def tell(self, hearer):
        self.proxies[hearer].merge(self.proxies[1 - hearer].objects)

    @rule(proxy=PROXIES, back=st.integers(1, 5))
    def tell_old_news(self, proxy, back):
        self.proxies[proxy].merge(self.log[-back:][:1])

    @rule(proxy=PROXIES)
    def restart(self, proxy):
        self.proxies[proxy], self.seen[proxy] = SettingsDecider(), {}
        self.listed[proxy] = 0

    @invariant()
    def nothing_goes_back(self):
        for proxy, seen in zip(self.proxies, self.seen, strict=True):
            versions = {item.path: item.version for item in proxy.objects}
            assert all(versions[path] >= version for path, version in seen.items())
            seen.update(versions)

    @invariant()
    def what_a_list_lacked_stays_away(self):
        for proxy, revision in zip(self.proxies, self.listed, strict=True):
            known = {(item.path, item.version) for item in self.get_list(revision)[1]}
            old = (item for item in proxy.objects if item.version <= revision)
            kept = {(item.path, item.version) for item in old if not item.deleted}
            assert kept <= known

    def teardown(self):
        fresh = SettingsDecider()
        fresh.observe_list(self.get_list(self.revision))
        for proxy in self.proxies:
            proxy.observe_list(self.get_list(self.revision))
            assert proxy.current[1:] == fresh.current[1:]
            assert proxy.findings == fresh.findings


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=6,
)
KEYS = ("settings", "audit", "history", "created")
STORED = st.fixed_dictionaries({}, optional=dict.fromkeys(KEYS, JSON))
PATH_TEXTS = st.sampled_from((RULE_PATH, GROUP_PATH, "settings/", "settings/a/rules/"))


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(PATH_TEXTS | st.text(), JSON | STORED | st.builds(make_group, databases=JSON))
def test_no_value_in_the_store_harms_the_other_objects(path, value):
    decider = SettingsDecider()
    decider.merge((make_object(USER_PATH, 1, {"trust": True}),))
    decider.merge((PlatformObject(path, 2, value, False),))
    assert [user.name for user in decider.current.users] == ["ana"]
    again = SettingsDecider()
    again.merge(decider.objects)
    assert again.current[1:] == decider.current[1:]
    assert again.findings == decider.findings
