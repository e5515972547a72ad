"""The steady workload: sessions that change proxies, replicas that lag, an oracle."""
