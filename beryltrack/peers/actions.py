"""Actions that `PeerDecider` returns and `PeerTask` carries out."""

from typing import NamedTuple

from beryltrack.peers.messages import GossipItem, Message


class SendMessage(NamedTuple):
    """Send a message over the control link to a peer."""

    peer: str
    message: Message


class OpenLink(NamedTuple):
    """Open a control link to a peer or a seed.

    Parameters
    ----------
    peer : str
        Name of the peer; empty for a seed, whose name is not known.
    host : str
        IP address.
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
        Reason, for the log.
    """

    peer: str
    reason: str


class NotifySubscribers(NamedTuple):
    """Notify subscribers of a new item."""

    item: GossipItem


Action = SendMessage | OpenLink | CloseLink | NotifySubscribers
