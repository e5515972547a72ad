"""Wire format of what instances add to the databases' line protocol.

These messages pass only between instances of this product. An operation's demand is a
prefix of its first statement, and an owner's load report goes out with an answer: each
byte between availability zones is billed, and each message takes processor time at both
ends.

An owner that understands demands shows it when a session opens, by sending the number
of its process (the incarnation). Instances of earlier releases ignore that number, and
never get a report, as they never send a demand.
"""

import math
import re

from beryltrack.connections.exclusive import ExclusiveConnection
from beryltrack.groups.messages import LogPosition
from beryltrack.load.messages import (
    DEFAULT_DEMAND,
    LOWEST_PRIORITY,
    DatabaseReport,
    Demand,
)
from beryltrack.load.reports import TimedReport
from beryltrack.wire.line_buffer import MalformedMessage

ACCOUNT, COUNTED = b"ACCOUNT ", b"counted"
"""Before an operation: its account, and whether it was counted against the limit."""

WITHIN = b"WITHIN "
"""Prefix of an operation's first statement: its priority, and the milliseconds left to
its latency deadline and to the deadline after which its result is of no use."""

LOAD = b"LOAD"
"""With an answer: the load of the session's database at the owner."""

PROVEN = b"PROVEN"
"""With an answer: a proof, that is a position of the primary that includes everything
acknowledged until some microseconds before this message was sent."""

UNREACHABLE = b"UNREACHABLE"
"""Error code from an instance that does not reach a database; the statement did not
run. Neither callers nor databases know this code."""

NOT_OWNER = b"NOTOWNER"
"""Error code from an instance that lends no connections to the group at all, because it
leaves the fleet or does not own the group."""

OVER_LIMIT = b"OVERLIMIT"
"""Error code from an instance at which the operation's account is over its limit."""

_UNKNOWN = b"-"
_DISPLACED = b"+"
_MAX_MS = 10**9 - 1
_DEMAND = re.compile(rb"WITHIN (\d{1,3})(\+?) (-?\d{1,9}|-) (-?\d{1,9}|-) (.+)")
_PROVEN = re.compile(rb"PROVEN (\d+)\.(\d+) (\d+)")
_REPORT = re.compile(
    rb"LOAD (\d{1,15}) (\d{1,6}) (\d{1,6}) (\d{1,9}) (\d{1,9}(?:,\d{1,9}){0,7}|-)"
)


def format_proven(position: LogPosition, age: float) -> bytes:
    """Return a PROVEN message; the age in seconds is rounded up to be safe."""
    return b"PROVEN %d.%d %d\r\n" % (*position, math.ceil(age * 1e6))


def parse_proven(line: bytes) -> tuple[LogPosition, float]:
    """Return the position and the age, in seconds, of a PROVEN line.

    Raises
    ------
    MalformedMessage
        If the line is malformed.
    """
    match = _PROVEN.fullmatch(line)
    if match is None:
        raise MalformedMessage("malformed PROVEN")
    term, number, age = map(int, match.groups())
    return LogPosition(term, number), age / 1e6


def format_account_message(
    connection: ExclusiveConnection, account: str
) -> list[bytes]:
    """Return the ACCOUNT message to send before a statement, if it has changed.

    Empty on a direct connection, which belongs to one account.

    Raises
    ------
    ValueError
        If a direct connection belongs to another account.
    """
    if not connection.via:
        if connection.account != account:
            raise ValueError(
                "the statement and the connection belong to different accounts"
            )
        return []
    counted = COUNTED if connection.is_counted else b"new"
    message = b"%s%s %s" % (ACCOUNT, account.encode(), counted)
    if message == connection.account_message or not (
        account or connection.account_message
    ):
        return []
    connection.account_message = message
    return [message]


def take_demand_prefix(connection: ExclusiveConnection) -> bytes:
    """Return the demand prefix of the next statement on a connection, and clear it.

    Only the first statement of an operation has one, and only if the instance at the
    other end understands it.
    """
    demand, connection.demand = connection.demand, DEFAULT_DEMAND
    takes_demands = connection.via and connection.incarnation
    return format_demand(demand) if takes_demands else b""


def format_demand(demand: Demand) -> bytes:
    """Return the prefix that encodes a demand; empty for one without requirements."""
    if demand._replace(account="", is_retry=False) == DEFAULT_DEMAND:
        return b""
    displaced = _DISPLACED if demand.is_displaced else b""
    aim, left = _format_time(demand.latency_left), _format_time(demand.time_left)
    return b"%s%d%s %s %s " % (WITHIN, demand.priority, displaced, aim, left)


def parse_demand(text: bytes, account: str) -> tuple[Demand, bytes] | None:
    """Return an operation's demand and the rest of its first statement's text.

    Parameters
    ----------
    text : bytes
        The text.
    account : str
        Account of the operation, which the session knows.

    Returns
    -------
    tuple of Demand and bytes, or None
        None if the prefix is malformed. A text without a prefix, as instances of
        earlier releases send it, has an empty demand.
    """
    if not text.startswith(WITHIN):
        return DEFAULT_DEMAND._replace(account=account), text
    match = _DEMAND.fullmatch(text)
    if match is None:
        return None
    priority, displaced, aim, left, rest = match.groups()
    demand = Demand(
        min(int(priority), LOWEST_PRIORITY),
        _parse_time(aim),
        max(0.0, _parse_time(left)),
        account,
        displaced == _DISPLACED,
    )
    return demand, rest


def format_report(timed_report: TimedReport) -> bytes:
    """Return a LOAD message; times in milliseconds, the work in microseconds."""
    report = timed_report.report
    waits = b",".join(_format_time(wait) for wait in report.waits) or _UNKNOWN
    return b"%s %d %d %d %d %s\r\n" % (
        LOAD,
        timed_report.reported_at * 1e3,
        report.limit,
        report.running,
        report.service_time * 1e6,
        waits,
    )


def parse_report(line: bytes, incarnation: int) -> TimedReport:
    """Return the report of a LOAD line from an owner's process.

    Raises
    ------
    MalformedMessage
        If the line is malformed.
    """
    match = _REPORT.fullmatch(line)
    if match is None:
        raise MalformedMessage("malformed LOAD")
    reported_at, limit, running, work, waits = match.groups()
    times = () if waits == _UNKNOWN else tuple(map(_parse_time, waits.split(b",")))
    report = DatabaseReport(
        int(limit), int(running), times, int(work) / 1e6, incarnation
    )
    return TimedReport(report, int(reported_at) / 1e3)


def parse_incarnation(line: bytes) -> int:
    """Return the number of an owner's process from its answer to START.

    Zero if there is none: an instance of an earlier release understands no demands.
    """
    fields = line.split(b" ")
    has_number = len(fields) > 3 and re.fullmatch(rb"\d{1,15}", fields[3])
    return int(fields[3]) if has_number else 0


def _format_time(seconds: float) -> bytes:
    """Return whole milliseconds, rounded down; a dash for infinity."""
    if math.isinf(seconds):
        return _UNKNOWN
    return b"%d" % max(-_MAX_MS, min(_MAX_MS, math.floor(seconds * 1e3)))


def _parse_time(field: bytes) -> float:
    """Return a time in seconds; infinity for a dash."""
    return math.inf if field == _UNKNOWN else int(field) / 1e3
