"""Faults and loads over real sockets, with psycopg and bare sockets."""

import datetime
import socket
import threading

import psycopg
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from pygwire import messages as m
from twisted.internet import reactor
from twisted.internet.task import deferLater

from beryltrack.callers.authentication import format_secret
from beryltrack.callers.tls import make_tls_context
from tests.callers.glue import HOST, make_settings, run_glue
from tests.reactor_thread import run

START = m.StartupMessage({"user": "app", "database": "main"}).to_wire()


def make_context():
    """Return a TLS context with a self-signed certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "proxy")])
    begin = datetime.datetime(2020, 1, 1)
    certificate = (
        x509.CertificateBuilder(name, name, key.public_key(), 1, begin)
        .not_valid_after(begin + datetime.timedelta(days=36500))
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    form = serialization.PrivateFormat.PKCS8
    secret = key.private_bytes(pem, form, serialization.NoEncryption())
    return make_tls_context(secret + certificate.public_bytes(pem))


def open_socket(glue, data=START):
    """Return a bare socket that has sent `data`."""
    bare = socket.create_connection((HOST, glue.number), timeout=5)
    bare.sendall(data)
    return bare


def read_to_end(bare):
    """Return all that comes until the proxy closes."""
    return b"".join(iter(lambda: bare.recv(65536), b""))


def wait_until(condition):
    """Wait in turns of the reactor until `condition()` holds."""

    async def poll():
        while not condition():
            await deferLater(reactor, 0.002)

    run(poll)


def test_tls_and_password_together():
    settings = make_settings(format_secret("secret"))
    with run_glue(settings=settings, tls_context=make_context()) as glue:
        options = {"sslmode": "require", "password": "secret"}
        with glue.connect(**options) as connection:
            assert connection.pgconn.ssl_in_use
            row = connection.execute("rows 20 20000").fetchall()
            assert len(row) == 20


def test_plain_bytes_after_the_request_for_tls_are_refused():
    with run_glue(tls_context=make_context()) as glue:
        with open_socket(glue, m.SSLRequest().to_wire() + START) as bare:
            assert b"08P01" in read_to_end(bare)


def test_a_peer_that_is_gone_is_noticed_by_the_kernel():
    with run_glue() as glue, glue.connect():
        caller = next(iter(glue.factory._connections))
        for connection in (caller, glue.targets[0]):
            handle = connection.transport.getHandle()
            for option in (socket.TCP_KEEPIDLE, socket.TCP_NODELAY):
                assert 0 < handle.getsockopt(socket.IPPROTO_TCP, option) < 30


def test_cancel_reaches_the_target():
    with run_glue() as glue, glue.connect() as connection:
        # The older cancel() would hold the interpreter and so the proxy itself.
        timer = threading.Timer(0.05, connection.cancel_safe)
        timer.start()
        with pytest.raises(psycopg.errors.QueryCanceled):
            connection.execute("hang")
        timer.join()
        assert connection.execute("SELECT 1").fetchone()[1] == "SELECT 1"


def test_a_cancel_request_with_a_wrong_secret_is_ignored():
    with run_glue() as glue, glue.connect() as connection:
        key = connection.pgconn.backend_pid
        with open_socket(glue, m.CancelRequest(key, b"1234").to_wire()) as bare:
            assert read_to_end(bare) == b""
        assert connection.execute("SELECT 1").fetchone()[1] == "SELECT 1"


def test_a_lost_target_is_told_as_unknown_outcome():
    with run_glue(connections=2) as glue, glue.connect() as connection:
        with pytest.raises(psycopg.errors.TransactionResolutionUnknown):
            connection.execute("lost")
        assert glue.targets[0].broken
        assert connection.execute("SELECT 1").fetchone() == ("2", "SELECT 1")


def test_many_callers_at_once_get_their_own_answers():
    def talk(name):
        with glue.connect() as connection:
            for number in range(15):
                value = f"{name}-{number}"
                row = connection.execute("SELECT %s", [value]).fetchone()
                wrong.extend([row] * (row[2] != value))
                size = len(connection.execute("rows 3 9000").fetchall())
                wrong.extend([size] * (size != 3))
        done.append(name)

    wrong, done = [], []
    with run_glue(connections=3) as glue:
        threads = [threading.Thread(target=talk, args=(n,)) for n in range(8)]
        [thread.start() for thread in threads]
        [thread.join() for thread in threads]
    assert not wrong
    assert len(done) == 8


def test_a_slow_caller_holds_back_the_target():
    with run_glue() as glue, open_socket(glue) as bare:
        bare.sendall(m.Query("rows 30000 1000").to_wire())
        wait_until(lambda: glue.target.connections[1].transport.dataBuffer)
        caller = run(lambda: next(iter(glue.factory._connections)).caller)
        wait_until(lambda: caller.is_full)
        held = sum(len(x) for x in caller._transport._tempDataBuffer)
        assert held + len(caller._transport.dataBuffer) < 1 << 20
        received = 0
        while received < 30_000 * 1000:
            received += len(bare.recv(1 << 20))
        wait_until(lambda: glue.handler.ends)


def test_a_caller_that_leaves_in_mid_answer_harms_nobody():
    with run_glue() as glue:
        with open_socket(glue) as bare:
            bare.sendall(m.Query("rows 30000 1000").to_wire())
            assert bare.recv(1000)
        wait_until(lambda: glue.handler.forgotten)
        with glue.connect() as connection:
            assert connection.execute("SELECT 1").fetchone() == ("1", "SELECT 1")


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00\x00\x03",
        b"\x7f\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
        START + b"Q\x7f\xff\xff\xff",
        START + b"Q\x00\x00\x00\x08abcd",
        START + b"!\x00\x00\x00\x04",
        START + m.Parse("", "SELECT 1").to_wire() + m.Query("SELECT 1").to_wire(),
        START + b"B\x00\x00\x00\x06\x00a",
        START + b"P\x00\x00\x00\x06\x00\x00",
        START + b"D\x00\x00\x00\x06X\x00",
    ],
)
def test_malformed_input_closes_its_connection_only(data):
    with run_glue() as glue, glue.connect() as connection:
        with open_socket(glue, data) as bare:
            assert b"08P01" in read_to_end(bare)
        assert connection.execute("SELECT 1").fetchone() == ("1", "SELECT 1")
