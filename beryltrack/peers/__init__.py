"""Links between proxies: authentication, membership, gossip and forwarding."""
