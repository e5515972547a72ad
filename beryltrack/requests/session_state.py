"""The session state at the proxy, and the statements that the proxy answers itself.

The state ends with the caller's connection: the caller carries the token to its next
one, and settings for targets are applied to each target connection before use.
"""

from returns.result import Failure, Result, Success

from beryltrack.callers.caller import Caller
from beryltrack.callers.local import LocalResult
from beryltrack.callers.statements import is_session_reset, run_deallocate
from beryltrack.errors import SqlError, make_malformed_setting_error
from beryltrack.findings import Finding, format_finding
from beryltrack.requests.plan import RequestPlan
from beryltrack.requests.session import CallerSession
from beryltrack.routing.messages import StatementKind
from beryltrack.routing.statements import classify
from beryltrack.sessions.request_options import (
    IDEMPOTENT,
    MAX_AGE,
    REQUEST_ID,
    SETTING_PREFIX,
    parse_duration,
    parse_request_id,
    parse_switch,
)
from beryltrack.sessions.tokens import (
    format_token,
    parse_token,
)
from beryltrack.sessions.variables import SettingChange, parse_change, parse_show

SESSION_SETTING = SETTING_PREFIX + "session"

_CHECKS = {
    SETTING_PREFIX + MAX_AGE: parse_duration,
    SETTING_PREFIX + REQUEST_ID: parse_request_id,
    SETTING_PREFIX + IDEMPOTENT: parse_switch,
    SESSION_SETTING: parse_token,
}


def open_session(caller: Caller) -> SqlError | None:
    """Open a new caller's session; return an error if its settings are malformed."""
    caller.session = CallerSession()
    findings = [
        Finding(name, "", finding.text)
        for name, check in _CHECKS.items()
        if name in caller.settings
        for finding in check(caller.settings[name])[1]
    ]
    if findings:
        text = "; ".join(format_finding(finding) for finding in findings)
        return make_malformed_setting_error(findings[0].source, text)
    if SESSION_SETTING in caller.settings:
        token, _ = parse_token(caller.settings[SESSION_SETTING])
        caller.session.set_token(token)
    return None


def is_local(plan: RequestPlan) -> bool:
    """Return whether the proxy itself answers a request."""
    return _is_local_statement(plan.kind, plan.text)


def describe_local(plan: RequestPlan) -> LocalResult | None:
    """Return the description of a statement that a batch prepares for the proxy.

    Parameters
    ----------
    plan : RequestPlan
        A request.

    Returns
    -------
    LocalResult or None
        A result without rows that describes the statement; None if the batch
        runs a statement or prepares one for targets.
    """
    batch = plan.extended
    if batch is None or batch.executed or len(batch.used) != 1:
        return None
    text = batch.used[0]
    if not _is_local_statement(classify(text), text):
        return None
    name, _ = parse_show(text)
    return LocalResult("", (name,) if name is not None else ())


def _is_local_statement(kind: StatementKind, text: str) -> bool:
    """Return whether a statement concerns only the proxy."""
    if kind in (StatementKind.DEALLOCATE, StatementKind.DISCARD):
        return True
    if kind is StatementKind.SHOW:
        name, _ = parse_show(text)
        return name is not None and name.startswith(SETTING_PREFIX)
    if kind is StatementKind.SESSION_SET:
        change, _ = parse_change(text)
        return change is not None and change.name.startswith(SETTING_PREFIX)
    return False


def run_local(plan: RequestPlan, caller: Caller) -> Result[LocalResult, SqlError]:
    """Run a statement that concerns only the proxy.

    Parameters
    ----------
    plan : RequestPlan
        A request for which `is_local` holds.
    caller : Caller
        The caller whose session it changes or shows.

    Returns
    -------
    Result of LocalResult or SqlError
        The answer.
    """
    if plan.kind is StatementKind.SHOW:
        return _run_show(plan, caller)
    if plan.kind is StatementKind.SESSION_SET:
        change, _ = parse_change(plan.text)
        return apply_change(change, caller)
    if is_session_reset(plan.text):
        reset_settings(caller)
        return Success(LocalResult("RESET"))
    result = run_deallocate(plan.text, caller.statements)
    if result is None:
        return Success(LocalResult("DISCARD"))
    if isinstance(result, SqlError):
        return Failure(result)
    if result.tag == "DISCARD ALL":
        reset_settings(caller)
    return Success(result)


def apply_change(
    change: SettingChange, caller: Caller
) -> Result[LocalResult, SqlError]:
    """Change one setting of a session, if its value is well-formed."""
    if change.value is None:
        caller.settings.pop(change.name, None)
        return Success(LocalResult("RESET"))
    check = _CHECKS.get(change.name)
    if check is not None:
        value, findings = check(change.value)
        if findings:
            text = "; ".join(format_finding(finding) for finding in findings)
            return Failure(make_malformed_setting_error(change.name, text))
        if change.name == SESSION_SETTING:
            caller.session.set_token(value)
    caller.settings[change.name] = change.value
    return Success(LocalResult("SET"))


def reset_settings(caller: Caller) -> None:
    """Restore the settings with which the caller connected."""
    caller.settings.clear()
    caller.settings.update(caller.start_settings)


def _run_show(plan: RequestPlan, caller: Caller) -> Result[LocalResult, SqlError]:
    """Answer a ``SHOW`` of a setting of beryltrack."""
    name, _ = parse_show(plan.text)
    value = caller.settings.get(name, "")
    if name == SESSION_SETTING:
        value = format_token(caller.session.token)
    return Success(LocalResult("SHOW", (name,), ((value,),)))
