"""The plan of a caller's unit, made once before the unit is run.

It holds the kind of the unit's statements, its request options and, for the extended
query protocol, the prepared statements that it uses.
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
    """One analysed unit.

    Parameters
    ----------
    request : SimpleRequest or ExtendedRequest
        The unit as the caller sent it.
    kind : StatementKind
        Combined kind of its statements.
    text : str
        Text of its statements.
    extended : ExtendedPlan or None
        Prepared statements that a batch uses; None for a simple query.
    options : RequestOptions
        Its request options, such as the accepted age of data.
    """

    request: Request
    kind: StatementKind
    text: str
    extended: ExtendedPlan | None
    options: RequestOptions

    @property
    def request_id(self) -> str:
        """Identifier that the caller gave it; empty without one."""
        return self.options.request_id

    @property
    def policy(self) -> RequestPolicy | None:
        """None: the time limits of the instance apply."""
        return None

    @property
    def is_read(self) -> bool:
        """True if a replica may run it, outside of a transaction."""
        return self.kind not in _FOR_PRIMARY

    @property
    def is_at_most_once(self) -> bool:
        """True if it carries an identifier, changes data and must run at most once."""
        has_identifier = bool(self.options.request_id) and not self.options.idempotent
        return has_identifier and self.kind in _CHANGING

    @property
    def fingerprint(self) -> str:
        """A hash of the statements and their parameters."""
        if isinstance(self.request, SimpleRequest):
            return compute_fingerprint(self.request.text.encode())
        # Names of statements and portals are left out: connections differ in them.
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
    """Return the plan of a unit, or the error that refuses it.

    Parameters
    ----------
    request : SimpleRequest or ExtendedRequest
        The unit.
    caller : Caller
        Its sender, whose portals are recorded.
    group : GroupSettings
        Group that the caller is connected to.
    rules : tuple of RuleSettings
        The rules in force.

    Returns
    -------
    Result of RequestPlan or SqlError
        A malformed option refuses the unit, which may have to run at most once.
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
    options, findings = get_request_options(
        caller.settings, text, group, rules, caller.user
    )
    if findings:
        return Failure(make_options_error(findings))
    return Success(RequestPlan(request, kind, text, extended, options))


def make_options_error(findings: list[Finding]) -> SqlError:
    """Return the error for a request with malformed options."""
    text = "; ".join(format_finding(finding) for finding in findings)
    return SqlError(INVALID_PARAMETER_VALUE, text, "The request was not run.")


def _get_texts(request: Request, extended: ExtendedPlan | None) -> tuple[str, ...]:
    """Return the statements that a unit runs, or those that it parses if none."""
    if isinstance(request, SimpleRequest):
        return (request.text,)
    return extended.executed or extended.parsed


def _get_kind(texts: tuple[str, ...], extended: ExtendedPlan | None) -> StatementKind:
    """Return the combined kind of the statements."""
    if extended is not None and not extended.executed:
        # Parse and Describe change no data, whatever the statement does.
        return StatementKind.READ
    return combine_kinds([classify(text) for text in texts])
