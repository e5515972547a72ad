"""The gossip store: the highest version wins, and digests find differences."""

from hypothesis import given, settings
from hypothesis import strategies as st

from beryltrack.peers.gossip_store import GossipStore
from beryltrack.peers.messages import GossipItem, ItemKey

items = st.builds(
    lambda key, version: GossipItem("k", key, (version,), f"{key}{version}"),
    st.sampled_from("abcdefgh"),
    st.integers(1, 5),
)


def fill(entries):
    store = GossipStore()
    for item in entries:
        store.accept(item)
    return store


@settings(derandomize=True, database=None, max_examples=60)
@given(st.lists(items), st.randoms(use_true_random=False))
def test_order_and_repetition_of_items_do_not_matter(entries, rng):
    shuffled = entries + entries
    rng.shuffle(shuffled)
    assert fill(entries).digest == fill(shuffled).digest
    assert fill(entries).get_items("k") == fill(shuffled).get_items("k")


@settings(derandomize=True, database=None, max_examples=60)
@given(st.lists(items), st.lists(items))
def test_one_exchange_makes_two_stores_equal(left, right):
    a, b = fill(left), fill(right)
    buckets = b.find_different_buckets(a.get_bucket_digests())
    versions = [entry for bucket in buckets for entry in b.get_versions(bucket)]
    difference = a.compare_versions(buckets, versions)
    for item in difference.offered:
        assert b.accept(item)
    for key in difference.wanted:
        assert a.accept(b.get(key))
    assert a.digest == b.digest
    assert a.get_items("k") == b.get_items("k")


def test_versions_compare_as_tuples():
    store = fill([GossipItem("k", "a", (2, 9), "low")])
    assert store.accept(GossipItem("k", "a", (10, 0), "high"))
    assert not store.accept(GossipItem("k", "a", (9, 9), "between"))


def test_items_outside_the_digest_do_not_change_it():
    store = fill([GossipItem("k", "a", (1,), "v")])
    store.accept(GossipItem("k", "a", (2,), "gone"), in_digest=False)
    assert store.digest == 0
    store.remove(ItemKey("k", "a"))
    assert (store.digest, store.size) == (0, 0)


def test_digests_of_another_length_differ_in_all_buckets():
    assert len(GossipStore().find_different_buckets(b"x")) == 128
