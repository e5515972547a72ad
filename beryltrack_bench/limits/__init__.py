"""Owners' concurrency limits for one database, in simulated time."""
