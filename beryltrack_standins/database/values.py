"""Conversion between PostgreSQL's text and binary formats and sqlite3's values."""

import struct
from collections.abc import Sequence

from beryltrack_standins.database.engine import Value
from beryltrack_standins.database.errors import PROTOCOL_VIOLATION, SqlError

BOOL_OID = 16
BYTEA_OID = 17
INT8_OID = 20
INT2_OID = 21
INT4_OID = 23
TEXT_OID = 25
FLOAT4_OID = 700
FLOAT8_OID = 701
NUMERIC_OID = 1700

_BINARY_FORMATS = {
    BOOL_OID: "!?",
    INT8_OID: "!q",
    INT2_OID: "!h",
    INT4_OID: "!i",
    FLOAT4_OID: "!f",
    FLOAT8_OID: "!d",
}
_INTEGER_OIDS = (INT8_OID, INT2_OID, INT4_OID)
_FLOAT_OIDS = (FLOAT4_OID, FLOAT8_OID, NUMERIC_OID)
_TYPE_OIDS = {bool: BOOL_OID, int: INT8_OID, float: FLOAT8_OID, bytes: BYTEA_OID}
_TRUE_TEXTS = (b"t", b"true", b"on", b"1", b"yes")


def decode_parameter(data: bytes | None, oid: int, is_binary: bool) -> Value:
    """Return a bound parameter as a value of sqlite3.

    Raises
    ------
    SqlError
        If the bytes do not fit the type (08P01).
    """
    if data is None:
        return None
    try:
        return _decode_binary(data, oid) if is_binary else _decode_text(data, oid)
    except (struct.error, ValueError) as error:
        text = f"parameter of type {oid} is malformed: {error}"
        raise SqlError(PROTOCOL_VIOLATION, text) from error


def expand_formats(formats: Sequence[int], count: int) -> Sequence[int]:
    """Return one format for each of `count` values from a list of format codes.

    As the protocol defines it, an empty list means text for all values, and a list of
    one code applies to all values.
    """
    if len(formats) == count:
        return formats
    return [formats[0] if formats else 0] * count


def get_column_oids(rows: Sequence[Sequence[Value]], width: int) -> tuple[int, ...]:
    """Return the type of each column, inferred from the first rows."""
    columns = zip(*rows, strict=True) if rows else [()] * width
    return tuple(map(_get_oid, columns))


def encode_row(
    row: Sequence[Value], oids: Sequence[int], formats: Sequence[int]
) -> list[bytes | None]:
    """Return the columns of a row in the formats that the client requested."""
    if not any(formats):
        return [_encode_text(value) for value in row]
    return [
        _encode_binary(value, oid) if is_binary else _encode_text(value)
        for value, oid, is_binary in zip(
            row, oids, expand_formats(formats, len(row)), strict=True
        )
    ]


def _get_oid(column: Sequence[Value]) -> int:
    """Return the type of one column; text if its values have no common type."""
    types = {type(value) for value in column if value is not None}
    if types == {int, float}:
        return FLOAT8_OID
    return _TYPE_OIDS.get(types.pop(), TEXT_OID) if len(types) == 1 else TEXT_OID


def _decode_binary(data: bytes, oid: int) -> Value:
    """Decode a parameter in binary format."""
    if oid in _BINARY_FORMATS:
        return struct.unpack(_BINARY_FORMATS[oid], data)[0]
    return data if oid == BYTEA_OID else data.decode()


def _decode_text(data: bytes, oid: int) -> Value:
    """Decode a parameter in text format."""
    if oid in _INTEGER_OIDS:
        return int(data)
    if oid in _FLOAT_OIDS:
        return float(data)
    if oid == BOOL_OID:
        return int(data.lower() in _TRUE_TEXTS)
    if oid == BYTEA_OID and data.startswith(b"\\x"):
        return bytes.fromhex(data[2:].decode())
    return data.decode()


def _encode_text(value: Value) -> bytes | None:
    """Encode a column in text format."""
    if value is None:
        return None
    if isinstance(value, bool):
        return b"t" if value else b"f"
    if isinstance(value, bytes):
        return b"\\x" + value.hex().encode()
    return str(value).encode()


def _encode_binary(value: Value, oid: int) -> bytes | None:
    """Encode a column in binary format."""
    if value is None:
        return None
    if oid in _BINARY_FORMATS and isinstance(value, int | float):
        return struct.pack(_BINARY_FORMATS[oid], value)
    return value if isinstance(value, bytes) else str(value).encode()
