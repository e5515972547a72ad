"""Parsing of answers in which one object may be malformed."""

import pytest

from beryltrack.objects.parsing import parse_list

GOOD = {"path": "settings/shop/groups/a", "version": 3, "value": {"x": 1}}


@pytest.mark.parametrize(
    "bad",
    [
        None,
        7,
        [],
        {},
        GOOD | {"path": 7},
        GOOD | {"version": "3"},
        GOOD | {"version": True},
    ],
)
def test_only_the_malformed_object_is_skipped(bad):
    found = parse_list({"revision": 9, "objects": [bad, GOOD]})
    assert [item.path for item in found.objects] == [GOOD["path"]]
    assert found.revision == 9


@pytest.mark.parametrize("answer", [None, {"revision": 9}, {"objects": [GOOD]}])
def test_a_malformed_list_raises(answer):
    with pytest.raises(ValueError):
        parse_list(answer)
