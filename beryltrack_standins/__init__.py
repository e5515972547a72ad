"""Stand-ins for the systems around the proxy, for tests and local runs."""
