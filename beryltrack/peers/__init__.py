"""Peers: the link between proxies, membership, shared knowledge and forwarding."""
