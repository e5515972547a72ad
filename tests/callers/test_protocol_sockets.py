"""Faults, load and TLS over real sockets, with psycopg and bare sockets."""

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
from tests.callers.harness import HOST, make_settings, run_harness
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


def open_socket(harness, data=START):
    """Return a connected socket after sending `data` on it."""
    bare = socket.create_connection((HOST, harness.number), timeout=5)
    bare.sendall(data)
    return bare


def read_to_end(bare):
    """Return all bytes up to the end of the connection."""
    return b"".join(iter(lambda: bare.recv(65536), b""))


def wait_until(condition):
    """Poll in the reactor's thread until `condition()` is true."""

    async def poll():
        while not condition():
            await deferLater(reactor, 0.002)

    run(poll)


def test_tls_and_password_together():
    settings = make_settings(format_secret("secret"))
    with run_harness(settings=settings, tls_context=make_context()) as harness:
        options = {"sslmode": "require", "password": "secret"}
        with harness.connect(**options) as connection:
            assert connection.pgconn.ssl_in_use
            row = connection.execute("rows 20 20000").fetchall()
            assert len(row) == 20


def test_plain_bytes_after_the_request_for_tls_are_refused():
    with run_harness(tls_context=make_context()) as harness:
        with open_socket(harness, m.SSLRequest().to_wire() + START) as bare:
            assert b"08P01" in read_to_end(bare)


def test_both_sides_set_keepalive_and_nodelay():
    """Without keepalive the kernel would not detect a peer that has vanished."""
    with run_harness() as harness, harness.connect():
        caller = next(iter(harness.factory._connections))
        for connection in (caller, harness.targets[0]):
            handle = connection.transport.getHandle()
            for option in (socket.TCP_KEEPIDLE, socket.TCP_NODELAY):
                assert 0 < handle.getsockopt(socket.IPPROTO_TCP, option) < 30


def test_cancel_reaches_the_target():
    with run_harness() as harness, harness.connect() as connection:
        # The older cancel() keeps the interpreter lock and would block the proxy, which
        # runs in the same process.
        timer = threading.Timer(0.05, connection.cancel_safe)
        timer.start()
        with pytest.raises(psycopg.errors.QueryCanceled):
            connection.execute("hang")
        timer.join()
        assert connection.execute("SELECT 1").fetchone()[1] == "SELECT 1"


def test_a_cancel_request_with_a_wrong_secret_is_ignored():
    with run_harness() as harness, harness.connect() as connection:
        key = connection.pgconn.backend_pid
        with open_socket(harness, m.CancelRequest(key, b"1234").to_wire()) as bare:
            assert read_to_end(bare) == b""
        assert connection.execute("SELECT 1").fetchone()[1] == "SELECT 1"


def test_a_lost_target_is_reported_as_unknown_outcome():
    with run_harness(connections=2) as harness, harness.connect() as connection:
        with pytest.raises(psycopg.errors.TransactionResolutionUnknown):
            connection.execute("lost")
        assert harness.targets[0].broken
        assert connection.execute("SELECT 1").fetchone() == ("2", "SELECT 1")


def test_concurrent_callers_get_their_own_responses():
    def talk(name):
        with harness.connect() as connection:
            for number in range(15):
                value = f"{name}-{number}"
                row = connection.execute("SELECT %s", [value]).fetchone()
                wrong.extend([row] * (row[2] != value))
                size = len(connection.execute("rows 3 9000").fetchall())
                wrong.extend([size] * (size != 3))
        done.append(name)

    wrong, done = [], []
    with run_harness(connections=3) as harness:
        threads = [threading.Thread(target=talk, args=(n,)) for n in range(8)]
        [thread.start() for thread in threads]
        [thread.join() for thread in threads]
    assert not wrong
    assert len(done) == 8


def test_a_slow_caller_applies_back_pressure_to_the_target():
    with run_harness() as harness, open_socket(harness) as bare:
        bare.sendall(m.Query("rows 30000 1000").to_wire())
        wait_until(lambda: harness.target.connections[1].transport.dataBuffer)
        caller = run(lambda: next(iter(harness.factory._connections)).caller)
        wait_until(lambda: caller.is_full)
        buffered = sum(len(x) for x in caller._transport._tempDataBuffer)
        assert buffered + len(caller._transport.dataBuffer) < 1 << 20
        received = 0
        while received < 30_000 * 1000:
            received += len(bare.recv(1 << 20))
        wait_until(lambda: harness.handler.ends)


def test_a_disconnect_during_a_response_does_not_affect_others():
    with run_harness() as harness:
        with open_socket(harness) as bare:
            bare.sendall(m.Query("rows 30000 1000").to_wire())
            assert bare.recv(1000)
        wait_until(lambda: harness.handler.dropped)
        with harness.connect() as connection:
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
    with run_harness() as harness, harness.connect() as connection:
        with open_socket(harness, data) as bare:
            assert b"08P01" in read_to_end(bare)
        assert connection.execute("SELECT 1").fetchone() == ("1", "SELECT 1")
