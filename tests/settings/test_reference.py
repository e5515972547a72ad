"""The reference page matches the options tables, and its examples are valid."""

import json
from pathlib import Path

from beryltrack.settings.instance_file import load_instance_settings
from beryltrack.settings.messages import (
    DatabaseSettings,
    GroupSettings,
    InstanceSettings,
    RuleSettings,
)
from beryltrack.settings.options import DATABASE_OPTIONS, GROUPS, INSTANCE, RULES
from beryltrack.settings.parsing import parse_settings
from beryltrack.settings.reference import EXAMPLES, format_page

PAGE = Path(__file__).parents[2] / "docs" / "SETTINGS.md"


def test_page_is_up_to_date():
    assert PAGE.read_text() == format_page()


def test_examples_of_the_page_are_valid():
    for kind in ("groups", "rules", "users"):
        assert parse_settings(f"settings/shop/{kind}/x", EXAMPLES[kind])[1] == ()
    assert load_instance_settings(json.dumps(EXAMPLES["instance"]), "f")[1] == ()


def test_options_and_fields_correspond():
    by_path = {"name", "team"}
    # The instance itself dates the reports of databases.
    for options, kind, others in (
        (GROUPS.options, GroupSettings, by_path),
        (RULES.options, RuleSettings, by_path),
        (DATABASE_OPTIONS, DatabaseSettings, {"leaving_since"}),
        (INSTANCE.options, InstanceSettings, set()),
    ):
        names = {option.name for option in options}
        assert names - set(kind._fields) == set()
        assert set(kind._fields) - names == others
