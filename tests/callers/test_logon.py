"""The log-on of a caller, driven without sockets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pygwire import messages as m
from pygwire.exceptions import ProtocolError
from scramp import ScramClient

from beryltrack.callers.authentication import MockSecrets, format_secret
from beryltrack.callers.logon import (
    AcceptLogon,
    CallerLogon,
    CancelOther,
    RefuseLogon,
    SendBytes,
    StartTls,
)
from beryltrack.callers.startup import parse_options
from beryltrack.settings.messages import UserSettings

MOCKS = MockSecrets(b"key")
USERS = {
    "trusted": UserSettings("trusted", "team", ""),
    "app": UserSettings("app", "team", format_secret("secret")),
    "broken": UserSettings("broken", "team", "no secret at all"),
}
START = m.StartupMessage({"user": "trusted", "database": "main"}).to_wire()


def make_logon(offers_tls=False):
    return CallerLogon(USERS.get, MOCKS, offers_tls)


def log_on(user, password):
    """Run the SCRAM exchange; return the last step."""
    logon = make_logon()
    client = ScramClient(["SCRAM-SHA-256"], user, password)
    list(logon.feed(m.StartupMessage({"user": user}).to_wire()))
    first = m.SASLInitialResponse("SCRAM-SHA-256", client.get_client_first().encode())
    (step,) = logon.feed(first.to_wire())
    client.set_server_first(step.wire[9:].decode())
    final = m.SASLResponse(client.get_client_final().encode())
    return list(logon.feed(final.to_wire()))[-1]


def test_password():
    accepted = log_on("app", "secret")
    assert isinstance(accepted, AcceptLogon)
    assert accepted.user == USERS["app"]
    assert accepted.request.database == "app"


@pytest.mark.parametrize(
    "user, password", [("app", "wrong"), ("nobody", "secret"), ("broken", "secret")]
)
def test_a_refused_password_does_not_reveal_the_cause(user, password):
    error = log_on(user, password).error
    assert error.sqlstate == "28P01"
    assert error.message == f'password authentication failed for user "{user}"'


def test_an_unknown_user_has_the_same_salt_each_time():
    assert MOCKS.get("a") == MockSecrets(b"key").get("a") != MOCKS.get("b")


def test_tls_is_offered_once():
    logon = make_logon(offers_tls=True)
    (step,) = logon.feed(m.SSLRequest().to_wire())
    assert step == StartTls(b"S")
    (step,) = logon.feed(m.SSLRequest().to_wire())
    assert step == SendBytes(b"N")


def test_without_tls_the_caller_continues_unencrypted():
    requests = m.SSLRequest().to_wire() + m.GSSEncRequest().to_wire() + START
    steps = list(make_logon().feed(requests))
    assert steps[:2] == [SendBytes(b"N")] * 2
    assert isinstance(steps[2], AcceptLogon)


def test_a_cancel_request_yields_its_key_and_secret():
    (step,) = make_logon().feed(m.CancelRequest(7, b"abcd").to_wire())
    assert step == CancelOther(7, b"abcd")


def test_a_later_protocol_version_is_negotiated_down():
    start = m.StartupMessage({"user": "trusted", "_pq_.x": "1"}, 0x00030002).to_wire()
    negotiation, accepted = make_logon().feed(start)
    assert negotiation.wire == m.NegotiateProtocolVersion(0, ["_pq_.x"]).to_wire()
    assert isinstance(accepted, AcceptLogon)


def test_options_are_parsed():
    text = r"-c beryltrack.session=a\ b --max-age=3 -cx=' "
    settings_, error = parse_options(text)
    assert error is None
    assert settings_ == {"beryltrack.session": "a b", "max_age": "3", "x": "'"}


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(
    st.sampled_from([b"", START[:20], m.SSLRequest().to_wire()]),
    st.one_of(
        st.binary(max_size=64),
        st.binary(max_size=40).map(
            lambda body: (len(body) + 8).to_bytes(4, "big") + b"\x00\x03\x00\x00" + body
        ),
        st.binary(max_size=40).map(
            lambda body: (
                m.StartupMessage({"user": "app"}).to_wire()
                + b"p"
                + (len(body) + 4).to_bytes(4, "big")
                + body
            )
        ),
    ),
)
def test_any_input_is_accepted_or_refused_in_order(first, data):
    try:
        steps = list(make_logon().feed(first + data))
    except ProtocolError:
        return
    ends = [isinstance(step, RefuseLogon | AcceptLogon | CancelOther) for step in steps]
    assert not any(ends[:-1])
