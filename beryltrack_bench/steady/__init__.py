"""The steady workload: sessions that roam, replicas that lag, and an oracle."""
