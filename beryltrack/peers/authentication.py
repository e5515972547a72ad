"""Mutual challenge-response authentication of peers by the fleet's shared key.

The key is never sent. Each side sends a random nonce and an HMAC-SHA-256 over both
nonces, both names and its role. The role prevents reflection of a proof to the side
that made it, and fresh nonces prevent replay.
"""

import hashlib
import hmac
import secrets

from beryltrack.peers.messages import Challenge, Hello

NONCE_BYTES = 16
OPENING_ROLE = "opening"
ANSWERING_ROLE = "answering"


def make_nonce() -> bytes:
    """Return `NONCE_BYTES` bytes of the system's cryptographic random source."""
    return secrets.token_bytes(NONCE_BYTES)


def compute_proof(
    key: str, role: str, hello: Hello, version: int, name: str, nonce: bytes
) -> bytes:
    """Return the proof that one side sends.

    Parameters
    ----------
    key : str
        The key of the fleet, from the settings of the instance.
    role : str
        `OPENING_ROLE` or `ANSWERING_ROLE`: the side that sends the proof.
    hello : Hello
        The hello of the opening side.
    version : int
        Protocol version that the answering side chose.
    name : str
        Name of the answering side.
    nonce : bytes
        Nonce of the answering side.

    Returns
    -------
    bytes
        HMAC-SHA-256.
    """
    # repr quotes each field, so that different fields never give the same text.
    text = repr((role, tuple(hello), version, name, nonce))
    return hmac.new(key.encode(), text.encode(), hashlib.sha256).digest()


def verify_proof(expected: bytes, received: bytes) -> bool:
    """Return whether a proof is correct; the comparison takes constant time."""
    return hmac.compare_digest(expected, received)


def compute_challenge_proof(key: str, role: str, hello: Hello, challenge: Challenge):
    """Return the proof over a hello and the challenge that answers it."""
    return compute_proof(
        key, role, hello, challenge.version, challenge.name, challenge.nonce
    )
