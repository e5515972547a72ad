"""SQL and records of the ledger, the table that deduplicates at-most-once requests.

The ledger is a table at the target, with the request identifier as primary key (the
pattern of idempotency keys). A request's row is written in the transaction of its
effect, so that both persist or both are lost, also when the primary changes. A repeat
violates the key and is answered with the recorded answer. The key also serializes
concurrent runs through different proxies.
"""

import base64
from typing import NamedTuple

import cbor2
import xxhash

TABLE = "beryltrack_ledger"
UNIQUE_VIOLATION = "23505"
UNDEFINED_TABLE = "42P01"
MAX_REQUEST_ID = 128
"""Maximum length of a request identifier, characters."""
MAX_RECORDED_ANSWER = 65536
"""Maximum size of an answer in the ledger, bytes; a repeat of a request with a
larger answer gets its command tag without the rows."""

CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (request_id text PRIMARY KEY,"
    " fingerprint text NOT NULL, answer text NOT NULL, created_at text NOT NULL)"
)


class LedgerRow(NamedTuple):
    """A request's row of the ledger.

    Parameters
    ----------
    fingerprint : str
        Hash of the statement and its parameters, which detects an identifier that
        is used for two different requests.
    answer : RecordedAnswer
        Answer of the first run.
    """

    fingerprint: str
    answer: "RecordedAnswer"


class RecordedAnswer(NamedTuple):
    """An answer as the ledger stores it.

    Parameters
    ----------
    is_extended : bool
        True if the answer is to the extended query protocol.
    frames : bytes
        The answer's frames without the last ``ReadyForQuery``.
    is_complete : bool
        False if the answer was too large, so that its rows are missing.
    """

    is_extended: bool
    frames: bytes
    is_complete: bool


def compute_fingerprint(*parts: bytes) -> str:
    """Return a hash of a request's statement and parameters.

    Parameters
    ----------
    *parts : bytes
        The request's frames.

    Returns
    -------
    str
        128 bits as hexadecimal digits.
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def quote_literal(text: str) -> str:
    """Return a text as an SQL literal.

    Parameters
    ----------
    text : str
        Any text without NUL characters.

    Returns
    -------
    str
        The text in single quotes. ``standard_conforming_strings`` is on for
        all target connections, so only quotes have to be doubled.
    """
    doubled = text.replace("'", "''")
    return f"'{doubled}'"


def format_open(request_id: str, fingerprint: str, created_at: str) -> str:
    """Return the statements that open an at-most-once request's transaction.

    Parameters
    ----------
    request_id : str
        The request's identifier.
    fingerprint : str
        From `compute_fingerprint`.
    created_at : str
        Time in ISO 8601, for the removal of old rows.

    Returns
    -------
    str
        ``BEGIN`` and the insertion of the row, which fails on a repeat.
    """
    return f"BEGIN; {format_insert(request_id, fingerprint, created_at)}"


def format_insert(request_id: str, fingerprint: str, created_at: str) -> str:
    """Return the statement that writes a request's row without an answer."""
    values = ", ".join(
        quote_literal(text) for text in (request_id, fingerprint, "", created_at)
    )
    return (
        f"INSERT INTO {TABLE} (request_id, fingerprint, answer, created_at)"
        f" VALUES ({values})"
    )


def format_close(request_id: str, answer: RecordedAnswer) -> str:
    """Return the statements that record an answer and commit.

    Parameters
    ----------
    request_id : str
        The request's identifier.
    answer : RecordedAnswer
        Answer of the request.

    Returns
    -------
    str
        The update of the row and ``COMMIT``.
    """
    return (
        f"UPDATE {TABLE} SET answer = {quote_literal(encode_answer(answer))}"
        f" WHERE request_id = {quote_literal(request_id)}; COMMIT"
    )


def format_lookup(request_id: str) -> str:
    """Return the query for a request's row."""
    return (
        f"SELECT fingerprint, answer FROM {TABLE}"
        f" WHERE request_id = {quote_literal(request_id)}"
    )


def format_removal(before: str, limit: int) -> str:
    """Return the statement that removes old rows.

    Parameters
    ----------
    before : str
        Rows created before this ISO 8601 time are removed.
    limit : int
        Maximum number of rows to remove, which keeps the transaction short.

    Returns
    -------
    str
        The statement. Its command tag holds the number of removed rows.
    """
    return (
        f"DELETE FROM {TABLE} WHERE request_id IN (SELECT request_id FROM {TABLE}"
        f" WHERE created_at < {quote_literal(before)} LIMIT {limit})"
    )


def encode_answer(answer: RecordedAnswer) -> str:
    """Return an answer as text (base64 of CBOR) for the ledger's column."""
    return base64.b64encode(cbor2.dumps(tuple(answer))).decode("ascii")


def decode_answer(text: str) -> RecordedAnswer:
    """Return the answer that `encode_answer` encoded.

    Parameters
    ----------
    text : str
        The column's value; empty for the ``COMMIT`` of a transaction, whose answer
        is always the same.

    Returns
    -------
    RecordedAnswer
        The recorded answer.
    """
    if not text:
        return RecordedAnswer(False, b"", True)
    return RecordedAnswer(*cbor2.loads(base64.b64decode(text)))


def make_recorded_answer(is_extended: bool, frames: bytes, tail: bytes):
    """Return the record of an answer, without its rows if it is too large.

    Parameters
    ----------
    is_extended : bool
        True for the extended query protocol.
    frames : bytes
        The answer's frames before the last ``CommandComplete``.
    tail : bytes
        The last ``CommandComplete``.

    Returns
    -------
    RecordedAnswer
        The record.
    """
    if len(frames) + len(tail) > MAX_RECORDED_ANSWER:
        return RecordedAnswer(is_extended, tail, False)
    return RecordedAnswer(is_extended, frames + tail, True)
