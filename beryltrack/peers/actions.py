"""What the peers' decider asks its task to do."""

from typing import NamedTuple

from beryltrack.peers.messages import GossipItem, Message


class SendMessage(NamedTuple):
    """Send a message over the control link to a peer."""

    peer: str
    message: Message


class OpenLink(NamedTuple):
    """Open a control link to a peer, or to a seed whose name is not known.

    Parameters
    ----------
    peer : str
        Name of the peer; empty for a seed.
    host : str
        IP number.
    port : int
        TCP port.
    """

    peer: str
    host: str
    port: int


class CloseLink(NamedTuple):
    """Close the control link to a peer.

    Parameters
    ----------
    peer : str
        Name of the peer.
    reason : str
        Why, for the log.
    """

    peer: str
    reason: str


class NotifySubscribers(NamedTuple):
    """Tell subscribers of an item that is new here."""

    item: GossipItem


Action = SendMessage | OpenLink | CloseLink | NotifySubscribers
