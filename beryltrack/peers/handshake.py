"""Handshake of a link: protocol version, names and mutual authentication. Sans-I/O.

The opening side sends `Hello`, the answering side `Challenge`, then come `Proof` and
`Welcome`. Each side closes the link if the other side's proof is wrong.
"""

from typing import NamedTuple

from beryltrack.peers.authentication import (
    ANSWERING_ROLE,
    OPENING_ROLE,
    compute_challenge_proof,
    compute_proof,
    make_nonce,
    verify_proof,
)
from beryltrack.peers.messages import (
    CONTROL,
    FORWARDING,
    LOANS,
    Challenge,
    Hello,
    Message,
    Proof,
    Welcome,
)

LOWEST_VERSION = 1
HIGHEST_VERSION = 1
PURPOSES = frozenset({CONTROL, FORWARDING, LOANS})


class PeerIdentity(NamedTuple):
    """The authenticated peer of a link.

    Parameters
    ----------
    name : str
        Name of the peer.
    incarnation : int
        Its incarnation when the link was opened.
    purpose : str
        Purpose of the link: `CONTROL`, `FORWARDING` or `LOANS`.
    version : int
        Protocol version of the link.
    """

    name: str
    incarnation: int
    purpose: str
    version: int


class HandshakeStep(NamedTuple):
    """Result of one message of the handshake.

    Parameters
    ----------
    replies : tuple of Message
        Messages to send.
    is_authenticated : bool
        True once the peer is authenticated, so that it may send large messages.
    peer : PeerIdentity or None
        The peer, once both sides are authenticated and the link is open.
    error : str
        Why the link has to be closed; empty if it stays open.
    """

    replies: tuple[Message, ...]
    is_authenticated: bool
    peer: PeerIdentity | None
    error: str


class OpeningHandshake:
    """The side that opens the link: sends hello, checks the challenge, sends proof.

    Parameters
    ----------
    name : str
        Own name.
    incarnation : int
        Own incarnation.
    key : str
        The key of the fleet.
    purpose : str
        Purpose of the link: `CONTROL`, `FORWARDING` or `LOANS`.
    """

    def __init__(self, name: str, incarnation: int, key: str, purpose: str):
        self._key = key
        self._hello = Hello(
            LOWEST_VERSION, HIGHEST_VERSION, name, incarnation, purpose, make_nonce()
        )
        self._challenge: Challenge | None = None

    def start(self) -> tuple[Message, ...]:
        """Return the messages that open the handshake."""
        return (self._hello,)

    def receive(self, message: Message) -> HandshakeStep:
        """Handle the other side's challenge, then its welcome."""
        if isinstance(message, Challenge) and self._challenge is None:
            return self._check_challenge(message)
        if isinstance(message, Welcome) and self._challenge is not None:
            return HandshakeStep((), True, self._make_identity(), "")
        return _refuse(f"{type(message).__name__} is out of order")

    def _check_challenge(self, message: Challenge) -> HandshakeStep:
        """Authenticate to a peer whose own proof is correct."""
        if not LOWEST_VERSION <= message.version <= HIGHEST_VERSION:
            return _refuse(f"version {message.version} is not spoken here")
        expected = compute_challenge_proof(
            self._key, ANSWERING_ROLE, self._hello, message
        )
        if not verify_proof(expected, message.proof):
            return _refuse("the peer does not know the key")
        own = compute_challenge_proof(self._key, OPENING_ROLE, self._hello, message)
        self._challenge = message
        return HandshakeStep((Proof(own),), True, None, "")

    def _make_identity(self) -> PeerIdentity:
        """Return the identity of the peer that sent the challenge."""
        challenge = self._challenge
        return PeerIdentity(
            challenge.name,
            challenge.incarnation,
            self._hello.purpose,
            challenge.version,
        )


class AnsweringHandshake:
    """The side that accepts the link: sends a challenge and checks the proof.

    Parameters
    ----------
    name : str
        Own name.
    incarnation : int
        Own incarnation.
    key : str
        The key of the fleet.
    """

    def __init__(self, name: str, incarnation: int, key: str):
        self._name = name
        self._incarnation = incarnation
        self._key = key
        self._hello: Hello | None = None
        self._challenge: Challenge | None = None

    def start(self) -> tuple[Message, ...]:
        """Return no message: the other side begins."""
        return ()

    def receive(self, message: Message) -> HandshakeStep:
        """Handle the hello, then the proof."""
        if isinstance(message, Hello) and self._hello is None:
            return self._answer_hello(message)
        if isinstance(message, Proof) and self._challenge is not None:
            return self._check_proof(message)
        return _refuse(f"{type(message).__name__} is out of order")

    def _answer_hello(self, hello: Hello) -> HandshakeStep:
        """Choose the protocol version and return the challenge."""
        version = min(hello.highest, HIGHEST_VERSION)
        if version < max(hello.lowest, LOWEST_VERSION):
            return _refuse(f"versions {hello.lowest} to {hello.highest} are too new")
        if hello.purpose not in PURPOSES:
            return _refuse("the purpose of the link is unknown")
        if not hello.name or hello.name == self._name:
            return _refuse("the peer has no name of its own")
        self._hello = hello
        nonce = make_nonce()
        proof = compute_proof(
            self._key, ANSWERING_ROLE, hello, version, self._name, nonce
        )
        self._challenge = Challenge(
            version, self._name, self._incarnation, nonce, proof
        )
        return HandshakeStep((self._challenge,), False, None, "")

    def _check_proof(self, message: Proof) -> HandshakeStep:
        """Return the peer if its proof is correct."""
        hello, challenge = self._hello, self._challenge
        expected = compute_challenge_proof(self._key, OPENING_ROLE, hello, challenge)
        if not verify_proof(expected, message.proof):
            return _refuse("the peer does not know the key")
        peer = PeerIdentity(
            hello.name, hello.incarnation, hello.purpose, challenge.version
        )
        return HandshakeStep((Welcome(challenge.version),), True, peer, "")


def _refuse(error: str) -> HandshakeStep:
    """Return the step that closes the link."""
    return HandshakeStep((), False, None, error)
