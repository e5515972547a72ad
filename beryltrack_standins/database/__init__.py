"""Stand-in databases that speak PostgreSQL's protocol, with terms and replication."""
