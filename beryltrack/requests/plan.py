"""What a unit of a caller asks for, found out once before it is run.

The plan holds the kind of its statements, the marks that apply to it and, for
the extended protocol, which prepared statements it uses.
"""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from beryltrack.callers.batches import ExtendedPlan
from beryltrack.callers.caller import Caller
from beryltrack.callers.extended import plan_extended
from beryltrack.callers.messages import (
    BindFrame,
    ExtendedRequest,
    Request,
    SimpleRequest,
)
from beryltrack.callers.statements import is_session_reset
from beryltrack.errors import (
    INVALID_PARAMETER_VALUE,
    SqlError,
    make_unsupported_error,
)
from beryltrack.findings import Finding, format_finding
from beryltrack.requests.ledger import compute_fingerprint
from beryltrack.requests.protocol import RequestPolicy
from beryltrack.routing.messages import StatementKind
from beryltrack.routing.statements import classify, combine_kinds
from beryltrack.sessions.request_options import RequestOptions, get_request_options
from beryltrack.settings.messages import GroupSettings, RuleSettings

_CHANGING = frozenset((StatementKind.WRITE, StatementKind.COMMIT))
_FOR_PRIMARY = frozenset((StatementKind.WRITE, StatementKind.BEGIN))


class RequestPlan(NamedTuple):
    """One unit, understood.

    Parameters
    ----------
    request : SimpleRequest or ExtendedRequest
        The unit as the caller sent it.
    kind : StatementKind
        The kind of its statements together.
    text : str
        The text of its statements.
    extended : ExtendedPlan or None
        Which statements a batch uses; None for a simple query.
    marks : RequestOptions
        What is asked for it beside its statements.
    """

    request: Request
    kind: StatementKind
    text: str
    extended: ExtendedPlan | None
    marks: RequestOptions

    @property
    def request_id(self) -> str:
        """The caller's identifier of it; empty if it has none."""
        return self.marks.request_id

    @property
    def policy(self) -> RequestPolicy | None:
        """The times that bound it: those of the instance."""
        return None

    @property
    def is_read(self) -> bool:
        """True if a replica may run it, outside of a transaction."""
        return self.kind not in _FOR_PRIMARY

    @property
    def is_marked(self) -> bool:
        """True if it must run at most once and carries an identifier."""
        has_identifier = bool(self.marks.request_id) and not self.marks.idempotent
        return has_identifier and self.kind in _CHANGING

    @property
    def fingerprint(self) -> str:
        """A hash of the statements and their parameters."""
        if isinstance(self.request, SimpleRequest):
            return compute_fingerprint(self.request.text.encode())
        # Names of statements and portals differ between connections.
        values = (
            frame.wire[frame.values_offset :]
            for frame in self.request.messages
            if isinstance(frame, BindFrame)
        )
        return compute_fingerprint(self.text.encode(), *values)


def plan_request(
    request: Request,
    caller: Caller,
    group: GroupSettings,
    rules: tuple[RuleSettings, ...],
) -> Result[RequestPlan, SqlError]:
    """Return the plan of a unit, or why it cannot be run.

    Parameters
    ----------
    request : SimpleRequest or ExtendedRequest
        The unit.
    caller : Caller
        Who sent it; its portals are noted.
    group : GroupSettings
        The group that it is connected to.
    rules : tuple of RuleSettings
        The rules in force.

    Returns
    -------
    Result of RequestPlan or SqlError
        A malformed mark refuses the unit, as it may ask to run at most once.
    """
    extended = None
    if isinstance(request, ExtendedRequest):
        extended = plan_extended(request, caller.statements)
        if extended.error is not None:
            return Failure(extended.error)
    texts = _get_texts(request, extended)
    text = ";\n".join(texts)
    kind = _get_kind(texts, extended)
    runs = extended is None or extended.executed
    if runs and not caller.in_transaction and is_session_reset(text):
        kind = StatementKind.DISCARD
    if kind is StatementKind.UNSUPPORTED:
        hint = "Connections to targets are shared between callers."
        return Failure(make_unsupported_error("this statement is not supported", hint))
    marks, findings = get_request_options(
        caller.settings, text, group, rules, caller.user
    )
    if findings:
        return Failure(make_marks_error(findings))
    return Success(RequestPlan(request, kind, text, extended, marks))


def make_marks_error(findings: list[Finding]) -> SqlError:
    """Return the error of a request whose marks or token are malformed."""
    text = "; ".join(format_finding(finding) for finding in findings)
    return SqlError(INVALID_PARAMETER_VALUE, text, "The request was not run.")


def _get_texts(request: Request, extended: ExtendedPlan | None) -> tuple[str, ...]:
    """Return the statements that a unit runs, or else those that it parses."""
    if isinstance(request, SimpleRequest):
        return (request.text,)
    return extended.executed or extended.parsed


def _get_kind(texts: tuple[str, ...], extended: ExtendedPlan | None) -> StatementKind:
    """Return the kind of all statements together."""
    if extended is not None and not extended.executed:
        # Parsing and describing change nothing, whatever the statement does.
        return StatementKind.READ
    return combine_kinds([classify(text) for text in texts])
