"""Losses of a primary while callers write; used by `failover` and `detection`."""
