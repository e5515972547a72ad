"""Answers of the object API, in which one object may be malformed."""

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
def test_an_object_that_cannot_be_read_costs_itself_alone(bad):
    found = parse_list({"revision": 9, "objects": [bad, GOOD]})
    assert [item.path for item in found.objects] == [GOOD["path"]]
    assert found.revision == 9


@pytest.mark.parametrize("answer", [None, {"revision": 9}, {"objects": [GOOD]}])
def test_what_is_no_list_is_told(answer):
    with pytest.raises(ValueError):
        parse_list(answer)
