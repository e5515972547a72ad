"""Proof that a peer knows the fleet's key, without sending the key.

Both sides send a random nonce and answer with an HMAC over both nonces, both
names and their role. A role in the text keeps a proof from being sent back to
whoever made it, and fresh nonces keep an old one from being used again.
"""

import hashlib
import hmac
import secrets

from beryltrack.peers.messages import Challenge, Hello

NONCE_BYTES = 16
OPENING_ROLE = "opening"
ANSWERING_ROLE = "answering"


def make_nonce() -> bytes:
    """Return fresh random bytes; the system's source, as proofs depend on them."""
    return secrets.token_bytes(NONCE_BYTES)


def compute_proof(
    key: str, role: str, hello: Hello, version: int, name: str, nonce: bytes
) -> bytes:
    """Return the proof of one side.

    Parameters
    ----------
    key : str
        The key of the fleet, from the settings of the instance.
    role : str
        `OPENING_ROLE` or `ANSWERING_ROLE`: whose proof it is.
    hello : Hello
        What the opening side sent.
    version : int
        Version of the protocol that the answering side chose.
    name : str
        Name of the answering side.
    nonce : bytes
        Nonce of the answering side.

    Returns
    -------
    bytes
        SHA-256 HMAC.
    """
    # repr quotes each part, so that no two lists of parts give the same text.
    text = repr((role, tuple(hello), version, name, nonce))
    return hmac.new(key.encode(), text.encode(), hashlib.sha256).digest()


def verify_proof(expected: bytes, received: bytes) -> bool:
    """Return whether a proof is right, in a time that does not depend on it."""
    return hmac.compare_digest(expected, received)


def compute_challenge_proof(key: str, role: str, hello: Hello, challenge: Challenge):
    """Return the proof over a hello and the challenge that answered it."""
    return compute_proof(
        key, role, hello, challenge.version, challenge.name, challenge.nonce
    )
