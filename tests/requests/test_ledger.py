"""The ledger's SQL and the records of answers."""

from beryltrack.requests import ledger


def test_quotes_in_an_identifier_stay_inside_the_literal():
    assert ledger.quote_literal("a'; DROP TABLE x; --") == "'a''; DROP TABLE x; --'"


def test_a_recorded_answer_is_decoded_unchanged():
    answer = ledger.make_recorded_answer(True, b"\x00rows'", b"tag")
    assert ledger.decode_answer(ledger.encode_answer(answer)) == answer
    assert answer.frames == b"\x00rows'tag"


def test_rows_beyond_the_limit_are_not_recorded():
    rows = b"r" * ledger.MAX_RECORDED_ANSWER
    answer = ledger.make_recorded_answer(False, rows, b"tag")
    assert answer == ledger.RecordedAnswer(False, b"tag", False)


def test_fingerprints_depend_on_the_boundaries_of_parts():
    assert ledger.compute_fingerprint(b"ab", b"c") != ledger.compute_fingerprint(
        b"a", b"bc"
    )
