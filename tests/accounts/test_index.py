"""The index of accounts by key and name, also for contradictory settings."""

from hypothesis import given
from hypothesis import strategies as st

from beryltrack.accounts.index import build_account_index
from beryltrack.accounts.keys import digest_key
from beryltrack.accounts.messages import AccountSettings

NAMES = st.sampled_from("abcdef")
KEYS = st.frozensets(st.sampled_from("uvwxyz"), max_size=3)


def make_account(name, *keys):
    return AccountSettings(name, frozenset(keys), 10.0, 5.0)


def test_a_key_identifies_its_account():
    one, two = make_account("one", "k1", "k2"), make_account("two", "k3")
    index, findings = build_account_index([one, two], "settings")
    assert findings == []
    assert index.by_key == {"k1": one, "k2": one, "k3": two}
    assert index.by_name == {"one": one, "two": two}


def test_a_key_of_two_accounts_identifies_neither():
    one, two = make_account("one", "k1", "k2"), make_account("two", "k2", "k3")
    index, findings = build_account_index([one, two], "settings")
    assert set(index.by_key) == {"k1", "k3"}
    assert [finding.source for finding in findings] == ["settings"]


def test_two_accounts_with_one_name_are_both_left_out():
    same_name = [make_account("one", "k1"), make_account("one", "k2")]
    other = make_account("two", "k3")
    index, findings = build_account_index([*same_name, other], "settings")
    assert set(index.by_key) == {"k3"} and set(index.by_name) == {"two"}
    assert len(findings) == 1


@given(st.lists(st.builds(AccountSettings, NAMES, KEYS), max_size=12))
def test_no_ambiguous_account_is_indexed_by_a_key(accounts):
    index, _ = build_account_index(accounts, "settings")
    for key, account in index.by_key.items():
        assert [each for each in accounts if key in each.keys] == [account]
        assert [each for each in accounts if each.name == account.name] == [account]


def test_ten_thousand_accounts_are_indexed():
    accounts = [make_account(f"a{each}", f"k{each}") for each in range(10_000)]
    index, findings = build_account_index(accounts, "settings")
    assert len(index.by_key) == 10_000 and findings == []


def test_a_digest_does_not_contain_its_key():
    digest = digest_key("thhkmgjqnirth5mgjy5r")
    assert len(digest) == 32 and "thhk" not in digest
    assert digest == digest_key("thhkmgjqnirth5mgjy5r") != digest_key("other")
