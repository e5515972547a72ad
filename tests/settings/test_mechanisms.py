"""Mechanisms that are disabled by the environment."""

import pytest

from beryltrack.settings.mechanisms import (
    DISABLED_VARIABLE,
    Mechanism,
    read_disabled_mechanisms,
)


@pytest.mark.parametrize("text", ["", " ", " , "])
def test_no_mechanism_is_disabled_by_default(text):
    assert read_disabled_mechanisms({DISABLED_VARIABLE: text}) == (frozenset(), [])
    assert read_disabled_mechanisms({}) == (frozenset(), [])


def test_names_are_separated_by_commas():
    disabled, findings = read_disabled_mechanisms(
        {DISABLED_VARIABLE: "detours, retries"}
    )
    assert disabled == {Mechanism.DETOURS, Mechanism.RETRIES} and findings == []


def test_an_unknown_name_is_a_finding():
    disabled, findings = read_disabled_mechanisms({DISABLED_VARIABLE: "detours,magic"})
    assert disabled == {Mechanism.DETOURS}
    (finding,) = findings
    assert (finding.source, finding.place) == (DISABLED_VARIABLE, "magic")
