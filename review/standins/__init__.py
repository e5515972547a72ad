"""Stand-ins for the platform, the databases and clients, on the standard library."""
