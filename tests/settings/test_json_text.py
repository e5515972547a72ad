"""Findings on invalid JSON text."""

from beryltrack.settings.json_text import load_json


def test_valid_text_is_parsed():
    assert load_json('{"a": [1, {"a": 2}]}', "f") == ({"a": [1, {"a": 2}]}, ())


def test_repeated_keys_and_invalid_numbers_are_findings():
    value, findings = load_json('{"a": 1, "a": 2, "b": NaN}', "f")
    assert value is None
    assert len(findings) == 2


def test_syntax_error_is_a_finding_with_its_line():
    assert load_json("{\n3}", "f")[1][0].place == "line 2"


def test_text_that_python_cannot_convert_is_a_finding():
    for text in ("9" * 5000, "[" * 100_000):
        value, findings = load_json(text, "f")
        assert value is None and len(findings) == 1
