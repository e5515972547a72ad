"""Which account a key stands for, also where settings contradict themselves."""

from hypothesis import given
from hypothesis import strategies as st

from beryltrack.accounts.index import build_account_index
from beryltrack.accounts.keys import digest_key
from beryltrack.accounts.messages import AccountSettings

NAMES = st.sampled_from("abcdef")
KEYS = st.frozensets(st.sampled_from("uvwxyz"), max_size=3)


def make_account(name, *keys):
    return AccountSettings(name, frozenset(keys), 10.0, 5.0)


def test_a_key_stands_for_its_account():
    one, two = make_account("one", "k1", "k2"), make_account("two", "k3")
    book, findings = build_account_index([one, two], "settings")
    assert findings == []
    assert book.by_key == {"k1": one, "k2": one, "k3": two}
    assert book.by_name == {"one": one, "two": two}


def test_a_key_of_two_accounts_serves_neither():
    one, two = make_account("one", "k1", "k2"), make_account("two", "k2", "k3")
    book, findings = build_account_index([one, two], "settings")
    assert set(book.by_key) == {"k1", "k3"}
    assert [finding.source for finding in findings] == ["settings"]


def test_two_accounts_of_one_name_are_both_left_out():
    pair = [make_account("one", "k1"), make_account("one", "k2")]
    other = make_account("two", "k3")
    book, findings = build_account_index([*pair, other], "settings")
    assert set(book.by_key) == {"k3"} and set(book.by_name) == {"two"}
    assert len(findings) == 1


@given(st.lists(st.builds(AccountSettings, NAMES, KEYS), max_size=12))
def test_a_key_never_stands_for_an_account_that_shares_it_or_its_name(accounts):
    book, _ = build_account_index(accounts, "settings")
    for key, account in book.by_key.items():
        assert [each for each in accounts if key in each.keys] == [account]
        assert [each for each in accounts if each.name == account.name] == [account]


def test_ten_thousand_accounts_are_read():
    accounts = [make_account(f"a{each}", f"k{each}") for each in range(10_000)]
    book, findings = build_account_index(accounts, "settings")
    assert len(book.by_key) == 10_000 and findings == []


def test_a_digest_shows_nothing_of_its_key():
    digest = digest_key("thhkmgjqnirth5mgjy5r")
    assert len(digest) == 32 and "thhk" not in digest
    assert digest == digest_key("thhkmgjqnirth5mgjy5r") != digest_key("other")
